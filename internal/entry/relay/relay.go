// Package relay carries one call from the entry to an agent and its answer
// back: it proposes, offers, resumes after faults, and knows at every moment
// what may truthfully be said of the call.
package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/conf/active"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/budget"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Deps are what the sessions of one entry share.
type Deps struct {
	Centre  string // data centre of the entry
	Silence time.Duration
	Store   *active.Store
	Roster  *roster.Roster
	Pool    *link.Pool
	Budget  *budget.Budget
	Trail   *audit.Trail
	Meter   *metric.Set
	Log     *zap.Logger
}

// Call is what the caller asked for.
type Call struct {
	ID        string // call number, see callid
	Service   spec.Service
	Workspace spec.Workspace
	Offer     *peerpb.Offer // without what an attempt adds
	Hold      bool          // the answer reaches the caller only when it is complete
}

// Event is one thing that happened to a call: Frame, Restart or End.
type Event interface{ event() }

// Frame is the next frame of the answer.
type Frame struct {
	ID   callid.ID // of the attempt that produced it
	Data []byte
}

// End is the last event of a call.
type End struct {
	Outcome    callst.Outcome
	Reason     string
	RetryAfter time.Duration
}

// Restart tells that the frames so far are void: the answer begins again. Only
// a call that is held until it is complete can restart.
type Restart struct{}

func (Frame) event()   {}
func (Restart) event() {}
func (End) event()     {}

const (
	recoverLimit  = 10 * time.Second // to find the fate of an attempt again
	quickLimit    = time.Second      // the same for a call that may simply run again
	recoverPause  = 50 * time.Millisecond
	longestPause  = time.Second
	ackEvery      = 32          // frames
	ackInterval   = time.Second // a third of the silence that a peer accepts
	inboxSize     = 64
	resumeSilence = 1400 * time.Millisecond // one heartbeat and its delay
	defaultRetry  = time.Second
)

// Session is one call under way. Its methods are called by one goroutine.
type Session struct {
	Deps
	call    Call
	state   callst.Call
	rng     *rand.Rand
	session string
	began   time.Time

	member  roster.Member // of the open attempt
	attempt callid.ID
	beat    uint64 // echoed in the offer of the open attempt
	link    *attached
	head    *peerpb.Head
	tried   map[string]bool // hosts that refused or lost this call
	offers  int
	retry   time.Duration // shortest time until a refusing endpoint may admit
	refusal string        // why the last endpoint refused
}

// New returns the session of a call that nothing was sent of.
func New(d Deps, c Call) *Session {
	state := callst.New(!c.Offer.NoRepeat)
	if c.Hold {
		state = state.WithBuffering()
	}
	return &Session{
		Deps: d, call: c, state: state, session: callid.NewCall(), began: time.Now(),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), tried: map[string]bool{},
	}
}

// Resume returns a session that continues an attempt whose first frames, below
// next, have reached the caller.
func Resume(d Deps, c Call, id callid.ID, next uint64) *Session {
	s := New(d, c)
	s.attempt = id
	s.state = s.state.WithOffer().WithAccept().WithRelayed(next)
	s.member, _ = d.Roster.Find(id.Host)
	return s
}

// Attempt returns the ID of the open or last attempt. Before the first it
// names no host.
func (s *Session) Attempt() callid.ID { return s.attempt }

// Head returns status and headers once a frame or a complete end was returned.
func (s *Session) Head() *peerpb.Head { return s.head }

// Relayed returns the number of frames returned by Next.
func (s *Session) Relayed() uint64 { return s.state.Relayed() }

// Next returns the next event of the call. After End it must not be called.
func (s *Session) Next(ctx context.Context) Event {
	for {
		if ctx.Err() != nil {
			return s.giveUp(ctx)
		}
		passed := s.state.Relayed()
		var ev Event
		switch {
		case s.link != nil:
			ev = s.receive(ctx)
		case s.state.Stage() != callst.StageUnsent:
			ev = s.recover(ctx)
		case !s.state.MayOffer():
			return s.end("the attempt was lost", 0)
		default:
			ev = s.propose(ctx)
		}
		if ev != nil {
			return ev
		}
		if s.state.Relayed() < passed {
			return Restart{}
		}
	}
}

// Close ends the session. An answer that is still running goes on for a while,
// so that its caller can resume it elsewhere.
func (s *Session) Close() {
	if s.link != nil {
		s.link.drop(s.Pool)
		s.link = nil
	}
}

// Cancel tells the agent that the caller has gone for good.
func (s *Session) Cancel(why string) {
	if s.link != nil {
		s.link.cancel(why)
	}
	s.Close()
}

// giveUp ends the call when its context does: the caller has gone or the
// deadline is over. A started answer that can be resumed is left running.
func (s *Session) giveUp(ctx context.Context) Event {
	resumable := s.call.Offer.Stream && s.state.Relayed() > 0
	if resumable {
		s.Close()
	} else {
		s.Cancel(context.Cause(ctx).Error())
	}
	return s.end(context.Cause(ctx).Error(), 0)
}

