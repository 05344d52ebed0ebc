package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosalock/mimosalock/internal/agent/place"
	"github.com/mimosalock/mimosalock/internal/agent/runner"
	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/ticket"
	"github.com/mimosalock/mimosalock/internal/entry/route"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// probeTimeout limits one round of concurrent probes. Each candidate gets half of it
// on a pooled connection and, if that fails, half on a new one.
const probeTimeout = 400 * time.Millisecond

// probeReplies holds the replies of the candidates probed so far and, by host
// name, the connections on which they arrived. The offer is sent on the same
// connection because it is known to work.
type probeReplies struct {
	replies []route.ProbeResult
	conns   map[string]*link.Conn
}

// startAttempt probes candidates and offers the call to the best one. It returns
// an End if no candidate admits the call, or engines crash under its prompt.
func (s *Session) startAttempt(ctx context.Context) Event {
	if reason := s.blocked(time.Now()); reason != "" {
		return s.end(reason, blockedRetryAfter)
	}
	probes := probeReplies{conns: map[string]*link.Conn{}}
	best, ok := s.chooseAgent(ctx, &probes)
	for host, conn := range probes.conns {
		if !ok || host != best.Member.Host {
			s.Pool.Put(conn)
		}
	}
	switch {
	case !ok && s.call.keyed() && s.refusals.last == "":
		return s.end("the owner of the idempotency key does not answer", 0)
	case !ok:
		return s.end(s.refusals.noAgent(), 0)
	}
	s.sendOffer(best, probes.conns[best.Member.Host])
	return nil
}

// chooseAgent probes candidates and chooses one as route.Choose does. A call with an
// idempotency key that must not be repeated goes to the owner of the key instead.
func (s *Session) chooseAgent(ctx context.Context, probes *probeReplies) (route.ProbeResult, bool) {
	if s.call.keyed() {
		return s.chooseKeyOwner(ctx, probes)
	}
	plan := route.New(s.planInput(s.call, s.untriedAgents(), s.rng))
	return route.Choose(plan, func(candidates []roster.Member) []route.ProbeResult { return s.probe(ctx, candidates, probes) })
}

// planInput returns the input of the planner for a call to one of the agents.
func (d Deps) planInput(c Call, agents []roster.Member, rng *rand.Rand) route.Input {
	return route.Input{
		View: d.Store.View(), Service: c.Service, Agents: agents, DataCentre: d.DataCentre, Suspected: d.Roster.Suspected,
		Holds:     place.HolderFilter(c.Service, d.Roster.Agents(c.Service.Name), c.Offer.Model),
		Workspace: c.Workspace.Name, Prefix: c.Offer.PrefixHash, Rand: rng,
	}
}

// chooseKeyOwner probes the only host that may run a call with this idempotency
// key. It chooses the host even if it admits no new calls, because the host still
// knows whether a call with the key ran.
func (s *Session) chooseKeyOwner(ctx context.Context, probes *probeReplies) (route.ProbeResult, bool) {
	m, ok := s.keyOwner()
	if !ok || s.tried[m.Host] {
		return route.ProbeResult{}, false
	}
	s.probe(ctx, []roster.Member{m}, probes)
	if len(probes.replies) == 0 {
		return route.ProbeResult{}, false
	}
	return probes.replies[0], true
}

// keyOwner returns the agent that may run the call's idempotency key: the one named
// by a ticket, or else the one that the key hashes to.
func (s *Session) keyOwner() (roster.Member, bool) {
	key := s.call.Offer.IdempotencyKey
	if t, err := ticket.Parse(key); err == nil {
		return s.Roster.Find(t.Host)
	}
	return runner.KeyOwner(s.Roster.Agents(s.call.Service.Name), s.call.Workspace.Name, key)
}

// untriedAgents returns the agents of the service that have not been tried for this call.
func (s *Session) untriedAgents() []roster.Member {
	return slices.DeleteFunc(slices.Clone(s.Roster.Agents(s.call.Service.Name)), func(m roster.Member) bool { return s.tried[m.Host] })
}

// probeResult is the result of probing one candidate. Reply and conn are nil if the
// candidate did not answer.
type probeResult struct {
	route.ProbeResult
	conn *link.Conn
	at   time.Time // of the reply
}

// probe probes the candidates concurrently, adds their replies to probes and returns
// those of this round.
func (s *Session) probe(ctx context.Context, candidates []roster.Member, probes *probeReplies) []route.ProbeResult {
	before := len(probes.replies)
	req := s.probeRequest(s.call.Offer)
	for _, p := range probeAll(ctx, candidates, func(ctx context.Context, m roster.Member) probeResult { return s.probeAndTrust(ctx, m, req) }) {
		if p.Reply == nil {
			continue
		}
		probes.conns[p.Member.Host] = p.conn
		probes.replies = append(probes.replies, p.ProbeResult)
		s.refusals.noteReply(p.Reply)
	}
	return probes.replies[before:]
}

