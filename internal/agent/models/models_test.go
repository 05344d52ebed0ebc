package models

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

func (e *fakeEngine) accept(o Order) bool {
	if o.Fence < e.order.Fence && !e.ignoreFence {
		return false
	}
	e.order = o
	e.accepted++
	return true
}

// round reads the engine's order and sends a new one if it is due.
func round(ctl *Controller, e *fakeEngine, now time.Time, want ...string) {
	ctl.Observe(now, e.order)
	issue(ctl, e, now, want...)
}

// issue sends an order if it is due, without reading first.
func issue(ctl *Controller, e *fakeEngine, now time.Time, want ...string) {
	o, ok := ctl.Next(now, want, 0)
	if ok && !e.accept(o) {
		ctl.RecordFailure(now)
	}
}

func TestOrders(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name        string
		ignoreFence bool
		play        func(e *fakeEngine)
		models      []string
		accepted    int // orders
	}{
		{"sent once", false, func(e *fakeEngine) {
			ctl := New()
			for i := range 5 {
				round(ctl, e, start.Add(time.Duration(i)*time.Second), "a", "b")
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
			ctl := New()
			round(ctl, e, start, "a")
			e.order.Models = nil
			round(ctl, e, start.Add(time.Second), "a")
		}, []string{"a"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEngine{ignoreFence: c.ignoreFence}
			c.play(e)
			if !slices.Equal(e.order.Models, c.models) || e.accepted != c.accepted {
				t.Fatalf("engine holds %v after %d orders", e.order.Models, e.accepted)
			}
		})
	}
}

func TestRetriesBackOff(t *testing.T) {
	ctl := New()
	now := time.Unix(0, 0)
	tries := 0
	for range 600 { // a minute
		now = now.Add(100 * time.Millisecond)
		ctl.Observe(now, Order{})
		if _, ok := ctl.Next(now, []string{"a"}, 0); ok {
			tries++
			ctl.RecordFailure(now)
		}
	}
	if tries > 7 {
		t.Fatalf("%d orders in a minute of failures, want at most 7", tries)
	}
}
