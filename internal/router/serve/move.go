package serve

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// canMove reports whether the running generation can be moved to another engine.
func (c *streamCall) canMove() bool {
	engine := c.in.Service.Engine
	return engine != nil && engine.CanMoveMemory && c.at.begun && !c.at.unknown && c.in.Call.Kind == desc.KindStream && len(c.tried) < maxEndpointChanges
}

// startMove starts to move the running generation to another engine. The current
// one goes on generating until the final move.
func (c *streamCall) startMove(ctx context.Context) {
	m := moveAttempt{source: c.source, first: !c.moveBegun, failedTargets: slices.Clone(c.failedTargets), spareCopy: c.spareCopy, keepsCopy: c.stop != runNotStopped}
	if notice := c.s.outputs.notice(c.in.Call.Service); notice > 0 {
		m.engineEnd = c.leavingSince.Add(notice)
	}
	c.moveBegun, c.spareCopy = true, nil
	c.opPending = true
	go func() { c.reports <- c.move(ctx, m) }()
}

// moveAttempt is one attempt to move a generation off its endpoint. It copies what
// it needs of the streamCall's state, as it runs in another goroutine.
type moveAttempt struct {
	source        *source
	first         bool        // the first attempt to leave this endpoint
	failedTargets []string    // IDs of engines that the KV cache could not be copied to
	spareCopy     *remoteCopy // made by an earlier attempt, nil if none
	keepsCopy     bool        // the run may be stopped or lost, so that only the spare copy may be left of it
	engineEnd     time.Time   // when the endpoint is expected to end, zero if unknown
}

