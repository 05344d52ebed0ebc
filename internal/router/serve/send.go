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
	c.opPending = true
	c.sends++
	tried := append([]string(nil), c.tried...)
	in, at := c.in, c.at
	timeout := c.responseStartTimeout()
	placed := make(chan string, 1)
	go func() {
		lease, reason := c.s.place(ctx, in, tried)
		if lease == nil {
			close(placed)
			c.reports <- opReport{failReason: reason}
			return
		}
		if in.Software == "" {
			c.s.recordBeginning(in.Call, lease.Endpoint.Software)
		}
		placed <- lease.Endpoint.ID
		src, a := c.s.open(ctx, lease, c.sendRequest(at.lastID, nil), at, timeout)
		c.reports <- opReport{source: src, attempt: a}
	}()
	if id, ok := <-placed; ok {
		c.tried = append(c.tried, id)
		return
	}
	c.sends--
}

// responseStartTimeout returns how long an endpoint may take to begin its response, 0 for
// no limit. The limit applies only to a stream that may run again and has attempts
// left.
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
func (c *streamCall) loseSource(ctx context.Context, outcome sched.Outcome) (Result, bool) {
	c.reason = ReasonLost
	c.source.close(time.Now(), outcome)
	c.source = nil
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

// resume continues the stream at the engine of the lease, which holds a copy of
// its KV cache.
func (c *streamCall) resume(ctx context.Context, target *sched.Lease, cache KVCacheRef) {
	c.opPending = true
	c.tried = append(c.tried, target.Endpoint.ID)
	at, answering := c.at, c.answering()
	go func() {
		if !c.takeRetry(ctx) {
			target.Release(time.Now(), outcomeNone)
			c.s.Log.Info("repeat_denied", zap.String("id", c.in.Call.ID), zap.String("service", c.in.Call.Service),
				zap.String("why", "retry budget used up, cannot resume at "+target.Endpoint.ID))
			c.reports <- opReport{failReason: ReasonBusy}
			return
		}
		reason := c.s.blocked(c.in.Call)
		if reason == ReasonCallBlocked || reason != ReasonNone && !answering {
			target.Release(time.Now(), outcomeNone)
			c.reports <- opReport{failReason: reason}
			return
		}
		src, a := c.s.open(ctx, target, c.sendRequest(at.lastID, &cache), at, 0)
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
	retryBudgetPoll = 100 * time.Millisecond
	retryBudgetWait = 2 * time.Second // callers abandon a stream after a longer gap
	// moveRetryPause is the pause after a failed move before the next attempt.
	moveRetryPause = 60 * time.Millisecond
	// minStay is how long a generation stays at a new endpoint before it may be moved.
	// An engine has no KV cache to move before it has processed the prompt.
	minStay = 300 * time.Millisecond
)
