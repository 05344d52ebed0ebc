package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	outcomeNone    = sched.OutcomeNone
	outcomeSuccess = sched.OutcomeSuccess
	outcomeFailed  = sched.OutcomeFailed

	// responseStartFactor times the first-response target is the time after which a
	// stream whose response has not begun is sent to another endpoint. It is above 1 so
	// that slow engines are not abandoned.
	responseStartFactor = 1.5

	// maxEndpointChanges bounds how often one stream changes its endpoint.
	maxEndpointChanges = 12
)

// startAttempt sends the stream to an endpoint that was not tried yet. It returns
// once one is reserved or none was found. The outcome arrives on c.reports.
func (c *streamCall) startAttempt(ctx context.Context) {
	lease, reason := c.s.place(ctx, c.in, c.tried)
	if lease == nil {
		c.opPending = true
		c.reports <- opReport{failReason: reason}
		return
	}
	c.sendTo(ctx, lease)
}

// sendTo sends the stream to a reserved endpoint. The outcome arrives on c.reports.
func (c *streamCall) sendTo(ctx context.Context, lease *sched.Lease) {
	c.opPending = true
	c.sends++
	if !c.at.begun {
		c.began = time.Now()
	}
	c.tried = append(c.tried, lease.Endpoint.ID)
	if c.in.Software == "" {
		c.s.recordBeginning(c.in.Call, lease.Endpoint.Software)
	}
	givenUp, giveUp := context.WithCancel(ctx)
	left := c.takeLeft()
	if timeout := c.responseStartTimeout(); timeout > 0 {
		c.giveUpSend, c.silenceLogged = giveUp, false
		if left != nil {
			timeout += maxHangupWait
		}
		c.stallTimer.Reset(timeout)
	}
	at := c.at
	go func() {
		defer giveUp()
		a, ready := c.s.recheckAfterHangup(ctx, left, lease, c.in)
		var src *source
		if ready {
			src, a = c.s.open(ctx, givenUp, lease, c.sendRequest(at.lastID, nil), at)
		}
		c.reports <- opReport{source: src, attempt: a}
	}()
}

// responseStartTimeout returns how long an endpoint may take to begin its response before
// another one is looked for, 0 for no limit. The limit applies only to a stream that may run
// again and has attempts left.
func (c *streamCall) responseStartTimeout() time.Duration {
	if c.in.Call.Kind != desc.KindResumableStream || c.sends >= max(1, c.in.Call.MaxAttempts) {
		return 0
	}
	return time.Duration(responseStartFactor * float64(c.in.Call.FirstResponseTarget))
}

func (c *streamCall) sendRequest(after string, cache *KVCacheRef) SendRequest {
	return SendRequest{
		Call: c.in.Call, Body: c.in.Body, CallerRequest: c.in.CallerRequest,
		TimeLeft: c.in.Call.Remaining(time.Now()), LastEventID: after, KVCache: cache,
	}
}

// loseSource abandons the current source and resumes the stream from a copy of the
// KV cache or, where the kind of call allows it, with another run.
func (c *streamCall) loseSource(ctx context.Context, outcome sched.Outcome, why string) (Result, bool) {
	c.reason = ReasonLost
	c.leaveSource(outcome, why)
	if c.opPending {
		return Result{}, false // the move in progress may still provide a source
	}
	if c.spareCopy != nil {
		c.resumeFromCopy(ctx, c.spareCopy)
		return Result{}, false
	}
	if c.retry(ctx, opReport{attempt: attempt{verdict: verdictLost}}) {
		return Result{}, false
	}
	return c.finalResult(ReasonLost), true
}

// resume continues the stream at the engine that holds a copy of its KV cache, unless that
// engine has begun to leave or wants no calls by then.
func (c *streamCall) resume(ctx context.Context, remote *remoteCopy) {
	target, cache := remote.target, remote.cache
	c.opPending = true
	c.tried = append(c.tried, target.Endpoint.ID)
	at, answering, left := c.at, c.answering(), c.takeLeft()
	go func() {
		left.await(ctx)
		if !remote.retryTaken && !c.takeRetry(ctx) {
			target.Release(time.Now(), outcomeNone)
			c.s.Log.Info("repeat_denied", zap.String("id", c.in.Call.ID), zap.String("service", c.in.Call.Service),
				zap.String("why", "retry budget used up, cannot resume at "+target.Endpoint.ID))
			c.reports <- opReport{failReason: ReasonBusy}
			return
		}
		if obstacle := remote.resumeObstacle(time.Now()); obstacle != "" {
			c.s.Log.Info("resume_denied", zap.String("id", c.in.Call.ID), zap.String("endpoint", target.Endpoint.ID),
				zap.String("why", obstacle), zap.Duration("usable_age", time.Since(remote.usable)))
			c.s.discardCopy(remote)
			c.reports <- opReport{failReason: ReasonLost, targetGone: true}
			return
		}
		reason := c.s.blocked(c.in.Call)
		if reason == ReasonCallBlocked || reason != ReasonNone && !answering {
			target.Release(time.Now(), outcomeNone)
			c.reports <- opReport{failReason: reason}
			return
		}
		src, a := c.s.open(ctx, context.Background(), target, c.sendRequest(at.lastID, &cache), at)
		c.reports <- opReport{source: src, attempt: a}
	}()
}

// takeRetry takes a retry from the budget, waiting up to retryBudgetWait for one:
// for a caller, a stream that resumes late is better than one that breaks off.
func (c *streamCall) takeRetry(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, retryBudgetWait)
	defer cancel()
	poll := time.NewTicker(retryBudgetPoll)
	defer poll.Stop()
	for !c.s.Retries.TryRetry(time.Now(), c.in.Call.Service) {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

const (
	retryBudgetPoll = 20 * time.Millisecond
	retryBudgetWait = 2 * time.Second // callers abandon a stream after a longer gap
	// moveRetryPause is the pause after a failed move before the next attempt.
	moveRetryPause = 60 * time.Millisecond
	// minStay is how long a generation stays at a new endpoint before it may be moved.
	// An engine has no KV cache to move before it has processed the prompt.
	minStay = 300 * time.Millisecond
)
