package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/order"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// avgOutputShare is the fraction of its expected output tokens that a running
	// generation holds in the KV cache, averaged over the run.
	avgOutputShare = 0.6
	// shortOutputTokens is the expected output up to which a call counts as short. It is
	// generated within half of an engine's notice at the usual 7 to 15 ms a token.
	shortOutputTokens = 64
	// streamWaitFactor times the first-response target is how long a stream waits
	// for an endpoint. Callers abandon a stream after four times the target.
	streamWaitFactor = 3
	// unaryWaitShare is the fraction of the target that a unary call waits for
	// an endpoint. The endpoint needs the rest to respond.
	unaryWaitShare = 0.8
	// limitedWaitShare is the fraction of its wait that a call may be queued for if all its
	// endpoints name limits. Their rates tell early that there will be no room.
	limitedWaitShare = 0.6
	// latestStartShare is the fraction of the target within which a call must be
	// placed to still meet it. The endpoint needs the rest to respond.
	latestStartShare = 0.7
)

// placementRequest returns what the call requires of an endpoint.
func (s *Server) placementRequest(in Input, exclude []string) sched.Request {
	call, service := in.Call, in.Service
	req := sched.Request{
		Software: in.Software,
		Service:  call.Service, Regions: call.Regions, Exclude: exclude, MaxColdCallsPerSecond: service.MaxColdCallsPerSecond,
		Pauses: in.pauses, Repeatable: s.mayRepeat(call, len(exclude)),
	}
	if service.Engine != nil {
		req.EngineTokens, req.PromptTokens = service.Engine.MemoryTokens, call.PromptTokens
		output := call.EstimatedTokens() - call.PromptTokens
		req.Movable, req.Short = service.Engine.CanMoveMemory, output > 0 && output <= shortOutputTokens
		req.MemoryTokens = call.PromptTokens + int(avgOutputShare*float64(output))
	}
	req.Work = order.Work{
		Service: call.Service, Route: call.Route, Workspace: call.Workspace, Priority: call.Priority, Tokens: req.MemoryTokens, Run: s.runs.expected(call.Route),
	}
	if service.Engine != nil {
		now := time.Now()
		req.Short = req.Short || s.Scheduler.IsShort(now, req.Work)
		req.MaxUnreadTokens = s.reading.maxUnread(now, call, req.Short)
	}
	return req
}

// place reserves capacity for the call at an endpoint. If none has free capacity,
// it waits for some.
func (s *Server) place(ctx context.Context, in Input, exclude []string) (*sched.Lease, Reason) {
	if reason := s.sendBarrier(in.Call); reason != ReasonNone {
		return nil, reason
	}
	lease, reason := s.awaitPlace(ctx, in, exclude)
	if lease == nil {
		return nil, reason
	}
	if reason := s.sendBarrier(in.Call); reason != ReasonNone { // since it began to wait
		lease.Release(time.Now(), outcomeNone)
		return nil, reason
	}
	s.notePauseRisk(in, lease.Endpoint)
	s.noteSuspect(in.Call, lease.Endpoint, len(exclude))
	return lease, ReasonNone
}

// sendBarrier returns why the call must not be sent to any endpoint now, if so.
func (s *Server) sendBarrier(call *desc.Call) Reason {
	if s.stopping.Load() {
		return ReasonStopping
	}
	return s.blocked(call)
}

func (s *Server) awaitPlace(ctx context.Context, in Input, exclude []string) (*sched.Lease, Reason) {
	now := time.Now()
	req := s.placementRequest(in, exclude)
	if len(exclude) == 0 {
		s.Scheduler.NoteCall(now, req)
	}
	options := s.waitOptions(in.Call)
	req.StartBy = options.StartBy
	switch d := decide(s.Scheduler, now, req, options).(type) {
	case placed:
		return d.lease, ReasonNone
	case refused:
		s.recordRefusal(in.Call, d)
		return nil, d.reason
	case queues:
		return s.awaitTurn(ctx, now, in.Call, req, d)
	}
	return nil, ReasonNone
}

// decision is what is decided about a call that looks for an endpoint.
type decision interface{ decision() }

