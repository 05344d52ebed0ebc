// Package route selects the agents to probe for a call and chooses one by their
// probe replies. It does no I/O. In each round, one candidate is the rendezvous
// hash owner of the workspace and prompt prefix, which is the same on every entry,
// and the other is random.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/conf/view"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	ownerProbes  = 1 // candidates per round chosen as hash owner of the prompt prefix
	randomProbes = 1 // candidates per round chosen at random
)

// ProbesPerRound is the number of candidates probed per round.
const ProbesPerRound = ownerProbes + randomProbes

// Planner selects the candidates for one call, round by round and nearest tier
// first. Each agent is selected at most once.
type Planner struct {
	agents    []roster.Member
	tiers     [][]int // remaining tiers of indices into agents
	prefixKey string
	rng       *rand.Rand
}

// Input holds the parameters of a Planner.
type Input struct {
	View       *view.View
	Service    spec.Service
	Agents     []roster.Member
	DataCentre string // data centre of this entry
	Suspected  func(host string) bool
	Workspace  string
	Prefix     uint64 // hash of the prompt prefix
	Rand       *rand.Rand
}

// New returns the Planner of one call. Agents in the entry's region form the first
// tier, those in other regions, to which traffic is billed, the second, and those
// suspected to be down the last. Leaving agents are omitted.
func New(in Input) *Planner {
	inRegion := usableDataCentres(in)
	tiers := [][]int{make([]int, 0, len(in.Agents)), nil, nil}
	for i, m := range in.Agents {
		local, usable := inRegion[m.DataCentre]
		switch {
		case !usable || m.Leaving:
		case in.Suspected(m.Host):
			tiers[2] = append(tiers[2], i)
		case local:
			tiers[0] = append(tiers[0], i)
		default:
			tiers[1] = append(tiers[1], i)
		}
	}
	return &Planner{
		agents: in.Agents, tiers: tiers, rng: in.Rand, prefixKey: in.Workspace + "/" + strconv.FormatUint(in.Prefix, 36),
	}
}

// usableDataCentres returns the data centres that accept new calls to the service,
// and whether each is in the entry's region.
func usableDataCentres(in Input) map[string]bool {
	home, _ := in.View.DataCentre(in.DataCentre)
	inRegion := map[string]bool{}
	for name, d := range in.View.DataCentres() {
		placed := len(in.Service.DataCentres) == 0 || slices.Contains(in.Service.DataCentres, name)
		if placed && !d.OutOfService {
			inRegion[name] = d.Region == home.Region
		}
	}
	return inRegion
}

// Next returns the candidates of the next round, or none if all were returned.
func (p *Planner) Next() []roster.Member {
	if p.TiersLeft() == 0 {
		return nil
	}
	out := make([]roster.Member, 0, ProbesPerRound)
	for n := 0; n < ProbesPerRound && len(p.tiers[0]) > 0; n++ {
		pos := p.rng.IntN(len(p.tiers[0]))
		if n < ownerProbes {
			pos = p.prefixOwner(p.tiers[0])
		}
		out = append(out, p.remove(pos))
	}
	return out
}

// prefixOwner returns the position in a tier of the agent that owns the prefix by
// rendezvous hashing.
func (p *Planner) prefixOwner(tier []int) int {
	best, bestScore := 0, uint64(0)
	for pos, i := range tier {
		if score := rank.Score(p.agents[i].Host, p.prefixKey); score >= bestScore {
			best, bestScore = pos, score
		}
	}
	return best
}

// remove removes a position from the current tier and returns its agent.
func (p *Planner) remove(pos int) roster.Member {
	tier := p.tiers[0]
	i := tier[pos]
	tier[pos] = tier[len(tier)-1]
	p.tiers[0] = tier[:len(tier)-1]
	return p.agents[i]
}

// SkipTier omits the remaining agents of the current tier.
func (p *Planner) SkipTier() {
	if len(p.tiers) > 0 {
		p.tiers = p.tiers[1:]
	}
}

// TiersLeft returns the number of tiers with agents left, including the current
// tier.
func (p *Planner) TiersLeft() int {
	for len(p.tiers) > 0 && len(p.tiers[0]) == 0 {
		p.tiers = p.tiers[1:]
	}
	return len(p.tiers)
}

// ProbeResult is a candidate's reply to a probe.
type ProbeResult struct {
	Member roster.Member
	Reply  *peerpb.ProbeReply
	Order  int // never falls from round to round; within a round, the prefix owner has the lowest
}

// MaxRoundsPerTier is the maximum number of rounds of probes per tier.
const MaxRoundsPerTier = 3

// CanStartNow reports whether one of the probed agents would start the call
// immediately, so that no further candidates need to be probed.
func CanStartNow(results []ProbeResult) bool {
	return lo.ContainsBy(results, func(r ProbeResult) bool { return r.Reply.Admits && r.Reply.WaitMs == 0 })
}

// Best returns the result of the agent to which the call should be offered, and
// false if no agent admits it. The agent with the shortest wait is preferred. Among
// agents with equal waits, it is the earlier candidate, since its KV cache may contain
// the prefix, unless another has more than twice as many free slots.
func Best(results []ProbeResult) (ProbeResult, bool) {
	admitting := lo.Filter(results, func(r ProbeResult, _ int) bool { return r.Reply.Admits })
	if len(admitting) == 0 {
		return ProbeResult{}, false
	}
	return slices.MinFunc(admitting, func(a, b ProbeResult) int {
		if c := cmp.Compare(a.Reply.WaitMs, b.Reply.WaitMs); c != 0 {
			return c
		}
		if a.Reply.FreeSlots > 2*b.Reply.FreeSlots || b.Reply.FreeSlots > 2*a.Reply.FreeSlots {
			return cmp.Compare(b.Reply.FreeSlots, a.Reply.FreeSlots)
		}
		return cmp.Compare(a.Order, b.Order)
	}), true
}
