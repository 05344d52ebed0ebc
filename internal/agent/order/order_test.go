package order

import (
	"slices"
	"testing"
	"time"
)

// fakeEngine is an engine that obeys or ignores fencing numbers.
type fakeEngine struct {
	order       Order
	ignoreFence bool
	accepted    int
}

func (e *fakeEngine) take(o Order) bool {
	if o.Fence < e.order.Fence && !e.ignoreFence {
		return false
	}
	e.order = o
	e.accepted++
	return true
}

// round reads the engine's order and sends a new one if it is due.
func round(k *Controller, e *fakeEngine, now time.Time, want ...string) {
	k.Observe(now, e.order)
	issue(k, e, now, want...)
}

// issue sends an order if it is due, without reading first.
func issue(k *Controller, e *fakeEngine, now time.Time, want ...string) {
	o, ok := k.Next(now, want, 0)
	if ok && !e.take(o) {
		k.RecordFailure(now)
	}
}

func TestOrders(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name   string
		ignore bool
		play   func(e *fakeEngine)
		models []string
		given  int
	}{
		{"sent once", false, func(e *fakeEngine) {
			k := New()
			for i := range 5 {
				round(k, e, start.Add(time.Duration(i)*time.Second), "a", "b")
			}
		}, []string{"a", "b"}, 1},
		{"a newer process sends a higher fence", false, func(e *fakeEngine) {
			round(New(), e, start, "a")
			round(New(), e, start.Add(time.Second), "b")
		}, []string{"b"}, 2},
		{"an older process resumes after a pause", false, func(e *fakeEngine) {
			old := New()
			round(old, e, start, "a")
			round(New(), e, start.Add(time.Second), "b")
			round(old, e, start.Add(time.Minute), "a")
		}, []string{"b"}, 2},
		{"an older process resumes after a pause, engine ignores fences", true, func(e *fakeEngine) {
			old := New()
			round(old, e, start, "a")
			round(New(), e, start.Add(time.Second), "b")
			round(old, e, start.Add(time.Minute), "a")
		}, []string{"b"}, 2},
		{"paused between read and order, engine ignores fences", true, func(e *fakeEngine) {
			old := New()
			old.Observe(start, e.order)
			round(New(), e, start.Add(time.Second), "b")
			issue(old, e, start.Add(time.Minute), "a")
		}, []string{"b"}, 1},
		{"an order that was lost is sent again", true, func(e *fakeEngine) {
			k := New()
			round(k, e, start, "a")
			e.order.Models = nil
			round(k, e, start.Add(time.Second), "a")
		}, []string{"a"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEngine{ignoreFence: c.ignore}
			c.play(e)
			if !slices.Equal(e.order.Models, c.models) || e.accepted != c.given {
				t.Fatalf("engine holds %v after %d orders", e.order.Models, e.accepted)
			}
		})
	}
}

func TestRetriesBackOff(t *testing.T) {
	k := New()
	now := time.Unix(0, 0)
	tries := 0
	for range 600 { // a minute
		now = now.Add(100 * time.Millisecond)
		k.Observe(now, Order{})
		if _, ok := k.Next(now, []string{"a"}, 0); ok {
			tries++
			k.RecordFailure(now)
		}
	}
	if tries > 7 {
		t.Fatalf("%d orders in a minute of failures, want at most 7", tries)
	}
}
