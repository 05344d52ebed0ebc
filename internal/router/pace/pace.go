// Package pace keeps what endpoints say about how long work takes on them now, as a
// multiple of what is usual. Figures are kept by incarnation of an endpoint. They come
// with responses (Hear) and from peers (exchange.go). It does no I/O.
package pace

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
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
	meanTime   = 8 * time.Second        // time constant of the mean
	momentTime = 600 * time.Millisecond // time constant with which the last figure decays to the mean

	// A mean is trusted for trustedTime after the last figure. Then it goes to 1.0, which it
	// reaches at forgottenTime, so that an endpoint without calls gets some again.
	trustedTime   = 10 * time.Second
	forgottenTime = 30 * time.Second

	// Figures outside these bounds count as the bound: one absurd value must not hide all
	// others.
	minPace, maxPace = 1.0 / 16, 16.0

	// maxIncarnations bounds memory, above the endpoints of the largest fleet and those that
	// replace them while their figures are kept.
	maxIncarnations = 4096
	maxServices     = 256 // whose noise is kept
)

// Statement is what one response says about the load of its endpoint.
type Statement struct {
	Running, Waiting, Slots int
	HasPace                 bool
	Pace                    float64 // how long work takes, 1.0 is usual
}

// Estimate is how long work takes on an endpoint, as multiples of what is usual.
type Estimate struct {
	Known bool    // false: nothing is known, all figures are 1.0
	Mean  float64 // moving average
	Now   float64 // the last figure, decaying to the mean
	Peak  float64 // highest figure to expect
	Age   time.Duration
}

// Unknown is the estimate for an endpoint of which nothing is known.
func Unknown() Estimate { return Estimate{Mean: 1, Now: 1, Peak: 1} }

// Config holds the dependencies of a Ledger.
type Config struct {
	Metrics *metric.Set
	Log     *zap.Logger
}

// Ledger holds the figures of all endpoints. It is safe for concurrent use.
type Ledger struct {
	cfg Config
	any atomic.Bool // an endpoint has sent a figure

	mu       sync.Mutex
	records  map[Key]*record
	noises   map[string]float64   // by service: usual ratio of the highest to the lowest figure of an endpoint
	invalids map[string]time.Time // when a malformed statement was last logged, by endpoint ID
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, records: map[Key]*record{}, noises: map[string]float64{}, invalids: map[string]time.Time{}}
}

// Key stands for an incarnation of an endpoint. It is a hash of its ID and its start.
type Key uint32

func keyOf(e endpt.Endpoint) Key {
	var start [8]byte
	binary.BigEndian.PutUint64(start[:], uint64(e.StartedMs))
	return Key(xxhash.Sum64String(e.ID) ^ xxhash.Sum64(start[:]))
}

// Any reports whether any endpoint has sent a figure.
func (l *Ledger) Any() bool { return l.any.Load() }

// Hear records what a response of an endpoint says.
func (l *Ledger) Hear(now time.Time, e endpt.Endpoint, s Statement) {
	l.cfg.Metrics.LoadStatements.WithLabelValues("valid").Inc()
	if !s.HasPace {
		return
	}
	figure := min(maxPace, max(minPace, s.Pace))
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, keyOf(e))
	r.add(now, figures{mean: figure, low: figure, high: figure, count: 1})
	r.pending = r.pending.plus(figures{mean: figure, low: figure, high: figure, count: 1})
	l.learnNoise(now, e.Service, r)
	l.logClass(now, e, r)
}

// HearInvalid records that a response of an endpoint had a malformed statement.
func (l *Ledger) HearInvalid(now time.Time, e endpt.Endpoint, err error) {
	l.cfg.Metrics.LoadStatements.WithLabelValues("invalid").Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, logged := l.invalids[e.ID]; logged && now.Sub(at) < invalidLogInterval {
		return
	}
	if len(l.invalids) >= maxIncarnations {
		maps.DeleteFunc(l.invalids, func(_ string, at time.Time) bool { return now.Sub(at) >= invalidLogInterval })
	}
	if len(l.invalids) >= maxIncarnations {
		return // the metric counts them
	}
	l.invalids[e.ID] = now
	l.cfg.Log.Warn("endpoint_load_invalid", zap.String("endpoint", e.ID), zap.Error(err))
}

const invalidLogInterval = time.Minute

// Estimate returns how long work takes on an endpoint. A nil ledger knows nothing.
func (l *Ledger) Estimate(now time.Time, e endpt.Endpoint) Estimate {
	if l == nil || !l.any.Load() {
		return Unknown()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[keyOf(e)]
	if r == nil || now.Sub(r.at) >= forgottenTime {
		return Unknown()
	}
	return r.estimate(now, l.noises[e.Service])
}

// record returns the record of an incarnation, adding it if it is new.
func (l *Ledger) record(now time.Time, key Key) *record {
	r := l.records[key]
	if r == nil {
		l.makeRoom(now)
		r = &record{}
		l.records[key] = r
		l.any.Store(true)
		l.cfg.Metrics.PacedEndpoints.Set(float64(len(l.records)))
	}
	return r
}

// makeRoom drops the records that are forgotten and, if that is not enough, the oldest
// quarter.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.records) < maxIncarnations {
		return
	}
	maps.DeleteFunc(l.records, func(_ Key, r *record) bool { return now.Sub(r.at) >= forgottenTime })
	if len(l.records) < maxIncarnations {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(l.records), func(a, b Key) int { return cmp.Compare(l.records[a].at.UnixNano(), l.records[b].at.UnixNano()) })
	for _, key := range oldest[:maxIncarnations/4] {
		delete(l.records, key)
	}
}

const (
	// An endpoint that showed no noise in a few figures may still have some: the usual ratio
	// rises faster than it falls.
	noiseRise, noiseFall = 0.1, 0.02
	noiseFigures         = 4   // in the window, that show an endpoint's noise
	maxNoise             = 4.0 // bounds what one endpoint does to the estimates of the others
)

// learnNoise updates the ratio of the highest to the lowest figure that is usual at a
// service. One endpoint often has too few figures for its own.
func (l *Ledger) learnNoise(now time.Time, service string, r *record) {
	w := r.window.total(now)
	if w.count < noiseFigures {
		return
	}
	known, found := l.noises[service]
	diff := min(maxNoise, w.high/w.low) - known
	switch {
	case found:
		l.noises[service] = known + max(noiseFall*diff, noiseRise*diff)
	case len(l.noises) < maxServices:
		l.noises[service] = diff
	}
}

const (
	classChange      = 1.25             // factor between means that are logged
	classLogInterval = 30 * time.Second // for each endpoint
)

// logClass logs a mean that differs by more than a quarter from the one logged before.
func (l *Ledger) logClass(now time.Time, e endpt.Endpoint, r *record) {
	mean := r.mean()
	before := cmp.Or(r.logged, 1.0)
	if math.Abs(math.Log(mean/before)) < math.Log(classChange) || !r.loggedAt.IsZero() && now.Sub(r.loggedAt) < classLogInterval {
		return
	}
	w := r.window.total(now)
	l.cfg.Log.Info("endpoint_pace", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.Int64("started_ms", e.StartedMs), zap.Float64("mean", mean),
		zap.Float64("previous", before), zap.Duration("previous_age", ageOf(now, r.loggedAt)), zap.Int("figures", w.count), zap.Float64("lowest", w.low), zap.Float64("highest", w.high))
	r.logged, r.loggedAt = mean, now
}

// ageOf returns the time since at, 0 if there was none.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}