// placed means that the call has an endpoint.
type placed struct{ lease *sched.Lease }

// queues means that the call waits for an endpoint.
type queues struct {
	options sched.WaitOptions
	usable  int // endpoints
}

// refused means that the call gets no endpoint in time.
type refused struct {
	reason   Reason
	usable   int            // endpoints
	wait     time.Duration  // of ReasonLimited: expected
	forecast order.Forecast // of ReasonBusy
}

func (placed) decision()  {}
func (queues) decision()  {}
func (refused) decision() {}

// decide places a call or decides whether it waits or is refused. It counts and logs nothing, so
// that explanations use it as well.
func decide(scheduler *sched.Scheduler, now time.Time, req sched.Request, options sched.WaitOptions) decision {
	if !scheduler.MustQueue(now, req.Service, options) {
		if lease, ok := scheduler.TryPlace(now, req); ok {
			return placed{lease}
		}
	}
	usable := scheduler.Usable(now, req)
	if usable == 0 {
		return refused{reason: ReasonNoEndpoint}
	}
	if wait, limited := scheduler.LimitedWait(now, req); limited {
		options.Deadline = now.Add(time.Duration(limitedWaitShare * float64(options.Deadline.Sub(now))))
		if !scheduler.MayQueue(now, req, options.Priority, options.Deadline.Sub(now)) {
			return refused{reason: ReasonLimited, usable: usable, wait: wait}
		}
	}
	if f := scheduler.Forecast(now, req, options); f.Known && now.Add(f.Least).After(options.Deadline) {
		return refused{reason: ReasonBusy, usable: usable, forecast: f}
	}
	return queues{options, usable}
}

// recordRefusal counts and logs that a call is refused without a wait.
func (s *Server) recordRefusal(call *desc.Call, d refused) {
	switch d.reason {
	case ReasonLimited:
		s.recordLimited(call, d.usable, d.wait)
	case ReasonBusy:
		s.Metrics.EarlyRefusals.WithLabelValues("no_prospect").Inc()
		s.logNoPlace(call, ReasonBusy, d.usable, append(forecastFields(d.forecast), zap.Bool("early", true))...)
	default:
		s.logNoPlace(call, d.reason, d.usable)
	}
}

// awaitTurn queues a call until an endpoint has room for it.
func (s *Server) awaitTurn(ctx context.Context, now time.Time, call *desc.Call, req sched.Request, d queues) (*sched.Lease, Reason) {
	d.options.Trace = &sched.Trace{}
	lease := s.Scheduler.Wait(ctx, now, req, d.options)
	s.recordWait(call, now, lease, d.options.Trace)
	switch {
	case lease != nil:
		return lease, ReasonNone
	case doneReason(ctx) != ReasonNone:
		return nil, doneReason(ctx)
	}
	reason, wait := unplaced(s.Scheduler, time.Now(), req)
	if reason == ReasonLimited {
		s.recordLimited(call, d.usable, wait)
		return nil, reason
	}
	s.logNoPlace(call, reason, d.usable)
	return nil, reason
}

// unplaced returns why the wait of a call ended without a place, and when there may be one if
// that is known from limits.
func unplaced(scheduler *sched.Scheduler, now time.Time, req sched.Request) (Reason, time.Duration) {
	if wait, limited := scheduler.LimitedWait(now, req); limited {
		return ReasonLimited, wait
	}
	return ReasonBusy, 0
}

