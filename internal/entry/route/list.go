package route

import (
	"cmp"
	"slices"

	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

// Listed is an agent with its place in the order in which the planner selects candidates.
type Listed struct {
	Member roster.Member
	Class  Class
	Owner  bool // selected as owner of the prefix among the agents that were left, not at random
	Round  int  // in which it was selected, from 1; 0 if it was not
}

// List returns agents in the order of the planner: candidates by tier, the excluded agents
// last. Within a tier, those of the rounds so far go first, then those that further rounds of
// Choose would select, then the others, which a call does not reach. It returns at most limit
// agents, all of the rounds among them, and how many agents each tier and exclusion has.
func List(in Input, rounds [][]roster.Member, limit int) (list []Listed, counts map[string]int) {
	classify := in.classifier()
	counts = map[string]int{}
	seen := make(map[string]bool, len(in.Agents))
	list = make([]Listed, 0, len(in.Agents))
	add := func(m roster.Member, owner bool, round int) {
		if !seen[m.Host] {
			seen[m.Host] = true
			list = append(list, Listed{Member: m, Class: classify(m), Owner: owner, Round: round})
		}
	}
	for n, candidates := range rounds {
		for i, m := range candidates {
			add(m, i < ownerProbes, n+1)
		}
	}
	others := max(0, limit-len(list))
	Choose(New(in), func(candidates []roster.Member) []ProbeResult {
		for i, m := range candidates {
			add(m, i < ownerProbes, 0)
		}
		return nil
	})
	for _, m := range in.Agents {
		add(m, false, 0)
	}
	for _, l := range list {
		counts[l.Class.name()]++
	}
	slices.SortStableFunc(list, func(a, b Listed) int { return cmp.Compare(a.Class.group(), b.Class.group()) })
	return slices.DeleteFunc(list, func(l Listed) bool {
		if l.Round == 0 {
			others--
		}
		return l.Round == 0 && others < 0
	}), counts
}

// name returns the name of the tier or of the exclusion.
func (c Class) name() string {
	if c.Excluded != "" {
		return string(c.Excluded)
	}
	return c.Tier.String()
}

// group returns the tier, or a number above those of the tiers for an excluded agent.
func (c Class) group() int {
	if c.Excluded != "" {
		return int(TierSuspected) + 1
	}
	return int(c.Tier)
}