// probeAndTrust probes one candidate, which ends or begins the suspicion that it is down.
func (s *Session) probeAndTrust(ctx context.Context, m roster.Member, req *peerpb.ProbeRequest) probeResult {
	p := s.probeOne(ctx, m, req)
	if p.Reply == nil {
		s.Roster.Suspect(m.Host, "no answer to a probe")
	} else {
		s.Roster.Trust(m.Host)
	}
	return p
}

// probeAll probes the candidates concurrently and returns their results in the same order.
func probeAll(ctx context.Context, candidates []roster.Member, probe func(context.Context, roster.Member) probeResult) []probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make([]probeResult, len(candidates))
	var probing sync.WaitGroup
	for i, m := range candidates {
		probing.Go(func() { results[i] = probe(ctx, m) })
	}
	probing.Wait()
	return results
}

// probeRequest returns the probe for a call with an offer.
func (d Deps) probeRequest(o *peerpb.Offer) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{
		Service: o.Service, Workspace: o.Workspace, Class: o.Class, PromptTokens: o.PromptTokens, MaxTokens: o.MaxTokens,
		PrefixHash: o.PrefixHash, ConfigVersion: d.Store.View().Version(), Weight: o.Weight, QueueMs: o.QueueMs,
		Priority: o.Priority, Model: o.Model,
	}
}

// probeOne probes one candidate. A pooled connection may be broken without notice,
// so a new one is tried before the candidate counts as not answering.
func (d Deps) probeOne(ctx context.Context, m roster.Member, req *peerpb.ProbeRequest) probeResult {
	p := probeResult{ProbeResult: route.ProbeResult{Member: m}}
	for _, connect := range []func(context.Context, string) (*link.Conn, error){d.Pool.Get, d.Pool.Dial} {
		if p.Reply, p.conn = d.probeOver(ctx, connect, m, req); p.Reply != nil {
			p.at = time.Now()
			return p
		}
	}
	return p
}

// probeOver probes one candidate over a connection returned by connect. It returns
// nil, nil on failure.
func (d Deps) probeOver(ctx context.Context, connect func(context.Context, string) (*link.Conn, error), m roster.Member, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, *link.Conn) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout/2)
	defer cancel()
	conn, err := connect(ctx, m.Address)
	if err != nil {
		return nil, nil
	}
	reply, err := conn.Probe(ctx, req)
	if err != nil {
		d.Pool.Drop(conn)
		return nil, nil
	}
	return reply, conn
}

// sendOffer offers the call to the chosen agent on the connection that answered
// the probe.
func (s *Session) sendOffer(chosen route.ProbeResult, conn *link.Conn) {
	s.agent = chosen.Member
	s.attempt = callid.New(s.call.ID, chosen.Member.DataCentre, chosen.Member.Host, chosen.Reply.Incarnation)
	s.beat = chosen.Reply.Beat
	s.offeredAt = time.Now()
	s.lastHeard, s.checkedAt, s.pause = s.offeredAt, s.offeredAt, 0
	o := s.newOffer()
	o.Attempt, o.Session = s.attempt.String(), s.sessionID
	o.Incarnation, o.Beat = chosen.Reply.Incarnation, chosen.Reply.Beat
	o.ConfigVersion = s.Store.View().Version()
	if s.offerCount == 0 {
		s.Retries.RecordFirst()
	}
	s.offerCount++
	s.Trail.Record(audit.Event{Kind: audit.KindOffered, Subject: s.subject(), Reason: chosen.Reply.Reason, Version: o.ConfigVersion})
	s.state = s.state.WithOffer()
	stream, err := openStream(conn, &peerpb.RunUp{Body: &peerpb.RunUp_Offer{Offer: o}}, 0)
	if err != nil {
		s.Pool.Drop(conn) // the agent may have received the offer; Next calls recoverAttempt to find out
		return
	}
	s.stream = stream
}

// newOffer returns a copy of the call's offer, which shares its body: a body can be large.
func (s *Session) newOffer() *peerpb.Offer {
	body := s.call.Offer.Body
	s.call.Offer.Body = nil
	defer func() { s.call.Offer.Body = body }()
	o := proto.CloneOf(s.call.Offer)
	o.Body = body
	return o
}

