package route

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

// MaxRoundsPerTier is the maximum number of rounds of probes per tier.
const MaxRoundsPerTier = 3

// Choose probes candidates tier by tier and returns the result of the agent to which
// the call should be offered, and false if no agent admits it. Within a tier it probes up
// to MaxRoundsPerTier rounds and stops at the first one in which a candidate would start
// the call immediately. It moves on to the next tier only if no probed candidate admits
// the call. probe returns the results of those candidates that answered, in their order.
func Choose(plan *Planner, probe func(candidates []roster.Member) []ProbeResult) (ProbeResult, bool) {
	var results []ProbeResult
	for tier := plan.TiersLeft(); tier > 0; tier = plan.TiersLeft() {
		for n := 0; n < MaxRoundsPerTier && plan.TiersLeft() == tier; n++ {
			for _, r := range probe(plan.Next()) {
				r.Order = len(results)
				results = append(results, r)
			}
			if CanStartNow(results) {
				break
			}
		}
		if best, ok := Best(results); ok {
			return best, true
		}
		if plan.TiersLeft() == tier {
			plan.SkipTier()
		}
	}
	return ProbeResult{}, false
}

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
