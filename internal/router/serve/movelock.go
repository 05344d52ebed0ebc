package serve

import (
	"context"
	"sync"
)

// moveLocks serializes the moves away from each endpoint. Concurrent moves would
// share the endpoint's network link: each would take as long as all together, and
// the short final copy of one, during which its stream is paused, would compete
// with the long first copies of the others.
type moveLocks struct {
	mu   sync.Mutex
	held map[string]chan struct{} // by endpoint ID; closed on release
}

func newMoveLocks() *moveLocks { return &moveLocks{held: map[string]chan struct{}{}} }

// acquire locks an endpoint, waiting until it is free or ctx is done. If ok,
// the caller must call release.
func (l *moveLocks) acquire(ctx context.Context, id string) (release func(), ok bool) {
	for {
		l.mu.Lock()
		released, locked := l.held[id]
		if !locked {
			done := make(chan struct{})
			l.held[id] = done
			l.mu.Unlock()
			return func() { l.release(id, done) }, true
		}
		l.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (l *moveLocks) release(id string, done chan struct{}) {
	l.mu.Lock()
	delete(l.held, id)
	l.mu.Unlock()
	close(done)
}
