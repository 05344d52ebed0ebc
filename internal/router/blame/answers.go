package blame

import "time"

// generationSize is half the number of parts outside records whose answers are kept.
const generationSize = 4096

// answers holds the time of the newest answer of each part. Those of parts in records
// are kept as long as the records, of the others at least the generationSize newest.
type answers struct {
	pinned           map[Part]time.Time // of all parts in records; zero if not answered
	recent, previous map[Part]time.Time
}

func newAnswers() answers {
	return answers{pinned: map[Part]time.Time{}, recent: map[Part]time.Time{}}
}

// newest returns the time of the newest answer, zero if there is none.
func (a *answers) newest(p Part) time.Time {
	if at, ok := a.pinned[p]; ok {
		return at
	}
	if at, ok := a.recent[p]; ok {
		return at
	}
	return a.previous[p]
}

func (a *answers) put(p Part, at time.Time) {
	if !at.After(a.newest(p)) {
		return
	}
	if _, ok := a.pinned[p]; ok {
		a.pinned[p] = at
		return
	}
	a.recent[p] = at
	if len(a.recent) >= generationSize {
		a.recent, a.previous = make(map[Part]time.Time, generationSize), a.recent
	}
}

// pin keeps the answers of parts regardless of their number.
func (a *answers) pin(parts []Part) {
	for _, p := range parts {
		a.pinned[p] = a.newest(p)
	}
}

// unpin pins no other parts than those of the records.
func (a *answers) unpin(records []*record) {
	old := a.pinned
	a.pinned = make(map[Part]time.Time, len(old))
	for _, r := range records {
		for _, p := range r.parts {
			a.pinned[p] = old[p]
		}
	}
	for p, at := range old {
		a.put(p, at)
	}
}
