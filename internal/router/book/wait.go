package book

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// maxWaiting bounds the calls that wait in one process. At the target's size an
// entry sees three calls a second, so that this is over a minute of work.
const maxWaiting = 256

// Place orders a waiting call. Calls that can still meet their objective go
// before those that cannot, whose answer is worth little; then the more urgent,
// then the earlier.
type Place struct {
	Priority int
	OnTime   time.Time // until then a start still meets the objective
	Until    time.Time // the call gives up
}

type waiter struct {
	need    Need
	place   Place
	arrived uint64
	granted chan *Lease // buffered
}

// Wait places a call, or queues it until an endpoint has room. It returns nil
// when the wait ends without one, at once if too many calls wait already.
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
	return b.withdraw(ctx, w)
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
	b.serveWaiting(now)
	return w
}

// withdraw ends a wait. A lease that was granted meanwhile counts, unless the
// caller has gone.
func (b *Book) withdraw(ctx context.Context, w *waiter) *Lease {
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

// serveWaiting places waiting calls in their order. A call that finds no room
// holds back those of its service behind it, so that large calls are not
// passed over for ever by small ones.
func (b *Book) serveWaiting(now time.Time) {
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

// Waiting returns the number of calls that wait for a service.
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
