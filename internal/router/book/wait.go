package book

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// maxWaiting limits the calls that wait in one process. At the target fleet size
// (390 processes) each receives three calls a second, so this is over a minute of work.
const maxWaiting = 256

// Place determines a waiting call's position in the queue. Calls that can still
// meet their latency objective go before those that cannot, whose answer has
// little value; then calls with the lower Priority, then earlier ones.
type Place struct {
	Priority int       // lower is more urgent
	OnTime   time.Time // latest start that meets the objective
	Until    time.Time // end of the wait
}

type waiter struct {
	need    Need
	place   Place
	arrived uint64      // arrival number, breaks ties
	granted chan *Lease // buffered: sent to with the book locked
}

// Wait places a call, queueing it until an endpoint has room. It returns nil if
// the wait ends without a lease, or immediately if maxWaiting calls are waiting.
func (b *Book) Wait(ctx context.Context, now time.Time, need Need, place Place) *Lease {
	w := b.enqueue(now, need, place)
	if w == nil {
		return nil
	}
	timer := time.NewTimer(time.Until(place.Until))
	defer timer.Stop()
	select {
	case l := <-w.granted:
		return l
	case <-ctx.Done():
	case <-timer.C:
	}
	return b.dequeue(ctx, w)
}

func (b *Book) enqueue(now time.Time, need Need, place Place) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{need: need, place: place, arrived: b.arrivals, granted: make(chan *Lease, 1)}
	b.arrivals++
	if len(b.waiting) >= maxWaiting {
		return nil
	}
	b.waiting = append(b.waiting, w)
	b.placeWaiting(now)
	return w
}

// dequeue removes a call from the queue. A lease that was granted before the removal
// is returned, unless ctx has ended: then it is released.
func (b *Book) dequeue(ctx context.Context, w *waiter) *Lease {
	b.mu.Lock()
	b.waiting = slices.DeleteFunc(b.waiting, func(o *waiter) bool { return o == w })
	b.mu.Unlock()
	select {
	case l := <-w.granted:
		if ctx.Err() != nil {
			l.Release(time.Now(), OutcomeNone)
			return nil
		}
		return l
	default:
		return nil
	}
}

// placeWaiting places waiting calls in queue order. A call without room blocks
// the later ones of its service, so that small calls cannot starve large ones.
// A call restricted to certain regions does not block others.
func (b *Book) placeWaiting(now time.Time) {
	if len(b.waiting) == 0 {
		return
	}
	slices.SortFunc(b.waiting, func(x, y *waiter) int { return x.compare(y, now) })
	blocked := map[string]bool{}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if blocked[w.need.Service] {
			return false
		}
		l, ok := b.take(now, w.need)
		if !ok {
			blocked[w.need.Service] = len(w.need.Regions) == 0
			return false
		}
		w.granted <- l
		return true
	})
}

func (w *waiter) compare(o *waiter, now time.Time) int {
	late := func(x *waiter) int {
		if now.After(x.place.OnTime) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(late(w), late(o)),
		cmp.Compare(w.place.Priority, o.place.Priority),
		cmp.Compare(w.arrived, o.arrived),
	)
}

// Waiting returns the number of calls waiting for an endpoint of the service.
func (b *Book) Waiting(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, w := range b.waiting {
		if w.need.Service == service {
			count++
		}
	}
	return count
}
