// Package route proposes endpoints for a call and picks one from their answers.
// It is pure: candidates come from rendezvous hashing over workspace and
// prompt prefix, the same on every entry, and from chance.
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
	ownerProbes  = 1 // probes to the owners of the prefix
	randomProbes = 1 // probes to random endpoints
)

// Probes is the number of candidates asked in one round.
const Probes = ownerProbes + randomProbes

// Planner proposes candidates for one call, round by round, nearest first.
type Planner struct {
	agents    []roster.Member
	tiers     [][]int // indices of agents
	prefixKey string
	rng       *rand.Rand
}

// Input is what a plan depends on.
type Input struct {
	View      *view.View
	Service   spec.Service
	Agents    []roster.Member
	Centre    string // of this entry
	Suspected func(host string) bool
	Workspace string
	Prefix    uint64
	Rand      *rand.Rand
}

// New plans a call. Endpoints of the entry's region come before those of
// others, whose traffic is billed; suspected ones come last of all.
func New(in Input) *Planner {
	near := usableDataCentres(in)
	tiers := [][]int{make([]int, 0, len(in.Agents)), nil, nil}
	for i, m := range in.Agents {
		isNear, usable := near[m.DataCentre]
		switch {
		case !usable || m.Leaving:
		case in.Suspected(m.Host):
			tiers[2] = append(tiers[2], i)
		case isNear:
			tiers[0] = append(tiers[0], i)
		default:
			tiers[1] = append(tiers[1], i)
		}
	}
	return &Planner{
		agents: in.Agents, tiers: tiers, rng: in.Rand, prefixKey: in.Workspace + "/" + strconv.FormatUint(in.Prefix, 36),
	}
}

// usableDataCentres returns the data centres that may get new work of the service,
// and whether each is in the entry's region.
func usableDataCentres(in Input) map[string]bool {
	home, _ := in.View.DataCentre(in.Centre)
	near := map[string]bool{}
	for name, d := range in.View.DataCentres() {
		placed := len(in.Service.DataCentres) == 0 || slices.Contains(in.Service.DataCentres, name)
		if placed && !d.OutOfService {
			near[name] = d.Region == home.Region
		}
	}
	return near
}

// Next returns the candidates of the next round, none when all were proposed.
func (p *Planner) Next() []roster.Member {
	if p.TiersLeft() == 0 {
		return nil
	}
	out := make([]roster.Member, 0, Probes)
	for n := 0; n < Probes && len(p.tiers[0]) > 0; n++ {
		at := p.rng.IntN(len(p.tiers[0]))
		if n < ownerProbes {
			at = p.prefixOwner(p.tiers[0])
		}
		out = append(out, p.remove(at))
	}
	return out
}

// prefixOwner returns the position of the agent that owns the prefix in a tier.
func (p *Planner) prefixOwner(tier []int) int {
	best, bestScore := 0, uint64(0)
	for at, i := range tier {
		if score := rank.Score(p.agents[i].Host, p.prefixKey); score >= bestScore {
			best, bestScore = at, score
		}
	}
	return best
}

// remove removes a position of the current tier and returns its agent.
func (p *Planner) remove(at int) roster.Member {
	tier := p.tiers[0]
	i := tier[at]
	tier[at] = tier[len(tier)-1]
	p.tiers[0] = tier[:len(tier)-1]
	return p.agents[i]
}

// SkipTier leaves the rest of the current tier out.
func (p *Planner) SkipTier() {
	if len(p.tiers) > 0 {
		p.tiers = p.tiers[1:]
	}
}

// TiersLeft returns the number of tiers left, which tells one tier from the next.
func (p *Planner) TiersLeft() int {
	for len(p.tiers) > 0 && len(p.tiers[0]) == 0 {
		p.tiers = p.tiers[1:]
	}
	return len(p.tiers)
}

// Answer is one candidate's reply to a probe.
type Answer struct {
	Member roster.Member
	Reply  *peerpb.ProbeReply
	Order  int // position among the candidates, owners of the prefix first
}

// RoundsPerTier is how often more candidates of one tier are asked.
const RoundsPerTier = 3

// Settled reports whether an answer would start the call at once, so that no
// further candidates need to be asked.
func Settled(answers []Answer) bool {
	return lo.ContainsBy(answers, func(a Answer) bool { return a.Reply.Admits && a.Reply.WaitMs == 0 })
}

// Best returns the answer to offer the call to, and false if none admits it.
// The shortest wait wins, then the earlier candidate, whose cache may hold the
// prefix, unless another has far more room.
func Best(answers []Answer) (Answer, bool) {
	admitting := lo.Filter(answers, func(a Answer, _ int) bool { return a.Reply.Admits })
	if len(admitting) == 0 {
		return Answer{}, false
	}
	return slices.MinFunc(admitting, func(a, b Answer) int {
		if c := cmp.Compare(a.Reply.WaitMs, b.Reply.WaitMs); c != 0 {
			return c
		}
		if a.Reply.FreeSlots > 2*b.Reply.FreeSlots || b.Reply.FreeSlots > 2*a.Reply.FreeSlots {
			return cmp.Compare(b.Reply.FreeSlots, a.Reply.FreeSlots)
		}
		return cmp.Compare(a.Order, b.Order)
	}), true
}
