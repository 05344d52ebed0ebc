// Package fair is a priority queue of calls. Within a priority it shares the
// endpoint between workspaces by weight, by start-time fair queueing.
package fair

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the waiting calls of one endpoint. It is not safe for concurrent
// use.
type Queue[T any] struct {
	virtualTime float64            // highest start tag of the items served so far
	finishTags  map[string]float64 // virtual time at which a workspace's last call ends
	items       []*Item[T]
	lastArrival uint64
}

// Item is one waiting call.
type Item[T any] struct {
	Value     T
	Workspace string
	Weight    int
	Priority  int     // lower runs first
	Cost      float64 // expected work, in any unit
	Arrived   time.Time
	MaxWait   time.Duration
	startTag  float64 // virtual time
	arrival   uint64  // sequence number
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{finishTags: map[string]float64{}} }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an item.
func (q *Queue[T]) Push(it *Item[T]) {
	q.lastArrival++
	it.arrival = q.lastArrival
	it.startTag = max(q.virtualTime, q.finishTags[it.Workspace])
	q.finishTags[it.Workspace] = it.startTag + it.Cost/float64(max(1, it.Weight))
	q.items = append(q.items, it)
}

// Charge accounts for a call that started without queueing, so that a workspace
// gains no extra share by sending calls while the queue is empty.
func (q *Queue[T]) Charge(workspace string, weight int, cost float64) {
	start := max(q.virtualTime, q.finishTags[workspace])
	q.finishTags[workspace] = start + cost/float64(max(1, weight))
}

// Next returns the item that should run next without removing it, or nil. It is
// the first item in fair order among those with the lowest priority value. A
// priority whose first item has waited for more than half of its MaxWait goes
// before the others, so that no priority starves. The waits of items further back
// do not count: otherwise a workspace with a long queue would overtake one with a
// short queue.
func (q *Queue[T]) Next(now time.Time) *Item[T] {
	var best *Item[T]
	for _, it := range q.heads() {
		if best == nil || cmp.Or(cmp.Compare(effectivePriority(it, now), effectivePriority(best, now)), fairOrder(it, best)) < 0 {
			best = it
		}
	}
	return best
}

// heads returns the first item of each priority.
func (q *Queue[T]) heads() []*Item[T] {
	var heads []*Item[T]
	for _, it := range q.items {
		i := slices.IndexFunc(heads, func(h *Item[T]) bool { return h.Priority == it.Priority })
		switch {
		case i < 0:
			heads = append(heads, it)
		case fairOrder(it, heads[i]) < 0:
			heads[i] = it
		}
	}
	return heads
}

// fairOrder compares items by start tag, then by arrival.
func fairOrder[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.arrival, b.arrival))
}

// effectivePriority returns the priority of an item, or one below all others if it
// has waited for more than half of its MaxWait.
func effectivePriority[T any](it *Item[T], now time.Time) int {
	const beforeAll = -1 << 30
	if 2*now.Sub(it.Arrived) > it.MaxWait {
		return beforeAll
	}
	return it.Priority
}

// Ahead returns the number of items that would run before a new one of the
// workspace and priority.
func (q *Queue[T]) Ahead(workspace string, priority int) int {
	start := max(q.virtualTime, q.finishTags[workspace])
	n := 0
	for _, it := range q.items {
		if it.Priority < priority || (it.Priority == priority && it.startTag <= start) {
			n++
		}
	}
	return n
}

// Remove removes an item and reports whether the queue held it.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	i := slices.Index(q.items, it)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.dropPassedTags()
	return true
}

// Take removes an item that is about to run and advances the virtual time.
func (q *Queue[T]) Take(it *Item[T]) {
	if q.Remove(it) {
		q.virtualTime = max(q.virtualTime, it.startTag)
	}
}

// RemoveExpired removes and returns the items that have waited for their MaxWait.
func (q *Queue[T]) RemoveExpired(now time.Time) []*Item[T] {
	var out []*Item[T]
	for _, it := range slices.Clone(q.items) {
		if now.Sub(it.Arrived) >= it.MaxWait {
			out = append(out, it)
			q.Remove(it)
		}
	}
	return out
}

// dropPassedTags bounds the memory of finishTags. A tag that the virtual time has
// passed no longer has an effect.
func (q *Queue[T]) dropPassedTags() {
	const minTags = 1024
	if len(q.finishTags) < minTags {
		return
	}
	for w, f := range q.finishTags {
		if f <= q.virtualTime {
			delete(q.finishTags, w)
		}
	}
}
