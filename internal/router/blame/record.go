package blame

import (
	"cmp"
	"slices"
	"time"
)

// record is a crash. Once all its parts have been answered it is settled: it is kept as
// long as there is room, to recognize repetitions and to tell peers the answers.
type record struct {
	engine   uint32
	time     time.Time     // earliest known
	ran      time.Duration // from the send of the call until the crash, the shortest known; 0 if unknown
	parts    []Part        // 1 to maxParts, ascending, distinct; immutable
	cleared  uint64        // bit i: parts[i] was answered at this time or later
	supports bool          // a block rests on it
	isShared bool          // an open part of it is one of another engine's crash too
	isNews   bool          // peers have not been told yet
}

func (r *record) isCleared(i int) bool            { return r.cleared>>i&1 == 1 }
func (r *record) isSettled() bool                 { return r.cleared == 1<<len(r.parts)-1 }
func (r *record) age(now time.Time) time.Duration { return max(0, now.Sub(r.time)) }

func (r *record) has(p Part) bool {
	_, found := slices.BinarySearch(r.parts, p)
	return found
}

// clear marks the parts that have been answered since.
func (r *record) clear(a *answers) {
	cleared := uint64(0)
	for i, p := range r.parts {
		if !a.newest(p).Before(r.time) {
			cleared |= 1 << i
		}
	}
	r.isNews = r.isNews || cleared != r.cleared
	r.cleared = cleared
}

// partSet returns the first maxParts distinct parts in ascending order.
func partSet(parts []Part) []Part {
	set := make([]Part, 0, min(len(parts), maxParts))
	for _, p := range parts {
		if i, found := slices.BinarySearch(set, p); !found && p != 0 && len(set) < maxParts {
			set = slices.Insert(set, i, p)
		}
	}
	return set
}

// wouldSettle reports whether all parts of a record were answered at a time or later.
func (l *Ledger) wouldSettle(r *record, at time.Time) bool {
	return !slices.ContainsFunc(r.parts, func(p Part) bool { return l.answers.newest(p).Before(at) })
}

// add adds a crash or corrects its times: it keeps the earliest, and the shortest time of a
// call that ran, but a settled record does not hide a crash after the answers. It returns
// false if that changes nothing.
func (l *Ledger) add(engine uint32, at time.Time, ran time.Duration, parts []Part) bool {
	set := partSet(parts)
	if len(set) == 0 {
		return false
	}
	for _, r := range l.records {
		if r.engine == engine && slices.Equal(r.parts, set) {
			isNews := at.Before(r.time) || r.isSettled() && !l.wouldSettle(r, at)
			if isNews {
				r.time = at
			}
			if ran > 0 && (r.ran == 0 || ran < r.ran) {
				r.ran, isNews = ran, true
			}
			return isNews
		}
	}
	if l.isProven(set) {
		return false
	}
	l.answers.pin(set)
	l.records = append(l.records, &record{engine: engine, time: at, ran: ran, parts: set, isNews: true})
	return true
}

// isProven reports whether calls with just these parts are enough to block them, here and at
// those who are told of them. Further crashes would only take the place of others.
func (l *Ledger) isProven(set []Part) bool {
	var same []*record
	for _, r := range l.records {
		if !r.isSettled() && slices.Equal(r.parts, set) {
			same = append(same, r)
		}
	}
	return isEvidence(same, reportSkew)
}

// clears reports whether an answer would clear a part of a record that the newest
// answer does not.
func (l *Ledger) clears(p Part, at time.Time) bool {
	known, isPinned := l.answers.pinned[p]
	return isPinned && slices.ContainsFunc(l.records, func(r *record) bool {
		return r.time.After(known) && !r.time.After(at) && r.has(p)
	})
}

// expire drops the records that have expired.
func (l *Ledger) expire(now time.Time) {
	if !l.expires.IsZero() && !now.Before(l.expires) {
		l.update(now)
	}
}

// update applies a change of records or answers, or the passing of time.
func (l *Ledger) update(now time.Time) {
	l.outline = nil
	added := len(l.records)
	l.records = slices.DeleteFunc(l.records, func(r *record) bool { return now.Sub(r.time) >= expiry })
	for _, r := range l.records {
		r.clear(&l.answers)
	}
	rules := findRules(l.records)
	for len(l.records) > maxRecords {
		dropped := l.dropLeastUseful()
		if dropped.supports {
			rules = findRules(l.records)
		}
	}
	if len(l.records) < added {
		l.answers.unpin(l.records)
	}
	l.setRules(rules)
	if slices.ContainsFunc(l.records, func(r *record) bool { return r.isNews }) {
		l.state++
	}
	for _, r := range l.records {
		r.isNews = false
	}
}

// dropLeastUseful drops the oldest settled record, else the oldest that shares no open part
// with another engine's, else the oldest that no block rests on, else the oldest.
func (l *Ledger) dropLeastUseful() *record {
	least := slices.MinFunc(l.records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.time.Compare(b.time))
	})
	l.records = slices.DeleteFunc(l.records, func(r *record) bool { return r == least })
	return least
}

func (r *record) rank() int {
	switch {
	case r.isSettled():
		return 0
	case !r.isShared:
		return 1
	case !r.supports:
		return 2
	}
	return 3
}

// setRules replaces the rules. Those that block more raise the state and close changed.
func (l *Ledger) setRules(rules []rule) {
	old := l.blocks.Load()
	l.expires = time.Time{}
	if len(l.records) > 0 {
		oldest := slices.MinFunc(l.records, func(a, b *record) int { return a.time.Compare(b.time) })
		l.expires = oldest.time.Add(expiry)
	}
	var current *blocks
	if len(rules) > 0 {
		current = &blocks{rules: rules, until: l.expires}
	}
	l.blocks.Store(current)
	if slices.ContainsFunc(rules, func(r rule) bool { return !old.covers(r.parts) }) {
		l.state++
		close(l.changed)
		l.changed = make(chan struct{})
	}
}
