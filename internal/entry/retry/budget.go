// Package retry limits retries to a fraction of first attempts, so that retries
// do not overload a failing fleet.
package retry

import "sync"

const (
	retriesPerFirstAttempt = 0.1 // retries added to the budget by one first attempt
	maxAvailable           = 20  // maximum number of unused retries
	initialAvailable       = 3
)

// Budget is the retry budget of one entry. It is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	available     float64
	firstAttempts int
	retries       int
}

// New returns a Budget that already allows a few retries.
func New() *Budget { return &Budget{available: initialAvailable} }

// RecordFirst counts the first attempt of a call, which adds to the budget.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts++
	b.available = min(maxAvailable, b.available+retriesPerFirstAttempt)
}

// TryRetry takes a retry from the budget. It reports false if none is available.
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

// Counts returns the numbers of first attempts and retries so far.
func (b *Budget) Counts() (firstAttempts, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstAttempts, b.retries
}
