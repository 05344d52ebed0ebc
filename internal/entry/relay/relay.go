// Package relay forwards a call from the entry to an agent and relays the
// response. It probes candidate agents, offers the call to one of them, retries
// or resumes after failures, and tracks which outcome may be reported to the
// caller.
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
	"github.com/mimosalock/mimosalock/internal/entry/recall"
	"github.com/mimosalock/mimosalock/internal/entry/retry"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Deps holds the dependencies shared by all sessions of an entry.
type Deps struct {
	DataCentre     string        // data centre of the entry
	SilenceTimeout time.Duration // an agent that sends nothing for this long is considered lost
	Store          *active.Store
	Roster         *roster.Roster
	Pool           *link.Pool
	Retries        *retry.Budget
	Recaller       *recall.Recaller
	Blame          *blame.Ledger // of prompt parts that engines crash under
	Trail          *audit.Trail
	Metrics        *metric.Set
	Log            *zap.Logger
}

// Call is a caller's request.
type Call struct {
	ID        string // from callid.NewCall
	Service   spec.Service
	Workspace spec.Workspace
	Offer     *peerpb.Offer // template; sendOffer fills in the fields of each attempt
	Buffered  bool          // the caller receives the response only once it is complete
	// PromptParts are the parts of the prompt that calls share, in order: without the last one.
	PromptParts []blame.Part
	// Fingerprint is the same for all calls with the same caller, path and body: they are one
	// request that is sent again. 0 if unknown.
	Fingerprint blame.Part
}

// keyed reports whether calls with the same idempotency key run once, at the key's owner.
func (c Call) keyed() bool { return c.Offer.IdempotencyKey != "" && c.Offer.NoRepeat }

const (
	recoverTimeout         = 10 * time.Second // limit for reaching the agent of a lost attempt
	replaceAfter           = time.Second      // then another agent is looked for, if the call can run elsewhere: repeatable, no frame relayed
	minRecoverPause        = 50 * time.Millisecond
	maxRecoverPause        = time.Second
	framesPerAck           = 32
	ackInterval            = time.Second // heartbeat to the agent; a third of the default silence timeout
	inboxSize              = 64
	engineCheckInterval    = 2 * time.Second         // between two questions whether the engine of a call without a frame answers
	acceptedSilenceTimeout = 1400 * time.Millisecond // the agent's heartbeat interval of 1 s plus delay
)

// Session is a call in progress. It is not safe for concurrent use.
type Session struct {
	Deps
	call      Call
	state     callst.Call
	rng       *rand.Rand
	sessionID string // sent to the agent, where a newer stream of a session replaces the older one
	started   time.Time

	agent      roster.Member // of the current attempt
	attempt    callid.ID     // zero before the first attempt
	beat       uint64        // agent's uptime in beats (see package clock), from its probe reply
	stream     *agentStream
	head       *peerpb.Head
	tried      map[string]bool // hosts that refused this call or lost an attempt
	offerCount int             // number of offers sent
	crashes    int             // of endpoints, under the call
	refusals   refusals        // of agents
	offeredAt  time.Time       // of the attempt, zero if another session offered it
	lastAnswer time.Time       // when an answer to the prompt was last recorded, at first that of the first frame
	lastHeard  time.Time       // when the agent of the attempt last sent a message, at first the time of the offer
	checkedAt  time.Time       // when the agent was last asked whether its engine answers, at first the time of the offer
	takenUp    bool            // the session began as its caller took the call up
	pause      time.Duration   // until the agent is reached again, if it has sent no message since it was last; 0 if it has
}

// New returns a session for a new call.
func New(d Deps, c Call) *Session {
	state := callst.New(!c.Offer.NoRepeat)
	if c.Buffered {
		state = state.WithBuffering()
	}
	if c.keyed() {
		state = state.WithKey()
	}
	return &Session{
		Deps: d, call: c, state: state, sessionID: callid.NewCall(), started: time.Now(),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), tried: map[string]bool{},
	}
}

// Resume returns a session that continues an attempt from the frame with index
// next. The caller has received all earlier frames.
func Resume(d Deps, c Call, id callid.ID, next uint64) *Session {
	s := New(d, c)
	s.attempt, s.lastHeard, s.takenUp = id, s.started, true
	s.state = s.state.WithOffer().WithAccept().WithRelayed(next)
	s.agent, _ = d.Roster.Find(id.Host)
	return s
}

// Attempt returns the ID of the current or last attempt. Before the first
// attempt it is the zero ID.
func (s *Session) Attempt() callid.ID { return s.attempt }

// Head returns the status and headers of the response. It is set once Next has
// returned a Frame, or an End with a complete outcome.
func (s *Session) Head() *peerpb.Head { return s.head }

