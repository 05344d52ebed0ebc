// Package spend bounds repeated sends in proportion to first ones over a sliding
// window. Processes share no state: each keeps to the ratio of its own first
// sends and to its part of the fixed allowance, so that the sum of all keeps to
// the whole also while they cannot see each other.
package spend

import (
	"sync"
	"time"
)

const buckets = 20 // parts of the window

// Config is the shared bound.
type Config struct {
	Ratio     float64       // repeats for each first send
	Allowance int           // repeats in a window on top, for all processes together
	Window    time.Duration // sliding
	Entries   func() int    // processes that share the allowance, at least 1
}

// Budget is safe for concurrent use.
type Budget struct {
	cfg      Config
	start    time.Time // bucket numbers follow the monotonic clock from here
	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	firsts  [buckets]int
	repeats [buckets]int
	newest  int64 // number of the newest bucket
}

// New returns an unused budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, start: time.Now(), services: map[string]*window{}}
}

// First records a first send of a call.
func (b *Budget) First(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.firsts[w.newest%buckets]++
}

// Repeat spends one repeated send. It reports whether one was left.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if !b.left(w) {
		return false
	}
	w.repeats[w.newest%buckets]++
	return true
}

// Left reports whether a repeat would be allowed.
func (b *Budget) Left(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.window(now, service))
}

func (b *Budget) left(w *window) bool {
	firsts, repeats := w.sums()
	most := b.cfg.Ratio*float64(firsts) + float64(b.cfg.Allowance)/float64(max(1, b.cfg.Entries()))
	return float64(repeats+1) <= most
}

func (w *window) sums() (firsts, repeats int) {
	for i := range buckets {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	return firsts, repeats
}

// window returns a service's counts with the buckets that are over emptied.
func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	present := b.bucket(now)
	if w == nil {
		w = &window{newest: present}
		b.services[service] = w
	}
	for steps := 0; w.newest < present && steps < buckets; steps++ {
		w.newest++
		w.firsts[w.newest%buckets], w.repeats[w.newest%buckets] = 0, 0
	}
	w.newest = max(w.newest, present)
	return w
}

func (b *Budget) bucket(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.cfg.Window / buckets))
}
