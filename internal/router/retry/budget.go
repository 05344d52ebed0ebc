// Package retry implements a retry budget: per service, it limits repeated sends
// (retries) in proportion to first sends over a sliding window. The gateway
// processes share no state. Each applies the ratio to its own first sends and takes
// an equal part of the fixed allowance, so the total stays within the limit even
// while the processes cannot reach each other. A process that has just started has no
// budget for one window, so the total also holds if all are killed at once, and a process
// that does not know the others yet does not take too large a part of the allowance.
package retry

import (
	"sync"
	"time"
)

const bucketCount = 20 // the window slides in steps of 1/20 of its length

// Config holds the limit for all processes together.
type Config struct {
	RetryRatio float64 // retries allowed per first send
	Allowance  int     // additional retries per window, split equally among processes
	Window     time.Duration
	Processes  func() int // number of processes that share the allowance, at least 1
	// Started is when the process started. The process before it may just have spent all that
	// the first sends of the last window allowed, so that this one has nothing for one window.
	// Zero if there was no process before.
	Started time.Time
}

// Budget limits the retries of this process. It is safe for concurrent use.
type Budget struct {
	cfg      Config
	start    time.Time // start of bucket 0; has a monotonic clock reading
	mu       sync.Mutex
	services map[string]*window
}

// window holds one service's counts, in a ring of buckets.
type window struct {
	firsts  [bucketCount]int
	retries [bucketCount]int
	newest  int64 // number of the newest bucket, counted from Budget.start
}

// New returns a budget without recorded sends.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, start: time.Now(), services: map[string]*window{}}
}

// RecordFirst records the first send of a call.
func (b *Budget) RecordFirst(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.firsts[w.newest%bucketCount]++
}

// TryRetry takes one retry from the service's budget. It returns false if none is
// left.
func (b *Budget) TryRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if !b.hasBudget(now, w) {
		return false
	}
	w.retries[w.newest%bucketCount]++
	return true
}

// CanRetry reports whether TryRetry would succeed now, without taking a retry.
func (b *Budget) CanRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasBudget(now, b.window(now, service))
}

func (b *Budget) hasBudget(now time.Time, w *window) bool {
	if !b.cfg.Started.IsZero() && now.Sub(b.cfg.Started) < b.cfg.Window {
		return false
	}
	firsts, retries := w.totals()
	limit := b.cfg.RetryRatio*float64(firsts) + float64(b.cfg.Allowance)/float64(max(1, b.cfg.Processes()))
	return float64(retries+1) <= limit
}

func (w *window) totals() (firsts, retries int) {
	for i := range bucketCount {
		firsts += w.firsts[i]
		retries += w.retries[i]
	}
	return firsts, retries
}

// window returns a service's counts after clearing the buckets that have slid out
// of the window.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	current := b.bucket(now)
	if w == nil {
		w = &window{newest: current}
		b.services[service] = w
	}
	for steps := 0; w.newest < current && steps < bucketCount; steps++ {
		w.newest++
		w.firsts[w.newest%bucketCount], w.retries[w.newest%bucketCount] = 0, 0
	}
	w.newest = max(w.newest, current)
	return w
}

func (b *Budget) bucket(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.cfg.Window / bucketCount))
}
