package serve

import (
	"context"
	"sync"
)

// lanes lets one move at a time leave an endpoint. Moves share its link: side by
// side each would take as long as all of them, and the short last part of one,
// during which its stream stands still, would wait behind the long first parts
// of the others.
type lanes struct {
	mu   sync.Mutex
	busy map[string]chan struct{} // by endpoint ID; closed when the lane is free
}

func newLanes() *lanes { return &lanes{busy: map[string]chan struct{}{}} }

// enter waits for the lane of an endpoint. leave must be called if ok.
func (l *lanes) enter(ctx context.Context, id string) (leave func(), ok bool) {
	for {
		l.mu.Lock()
		taken, busy := l.busy[id]
		if !busy {
			free := make(chan struct{})
			l.busy[id] = free
			l.mu.Unlock()
			return func() { l.leave(id, free) }, true
		}
		l.mu.Unlock()
		select {
		case <-taken:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (l *lanes) leave(id string, free chan struct{}) {
	l.mu.Lock()
	delete(l.busy, id)
	l.mu.Unlock()
	close(free)
}