// awaitMoveTurn lets gateway processes whose names sort before this one's move
// their generations off the endpoint first. It waits until they have no calls there,
// but at most 1.5 times the expected duration of their moves and at most maxTurnWait.
// It returns false if ctx is done first.
func (c *streamCall) awaitMoveTurn(ctx context.Context, src *source) bool {
	began, id := time.Now(), src.lease.Endpoint.ID
	ahead := time.Duration(c.s.Scheduler.LoadOfEarlierPeers(began, id).MemoryTokens) * c.in.Service.Engine.MoveTimePerToken
	limit := min(maxTurnWait, ahead*3/2)
	ticker := time.NewTicker(turnPollInterval)
	defer ticker.Stop()
	for time.Since(began) < limit && c.s.Scheduler.LoadOfEarlierPeers(time.Now(), id).Calls > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

const (
	// maxTurnWait bounds the wait for other processes' moves. An endpoint may stop
	// within 1.5 s of its termination notice.
	maxTurnWait      = time.Second
	turnPollInterval = 20 * time.Millisecond // about the interval at which processes exchange their load
	// maxCatchUp bounds the time from the start of the first copy to the final move.
	maxCatchUp = 1200 * time.Millisecond
	// finalCopyTarget is how quick an incremental copy must be before the run is
	// stopped for the final one. A pause this short fits between two events.
	finalCopyTarget = 40 * time.Millisecond
	// finalMoveReserve is kept for the final move before the engine's expected end.
	finalMoveReserve = 250 * time.Millisecond
	// maxTargetTries is how many targets are tried at once, before the pause of
	// moveRetryPause. A refusal comes back within milliseconds.
	maxTargetTries = 4
)

// move does a live migration: it copies the KV cache while the generation runs,
// repeats this for what was added until little is left, then stops the run and
// copies the rest. The stream continues at the target after the source's remaining
// events were read.
func (c *streamCall) move(ctx context.Context, m moveAttempt) opReport {
	src := m.source
	if m.first && !c.awaitMoveTurn(ctx, src) {
		return opReport{failReason: doneReason(ctx)}
	}
	queued, memory := time.Now(), c.s.placementRequest(c.in, nil).MemoryTokens
	release, ahead, ok := c.s.moveLocks.acquire(ctx, src.lease.Endpoint.ID, memory, src.lease.IsAlone())
	if !ok {
		return opReport{failReason: doneReason(ctx)}
	}
	defer release()
	if m.first {
		c.s.Log.Info("move_turn", zap.String("id", c.in.Call.ID), zap.String("from", src.lease.Endpoint.ID),
			zap.Int("memory", memory), zap.Int("waiting_before", ahead), zap.Duration("waited", time.Since(queued)))
	}
	remote := m.spareCopy
	for tries := 1; ; tries++ {
		report := c.moveTo(ctx, m, remote)
		if !report.tryNext || tries == maxTargetTries || ctx.Err() != nil {
			return report
		}
		m.failedTargets, remote = append(m.failedTargets, report.failedTarget), nil
	}
}

// moveTo moves the generation to one target, that of the copy if it is not nil.
func (c *streamCall) moveTo(ctx context.Context, m moveAttempt, remote *remoteCopy) opReport {
	src := m.source
	if !src.lease.IsLeaving() {
		return c.moveCancelled(m, remote, "endpoint returned")
	}
	if remote == nil {
		var failed opReport
		if remote, failed = c.firstCopy(ctx, m); remote == nil {
			return failed
		}
	}
	if err := c.catchUp(ctx, m, remote); err != nil {
		return c.copyFailure(m, remote, err)
	}
	waitStart := time.Now()
	if obstacle := c.awaitTarget(ctx, src, remote); obstacle != "" {
		return c.moveCancelled(m, remote, obstacle)
	}
	if time.Since(waitStart) > finalCopyTarget { // there is more to copy, and the link may be busy by now
		if err := c.catchUp(ctx, m, remote); err != nil {
			return c.copyFailure(m, remote, err)
		}
	}
	stopStart := time.Now()
	targetWait := stopStart.Sub(waitStart)
	c.finalMoveSent.Store(true)
	handle, err := c.s.Upstream.Move(ctx, src.lease.Endpoint, c.in.Call.ID, remote.target.Endpoint, true)
	state := stateAfterStop(handle, err)
	if err != nil {
		c.logMoveFailed(src, remote.target, true, handle, err)
		markIfFull(remote.target, err)
	} else {
		c.s.Metrics.Handovers.WithLabelValues("moved").Inc()
		c.s.Log.Info("moved", zap.String("id", c.in.Call.ID), zap.String("from", src.lease.Endpoint.ID), zap.String("to", remote.target.Endpoint.ID),
			zap.Duration("copy_took", stopStart.Sub(remote.began)), zap.Duration("target_wait", targetWait), zap.Duration("stop_took", time.Since(stopStart)))
	}
	if state != runStopped {
		return opReport{failReason: ReasonLost, spareCopy: remote, stop: state}
	}
	remote.cache.Handle = handle
	return opReport{movedCopy: remote}
}

// catchUp repeats incremental copies until one is quick or maxCatchUp has passed.
// On a link that other processes' moves share, even a small copy is slow, and a
// stopped run would pause its stream for that time. Where the time of the engine's end
// is known, it takes as long as that allows instead.
func (c *streamCall) catchUp(ctx context.Context, m moveAttempt, remote *remoteCopy) error {
	until := remote.began.Add(maxCatchUp)
	if !m.engineEnd.IsZero() {
		until = m.engineEnd.Add(-finalMoveReserve)
	}
	for first := true; first || time.Now().Before(until); first = false {
		start := time.Now()
		if _, err := c.s.Upstream.Move(ctx, m.source.lease.Endpoint, c.in.Call.ID, remote.target.Endpoint, false); err != nil {
			return err
		}
		if time.Since(start) <= finalCopyTarget {
			return nil
		}
	}
	return nil
}

// copyFailure returns the report of a move that failed after its first copy and before the
// run was stopped. The copy is kept, so that the stream can resume from it if the source is
// lost; this counts as the same run.
func (c *streamCall) copyFailure(m moveAttempt, remote *remoteCopy, err error) opReport {
	c.logMoveFailed(m.source, remote.target, false, "", err)
	markIfFull(remote.target, err)
	if errors.Is(err, ErrMoveRefused) && !m.keepsCopy {
		c.s.discardCopy(remote)
		return opReport{failReason: ReasonLost, failedTarget: remote.target.Endpoint.ID, tryNext: true}
	}
	report := opReport{failReason: ReasonLost, spareCopy: remote}
	if errors.Is(err, ErrNotRunning) {
		report.stop = runNotThere
	}
	return report
}

// logMoveFailed records a move that failed. handle is what the engine keeps of a run that it
// has stopped all the same, empty if it has not said so.
func (c *streamCall) logMoveFailed(src *source, target *sched.Lease, final bool, handle string, err error) {
	c.s.Metrics.Handovers.WithLabelValues("failed").Inc()
	fields := []zap.Field{
		zap.String("id", c.in.Call.ID), zap.String("from", src.lease.Endpoint.ID), zap.String("to", target.Endpoint.ID), zap.Bool("final", final), zap.Error(err),
	}
	if final {
		fields = append(fields, zap.Stringer("run", stateAfterStop(handle, err)))
	}
	c.s.Log.Info("move_failed", fields...)
}

// resumeFromCopy continues the stream at the engine that holds the copy.
func (c *streamCall) resumeFromCopy(ctx context.Context, remote *remoteCopy) {
	c.movedCopy, c.spareCopy, c.sourceEnded = nil, nil, false
	if c.at.unknown { // an event without an ID came in after the move had begun
		c.s.discardCopy(remote)
		c.opPending = true
		c.reports <- opReport{failReason: ReasonLost}
		return
	}
	c.resume(ctx, remote)
}

// holdMoves prevents moves off the source for a while, even if its endpoint is
// leaving.
func (c *streamCall) holdMoves(d time.Duration) {
	c.moveOnHold = true
	c.holdTimer.Reset(d)
}

// discardUnusedCopy frees the copy of a failed move if the endpoint has returned meanwhile.
func (c *streamCall) discardUnusedCopy() {
	if c.spareCopy != nil && c.source != nil && !c.opPending && c.stop != runMaybeStopped && !c.source.lease.IsLeaving() {
		c.s.discardCopy(c.spareCopy)
		c.spareCopy = nil
	}
}

// discardCopy frees a copy that is not needed, as its engine would keep it for many
// seconds. It does nothing for nil.
func (s *Server) discardCopy(remote *remoteCopy) {
	if remote == nil {
		return
	}
	remote.target.Release(time.Now(), outcomeNone)
	go s.freeCopy(remote.target.Endpoint, remote.cache.Handle)
}

// freeCopy frees what an engine keeps under a handle. It tries again, as an engine may be at its
// limit of connections for a moment, and keeps for many seconds what is not freed.
func (s *Server) freeCopy(at endpt.Endpoint, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	for {
		err := s.Upstream.Free(ctx, at, handle)
		if err == nil {
			return
		}
		if !isNoAnswer(err) || !sleepUntilDone(ctx, freeRetryPause) {
			s.Log.Info("copy_not_freed", zap.String("endpoint", at.ID), zap.Error(err))
			return
		}
	}
}

// isNoAnswer reports whether an error means that the endpoint has not answered a request.
func isNoAnswer(err error) bool {
	var sendErr *httpc.Error
	return errors.As(err, &sendErr)
}

const (
	freeTimeout    = time.Second // engines respond to this request at once
	freeRetryPause = 150 * time.Millisecond
)
