package fault

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

const (
	// maxTold bounds the successes and the failures in a word: more say little more, and an
	// absurd word must not hide the others for long.
	maxTold = 256
	// minTold is the decayed number of outcomes that is worth a word.
	minTold = 0.1
	// lastTold is how long after a word the next one about the endpoint goes out even if no
	// failure counts any more: peers learn of the successes that showed that it has recovered.
	lastTold = 5 * time.Second
)

// Word is what a process has observed of an incarnation since its last word.
type Word struct {
	Endpoint Key
	Counts
}

// TakeNews returns up to n words that peers need: with urgent, only about endpoints of which
// peers were told of no failure lately, otherwise about all of which a failure counts. Without
// the successes of the latter, an endpoint that fails rarely would seem to fail always.
func (l *Ledger) TakeNews(now time.Time, urgent bool, n int) []Word {
	if !l.any.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !urgent {
		l.rate(now) // also while no call is placed
	}
	var due []Key
	for key, r := range l.records {
		if r.urgent || !urgent && r.isNews(now) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b Key) int {
		x, y := l.records[a], l.records[b]
		return cmp.Or(cmp.Compare(y.priority(), x.priority()), x.toldAt.Compare(y.toldAt), cmp.Compare(a, b))
	})
	words := make([]Word, 0, min(n, len(due)))
	for _, key := range due[:min(n, len(due))] {
		r := l.records[key]
		r.decay(now)
		words = append(words, Word{Endpoint: key, Counts: Counts{min(maxTold, r.pending.Successes), min(maxTold, r.pending.Failures)}})
		if r.pending.Failures > 0 {
			r.failureToldAt = now
		}
		r.pending, r.urgent, r.toldAt = Counts{}, false, now
	}
	return words
}

// priority orders the words that are due: first failures, suspect endpoints, others.
func (r *record) priority() int {
	switch {
	case r.urgent:
		return 2
	case r.suspect:
		return 1
	}
	return 0
}

// isNews reports whether peers need the pending outcomes.
func (r *record) isNews(now time.Time) bool {
	known := r.suspect || r.all().Failures >= negligible || !r.toldAt.IsZero() && now.Sub(r.toldAt) < lastTold
	return known && r.pending.total() >= minTold
}

// Merge adds what a peer has observed.
func (l *Ledger) Merge(now time.Time, words []Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range words {
		c := Counts{min(maxTold, w.Successes), min(maxTold, w.Failures)}
		if !(c.Successes >= 0 && c.Failures >= 0 && c.total() > 0) {
			continue
		}
		r := l.record(now, w.Endpoint)
		r.told = r.told.plus(c)
		r.note(now, c)
		if c.Failures > 0 {
			l.any.Store(true)
		}
	}
}

// WordBytes is the largest size of an encoded word: key, successes, failures.
const WordBytes = 4 + 2*2

const countUnit = 1.0 / 16 // resolution of the counts in a word

// Encode encodes words for peers.
func Encode(words []Word) []byte {
	raw := make([]byte, 0, WordBytes*len(words))
	for _, w := range words {
		raw = binary.BigEndian.AppendUint32(raw, uint32(w.Endpoint))
		for _, count := range []float64{w.Successes, w.Failures} {
			raw = binary.AppendUvarint(raw, uint64(math.Round(min(maxTold, max(0, count))/countUnit)))
		}
	}
	return raw
}

var errTruncated = errors.New("report of failures is truncated")

// Decode is the inverse of Encode.
func Decode(raw []byte) ([]Word, error) {
	var words []Word
	for len(raw) > 0 {
		if len(raw) < 4 {
			return nil, errTruncated
		}
		w := Word{Endpoint: Key(binary.BigEndian.Uint32(raw))}
		raw = raw[4:]
		for _, count := range []*float64{&w.Successes, &w.Failures} {
			units, size := binary.Uvarint(raw)
			if size <= 0 {
				return nil, errTruncated
			}
			*count, raw = float64(units)*countUnit, raw[size:]
		}
		words = append(words, w)
	}
	return words, nil
}
