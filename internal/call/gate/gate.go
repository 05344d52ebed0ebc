// Package gate counts the calls in flight of a process, and ends their acceptance in the
// same step in which it finds that there are none.
package gate

import "sync"

// Gate admits calls until it is closed. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	inFlight int64
	closed   bool
}

// New returns an open gate.
func New() *Gate { return &Gate{} }

// Enter admits a call, which must Leave when its response is complete. It returns false
// if the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// Leave ends a call that was admitted.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// Close admits no more calls and returns the number of those in flight.
func (g *Gate) Close() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.inFlight
}

// CloseIfEmpty closes the gate if no call is in flight, and reports whether it is closed.
func (g *Gate) CloseIfEmpty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = g.closed || g.inFlight == 0
	return g.closed
}

// InFlight returns the number of calls that were admitted and have not left.
func (g *Gate) InFlight() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
