package serve

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// remoteCopy is a copy of a running generation's KV cache at another engine, with
// the lease on that engine's capacity.
type remoteCopy struct {
	cache  KVCacheRef
	target *sched.Lease
	began  time.Time
	usable time.Time // when the target was last found to be usable
	// retryTaken means that the retry for the request that follows was taken from the budget.
	retryTaken bool
}

// firstCopy finds an engine for the generation and copies its KV cache there. If
// that fails it returns nil and the report for the stream's event loop.
func (c *streamCall) firstCopy(ctx context.Context, m moveAttempt) (*remoteCopy, opReport) {
	from := m.source.lease.Endpoint
	target := c.s.reserveTarget(c.in, from, m.failedTargets)
	if target == nil {
		if m.first {
			c.s.Log.Info("no_target", zap.String("id", c.in.Call.ID), zap.String("from", from.ID),
				zap.String("region", from.Region), zap.Int("tokens", c.in.Call.EstimatedTokens()))
		}
		return nil, opReport{failReason: ReasonNoEndpoint}
	}
	began := time.Now()
	// Not cancelled when the call ends: the copy can only be freed with the handle
	// that Move returns.
	handle, err := c.s.Upstream.Move(context.WithoutCancel(ctx), from, c.in.Call.ID, target.Endpoint, false)
	if err != nil {
		c.logMoveFailed(m.source, target, false, "", err)
		markIfFull(target, err)
		target.Release(time.Now(), outcomeNone)
		return nil, opReport{failReason: ReasonLost, failedTarget: target.Endpoint.ID, tryNext: errors.Is(err, ErrMoveRefused)}
	}
	return &remoteCopy{cache: KVCacheRef{Address: from.Address, Handle: handle}, target: target, began: began, usable: began}, opReport{}
}

// reserveTarget reserves capacity for the generation at an engine other than its
// source and the excluded ones. It returns nil if there is none.
func (s *Server) reserveTarget(in Input, source endpt.Endpoint, exclude []string) *sched.Lease {
	req := s.placementRequest(Input{Call: in.Call, Service: in.Service, Software: source.Software, pauses: in.pauses}, append(exclude, source.ID))
	req.Purpose, req.Source = sched.PurposeMove, source
	target, ok := s.Scheduler.TryPlace(time.Now(), req)
	if !ok {
		return nil
	}
	return target
}

// markIfFull records that the target refused a copy for lack of room, if err says so.
func markIfFull(target *sched.Lease, err error) {
	if errors.Is(err, ErrNoRoom) {
		target.MarkFull(time.Now())
	}
}

// maxQuietWait bounds the wait for the target's prompts, as other streams wait for this move.
// In a model of a region, waiting longer saved no more pauses.
const maxQuietWait = 100 * time.Millisecond

// awaitTarget waits until the target may get the request that follows the final move, counts
// that request and takes its retry from the budget, as the run still goes on. For a short time
// it also waits for prompts at the target, behind which the stream would pause. It returns why the run must not be stopped for this target, empty if
// it may be.
func (c *streamCall) awaitTarget(ctx context.Context, src *source, remote *remoteCopy) (obstacle string) {
	began := time.Now()
	for {
		now := time.Now()
		if !src.lease.IsLeaving() {
			return "endpoint returned"
		}
		if now.Sub(began) < maxQuietWait && remote.target.PrefillAhead() > 0 {
			if !sleepUntilDone(ctx, turnPollInterval) {
				return doneReason(ctx).String()
			}
			continue
		}
		state := remote.target.TargetState(now)
		if state == sched.TargetUsable && (remote.retryTaken || c.s.Retries.CanRetry(now, c.in.Call.Service)) {
			state = remote.target.CountSend(now)
			remote.retryTaken = remote.retryTaken || state == sched.TargetUsable && c.s.Retries.TryRetry(now, c.in.Call.Service)
		}
		switch {
		case state == sched.TargetUsable && remote.retryTaken:
			remote.usable = now
			return ""
		case state != sched.TargetUsable && state != sched.TargetCold:
			return "target " + state.String()
		case !sleepUntilDone(ctx, turnPollInterval):
			return doneReason(ctx).String()
		}
	}
}

// sleepUntilDone waits for a duration. It returns false if ctx is done first.
func sleepUntilDone(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// moveCancelled frees the copy of a move that does not go on, unless it may be all that is left
// of the run, and returns the report. The attempt has not stopped the run.
func (c *streamCall) moveCancelled(m moveAttempt, remote *remoteCopy, why string) opReport {
	src := m.source
	c.s.Metrics.Handovers.WithLabelValues("cancelled").Inc()
	fields := []zap.Field{zap.String("id", c.in.Call.ID), zap.String("from", src.lease.Endpoint.ID), zap.String("why", why)}
	report := opReport{failReason: ReasonLost}
	if remote != nil {
		fields = append(fields, zap.String("to", remote.target.Endpoint.ID), zap.Duration("copy_age", time.Since(remote.began)))
	}
	switch {
	case remote == nil:
	case m.keepsCopy:
		report.spareCopy = remote
	default:
		if src.lease.IsLeaving() {
			report.failedTarget, report.tryNext = remote.target.Endpoint.ID, true
		}
		c.s.discardCopy(remote)
	}
	c.s.Log.Info("move_cancelled", fields...)
	return report
}

// maxTargetAge is how long ago a target must have been found usable for a request to follow
// although it leaves. The stream would be lost otherwise, and an endpoint serves for longer
// after its notice than this and the delay of the notice together.
const maxTargetAge = time.Second

// resumeObstacle returns why the request must not be sent to the engine that holds the copy,
// empty if it may.
func (r *remoteCopy) resumeObstacle(now time.Time) string {
	switch state := r.target.TargetState(now); {
	case state == sched.TargetClosed, state == sched.TargetLeaving && now.Sub(r.usable) > maxTargetAge:
		return "target " + state.String()
	}
	return ""
}
