package serve

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// leftAtEnd is why an endpoint is left at the end of a call, or for a faster one.
const leftAtEnd = "call over"

// ending is the end of the work of an endpoint that was left.
type ending struct {
	hangup   *httpc.Hangup
	endpoint endpt.Endpoint
	stopped  chan struct{} // closed once the endpoint has confirmed that it has stopped the run
}

// leave records that an endpoint was left that may still work on a call. h and the result are nil
// if there is nothing that it could still work on.
func (s *Server) leave(call *desc.Call, endpoint endpt.Endpoint, why string, h *httpc.Hangup) *ending {
	if h == nil {
		return nil
	}
	go func() {
		<-h.Done()
		s.Metrics.EndpointsLeft.WithLabelValues(string(h.Result())).Inc()
		s.Log.Info("endpoint_left", zap.String("id", call.ID), zap.String("service", call.Service), zap.String("endpoint", endpoint.ID),
			zap.String("address", endpoint.Address), zap.String("why", why), zap.String("result", string(h.Result())), zap.Duration("took", h.Took()))
	}()
	return &ending{hangup: h, endpoint: endpoint, stopped: make(chan struct{})}
}

const (
	// stopDelay is for an endpoint that was still sending to notice that its connection was reset.
	stopDelay = 150 * time.Millisecond
	// maxStops bounds the runs that are being stopped at the same time. Many streams may leave an
	// endpoint that stands still.
	maxStops = 32
)

// stopRun makes an endpoint that has not confirmed its end stop the run: some notice a closed
// connection only when they write, or never. It moves the run to the target, with a final move,
// closes e.stopped once that has stopped it, and frees the copy. Without a target it takes one that
// has room.
func (s *Server) stopRun(in Input, e *ending, target *endpt.Endpoint) {
	if e == nil || in.Service.Engine == nil || !in.Service.Engine.CanMoveMemory || !in.Call.Kind.Streams() {
		return
	}
	in.Body, in.CallerRequest, in.Sink = nil, nil, nil // the call may be over, and their memory is not counted any more
	<-e.hangup.Done()
	switch e.hangup.Result() {
	case httpc.HangupUnanswered:
	case httpc.HangupSending:
		time.Sleep(stopDelay)
	default:
		return
	}
	began := time.Now()
	result, err := s.moveAway(in, e, target)
	s.Metrics.RunStops.WithLabelValues(result).Inc()
	s.Log.Info("run_stop", zap.String("id", in.Call.ID), zap.String("service", in.Call.Service), zap.String("endpoint", e.endpoint.ID),
		zap.String("result", result), zap.Duration("took", time.Since(began)), zap.Error(err))
}

// moveAway is the move of stopRun. It returns what came of it: that the endpoint does not run the
// call confirms nothing, as it may not have read the request, or have preempted the run.
func (s *Server) moveAway(in Input, e *ending, target *endpt.Endpoint) (result string, err error) {
	if !s.stops.TryAcquire(1) {
		return "skipped", nil
	}
	defer s.stops.Release(1)
	if target == nil {
		lease := s.reserveTarget(in, e.endpoint, nil)
		if lease == nil {
			return "skipped", nil
		}
		lease.Release(time.Now(), outcomeNone) // not held, as nothing moves unless the run is still alive
		target = &lease.Endpoint
	}
	handle, err := s.Upstream.Move(context.Background(), e.endpoint, in.Call.ID, *target, true)
	switch {
	case handle != "":
		s.freeCopy(e.endpoint, handle) // before the next send, which needs the room at the target
		close(e.stopped)
		return "stopped", err
	case errors.Is(err, ErrNotRunning):
		return "not_running", nil
	}
	return "failed", err
}

// unansweredWait is for an endpoint that did not close its side although its host knows of the
// end: it may stand still, and goes on with the call, or begins it, for a moment when it wakes.
const unansweredWait = 600 * time.Millisecond

// maxHangupWait is the longest time that ending.await takes.
const maxHangupWait = httpc.HangupTimeout + unansweredWait

// await waits until the endpoint has ended its work, as far as that can be known, so that the call
// does not run at two. e may be nil.
func (e *ending) await(ctx context.Context) {
	if e == nil {
		return
	}
	select {
	case <-e.hangup.Done():
	case <-ctx.Done():
		return
	}
	if e.hangup.Result() != httpc.HangupUnanswered {
		return
	}
	select {
	case <-e.stopped:
	case <-time.After(unansweredWait):
	case <-ctx.Done():
	}
}

// recheckAfterHangup sees to the end of what was left, waits for it, and then looks again at the
// lease for the next send: the process may have begun to stop, or its endpoint to leave, meanwhile.
// If the call must not be sent there any more, it releases the lease and returns false with an
// attempt that was not sent. left may be nil.
func (s *Server) recheckAfterHangup(ctx context.Context, left *ending, lease *sched.Lease, in Input) (unsent attempt, ready bool) {
	if left == nil {
		return unsent, true
	}
	go s.stopRun(in, left, &lease.Endpoint)
	left.await(ctx)
	var obstacle string
	if reason := s.sendBarrier(in.Call); reason != ReasonNone {
		obstacle = reason.String()
	} else if state := lease.CountSend(time.Now()); state != sched.TargetUsable {
		obstacle = state.String()
	} else {
		return unsent, true
	}
	lease.Release(time.Now(), outcomeNone)
	return attempt{lease: lease, verdict: verdictNotRun, err: &httpc.Error{Op: "wait", Kind: httpc.KindUnsent, Err: errors.New(obstacle)}}, false
}

// leaveAttempt ends and records what may be left of a failed attempt. It returns that end, which
// the next send waits for, nil if there is nothing to wait for.
func (s *Server) leaveAttempt(ctx context.Context, call *desc.Call, a attempt, why string) *ending {
	var h *httpc.Hangup
	var sendErr *httpc.Error
	switch {
	case a.hangup != nil:
		h = a.hangup
	case a.response != nil:
		h = a.response.Body.Hangup()
	case errors.As(a.err, &sendErr):
		h = sendErr.Hangup
	}
	if ctx.Err() != nil {
		why = leftAtEnd
	}
	return s.leave(call, a.lease.Endpoint, why, h)
}

// leaveSource ends the work of the current source. The next send waits for that end.
func (c *streamCall) leaveSource(outcome sched.Outcome, why string) {
	h := c.source.close(time.Now(), outcome)
	c.left = c.s.leave(c.in.Call, c.source.lease.Endpoint, why, h)
	c.source = nil
}

// takeLeft returns the end of the last source or send for the next send to wait for, nil if there
// is nothing to wait for.
func (c *streamCall) takeLeft() *ending {
	e := c.left
	c.left = nil
	return e
}
