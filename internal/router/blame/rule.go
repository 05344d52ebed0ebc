package blame

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is how many engines, or starts of one, have to crash under a part, each apart
	// from the others.
	minCrashes = 3
	// commonLoss is the time within which all engines of a host or a data centre that is lost
	// are noticed to have crashed.
	commonLoss = 500 * time.Millisecond
	// reportSkew is how much later a crash may seem to those who are told of it.
	reportSkew = 50 * time.Millisecond
)

// rule is a set of parts that no call may hold all of. It is immutable.
type rule struct {
	parts   []Part    // ascending
	records []*record // that it rests on
}

// blocks holds the rules of a ledger; no rule holds all parts of another. Nil blocks
// nothing. It is immutable.
type blocks struct {
	rules []rule
	until time.Time // when a record expires
}

// match returns the parts of the rules that a call breaks, in ascending order.
func (b *blocks) match(parts []Part) (culprits []Part, blocked bool) {
	if b == nil {
		return nil, false
	}
	for _, r := range b.rules {
		if containsAll(parts, r.parts) {
			culprits = append(culprits, r.parts...)
		}
	}
	slices.Sort(culprits)
	return slices.Compact(culprits), len(culprits) > 0
}

func (b *blocks) covers(parts []Part) bool {
	_, blocked := b.match(parts)
	return blocked
}

func containsAll(parts, wanted []Part) bool {
	for _, p := range wanted {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// suspicion is a part that no answer since a crash clears of it.
type suspicion struct {
	part   Part
	record int // index
}

// findRules returns the rules that the records yield, and marks the records that they
// rest on.
func findRules(records []*record) []rule {
	var suspects []suspicion
	for n, r := range records {
		r.supports, r.isShared = false, false
		for i, p := range r.parts {
			if !r.isCleared(i) {
				suspects = append(suspects, suspicion{p, n})
			}
		}
	}
	slices.SortFunc(suspects, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.record, b.record))
	})
	var candidates []rule
	var rs []*record
	for len(suspects) > 0 {
		p := suspects[0].part
		rs = rs[:0]
		for len(suspects) > 0 && suspects[0].part == p {
			rs = append(rs, records[suspects[0].record])
			suspects = suspects[1:]
		}
		if !isOneEngine(rs) {
			for _, r := range rs {
				r.isShared = true
			}
		}
		isSame := func(r rule) bool { return slices.Equal(r.records, rs) }
		if isEvidence(rs, 0) && !slices.ContainsFunc(candidates, isSame) {
			candidates = append(candidates, newRule(rs))
		}
	}
	rules := justified(candidates)
	for _, r := range rules {
		for _, rec := range r.records {
			rec.supports = true
		}
	}
	return rules
}

// justified returns the candidates that stand, those with the fewest parts first; none holds all
// parts of another. Of two that do, the one with fewer parts stands if an engine crashed under
// it that the other does not explain: calls that were under way at an engine that crashed share
// parts with the one that caused it.
func justified(candidates []rule) []rule {
	slices.SortFunc(candidates, func(a, b rule) int {
		return cmp.Or(cmp.Compare(len(b.parts), len(a.parts)), cmp.Compare(len(a.records), len(b.records)), slices.Compare(b.parts, a.parts))
	})
	var found []rule
	for _, wide := range candidates {
		explained := map[uint32]bool{} // engines
		isNarrower := func(r rule) bool { return containsAll(r.parts, wide.parts) }
		for _, r := range found {
			for _, rec := range r.records {
				explained[rec.engine] = explained[rec.engine] || isNarrower(r)
			}
		}
		isExplained := func(rec *record) bool { return explained[rec.engine] }
		if allOf(wide.records, isExplained) {
			continue
		}
		found = append(slices.DeleteFunc(found, isNarrower), wide)
	}
	slices.Reverse(found)
	return found
}

func allOf(records []*record, has func(*record) bool) bool {
	return !slices.ContainsFunc(records, func(r *record) bool { return !has(r) })
}

// isOneEngine reports whether all records are of the same engine.
func isOneEngine(records []*record) bool {
	return allOf(records, func(r *record) bool { return r.engine == records[0].engine })
}

// isEvidence reports whether crashes speak against the calls that they have in common. With a
// slack they do so also for those who know their times less well.
func isEvidence(records []*record, slack time.Duration) bool {
	return len(chain(records, slack)) == minCrashes
}

// chain returns up to minCrashes of the records that no common loss explains, oldest first:
// each of another engine and apart from the one before it. Calls that were merely under way
// when a host or a data centre was lost have one such crash, however many engines it took. Under
// a call that crashes its engines one crash follows the other, each after another send.
func chain(records []*record, slack time.Duration) []*record {
	sorted := slices.SortedFunc(slices.Values(records), func(a, b *record) int {
		return cmp.Or(a.time.Compare(b.time), cmp.Compare(a.engine, b.engine))
	})
	links := make([]*record, 0, minCrashes)
	for _, r := range sorted {
		isKnown := func(link *record) bool { return link.engine == r.engine }
		if len(links) == minCrashes {
			break
		}
		if len(links) == 0 || r.isApartFrom(links[len(links)-1], slack) && !slices.ContainsFunc(links, isKnown) {
			links = append(links, r)
		}
	}
	return links
}

// isApartFrom reports whether an earlier crash and this one had different causes: the call of
// this one was sent after the other crash, or it is too late for a common loss.
func (r *record) isApartFrom(earlier *record, slack time.Duration) bool {
	gap := r.time.Sub(earlier.time) - slack
	return gap > commonLoss || r.ran > 0 && gap > max(r.ran, reportSkew)
}

// newRule returns the rule of the parts whose suspicions are those of the records: all
// parts that these share, without those answered since the earliest of them.
func newRule(records []*record) rule {
	earliest := slices.MinFunc(records, func(a, b *record) int { return a.time.Compare(b.time) })
	var parts []Part
	for i, p := range earliest.parts {
		isMissing := func(r *record) bool { return !r.has(p) }
		if !earliest.isCleared(i) && !slices.ContainsFunc(records, isMissing) {
			parts = append(parts, p)
		}
	}
	return rule{parts: parts, records: slices.Clone(records)}
}

// reportOrder returns the records with the oldest first, on whose time the rule depends, then
// the others that make it, then the rest, each from the newest on.
func (r rule) reportOrder() []*record {
	links := chain(r.records, reportSkew) // begins with the oldest
	if len(links) < minCrashes {
		links = chain(r.records, 0)
	}
	isLink := func(rec *record) bool { return slices.Contains(links, rec) }
	return append(links, slices.DeleteFunc(newestFirst(r.records), isLink)...)
}
