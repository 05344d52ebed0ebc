package relay

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosalock/mimosalock/internal/agent/desk"
	"github.com/mimosalock/mimosalock/internal/agent/place"
	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/ticket"
	"github.com/mimosalock/mimosalock/internal/entry/route"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const probeTimeout = 400 * time.Millisecond

// round holds the answers of the candidates asked so far, each with the
// connection it answered on. The offer goes over the same connection, which has
// just proved that it works.
type round struct {
	answers []route.Answer
	conns   map[string]*link.Conn
}

// propose probes candidates and offers the call to the best. It returns the
// end of the call if no endpoint takes it.
func (s *Session) propose(ctx context.Context) Event {
	asked := round{conns: map[string]*link.Conn{}}
	best, ok := s.choose(ctx, &asked)
	for host, conn := range asked.conns {
		if !ok || host != best.Member.Host {
			s.Pool.Put(conn)
		}
	}
	if !ok {
		return s.end(strings.TrimSuffix("no endpoint admits the call: "+s.refusal, ": "), 0)
	}
	s.open(best, asked.conns[best.Member.Host])
	return nil
}

// choose asks candidates tier by tier. Within a tier it goes on until one would
// start the call at once; it leaves a tier only if none there admits the call.
func (s *Session) choose(ctx context.Context, asked *round) (route.Answer, bool) {
	if s.call.Offer.IdempotencyKey != "" && s.call.Offer.NoRepeat {
		return s.chooseOwner(ctx, asked)
	}
	p := route.New(route.Input{
		View: s.Store.View(), Service: s.call.Service, Agents: s.untried(), Centre: s.Centre, Suspected: s.Roster.Suspected,
		Workspace: s.call.Workspace.Name, Prefix: s.call.Offer.PrefixHash, Rand: s.rng,
	})
	for tier := p.Tier(); tier > 0; tier = p.Tier() {
		for n := 0; n < route.RoundsPerTier && p.Tier() == tier; n++ {
			s.probe(ctx, p.Next(), asked)
			if route.Settled(asked.answers) {
				break
			}
		}
		if best, ok := route.Best(asked.answers); ok {
			return best, true
		}
		if p.Tier() == tier {
			p.Skip()
		}
	}
	return route.Answer{}, false
}

// chooseOwner asks the one host that may run an idempotency key. A host that
// takes no new work is chosen too: it still knows the fate of its keys.
func (s *Session) chooseOwner(ctx context.Context, asked *round) (route.Answer, bool) {
	m, ok := s.keyOwner()
	if !ok || s.tried[m.Host] {
		return route.Answer{}, false
	}
	s.probe(ctx, []roster.Member{m}, asked)
	if len(asked.answers) == 0 {
		return route.Answer{}, false
	}
	return asked.answers[0], true
}

func (s *Session) keyOwner() (roster.Member, bool) {
	key := s.call.Offer.IdempotencyKey
	if t, err := ticket.Parse(key); err == nil {
		return s.Roster.Find(t.Host)
	}
	return desk.Owner(s.Roster.Agents(s.call.Service.Name), s.call.Workspace.Name, key)
}

func (s *Session) untried() []roster.Member {
	all := s.Roster.Agents(s.call.Service.Name)
	holds := place.Filter(s.call.Service, all, s.call.Offer.Model)
	out := make([]roster.Member, 0, len(all))
	for _, m := range all {
		if !s.tried[m.Host] && holds(m.Host) {
			out = append(out, m)
		}
	}
	return out
}

// probed is the answer of one candidate, without a reply if it gave none.
type probed struct {
	route.Answer
	conn *link.Conn
}

// probe asks the candidates at once and adds their answers.
func (s *Session) probe(ctx context.Context, candidates []roster.Member, asked *round) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan probed, len(candidates))
	for i, m := range candidates {
		go func() { results <- s.probeOne(ctx, m, len(asked.conns)+i) }()
	}
	answers := make([]probed, 0, len(candidates))
	for range candidates {
		answers = append(answers, <-results)
	}
	for _, p := range answers {
		if p.Reply == nil {
			continue
		}
		asked.conns[p.Member.Host] = p.conn
		asked.answers = append(asked.answers, p.Answer)
		s.noteRetry(p.Reply.RetryAfterMs)
		if !p.Reply.Admits {
			s.refusal = p.Reply.Reason
		}
	}
}

// probeOne asks one candidate. An idle connection that does not answer may be
// silently dead, so a new one is tried before the host is suspected.
func (s *Session) probeOne(ctx context.Context, m roster.Member, order int) probed {
	p := probed{Answer: route.Answer{Member: m, Order: order}}
	o := s.call.Offer
	req := &peerpb.ProbeRequest{
		Service: o.Service, Workspace: o.Workspace, Class: o.Class, PromptTokens: o.PromptTokens, MaxTokens: o.MaxTokens,
		PrefixHash: o.PrefixHash, ConfigVersion: s.Store.View().Version(), Weight: o.Weight, QueueMs: o.QueueMs,
		Priority: o.Priority, Model: o.Model,
	}
	for _, take := range []func(context.Context, string) (*link.Conn, error){s.Pool.Get, s.Pool.Dial} {
		reply, conn := s.probeOver(ctx, take, m, req)
		if reply != nil {
			s.Roster.Trust(m.Host)
			p.Reply, p.conn = reply, conn
			return p
		}
	}
	s.Roster.Suspect(m.Host, "no answer to a probe")
	return p
}