// recoverAttempt reconnects to the agent of an attempt whose stream was lost. It
// resumes the attempt if it has started, and otherwise revokes it, so that it never
// starts. A call that may run elsewhere soon does, if another agent admits it, also if the agent
// takes connections and says nothing. It returns an End if the call cannot continue.
func (s *Session) recoverAttempt(ctx context.Context) Event {
	s.Metrics.Attempts.WithLabelValues("lost").Inc()
	for start := time.Now(); time.Since(start) < recoverTimeout && ctx.Err() == nil; {
		if s.pause > 0 { // the agent could not be reached, or has not answered since
			if (time.Since(start) >= replaceAfter || time.Since(s.lastHeard) >= s.SilenceTimeout) && s.replaceAgent(ctx, "agent lost") {
				return nil
			}
			sleep(ctx, s.pause/2+time.Duration(s.rng.Int64N(int64(s.pause))))
		}
		s.pause = min(maxRecoverPause, max(minRecoverPause, 2*s.pause))
		if s.reconnect(ctx) {
			return s.afterRecovery()
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	s.leaveLost("agent lost")
	s.state = s.state.WithLost()
	s.tried[s.agent.Host] = true
	if s.state.MayOffer() && s.tryRetry("agent lost") {
		return nil
	}
	return s.end("the endpoint's agent does not answer", 0)
}

// checkEngine offers a call to another agent if its agent says that its engine does not answer, as
// replaceAgent does. A whole response is silent until it is complete.
func (s *Session) checkEngine(ctx context.Context) {
	movable := s.state.Stage() == callst.StageAccepted && s.state.Relayed() == 0 && s.state.WithLost().MayOffer() && !s.takenUp
	if !movable || time.Since(s.checkedAt) < engineCheckInterval {
		return
	}
	s.checkedAt = time.Now()
	p := s.probeOne(ctx, s.agent, s.probeRequest(s.call.Offer))
	if p.Reply == nil {
		return
	}
	s.Pool.Put(p.conn)
	if p.Reply.Reason == runner.EndpointUnreachable {
		s.replaceAgent(ctx, "engine silent")
	}
}

// replaceAgent offers a call whose agent, or its engine, cannot be reached to another one, if it may run
// again and another agent admits it. Otherwise the agent is waited for: it may come back and still
// hold the response.
func (s *Session) replaceAgent(ctx context.Context, why string) bool {
	lost := s.state.WithLost()
	if s.state.Relayed() > 0 || !lost.MayOffer() || s.blocked(time.Now()) != "" {
		return false
	}
	s.tried[s.agent.Host] = true
	probes := probeReplies{conns: map[string]*link.Conn{}}
	best, ok := s.chooseAgent(ctx, &probes)
	ok = ok && s.tryRetry(why)
	for host, conn := range probes.conns {
		if !ok || host != best.Member.Host {
			s.Pool.Put(conn)
		}
	}
	s.Log.Info("agent_unreachable", zap.String("attempt", s.subject()), zap.String("agent", s.agent.Host), zap.String("why", why), zap.Bool("replaced", ok),
		zap.Int("candidates", len(probes.replies)), zap.String("last_refusal", s.refusals.last), zap.Duration("silent", time.Since(s.lastHeard)), zap.Duration("age", time.Since(s.started)))
	if !ok {
		return false
	}
	s.leaveAttempt(why)
	s.Close()
	s.state, s.head = lost, nil
	s.sendOffer(best, probes.conns[best.Member.Host])
	return true
}

// afterRecovery takes a retry from the budget if the lost attempt was not resumed
// and the call needs another attempt.
func (s *Session) afterRecovery() Event {
	if s.state.Stage() != callst.StageUnsent {
		return nil
	}
	s.tried[s.agent.Host] = true
	if s.state.MayOffer() && s.tryRetry("session lost") {
		return nil
	}
	return s.end("the session with the endpoint's agent was lost", 0)
}

// reconnect opens a new connection to the agent of the lost attempt and revokes or
// resumes the attempt. It reports whether that succeeded.
func (s *Session) reconnect(ctx context.Context) bool {
	m, ok := s.Roster.Find(s.attempt.Host)
	if !ok {
		return false
	}
	s.agent = m
	conn, err := s.Pool.Dial(ctx, m.Address)
	if err != nil {
		return false
	}
	if s.state.Stage() == callst.StageOffered {
		return s.revoke(ctx, conn)
	}
	return s.resumeOn(conn)
}

// revoke asks the agent not to start the offered attempt, and resumes the attempt
// if it has already started. It reports false if the agent cannot be reached.
func (s *Session) revoke(ctx context.Context, conn *link.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := conn.Revoke(ctx, &peerpb.RevokeRequest{Attempt: s.attempt.String(), Workspace: s.call.Offer.Workspace, Beat: s.beat})
	if err != nil {
		s.Pool.Drop(conn)
		return false
	}
	switch reply.Fate {
	case peerpb.Fate_FATE_NEVER:
		s.Pool.Put(conn)
		s.state = s.state.WithNotExecuted()
		return true
	case peerpb.Fate_FATE_STARTED:
		return s.resumeOn(conn)
	default:
		s.Pool.Put(conn)
		s.leaveAttempt("fate unknown")
		s.state = s.state.WithLost()
		return true
	}
}

// resumeOn resumes the attempt on a new connection. It reports whether the request
// was sent.
func (s *Session) resumeOn(conn *link.Conn) bool {
	req := &peerpb.Resume{
		Attempt: s.attempt.String(), Service: s.call.Offer.Service, Workspace: s.call.Offer.Workspace,
		Next: s.state.Relayed(), Stream: s.call.Offer.Stream, Session: s.sessionID,
	}
	stream, err := openStream(conn, &peerpb.RunUp{Body: &peerpb.RunUp_Resume{Resume: req}}, s.state.Relayed())
	if err != nil {
		s.Pool.Drop(conn)
		return false
	}
	s.stream = stream
	s.Metrics.Resumes.Inc()
	s.Trail.Record(audit.Event{Kind: audit.KindResumed, Subject: s.subject(), Reason: s.agent.Host, Version: s.Store.View().Version()})
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