func (s *Session) end(reason string, after time.Duration) End {
	s.Close()
	e := End{Outcome: s.state.Outcome(), Reason: reason}
	if e.Outcome == callst.OutcomeNotRun {
		e.RetryAfter = max(after, s.retry)
		if e.RetryAfter == 0 {
			e.RetryAfter = defaultRetry
		}
	}
	s.Trail.Record(audit.Event{
		Kind: audit.KindEnded, Subject: s.subject(), Reason: string(e.Outcome) + " " + reason, Version: s.Store.View().Version(),
	})
	s.Meter.Outcomes.WithLabelValues(string(e.Outcome)).Inc()
	s.Meter.CallDuration.WithLabelValues(s.call.Service.Name).Observe(time.Since(s.began).Seconds())
	return e
}

func (s *Session) subject() string {
	if s.attempt.Host != "" {
		return s.attempt.String()
	}
	return s.call.ID
}

// receive handles one message of the open attempt.
func (s *Session) receive(ctx context.Context) Event {
	m, err := s.link.next(ctx, s.patience())
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		s.Log.Debug("session_lost", zap.String("attempt", s.subject()), zap.Error(err))
		s.Roster.Suspect(s.member.Host, "session lost")
		s.Close()
		return nil
	}
	switch body := m.Body.(type) {
	case *peerpb.RunDown_Refused:
		return s.refused(body.Refused)
	case *peerpb.RunDown_Accepted:
		s.accepted(body.Accepted)
	case *peerpb.RunDown_Head:
		s.head = body.Head
	case *peerpb.RunDown_Frame:
		return s.frame(body.Frame)
	case *peerpb.RunDown_End:
		return s.ended(body.End)
	case *peerpb.RunDown_Beat:
	}
	return nil
}

// patience is how long the agent may say nothing. Taking a started answer up
// again is cheap and safe, so it is done soon after a heartbeat is missing; an
// offer's fate costs a revoke and perhaps the call.
func (s *Session) patience() time.Duration {
	if s.state.Stage() == callst.StageAccepted {
		return min(s.Silence, resumeSilence)
	}
	return s.Silence
}

func (s *Session) accepted(a *peerpb.Accepted) {
	if s.state.Stage() == callst.StageOffered {
		s.Meter.Attempts.WithLabelValues("accepted").Inc()
		s.Meter.RouteDuration.Observe(time.Since(s.began).Seconds())
		s.Trail.Record(audit.Event{Kind: audit.KindAccepted, Subject: s.subject(), Reason: s.member.Host, Version: s.Store.View().Version()})
	}
	s.state = s.state.WithAccept()
	if id, err := callid.Parse(a.Attempt); err == nil {
		s.attempt = id // another one if the idempotency key was started before
	}
}

func (s *Session) frame(f *peerpb.Frame) Event {
	switch want := s.state.Relayed(); {
	case f.Index < want:
		return nil // sent again after a resume
	case f.Index > want:
		s.Close() // a gap: take the stream up again where it broke
		return nil
	}
	s.state = s.state.WithFrame(f.Index)
	s.link.relayed.Store(s.state.Relayed())
	if s.state.Relayed()%ackEvery == 0 {
		s.link.ack()
	}
	if s.crossRegion() {
		s.Meter.CrossRegionBytes.Add(float64(len(f.Data)))
	}
	return Frame{ID: s.attempt, Data: f.Data}
}

func (s *Session) crossRegion() bool {
	v := s.Store.View()
	here, _ := v.DataCentre(s.Centre)
	there, _ := v.DataCentre(s.member.DataCentre)
	return here.Region != there.Region
}

// ended settles the end of an attempt, which may be followed by another.
func (s *Session) ended(e *peerpb.End) Event {
	switch e.Outcome {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		if e.Total != s.state.Relayed() {
			s.Close()
			return nil
		}
		s.state = s.state.WithFinish()
		s.link.finish(s.Pool)
		s.link = nil
		return s.end("", 0)
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		s.state = s.state.WithNotExecuted()
	default:
		s.state = s.state.WithLost()
	}
	s.tried[s.member.Host] = true
	s.Close()
	if e.Rerun && s.state.MayOffer() && s.mayRetry("endpoint failed") {
		s.head = nil
		return nil
	}
	return s.end(e.Reason, 0)
}

// refused settles a refusal.
func (s *Session) refused(r *peerpb.Refused) Event {
	s.Meter.Attempts.WithLabelValues("refused").Inc()
	s.link.finish(s.Pool)
	s.link = nil
	s.tried[s.member.Host] = true
	s.noteRetry(r.RetryAfterMs)
	s.refusal = r.Reason
	switch r.Kind {
	case peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN:
		s.state = s.state.WithNotExecuted()
		if s.state.MayOffer() && s.mayRetry("refused") {
			return nil
		}
	case peerpb.RefusalKind_REFUSAL_KIND_NOT_FOUND:
		s.state = s.state.WithLost()
		if s.state.MayOffer() && s.mayRetry("answer lost") {
			return nil
		}
	default:
		s.state = s.state.WithLost()
	}
	return s.end(r.Reason, time.Duration(r.RetryAfterMs)*time.Millisecond)
}

// noteRetry keeps the shortest time until an endpoint may admit the call.
func (s *Session) noteRetry(ms uint32) {
	after := time.Duration(ms) * time.Millisecond
	if after > 0 && (s.retry == 0 || after < s.retry) {
		s.retry = after
	}
}

func (s *Session) mayRetry(why string) bool {
	if !s.Budget.Retry() {
		return false
	}
	s.Meter.Retries.WithLabelValues(why).Inc()
	return true
}
