// Package order keeps an engine's models as the configuration says. Only the
// agent beside an engine gives it orders. Each carries a fencing number above
// every one that the engine has shown, which rises over restarts of the agent
// though nothing is stored. The state machine is pure.
package order

import (
	"slices"
	"time"
)

// Order is what an engine was last told.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
}

const (
	// maxReadAge is how long a look at the engine's order is good to act on. A
	// process that pauses between the look and the order looks again.
	maxReadAge    = 500 * time.Millisecond
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
)

// Controller decides when to give which order. It is not safe for concurrent use.
type Controller struct {
	lastFence   uint64 // highest fence that this process gave or took over
	initialized bool
	superseded  bool // a successor has given orders: this process gives none
	current     Order
	readAt      time.Time
	notBefore   time.Time // no order before this time
	retryDelay  time.Duration
}

// New returns the keeper of an engine that nothing is known of.
func New() *Controller { return &Controller{retryDelay: minRetryDelay} }

// Observe takes the engine's present order, read at the time. The first look takes
// over whatever a predecessor ordered. A higher fence later is a successor's:
// this process was paused and must not undo the successor's order.
func (k *Controller) Observe(now time.Time, o Order) {
	if k.initialized && o.Fence > k.lastFence {
		k.superseded = true
	}
	if !k.initialized {
		k.initialized, k.lastFence = true, o.Fence
	}
	k.current, k.readAt = o, now
}

// Superseded reports whether a successor has given orders.
func (k *Controller) Superseded() bool { return k.superseded }

// Next returns the order to give now, if any. delay spaces the first order
// after a change, so that engines do not all load at once.
func (k *Controller) Next(now time.Time, want []string, delay time.Duration) (Order, bool) {
	fresh := k.initialized && now.Sub(k.readAt) <= maxReadAge
	if !fresh || k.superseded || slices.Equal(k.current.Models, want) {
		if fresh && !k.superseded {
			k.notBefore, k.retryDelay = time.Time{}, minRetryDelay
		}
		return Order{}, false
	}
	if k.notBefore.IsZero() {
		k.notBefore = now.Add(delay)
	}
	if now.Before(k.notBefore) {
		return Order{}, false
	}
	k.lastFence++
	return Order{Fence: k.lastFence, Models: slices.Clone(want)}, true
}

// RecordFailure records that the engine refused the order or did not answer. The next
// one waits, longer each time, for the weight store's sake.
func (k *Controller) RecordFailure(now time.Time) {
	k.notBefore = now.Add(k.retryDelay)
	k.retryDelay = min(maxRetryDelay, 2*k.retryDelay)
}

// Holds reports whether the engine was last seen to hold a model.
func (k *Controller) Holds(model string) bool { return slices.Contains(k.current.Models, model) }