// Relayed returns the number of frames that were passed on so far. After Resume,
// it includes those that the caller had already received.
func (s *Session) Relayed() uint64 { return s.state.Relayed() }

// Next returns the next event of the call. It must not be called after it has
// returned an End.
func (s *Session) Next(ctx context.Context) Event {
	for {
		if ctx.Err() != nil {
			return s.endOnContextDone(ctx)
		}
		relayedBefore := s.state.Relayed()
		var ev Event
		switch {
		case s.stream != nil:
			ev = s.receive(ctx)
		case s.state.Stage() != callst.StageUnsent:
			ev = s.recoverAttempt(ctx)
		case !s.state.MayOffer():
			return s.end("the attempt was lost", 0)
		default:
			ev = s.startAttempt(ctx)
		}
		if ev != nil {
			return ev
		}
		if s.state.Relayed() < relayedBefore {
			return Restart{}
		}
	}
}

// Close ends the session. The agent keeps a running generation going for a
// limited time, so that the caller can resume it, also through another entry.
func (s *Session) Close() {
	if s.stream != nil {
		s.stream.drop(s.Pool)
		s.stream = nil
	}
}

// Cancel ends the session and tells the agent to stop the call.
func (s *Session) Cancel(why string) {
	if s.stream != nil {
		s.stream.cancel(why)
	}
	s.leaveAttempt(why) // the message is lost if the connection is
	s.Close()
}

// leaveAttempt has the agent told that nobody waits for the current attempt, if it may run.
func (s *Session) leaveAttempt(why string) {
	if stage := s.state.Stage(); stage == callst.StageOffered || stage == callst.StageAccepted {
		s.Recaller.Add(s.attempt, s.call.Offer.Workspace, s.beat, why)
	}
}

// leaveLost is leaveAttempt for an attempt that was lost, unless its caller may take it up again.
func (s *Session) leaveLost(why string) {
	if !s.resumable() {
		s.leaveAttempt(why)
	}
}

// resumable reports whether the caller can take up its call if the session ends, or may have
// done so already at another entry.
func (s *Session) resumable() bool {
	return s.takenUp || s.call.Offer.Stream && s.state.Relayed() > 0
}

// Abort cancels a call whose response the entry cannot take, and returns its End.
func (s *Session) Abort(reason string) End {
	s.Cancel(reason)
	return s.end(reason, 0)
}

// endOnContextDone ends the call after the caller disconnected or the deadline
// passed. A streamed generation keeps running at the agent if any of its frames were
// relayed or its caller has taken it up before, so that the caller can resume it.
func (s *Session) endOnContextDone(ctx context.Context) Event {
	if s.resumable() {
		s.Close()
	} else {
		s.Cancel(context.Cause(ctx).Error())
	}
	return s.end(context.Cause(ctx).Error(), 0)
}

func (s *Session) end(reason string, retryAfter time.Duration) End {
	s.Close()
	e := End{Outcome: s.state.Outcome(), Reason: reason}
	if s.state.DidNotRun() {
		e.RetryAfter = s.refusals.retryAfter(retryAfter)
	}
	s.Trail.Record(audit.Event{
		Kind: audit.KindEnded, Subject: s.subject(), Reason: string(e.Outcome) + " " + reason, Version: s.Store.View().Version(),
	})
	s.Metrics.Outcomes.WithLabelValues(string(e.Outcome)).Inc()
	s.Metrics.CallDuration.WithLabelValues(s.call.Service.Name).Observe(time.Since(s.started).Seconds())
	return e
}

// subject returns the ID under which the call is logged and audited: that of the
// attempt, or of the call before the first attempt.
func (s *Session) subject() string {
	if s.attempt.Host != "" {
		return s.attempt.String()
	}
	return s.call.ID
}

// receive handles one message of the current attempt. It returns nil if the
// message produces no event.
func (s *Session) receive(ctx context.Context) Event {
	m, err := s.stream.next(ctx, s.receiveTimeout())
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		s.Log.Debug("session_lost", zap.String("attempt", s.subject()), zap.Error(err))
		s.Roster.Suspect(s.agent.Host, "session lost")
		s.Close()
		return nil
	}
	s.lastHeard, s.pause = time.Now(), 0
	switch body := m.Body.(type) {
	case *peerpb.RunDown_Refused:
		return s.handleRefused(body.Refused)
	case *peerpb.RunDown_Accepted:
		s.handleAccepted(body.Accepted)
	case *peerpb.RunDown_Head:
		s.head = body.Head
	case *peerpb.RunDown_Frame:
		return s.handleFrame(body.Frame)
	case *peerpb.RunDown_End:
		return s.handleEnd(body.End)
	case *peerpb.RunDown_Beat:
		s.checkEngine(ctx)
	}
	return nil
}