// recordWait records why a call waited, and how it ended.
func (s *Server) recordWait(call *desc.Call, since time.Time, lease *sched.Lease, t *sched.Trace) {
	switch {
	case t.Full:
		s.Metrics.EarlyRefusals.WithLabelValues("queue_full").Inc()
		return
	case !t.Queued:
		return
	}
	s.Metrics.QueuedCalls.Inc()
	s.Metrics.PassedOver.Add(float64(t.Overtaken))
	s.Metrics.KeptTokens.Set(float64(t.Kept))
	if t.ForKept {
		s.Metrics.KeptWaits.Inc()
	}
	if t.Behind != sched.QueuedBehindNone {
		s.Metrics.QueuedDespiteRoom.WithLabelValues(string(t.Behind)).Inc()
	}
	s.Log.With(append(forecastFields(t.Forecast), turnFields(t)...)...).With(shareFields(t.Shares)...).Info("call_waited", zap.String("id", call.ID), zap.String("service", call.Service), zap.String("route", call.Route),
		zap.Int("priority", call.Priority), zap.Bool("placed", lease != nil), zap.Duration("waited", time.Since(since)), zap.Int("passed_over", t.Overtaken), zap.Bool("held_room", t.Held),
		zap.Duration("expected_run", s.runs.expectedOf(call)), zap.Duration("route_run", s.runs.expected(call.Route)), zap.Int("kept_tokens", t.Kept), zap.Int("kept_for_larger", t.KeptLarger), zap.Bool("for_kept", t.ForKept), zap.Int("kept_for_calls", t.Need.Calls), zap.Duration("kept_for_age", t.Need.Age))
}

func forecastFields(f order.Forecast) []zap.Field {
	return []zap.Field{zap.Int("ahead", f.Ahead), zap.Bool("speed_known", f.Known), zap.Duration("expected_wait", f.Expected), zap.Duration("least_wait", f.Least), zap.Duration("observed_for", f.Age)}
}

// turnFields tells how a waiting call depended on the calls that wait at other processes.
func turnFields(t *sched.Trace) []zap.Field {
	return []zap.Field{
		zap.String("queued_behind", string(t.Behind)), zap.Int("turns_left", t.Turns.Times), zap.Duration("turn_wait", t.Turns.Total),
		zap.String("last_ahead", t.Turns.Ahead), zap.Duration("last_ahead_age", t.Turns.Age),
	}
}

func shareFields(x sched.Shares) []zap.Field {
	return []zap.Field{zap.Float64("excess", x.Excess), zap.Float64("own_excess", x.Own), zap.Int("share_reports", x.Reports), zap.Duration("shares_age", x.Age)}
}

// recordLimited records that a call was not placed because all its endpoints name limits.
func (s *Server) recordLimited(call *desc.Call, usable int, wait time.Duration) {
	s.Metrics.LimitedRefusals.Inc()
	s.logNoPlace(call, ReasonLimited, usable, zap.Duration("expected_wait", wait))
}

// tryPlace is place without waiting.
func (s *Server) tryPlace(in Input, exclude []string) (*sched.Lease, Reason) {
	if reason := s.sendBarrier(in.Call); reason != ReasonNone {
		return nil, reason
	}
	lease, ok := s.Scheduler.TryPlace(time.Now(), s.placementRequest(in, exclude))
	if !ok {
		return nil, ReasonBusy
	}
	s.noteSuspect(in.Call, lease.Endpoint, len(exclude))
	return lease, ReasonNone
}

// logNoPlace logs the state in which no endpoint was found for a call.
func (s *Server) logNoPlace(call *desc.Call, reason Reason, usable int, more ...zap.Field) {
	s.Log.With(more...).Info("no_place", zap.String("id", call.ID), zap.String("service", call.Service), zap.Stringer("why", reason),
		zap.Int("usable_endpoints", usable), zap.Int("waiting", s.Scheduler.Waiting(call.Service)), zap.Strings("regions", call.Regions),
		zap.Strings("out_of_service", s.Scheduler.Evacuated()), zap.Int("tokens", call.EstimatedTokens()),
		zap.Duration("age", time.Since(call.Arrived)), zap.Uint64("version", call.Version))
}

// waitOptions returns the call's priority, time limits and run time for the wait queue.
func (s *Server) waitOptions(call *desc.Call) sched.WaitOptions {
	limit := time.Duration(unaryWaitShare * float64(call.FirstResponseTarget))
	if call.Kind.Streams() {
		limit = streamWaitFactor * call.FirstResponseTarget
	}
	until := call.Arrived.Add(limit)
	if call.Deadline.Before(until) {
		until = call.Deadline
	}
	return sched.WaitOptions{
		Priority: call.Priority,
		StartBy:  call.Arrived.Add(time.Duration(latestStartShare * float64(call.FirstResponseTarget))),
		Deadline: until, Workspace: call.Workspace, Run: s.runs.expectedOf(call),
	}
}
