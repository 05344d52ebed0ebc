package blame

import (
	"iter"
	"slices"
)

// outline is what reports hold, apart from the ages.
type outline struct {
	rules   [][]*record // for each rule the records that it needs
	others  []*record   // that are not settled: those that share open parts, then the rest, each from the newest on
	answers []Part      // at most maxAnswers
}

func (l *Ledger) newOutline() *outline {
	o := &outline{}
	listed := map[*record]bool{}
	if b := l.blocks.Load(); b != nil {
		for _, r := range b.rules {
			needed := slices.DeleteFunc(r.reportOrder()[:minCrashes], func(rec *record) bool { return listed[rec] })
			for _, rec := range needed {
				listed[rec] = true
			}
			o.rules = append(o.rules, needed)
		}
	}
	newest := newestFirst(l.records)
	for _, shared := range []bool{true, false} {
		for _, r := range newest {
			if r.isShared == shared && !r.isSettled() && !listed[r] {
				o.others = append(o.others, r)
			}
		}
	}
	told := map[Part]bool{}
	for _, r := range slices.Concat(slices.Concat(o.rules...), newest) {
		for i, p := range r.parts {
			if r.isCleared(i) && !told[p] && len(o.answers) < maxAnswers {
				told[p] = true
				o.answers = append(o.answers, p)
			}
		}
	}
	return o
}

// crashes returns the records in the order in which a report takes them. The rule that comes
// first changes with the turn if there are more than a report holds.
func (o *outline) crashes(turn int) iter.Seq[*record] {
	first := 0
	if len(o.rules)*minCrashes > maxCrashes {
		first = turn % len(o.rules)
	}
	return func(yield func(*record) bool) {
		for _, records := range [][]*record{slices.Concat(o.rules[first:]...), slices.Concat(o.rules[:first]...), o.others} {
			for _, r := range records {
				if !yield(r) {
					return
				}
			}
		}
	}
}

func newestFirst(records []*record) []*record {
	return slices.SortedFunc(slices.Values(records), func(a, b *record) int { return b.time.Compare(a.time) })
}