// receiveTimeout returns how long to wait for a message from the agent. Resuming
// an accepted call is cheap and safe, so its timeout expires soon after one missed
// heartbeat. Before acceptance, a timeout costs a revoke and possibly the call.
func (s *Session) receiveTimeout() time.Duration {
	if s.state.Stage() == callst.StageAccepted {
		return min(s.SilenceTimeout, acceptedSilenceTimeout)
	}
	return s.SilenceTimeout
}

func (s *Session) handleAccepted(a *peerpb.Accepted) {
	if s.state.Stage() == callst.StageOffered {
		s.Metrics.Attempts.WithLabelValues("accepted").Inc()
		s.Metrics.RouteDuration.Observe(time.Since(s.started).Seconds())
		s.Trail.Record(audit.Event{Kind: audit.KindAccepted, Subject: s.subject(), Reason: s.agent.Host, Version: s.Store.View().Version()})
	}
	s.state = s.state.WithAccept()
	if id, err := callid.Parse(a.Attempt); err == nil {
		s.attempt = id // differs from the offered one if a call with the same idempotency key had started before
	}
}

func (s *Session) handleFrame(f *peerpb.Frame) Event {
	switch expected := s.state.Relayed(); {
	case f.Index < expected:
		return nil // already received before a resume
	case f.Index > expected:
		s.Close() // frames are missing: Next resumes from the last frame received
		return nil
	}
	s.state = s.state.WithFrame(f.Index)
	s.stream.relayed.Store(s.state.Relayed())
	s.recordProgress(time.Now())
	if s.state.Relayed()%framesPerAck == 0 {
		s.stream.ack()
	}
	if s.crossRegion() {
		s.Metrics.CrossRegionBytes.Add(float64(len(f.Data)))
	}
	return Frame{ID: s.attempt, Data: f.Data}
}

func (s *Session) crossRegion() bool {
	v := s.Store.View()
	local, _ := v.DataCentre(s.DataCentre)
	remote, _ := v.DataCentre(s.agent.DataCentre)
	return local.Region != remote.Region
}

// handleEnd handles the end of an attempt. It returns nil if the call continues
// with a resume or another attempt.
func (s *Session) handleEnd(e *peerpb.End) Event {
	switch e.Outcome {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		if e.Total != s.state.Relayed() {
			s.Close()
			return nil
		}
		s.state = s.state.WithFinish()
		s.recordAnswer(time.Now())
		s.stream.finish(s.Pool)
		s.stream = nil
		return s.end("", 0)
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		s.state = s.state.WithNotExecuted().WithUnusedKey()
	default:
		s.recordCrash(time.Now(), e)
		s.state = s.state.WithLost()
	}
	s.tried[s.agent.Host] = true
	s.Close()
	if e.Rerun && s.state.MayOffer() && s.crashes < maxCrashesPerCall && s.tryRetry("endpoint failed") {
		s.head = nil
		return nil
	}
	return s.end(e.Reason, 0)
}

// handleRefused handles the agent's refusal of an offer or resume. It returns nil
// if another attempt follows.
func (s *Session) handleRefused(r *peerpb.Refused) Event {
	s.Metrics.Attempts.WithLabelValues("refused").Inc()
	s.stream.finish(s.Pool)
	s.stream = nil
	s.tried[s.agent.Host] = true
	s.refusals.note(r.Reason, r.RetryAfterMs)
	switch r.Kind {
	case peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN:
		s.state = s.state.WithNotExecuted().WithUnusedKey()
		if s.state.MayOffer() && s.tryRetry("refused") {
			return nil
		}
	case peerpb.RefusalKind_REFUSAL_KIND_NOT_FOUND:
		s.leaveLost(r.Reason)
		s.state = s.state.WithLost()
		if s.state.MayOffer() && s.tryRetry("answer lost") {
			return nil
		}
	default:
		if r.RetryAfterMs == 0 || !s.call.keyed() {
			s.state = s.state.WithLost()
			break
		}
		s.state = s.state.WithNotExecuted() // the agent only does not know of earlier calls with the key
	}
	return s.end(r.Reason, time.Duration(r.RetryAfterMs)*time.Millisecond)
}

// tryRetry takes a retry from the retry budget. It reports false if the budget is
// exhausted.
func (s *Session) tryRetry(why string) bool {
	if !s.Retries.TryRetry() {
		return false
	}
	s.Metrics.Retries.WithLabelValues(why).Inc()
	return true
}
