// Package limit keeps the rates that endpoints in need name: how many requests a second
// they accept from all processes together. It does no I/O.
package limit

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// Statement is what one response says about its endpoint's limit.
type Statement struct {
	Named bool    // false: the endpoint has no limit
	Rate  float64 // requests a second from all processes together, at least 0
}

// word is the newest known statement of an endpoint.
type word struct {
	Statement
	startedMs int64     // of the incarnation that said it
	at        time.Time // when its response arrived
}

// Ledger holds the limits that this process knows. It is safe for concurrent use.
type Ledger struct {
	log     *zap.Logger
	metrics *metric.Set

	mu    sync.Mutex
	words map[sched.Key]word
}

// New returns a ledger without limits.
func New(metrics *metric.Set, log *zap.Logger) *Ledger {
	return &Ledger{log: log, metrics: metrics, words: map[sched.Key]word{}}
}

// Hear records what a response of an endpoint says. sent is when its request was sent.
func (l *Ledger) Hear(now time.Time, e endpt.Endpoint, sent time.Time, s Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := sched.KeyOf(e.ID)
	known, found := l.words[key]
	if !s.Named && (!found || known.startedMs == e.StartedMs && sent.Before(known.at)) {
		return // the response may have been under way when the endpoint named its limit
	}
	l.words[key] = word{Statement: s, startedMs: e.StartedMs, at: now}
	if known.Statement != s {
		l.log.Info("endpoint_limit", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.Bool("named", s.Named),
			zap.Float64("rate", s.Rate), zap.Float64("previous_rate", known.Rate))
	}
	if !s.Named {
		delete(l.words, key)
	}
	l.metrics.LimitedEndpoints.Set(float64(len(l.words)))
}
