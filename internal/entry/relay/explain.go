package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/entry/route"
	"github.com/mimosalock/mimosalock/internal/fleet/clock"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

const (
	explainTimeout   = 1900 * time.Millisecond // for all probes, so that an answer takes less than 2 s
	maxExplainProbes = 12                      // as many as a call makes in two tiers
	maxExplainAgents = 200
)

// The kinds of a Result.
const (
	KindOffered   = "offered"   // an agent gets the offer and would start the call immediately
	KindQueued    = "queued"    // an agent gets the offer and would queue the call
	KindRefused   = "refused"   // the call is refused as not run
	KindUndecided = "undecided" // a call would probe further agents than an explanation does
)

// Result is what would become of a call.
type Result struct {
	Kind         string `json:"kind"`
	Agent        string `json:"agent,omitempty"`
	WaitMs       int64  `json:"wait_ms,omitempty"` // expected, of a queued call
	Status       int    `json:"status,omitempty"`  // of a refusal
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Incomplete   bool   `json:"incomplete,omitempty"` // a call would have probed further agents before its choice
}

// Explanation tells which agent would get the offer of a call, and why.
type Explanation struct {
	Placement  Result           `json:"placement"` // by the agents' replies alone
	Agents     []ExplainedAgent `json:"agents"`    // in the order of the planner, the excluded ones last
	OfAgents   int              `json:"of_agents"`
	Counts     map[string]int   `json:"counts"` // agents by tier or exclusion
	Unanswered []string         `json:"unanswered,omitempty"`
}

// ExplainedAgent is an agent of the call's service.
type ExplainedAgent struct {
	Host       string          `json:"host"`
	DataCentre string          `json:"data_centre"`
	Tier       string          `json:"tier,omitempty"`
	Excluded   route.Exclusion `json:"excluded,omitempty"`
	Owner      bool            `json:"owner,omitempty"` // selected as owner of the prompt prefix among the agents that were left, not at random
	Round      int             `json:"round,omitempty"` // in which a call probes it; 0 if it was not needed for the choice
	Probe      *ExplainedProbe `json:"probe,omitempty"`
}

// ExplainedProbe is an agent's reply to a probe. If it has not answered, all other fields are empty.
type ExplainedProbe struct {
	Answered      bool   `json:"answered"`
	Admits        bool   `json:"admits"`
	Reason        string `json:"reason,omitempty"`
	WaitMs        uint32 `json:"wait_ms"`
	RetryAfterMs  uint32 `json:"retry_after_ms,omitempty"`
	FreeSlots     uint32 `json:"free_slots"`
	ConfigVersion uint64 `json:"config_version"`
	UptimeMs      int64  `json:"uptime_ms"`   // of the agent's process at the reply, by its heartbeat
	BeatAgeMs     int64  `json:"beat_age_ms"` // time since the heartbeat in the reply arrived
}

// Explain probes agents as the first attempt of a call does, and tells which would get the
// offer. It offers nothing, and suspects or trusts no host. Its random candidates are always
// the same ones.
func Explain(ctx context.Context, d Deps, c Call) Explanation {
	req := d.probeRequest(c.Offer)
	e := explainer{probe: func(ctx context.Context, m roster.Member) probeResult {
		p := d.probeOne(ctx, m, req)
		if p.conn != nil {
			d.Pool.Put(p.conn)
		}
		return p
	}}
	return e.explain(ctx, d.planInput(c, d.Roster.Agents(c.Service.Name), nil))
}

// explainer collects the replies for one explanation.
type explainer struct {
	probe    func(context.Context, roster.Member) probeResult
	rounds   [][]roster.Member
	replies  map[string]probeResult // by host; the reply is nil if the agent has not answered
	refusals refusals
	cut      bool // not all candidates of the choice were probed
}

