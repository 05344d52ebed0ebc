// Package fault keeps how often endpoints fail calls: with an error status of their own or
// a broken response. Outcomes are kept by incarnation of an endpoint. They come from the
// calls of this process (Record) and from peers (exchange.go). It does no I/O.
package fault

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
)

const (
	// decayTime is the time constant with which outcomes decay. In a fleet, an endpoint has
	// about one call a second, so a dozen calls count.
	decayTime = 15 * time.Second
	// negligible is the weight below which outcomes no longer count: 45 s after one.
	negligible = 0.05

	// maxIncarnations bounds memory, above the endpoints of the largest fleet and those that
	// replace them while their outcomes count.
	maxIncarnations = 4096

	// rateInterval is the longest time between two ratings while an endpoint fails. An own
	// failure is rated at once.
	rateInterval = 100 * time.Millisecond
)

// Config holds the dependencies of a Ledger.
type Config struct {
	Metrics *metric.Set // nil: nothing is counted
	Log     *zap.Logger // nil: nothing is logged
}

// Estimate is how often an endpoint fails. The zero value is that of an endpoint that does
// not fail more often than others.
type Estimate struct {
	Suspect    bool
	Excess     float64 // failure rate above the usual one, 0 unless suspect
	Rate       float64 // share of calls that failed
	Usual      float64 // rate of the service's other endpoints
	Recovering bool    // its last calls did not fail
	Own, Told  Counts
	Age        time.Duration // of the newest outcome
}

// Counts are outcomes, decayed.
type Counts struct{ Successes, Failures float64 }

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Successes + o.Successes, c.Failures + o.Failures}
}

func (c Counts) times(f float64) Counts { return Counts{f * c.Successes, f * c.Failures} }

func (c Counts) total() float64 { return c.Successes + c.Failures }

// Ledger holds the outcomes of calls at all endpoints. It is safe for concurrent use.
type Ledger struct {
	cfg Config
	any atomic.Bool // a failure counts

	mu      sync.Mutex
	records map[Key]*record
	ratedAt time.Time
	unrated bool // an own failure has come since
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	cfg.Log = cmp.Or(cfg.Log, zap.NewNop())
	return &Ledger{cfg: cfg, records: map[Key]*record{}}
}

// Key stands for an incarnation of an endpoint. It is a hash of its ID and its start.
type Key uint32

func keyOf(e endpt.Endpoint) Key {
	var start [8]byte
	binary.BigEndian.PutUint64(start[:], uint64(e.StartedMs))
	return Key(xxhash.Sum64String(e.ID) ^ xxhash.Sum64(start[:]))
}

// Any reports whether any endpoint has failed a call lately.
func (l *Ledger) Any() bool { return l.any.Load() }

// Record records the outcome of a call of this process.
func (l *Ledger) Record(now time.Time, e endpt.Endpoint, failed bool) {
	outcome := Counts{Successes: 1}
	if failed {
		outcome = Counts{Failures: 1}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, keyOf(e))
	r.endpoint = e
	r.own, r.pending = r.own.plus(outcome), r.pending.plus(outcome)
	r.note(now, outcome)
	if failed {
		r.urgent = r.urgent || r.failureToldAt.IsZero() || now.Sub(r.failureToldAt) >= decayTime
		l.unrated = true
		l.any.Store(true)
	}
}

// Estimate returns how often an endpoint fails.
func (l *Ledger) Estimate(now time.Time, e endpt.Endpoint) Estimate {
	if !l.any.Load() {
		return Estimate{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, keyOf(e)) // also if nothing is known of it: then it counts as one that does not fail
	r.askedAt = now
	if r.endpoint.ID == "" {
		r.endpoint = e
		l.unrated = l.unrated || r.all().Failures >= minFailures // peers have told of it
	}
	l.rate(now)
	if !r.suspect {
		return Estimate{}
	}
	return r.estimate(now)
}

// record returns the record of an incarnation as of now, adding it if it is new.
func (l *Ledger) record(now time.Time, key Key) *record {
	r := l.records[key]
	if r == nil {
		l.makeRoom()
		r = &record{at: now}
		l.records[key] = r
	}
	r.decay(now)
	return r
}

// makeRoom drops the quarter of the records that were used least recently if there are too
// many.
func (l *Ledger) makeRoom() {
	if len(l.records) < maxIncarnations {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(l.records), func(a, b Key) int { return l.records[a].newest.Compare(l.records[b].newest) })
	for _, key := range oldest[:maxIncarnations/4] {
		delete(l.records, key)
	}
}
