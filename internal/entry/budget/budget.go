// Package budget bounds retries in proportion to first tries, so that a failing
// fleet is not buried under repeated work.
package budget

import "sync"

const (
	retriesPerFirstAttempt = 0.1 // retries earned by one first try
	maxAvailable           = 20  // retries saved up
	initialAvailable       = 3
)

// Budget is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	available     float64
	firstAttempts int
	retries       int
}

// New returns a budget with a few retries to begin with.
func New() *Budget { return &Budget{available: initialAvailable} }

// RecordFirst earns a part of a retry.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts++
	b.available = min(maxAvailable, b.available+retriesPerFirstAttempt)
}

// TryRetry spends a retry. It reports whether there was one.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	b.retries++
	return true
}

// Counts returns the first tries and the retries so far.
func (b *Budget) Counts() (firsts, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstAttempts, b.retries
}
