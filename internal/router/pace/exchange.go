package pace

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

const (
	// A word goes out if the figures differ by more than toldChange from the last ones told,
	// and otherwise every toldInterval, well before peers forget them.
	toldChange   = 1.15
	toldInterval = 4 * time.Second
	// maxCount is the largest number of figures in a word. More say little more.
	maxCount = 16
	// transit is added to a word's age, as messages are under way for some time.
	transit = 20 * time.Millisecond
)

// Word is what a process has heard of an incarnation since its last word.
type Word struct {
	Endpoint        Key
	Age             time.Duration // of the newest figure
	Mean, Low, High float64
	Count           int
}

// TakeNews drops what is forgotten and returns up to n words that peers were not told yet, those told longest ago first.
func (l *Ledger) TakeNews(now time.Time, n int) []Word {
	if !l.any.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []Key
	for key, r := range l.records {
		switch {
		case now.Sub(r.at) >= forgottenTime:
			delete(l.records, key)
		case r.pending.count > 0 && r.isNews(now):
			due = append(due, key)
		}
	}
	l.cfg.Metrics.PacedEndpoints.Set(float64(len(l.records)))
	slices.SortFunc(due, func(a, b Key) int {
		return cmp.Or(l.records[a].toldAt.Compare(l.records[b].toldAt), cmp.Compare(a, b))
	})
	words := make([]Word, 0, min(n, len(due)))
	for _, key := range due[:min(n, len(due))] {
		r := l.records[key]
		p := r.pending
		words = append(words, Word{Endpoint: key, Age: now.Sub(r.at), Mean: p.mean, Low: p.low, High: p.high, Count: min(maxCount, p.count)})
		r.told, r.toldAt, r.pending = p, now, figures{}
	}
	return words
}

// isNews reports whether peers need the pending figures.
func (r *record) isNews(now time.Time) bool {
	differs := func(a, b float64) bool { return a > toldChange*b || b > toldChange*a }
	return r.told.count == 0 || now.Sub(r.toldAt) >= toldInterval ||
		differs(r.pending.mean, r.told.mean) || r.pending.low*toldChange < r.told.low || r.pending.high > toldChange*r.told.high
}

// Merge adds what a peer has heard.
func (l *Ledger) Merge(now time.Time, words []Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range words {
		age := w.Age + transit
		if w.Count < 1 || w.Age < 0 || age >= forgottenTime || !(w.Low > 0 && w.Low <= w.Mean && w.Mean <= w.High) || math.IsInf(w.High, 1) {
			continue
		}
		bounded := func(f float64) float64 { return min(maxPace, max(minPace, f)) }
		l.record(now, w.Endpoint).add(now.Add(-age), figures{mean: bounded(w.Mean), low: bounded(w.Low), high: bounded(w.High), count: w.Count})
	}
}

// WordBytes is the size of an encoded word: key, age, mean, lowest, highest, count.
const WordBytes = 9

const (
	ageUnit = 100 * time.Millisecond
	// A figure is sent as the logarithm to the base 2 in units of 1/paceScale, above
	// paceOffset: steps of 2.4%, and bounds beyond minPace and maxPace.
	paceScale, paceOffset = 29.0, 128.0
)

// Encode encodes words for peers.
func Encode(words []Word) []byte {
	raw := make([]byte, 0, WordBytes*len(words))
	for _, w := range words {
		raw = binary.BigEndian.AppendUint32(raw, uint32(w.Endpoint))
		raw = append(raw, byte(min(math.MaxUint8, max(0, (w.Age+ageUnit-1)/ageUnit))),
			encodePace(w.Mean), encodePace(w.Low), encodePace(w.High), byte(min(math.MaxUint8, w.Count)))
	}
	return raw
}

var errTruncated = errors.New("report of paces is truncated")

// Decode is the inverse of Encode.
func Decode(raw []byte) ([]Word, error) {
	if len(raw)%WordBytes != 0 {
		return nil, errTruncated
	}
	words := make([]Word, 0, len(raw)/WordBytes)
	for ; len(raw) > 0; raw = raw[WordBytes:] {
		words = append(words, Word{
			Endpoint: Key(binary.BigEndian.Uint32(raw)), Age: time.Duration(raw[4]) * ageUnit,
			Mean: decodePace(raw[5]), Low: decodePace(raw[6]), High: decodePace(raw[7]), Count: int(raw[8]),
		})
	}
	return words, nil
}

func encodePace(f float64) byte {
	return byte(min(math.MaxUint8, max(0, math.Round(paceOffset+paceScale*math.Log2(f)))))
}

func decodePace(b byte) float64 { return math.Exp2((float64(b) - paceOffset) / paceScale) }