func (s *Session) probeOver(ctx context.Context, take func(context.Context, string) (*link.Conn, error), m roster.Member, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, *link.Conn) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout/2)
	defer cancel()
	conn, err := take(ctx, m.Address)
	if err != nil {
		return nil, nil
	}
	reply, err := conn.Probe(ctx, req)
	if err != nil {
		s.Pool.Drop(conn)
		return nil, nil
	}
	return reply, conn
}

// open offers the call on the connection that answered the probe.
func (s *Session) open(p route.Answer, conn *link.Conn) {
	s.member = p.Member
	s.attempt = callid.New(s.call.ID, p.Member.DataCentre, p.Member.Host, p.Reply.Incarnation)
	s.beat = p.Reply.Beat
	o := proto.Clone(s.call.Offer).(*peerpb.Offer)
	o.Attempt, o.Session = s.attempt.String(), s.session
	o.Incarnation, o.Beat = p.Reply.Incarnation, p.Reply.Beat
	o.ConfigVersion = s.Store.View().Version()
	if s.offers == 0 {
		s.Budget.FirstTry()
	}
	s.offers++
	s.Trail.Record(audit.Event{Kind: audit.KindOffered, Subject: s.subject(), Reason: p.Reply.Reason, Version: o.ConfigVersion})
	s.state = s.state.WithOffer()
	opened, err := attach(conn, &peerpb.RunUp{Body: &peerpb.RunUp_Offer{Offer: o}}, 0)
	if err != nil {
		s.Pool.Drop(conn) // part of the offer may have left: its fate is asked for
		return
	}
	s.link = opened
}

// recover finds the fate of an attempt whose session was lost: it resumes a
// started one and forbids one that never started.
func (s *Session) recover(ctx context.Context) Event {
	limit := recoverLimit
	if s.state.Relayed() == 0 && !s.call.Offer.NoRepeat {
		limit = quickLimit
	}
	s.Meter.Attempts.WithLabelValues("lost").Inc()
	start := time.Now()
	for pause := recoverPause; time.Since(start) < limit && ctx.Err() == nil; pause = min(longestPause, 2*pause) {
		if s.reattach(ctx) {
			return s.afterRecovery()
		}
		wait(ctx, pause/2+time.Duration(s.rng.Int64N(int64(pause))))
	}
	if ctx.Err() != nil {
		return nil
	}
	s.state = s.state.WithLost()
	s.tried[s.member.Host] = true
	if s.state.MayOffer() && s.mayRetry("agent lost") {
		return nil
	}
	return s.end("the endpoint's agent does not answer", 0)
}

// afterRecovery spends a retry if the recovered fate leads to a new attempt.
func (s *Session) afterRecovery() Event {
	if s.state.Stage() != callst.StageUnsent {
		return nil
	}
	s.tried[s.member.Host] = true
	if s.state.MayOffer() && s.mayRetry("session lost") {
		return nil
	}
	return s.end("the session with the endpoint's agent was lost", 0)
}

// reattach opens a new session with the agent of the lost attempt. It reports
// whether the state of the call moved on.
func (s *Session) reattach(ctx context.Context) bool {
	m, ok := s.Roster.Find(s.attempt.Host)
	if !ok {
		return false
	}
	s.member = m
	conn, err := s.Pool.Dial(ctx, m.Address)
	if err != nil {
		return false
	}
	if s.state.Stage() == callst.StageOffered {
		return s.revoke(ctx, conn)
	}
	return s.resumeOver(conn)
}

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
		return s.resumeOver(conn)
	default:
		s.Pool.Put(conn)
		s.state = s.state.WithLost()
		return true
	}
}

func (s *Session) resumeOver(conn *link.Conn) bool {
	req := &peerpb.Resume{
		Attempt: s.attempt.String(), Service: s.call.Offer.Service, Workspace: s.call.Offer.Workspace,
		Next: s.state.Relayed(), Stream: s.call.Offer.Stream, Session: s.session,
	}
	opened, err := attach(conn, &peerpb.RunUp{Body: &peerpb.RunUp_Resume{Resume: req}}, s.state.Relayed())
	if err != nil {
		s.Pool.Drop(conn)
		return false
	}
	s.link = opened
	s.Meter.Resumes.Inc()
	s.Trail.Record(audit.Event{Kind: audit.KindResumed, Subject: s.subject(), Reason: s.member.Host, Version: s.Store.View().Version()})
	return true
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
