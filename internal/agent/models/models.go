// Package models decides when an engine is ordered to load other models. Only the
// agent beside an engine sends it orders. Each order carries a fencing number that
// is higher than any that the engine has reported, so the numbers keep rising when
// the agent restarts, although the agent stores nothing. The package does no I/O,
// and the time is passed in.
package models

import (
	"slices"
	"time"
)

// Order tells an engine which models to hold. The engine keeps the last one.
type Order struct {
	Fence  uint64   `json:"fence"` // fencing number; engines refuse a lower one than the last
	Models []string `json:"models"`
}

const (
	// maxReadAge is the maximum age of the engine's order as last read, for a new
	// order to be based on it. A process that was paused after the read must read
	// again.
	maxReadAge    = 500 * time.Millisecond
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
)

// Controller decides when to send which order. It is not safe for concurrent use.
type Controller struct {
	lastFence   uint64 // of the last order that this process sent, or read at first
	initialized bool   // the engine's order was read once
	superseded  bool   // a newer agent process has sent orders, so this one sends none
	known       bool   // current holds the order that the engine reported since it last started
	current     Order  // the engine's order as last read
	readAt      time.Time
	notBefore   time.Time // no order before this time, zero if none is due
	retryDelay  time.Duration
}

// New returns a Controller of an engine whose order has not been read yet.
func New() *Controller { return &Controller{retryDelay: minRetryDelay} }

// Observe records the engine's current order, read at the given time. The first
// one sets the fencing number from which this process continues. If a later one
// has a higher fence than this process has sent, a newer agent process sent it
// while this one was paused. This process must not overwrite it.
func (c *Controller) Observe(now time.Time, o Order) {
	if c.initialized && o.Fence > c.lastFence {
		c.superseded = true
	}
	if !c.initialized {
		c.initialized, c.lastFence = true, o.Fence
	}
	c.current, c.readAt, c.known = o, now, true
}

// Known reports whether the engine's order was read since it last started.
func (c *Controller) Known() bool { return c.known }

// Forget discards the engine's order as last read, because the engine restarted.
func (c *Controller) Forget() { c.known, c.current = false, Order{} }

// Superseded reports whether a newer agent process has sent orders.
func (c *Controller) Superseded() bool { return c.superseded }

// Next returns the order to send now, if any. delay postpones the first order
// after a change, so that the engines do not all load models at the same time.
func (c *Controller) Next(now time.Time, want []string, delay time.Duration) (Order, bool) {
	fresh := c.initialized && now.Sub(c.readAt) <= maxReadAge
	if !fresh || c.superseded || slices.Equal(c.current.Models, want) {
		if fresh && !c.superseded {
			c.notBefore, c.retryDelay = time.Time{}, minRetryDelay
		}
		return Order{}, false
	}
	if c.notBefore.IsZero() {
		c.notBefore = now.Add(delay)
	}
	if now.Before(c.notBefore) {
		return Order{}, false
	}
	c.lastFence++
	return Order{Fence: c.lastFence, Models: slices.Clone(want)}, true
}

// RecordFailure records that the engine refused the order or did not answer. The
// next order is sent after a delay that doubles with each failure, to limit the
// load on the store from which engines load model weights.
func (c *Controller) RecordFailure(now time.Time) {
	c.notBefore = now.Add(c.retryDelay)
	c.retryDelay = min(maxRetryDelay, 2*c.retryDelay)
}

// Holds reports whether the engine's order, as last read, contains a model.
func (c *Controller) Holds(model string) bool { return slices.Contains(c.current.Models, model) }
