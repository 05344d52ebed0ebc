package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// What is remembered of endpoints that have left does not grow without bound.
func TestRemovedStatesExpire(t *testing.T) {
	s := New(Config{Processes: func() int { return 1 }})
	now := time.Now()
	for i := range 1000 {
		id := fmt.Sprint(i)
		s.Put(now, endpt.Endpoint{ID: id, Service: "s", Slots: 1})
		s.Remove(now, id, time.Time{})
		s.ExpireGrace(now)
		now = now.Add(time.Second)
	}
	if count := len(s.endpoints); count > 61 {
		t.Errorf("%d departures are kept, want those of the last minute", count)
	}
}

// An endpoint that starts anew after it has left is used at once, also while the registry
// is back from an older copy.
func TestNewIncarnationIsNotHeld(t *testing.T) {
	s := New(Config{Processes: func() int { return 1 }})
	now := time.Now()
	old := endpt.Endpoint{ID: "e", StartedMs: 1, Service: "s", Slots: 1, Revision: 5}
	s.Put(now, old)
	s.Remove(now, "e", time.Time{})
	s.BeginEpoch(now, time.Second)
	next := old
	next.StartedMs, next.Revision = 2, 3
	s.Put(now, next)
	if got := s.Usable(now, Request{Service: "s"}); got != 1 {
		t.Errorf("%d endpoints are usable, want the new incarnation", got)
	}
}

// Peers' word that an endpoint has left for good holds across epochs.
func TestLeavingUntilRestartHoldsAcrossEpochs(t *testing.T) {
	s := New(Config{Processes: func() int { return 1 }})
	now := time.Now()
	e := endpt.Endpoint{ID: "e", StartedMs: 1, Service: "s", Slots: 1, Revision: 5}
	s.Put(now, e)
	s.HearLeaving(now, e)
	s.BeginEpoch(now, time.Second)
	s.Put(now, e)
	s.ExpireGrace(now.Add(2 * time.Second))
	if got := s.Usable(now.Add(2*time.Second), Request{Service: "s"}); got != 0 {
		t.Errorf("%d endpoints are usable, want none", got)
	}
}
