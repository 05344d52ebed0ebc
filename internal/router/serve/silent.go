package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// stallGapFactor times the target between events is how long a source may send
	// none before another endpoint is looked for.
	stallGapFactor  = 5
	minStallTimeout = 900 * time.Millisecond // lower limit, and the timeout of routes without a target
	// silenceRecheck is the interval at which another endpoint is looked for again while a
	// silent one is waited for.
	silenceRecheck = 200 * time.Millisecond
)

// resetStallTimer restarts the timer that detects a source without events.
func (c *streamCall) resetStallTimer() {
	c.silenceLogged = false
	if c.stopSeeking != nil {
		c.stopSeeking() // its report follows
	}
	c.stallTimer.Reset(max(minStallTimeout, stallGapFactor*c.in.Call.EventGapTarget))
}

// handleStall handles an endpoint that has been silent for too long: within a stream or, if
// the send may be given up, before its response. Silence alone does not tell a dead endpoint
// from one that has preempted the call. So it is given up only once another one has been reserved
// that the call may go on at.
func (c *streamCall) handleStall(ctx context.Context) (Result, bool) {
	if c.movedCopy != nil && c.source != nil { // stopped by a move, but the connection did not close
		c.leaveSource(outcomeNone, "moved")
		c.resumeFromCopy(ctx, c.movedCopy)
		return Result{}, false
	}
	if c.opPending && c.giveUpSend == nil || !c.opPending && c.source == nil {
		c.resetStallTimer()
		return Result{}, false
	}
	obstacle := c.prepareReplacement(ctx)
	c.recordSilence(obstacle)
	if obstacle != "" {
		c.stallTimer.Reset(silenceRecheck)
		return Result{}, false
	}
	return c.giveUpEndpoint(ctx)
}

// giveUpEndpoint ends the send or the source at the silent endpoint.
func (c *streamCall) giveUpEndpoint(ctx context.Context) (Result, bool) {
	if c.source != nil {
		return c.loseSource(ctx, outcomeFailed, "silent")
	}
	c.giveUpSend()
	c.giveUpSend = nil // its report starts the send to the successor
	return Result{}, false
}

// prepareReplacement makes sure that the call can go on without its silent endpoint: from the
// spare copy of its KV cache, or at another endpoint, which it reserves with a retry from the
// budget. It returns why not, empty if it can.
func (c *streamCall) prepareReplacement(ctx context.Context) (obstacle string) {
	now := time.Now()
	if c.spareCopy != nil {
		select {
		case <-c.spareCopy.target.Leaving():
			return "the endpoint with its copy leaves"
		default:
		}
		switch {
		case c.at.unknown:
			return "position unknown"
		case !c.s.Retries.CanRetry(now, c.in.Call.Service):
			return "retry budget used up"
		}
		return ""
	}
	if obstacle := c.retryObstacle(); obstacle != "" {
		return obstacle
	}
	lease, reason := c.s.tryPlace(c.in, c.tried)
	if reason == ReasonBusy {
		c.seekReplacement(ctx)
	}
	if lease == nil {
		return reason.String()
	}
	return c.reserve(lease)
}

// reserve takes a retry from the budget for the send to a successor. It returns why there is
// none, empty if there is.
func (c *streamCall) reserve(lease *sched.Lease) (obstacle string) {
	if !c.s.Retries.TryRetry(time.Now(), c.in.Call.Service) {
		lease.Release(time.Now(), outcomeNone)
		return "retry budget used up"
	}
	c.successor = lease
	return ""
}

// seekReplacement queues the call for another endpoint, as long as a new call would wait for
// one. Later it would be ahead of calls that still have a chance to be in time. The lease, nil if
// the wait ends without one, arrives on c.found.
func (c *streamCall) seekReplacement(ctx context.Context) {
	now, req, options := time.Now(), c.s.placementRequest(c.in, c.tried), c.s.waitOptions(c.in.Call)
	_, limited := c.s.Scheduler.LimitedWait(now, req)
	if c.stopSeeking != nil || limited || !now.Before(options.Deadline) || c.s.Scheduler.Usable(now, req) == 0 {
		return
	}
	ctx, c.stopSeeking = context.WithCancel(ctx)
	go func() { c.found <- c.s.Scheduler.Wait(ctx, now, req, options) }()
}

// handleFound handles the end of the wait for another endpoint.
func (c *streamCall) handleFound(ctx context.Context, lease *sched.Lease) (Result, bool) {
	c.stopSeeking()
	c.stopSeeking = nil
	if lease == nil {
		return Result{}, false
	}
	silent := c.silenceLogged && (c.source != nil || c.giveUpSend != nil)
	if !silent || c.retryObstacle() != "" || c.s.sendBarrier(c.in.Call) != ReasonNone {
		lease.Release(time.Now(), outcomeNone)
		return Result{}, false
	}
	if c.reserve(lease) != "" {
		return Result{}, false
	}
	c.recordSilence("")
	return c.giveUpEndpoint(ctx)
}

// recordSilence logs that the endpoint is silent and what follows, once for each decision. An
// empty obstacle means that it is given up.
func (c *streamCall) recordSilence(obstacle string) {
	decision := "waits"
	if obstacle == "" {
		decision = "given_up"
	} else if c.silenceLogged {
		return
	}
	c.silenceLogged = true
	c.s.Metrics.SilentEndpoints.WithLabelValues(decision).Inc()
	c.s.Log.Info("stream_silent", zap.String("id", c.in.Call.ID), zap.String("service", c.in.Call.Service), zap.String("endpoint", c.tried[len(c.tried)-1]),
		zap.String("decision", decision), zap.String("why", obstacle), zap.String("after", c.at.lastID), zap.Int("sends", c.sends),
		zap.Int("attempts_allowed", max(1, c.in.Call.MaxAttempts)), zap.Bool("has_copy", c.spareCopy != nil), zap.Duration("age", time.Since(c.in.Call.Arrived)))
}

// endSearch ends the wait for another endpoint at the end of the call.
func (c *streamCall) endSearch() {
	c.releaseSuccessor()
	if c.stopSeeking == nil {
		return
	}
	c.stopSeeking()
	go func() {
		if lease := <-c.found; lease != nil {
			lease.Release(time.Now(), outcomeNone)
		}
	}()
}

// releaseSuccessor frees the endpoint that was reserved for the next send, if any.
func (c *streamCall) releaseSuccessor() {
	if c.successor != nil {
		c.successor.Release(time.Now(), outcomeNone)
		c.successor = nil
	}
}