func (e *explainer) explain(ctx context.Context, in route.Input) Explanation {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	suspected := map[string]bool{} // as at the start: calls may change it meanwhile
	for _, m := range in.Agents {
		suspected[m.Host] = in.Suspected(m.Host)
	}
	in.Suspected = func(host string) bool { return suspected[host] }
	e.replies = map[string]probeResult{}
	in.Rand = rand.New(rand.NewPCG(0, 0))
	best, ok := route.Choose(route.New(in), func(candidates []roster.Member) []route.ProbeResult { return e.round(ctx, candidates) })
	out := Explanation{Placement: e.placement(best, ok), OfAgents: len(in.Agents)}
	in.Rand = rand.New(rand.NewPCG(0, 0))
	list, counts := route.List(in, e.rounds, maxExplainAgents)
	out.Counts = counts
	e.probeFurther(ctx, list)
	now := time.Now()
	out.Agents = make([]ExplainedAgent, 0, len(list))
	for _, l := range list {
		a := e.agent(l, now)
		if a.Probe != nil && !a.Probe.Answered {
			out.Unanswered = append(out.Unanswered, a.Host)
		}
		out.Agents = append(out.Agents, a)
	}
	return out
}

// round probes the candidates of one round of the choice.
func (e *explainer) round(ctx context.Context, candidates []roster.Member) (results []route.ProbeResult) {
	allowed := e.allowed(ctx, candidates)
	e.cut = e.cut || len(allowed) < len(candidates)
	if len(allowed) == 0 {
		return nil
	}
	e.rounds = append(e.rounds, allowed)
	for _, p := range e.probeAll(ctx, allowed) {
		if p.Reply != nil {
			results = append(results, p.ProbeResult)
			e.refusals.noteReply(p.Reply)
		}
	}
	return results
}

// probeFurther probes listed candidates that were not needed for the choice, as far as the
// limits allow: other calls draw these at random.
func (e *explainer) probeFurther(ctx context.Context, list []route.Listed) {
	var further []roster.Member
	for _, l := range list {
		if l.Round == 0 && l.Class.Excluded == "" {
			further = append(further, l.Member)
		}
	}
	e.probeAll(ctx, e.allowed(ctx, further))
}

// allowed returns those of the candidates that may still be probed. A round that could not last
// for the whole time of a probe is not begun, since its agents would seem not to answer.
func (e *explainer) allowed(ctx context.Context, candidates []roster.Member) []roster.Member {
	if deadline, _ := ctx.Deadline(); ctx.Err() != nil || time.Until(deadline) < probeTimeout {
		return nil
	}
	return candidates[:min(len(candidates), maxExplainProbes-len(e.replies))]
}

func (e *explainer) probeAll(ctx context.Context, candidates []roster.Member) []probeResult {
	results := probeAll(ctx, candidates, e.probe)
	for _, p := range results {
		e.replies[p.Member.Host] = p
	}
	return results
}

// placement returns what the choice means for the call.
func (e *explainer) placement(best route.ProbeResult, ok bool) Result {
	switch {
	case ok && best.Reply.WaitMs > 0:
		return Result{Kind: KindQueued, Agent: best.Member.Host, WaitMs: int64(best.Reply.WaitMs), Incomplete: e.cut}
	case ok:
		return Result{Kind: KindOffered, Agent: best.Member.Host, Incomplete: e.cut}
	case e.cut:
		return Result{Kind: KindUndecided, Reason: e.refusals.noAgent(), Incomplete: true}
	}
	return Result{
		Kind: KindRefused, Status: http.StatusServiceUnavailable, Reason: e.refusals.noAgent(), RetryAfterMs: e.refusals.retryAfter(0).Milliseconds(),
	}
}

func (e *explainer) agent(l route.Listed, now time.Time) ExplainedAgent {
	a := ExplainedAgent{
		Host: l.Member.Host, DataCentre: l.Member.DataCentre, Excluded: l.Class.Excluded, Owner: l.Owner, Round: l.Round,
	}
	if a.Excluded == "" {
		a.Tier = l.Class.Tier.String()
	}
	p, probed := e.replies[a.Host]
	switch {
	case !probed:
	case p.Reply == nil:
		a.Probe = &ExplainedProbe{}
	default:
		r := p.Reply
		a.Probe = &ExplainedProbe{
			Answered: true, Admits: r.Admits, Reason: r.Reason, WaitMs: r.WaitMs, RetryAfterMs: r.RetryAfterMs, FreeSlots: r.FreeSlots,
			ConfigVersion: r.ConfigVersion, UptimeMs: (time.Duration(max(1, r.Beat)-1) * clock.Interval).Milliseconds(), BeatAgeMs: now.Sub(p.at).Milliseconds(),
		}
	}
	return a
}

// ProbedCount returns the number of agents that were probed.
func (e Explanation) ProbedCount() int {
	return lo.CountBy(e.Agents, func(a ExplainedAgent) bool { return a.Probe != nil })
}
