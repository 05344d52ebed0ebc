// Package route selects the agents to probe for a call and chooses one by their
// probe replies. It does no I/O. In each round, one candidate is the rendezvous
// hash owner of the workspace and prompt prefix, which is the same on every entry,
// and the other is random.
package route

import (
	"math/rand/v2"
	"strconv"

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
	Holds      func(host string) bool // whether the agent's engine should hold the call's model; nil for all
	Workspace  string
	Prefix     uint64 // hash of the prompt prefix
	Rand       *rand.Rand
}

// New returns the Planner of one call. Its tiers are those that Input.classifier names.
// Excluded agents are omitted.
func New(in Input) *Planner {
	classify := in.classifier()
	tiers := [][]int{make([]int, 0, len(in.Agents)), nil, nil}
	for i, m := range in.Agents {
		if c := classify(m); c.Excluded == "" {
			tiers[c.Tier] = append(tiers[c.Tier], i)
		}
	}
	return &Planner{
		agents: in.Agents, tiers: tiers, rng: in.Rand, prefixKey: in.Workspace + "/" + strconv.FormatUint(in.Prefix, 36),
	}
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
	Order  int // in which the candidates were selected, set by Choose
}
