package serve

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// gatherTime is how long the first move away from an endpoint waits, so that the streams that
// hear of its notice at the same time are ordered before the first of them begins.
const gatherTime = 5 * time.Millisecond

// moveLocks serializes the moves away from each endpoint. Concurrent moves would
// share the endpoint's network link: each would take as long as all together, and
// the short final copy of one, during which its stream is paused, would compete
// with the long first copies of the others. Generations with less memory go first, so that
// as many as possible have left when the endpoint ends. All can be moved only if they cannot
// be repeated, so no other order is needed; see canMove.
type moveLocks struct {
	mu      sync.Mutex
	waiting map[string][]*moveTurn // by endpoint ID; an entry exists while the endpoint is locked
}

// moveTurn is a move that waits for the lock.
type moveTurn struct {
	memory  int // tokens of the KV cache
	granted chan struct{}
}

func newMoveLocks() *moveLocks { return &moveLocks{waiting: map[string][]*moveTurn{}} }

// acquire locks an endpoint, waiting until it is this move's turn or ctx is done. If ok,
// the caller must call release. A stream that is alone at its endpoint has no other to be
// ordered with. ahead is how many moves waited when it began to wait.
func (l *moveLocks) acquire(ctx context.Context, id string, memory int, alone bool) (release func(), ahead int, ok bool) {
	turn := &moveTurn{memory: memory, granted: make(chan struct{})}
	l.mu.Lock()
	queue, locked := l.waiting[id]
	ahead = len(queue)
	l.waiting[id] = append(queue, turn)
	l.mu.Unlock()
	switch {
	case locked: // the move that holds the lock, or the first one's timer, hands it over
	case alone:
		l.grantNext(id)
	default:
		time.AfterFunc(gatherTime, func() { l.grantNext(id) })
	}
	select {
	case <-turn.granted:
		return sync.OnceFunc(func() { l.grantNext(id) }), ahead, true
	case <-ctx.Done():
		if !l.withdraw(id, turn) {
			l.grantNext(id) // granted just now
		}
		return nil, ahead, false
	}
}

// withdraw removes a waiting move. It returns false if it has been granted.
func (l *moveLocks) withdraw(id string, turn *moveTurn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting[id], turn)
	if i < 0 {
		return false
	}
	l.waiting[id] = slices.Delete(l.waiting[id], i, i+1)
	return true
}

// grantNext hands the lock to the next move, or unlocks the endpoint if there is none.
func (l *moveLocks) grantNext(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.waiting[id]
	if len(queue) == 0 {
		delete(l.waiting, id)
		return
	}
	next := slices.MinFunc(queue, func(a, b *moveTurn) int { return cmp.Compare(a.memory, b.memory) })
	i := slices.Index(queue, next)
	l.waiting[id] = slices.Delete(queue, i, i+1)
	close(next.granted)
}
