package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
)

// opReport is the outcome of a send or a move. A send sets source and attempt, with
// source nil if it failed. A move that succeeded sets movedCopy. failReason is set
// if no endpoint was found or the move failed.
type opReport struct {
	source       *source
	attempt      attempt
	movedCopy    *remoteCopy
	spareCopy    *remoteCopy // of a move that failed after its first copy
	failReason   Reason
	failedTarget string    // ID of an engine that the KV cache could not be copied to
	tryNext      bool      // another engine may be tried at once
	stop         stopState // of the run, after a move that failed
	targetGone   bool      // the engine with the copy must not get the request any more
}

// handleReport handles the outcome of a send or a move.
func (c *streamCall) handleReport(ctx context.Context, o opReport) (Result, bool) {
	switch {
	case o.source != nil:
		c.setSource(o.source)
		return Result{}, false
	case o.movedCopy != nil:
		c.movedCopy = o.movedCopy
		if c.source == nil { // its body ended before the move reported
			c.resumeFromCopy(ctx, c.movedCopy)
		}
		return Result{}, false
	case c.endedComplete(o.stop) && o.failReason != ReasonNone:
		c.spareCopy = o.spareCopy
		return c.complete(), true
	case o.failReason != ReasonNone:
		c.reason = o.failReason
		c.spareCopy = o.spareCopy
		c.recordStop(o.stop)
		c.finalMoveSent.Store(false)
		c.holdMoves(moveRetryPause)
		switch {
		case o.spareCopy != nil: // the next attempt updates this copy
		case o.failedTarget == "":
			c.failedTargets = nil // allow all engines again, as their free capacity changes
		default:
			c.failedTargets = append(c.failedTargets, o.failedTarget)
		}
	default:
		if o.attempt.crashed {
			c.crashes++
		}
		c.s.logAttempt(c.in.Call, o.attempt, len(c.tried))
		c.recordFailedSend(o.attempt)
		c.left = o.attempt.left
	}
	if c.source != nil {
		return Result{}, false // the move failed; the current source continues
	}
	if c.spareCopy != nil {
		c.resumeFromCopy(ctx, c.spareCopy)
		return Result{}, false
	}
	if o.targetGone {
		o = opReport{attempt: attempt{verdict: verdictLost}} // may run again elsewhere if it is repeatable
	}
	if c.retry(ctx, o) {
		return Result{}, false
	}
	return c.finalResult(c.reason), true
}

// recordFailedSend updates the call's state after a failed attempt.
func (c *streamCall) recordFailedSend(a attempt) {
	if a.mayHaveRun() && !c.at.begun {
		c.state = c.state.WithOffer().WithLost()
	}
	switch a.verdict {
	case verdictNotRun:
		c.reason = ReasonRefused
		if a.notReached() {
			c.sends--
		}
	case verdictWhole:
		c.whole = &a
	case verdictFailed:
		c.whole = &a
		c.reason = ReasonLost
	case verdictLost, verdictUnfit:
		c.reason = ReasonLost
	case verdictGood:
	}
}

// retry sends a stream without a source to another endpoint. It returns false if
// that is not allowed.
func (c *streamCall) retry(ctx context.Context, o opReport) bool {
	if o.failReason != ReasonNone || o.attempt.verdict == verdictWhole || ctx.Err() != nil {
		return false
	}
	if lease := c.successor; lease != nil {
		c.successor = nil
		c.s.Metrics.Retries.WithLabelValues("silent").Inc()
		c.sendTo(ctx, lease)
		return true
	}
	if c.retryObstacle() != "" || !o.attempt.notReached() && !c.s.Retries.TryRetry(time.Now(), c.in.Call.Service) {
		return false
	}
	c.s.Metrics.Retries.WithLabelValues(o.attempt.verdict.String()).Inc()
	c.startAttempt(ctx)
	return true
}

// retryObstacle returns why the call must not be sent to another endpoint, empty if it may.
func (c *streamCall) retryObstacle() string {
	call := c.in.Call
	mayRerun := !c.at.begun && c.state.MayOffer() || call.Kind == desc.KindResumableStream && !c.at.unknown
	switch {
	case !mayRerun:
		return "cannot run again"
	case c.sends >= max(1, call.MaxAttempts), len(c.tried) >= maxEndpointsTried(call)+maxEndpointChanges:
		return "no attempts left"
	case c.crashes >= maxCrashesPerCall:
		return "endpoints crashed"
	}
	return ""
}

// setSource makes src the current source and closes the one before it.
func (c *streamCall) setSource(src *source) {
	if c.source != nil {
		c.leaveSource(outcomeNone, "moved")
	}
	if c.at.begun {
		c.s.Metrics.Resumes.Inc()
		c.s.Log.Info("stream_resumed", zap.String("id", c.in.Call.ID), zap.String("endpoint", src.lease.Endpoint.ID), zap.String("software", src.lease.Endpoint.Software), zap.String("after", c.at.lastID))
	} else {
		c.at = c.at.withBegin()
		c.in.Sink.Begin(src.response)
		c.state = c.state.WithOffer().WithAccept()
	}
	c.s.discardCopy(c.spareCopy)
	c.releaseSuccessor() // the endpoint answered just as it was given up
	c.source, c.movedCopy, c.spareCopy, c.failedTargets = src, nil, nil, nil
	c.sourceEvents = 0
	c.finalMoveSent.Store(false)
	c.moveBegun, c.stop, c.sourceEnded = false, runNotStopped, false
	c.stays, c.leavingSince = false, time.Time{}
	c.holdMoves(minStay)
	c.resetStallTimer()
}
