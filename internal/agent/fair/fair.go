// Package fair is a queue that shares an endpoint between workspaces by weight
// (start-time fair queueing), within classes of different priority.
package fair

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds waiting items of one endpoint. It is not safe for concurrent
// use.
type Queue[T any] struct {
	virtualTime float64 // virtual time: the start tag of the item served last
	finishTags  map[string]float64
	items       []*Item[T]
	lastArrival uint64
}

// Item is one waiting call.
type Item[T any] struct {
	Value     T
	Workspace string
	Weight    int
	Priority  int     // lower runs first
	Cost      float64 // expected work, any unit
	Arrived   time.Time
	MaxWait   time.Duration // longest wait
	startTag  float64
	arrival   uint64
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

// Charge accounts for work that started without waiting, so that a workspace
// cannot gain by finding the queue empty.
func (q *Queue[T]) Charge(workspace string, weight int, cost float64) {
	start := max(q.virtualTime, q.finishTags[workspace])
	q.finishTags[workspace] = start + cost/float64(max(1, weight))
}

// Next returns the item that should run next without removing it, or nil: the
// first of its class in fair order, of the class with the lowest priority. A
// class whose first item has waited for more than half of its limit goes before
// the others, so that no class starves. Items further back never do: a
// workspace's long queue must not overtake another's short one.
func (q *Queue[T]) Next(now time.Time) *Item[T] {
	var best *Item[T]
	for _, it := range q.heads() {
		if best == nil || cmp.Or(cmp.Compare(effectivePriority(it, now), effectivePriority(best, now)), fairOrder(it, best)) < 0 {
			best = it
		}
	}
	return best
}

// heads returns the first item of each class.
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

func fairOrder[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.arrival, b.arrival))
}

func effectivePriority[T any](it *Item[T], now time.Time) int {
	const urgent = -1 << 30
	if 2*now.Sub(it.Arrived) > it.MaxWait {
		return urgent
	}
	return it.Priority
}

// Ahead returns the number of items that would run before a new one of the
// workspace and class.
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

// Remove takes an item out. It reports whether the queue held it.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	i := slices.Index(q.items, it)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.dropPassedTags()
	return true
}

// Take removes an item that is about to run and moves the virtual time.
func (q *Queue[T]) Take(it *Item[T]) {
	if q.Remove(it) {
		q.virtualTime = max(q.virtualTime, it.startTag)
	}
}

// Expired removes and returns the items that waited for their whole limit.
func (q *Queue[T]) Expired(now time.Time) []*Item[T] {
	var out []*Item[T]
	for _, it := range slices.Clone(q.items) {
		if now.Sub(it.Arrived) >= it.MaxWait {
			out = append(out, it)
			q.Remove(it)
		}
	}
	return out
}

// dropPassedTags drops the tags of workspaces that the virtual time has passed.
func (q *Queue[T]) dropPassedTags() {
	const many = 1024
	if len(q.finishTags) < many {
		return
	}
	for w, f := range q.finishTags {
		if f <= q.virtualTime {
			delete(q.finishTags, w)
		}
	}
}
