package sched

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// fixedLimits are limits that only the test changes, by endpoint ID.
type fixedLimits map[string]*Limit

func (f fixedLimits) Any() bool { return len(f) > 0 }

func (f fixedLimits) Limit(_ time.Time, e endpt.Endpoint) (Limit, bool) {
	if l := f[e.ID]; l != nil {
		return *l, true
	}
	return Limit{}, false
}

func (f fixedLimits) Take(_ time.Time, e endpt.Endpoint) {
	if l := f[e.ID]; l != nil {
		l.Permits--
	}
}

// newLimited returns a scheduler with idle endpoints a and b.
func newLimited(limits fixedLimits) *Scheduler {
	s := New(Config{Processes: func() int { return 1 }, Limits: limits})
	for _, id := range []string{"a", "b"} {
		s.Put(time.Now(), endpt.Endpoint{ID: id, StartedMs: 1, Service: "s", Slots: 4})
	}
	return s
}

// A call goes to an endpoint that names a limit only with a permit, whatever it is placed
// for.
func TestPermitIsTaken(t *testing.T) {
	for _, purpose := range []Purpose{PurposeRun, PurposeMove} {
		limits := fixedLimits{"a": {Rate: 3, Permits: 2}, "b": {Rate: 3}}
		s := newLimited(limits)
		req := Request{Service: "s", Purpose: purpose}
		for n := range 4 {
			lease, placed := s.TryPlace(time.Now(), req)
			if placed != (n < 2) || placed && lease.Endpoint.ID != "a" {
				t.Errorf("call %d, purpose %d: placed %v, want the two permits of a used", n, purpose, placed)
			}
		}
	}
}

// A process that would rather use a limited endpoint asks for one permit in advance.
func TestPermitInAdvance(t *testing.T) {
	limits := fixedLimits{"a": {Rate: 3}}
	s := newLimited(limits)
	now := time.Now()
	for range 3 { // fills b, until the idle a is the better choice
		if _, placed := s.TryPlace(now, Request{Service: "s"}); !placed {
			t.Fatal("the call was not placed on the endpoint without a limit")
		}
	}
	if d := s.Demand(now)[KeyOf("a")]; d.Calls != 1 || d.Priority != advancePriority {
		t.Errorf("demand %+v, want one call of the lowest priority", d)
	}
	if d := s.Demand(now.Add(2 * missedTTL)); len(d) != 0 {
		t.Errorf("demand %+v later, want none", d)
	}
}

// Waiting calls ask for permits where they are expected first, the most urgent priority is
// named, and calls without a prospect end their wait.
func TestWaitingCallsAskForPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := fixedLimits{"a": {Rate: 10}, "b": {Rate: 5}}
		s := newLimited(limits)
		now := time.Now()
		done := make(chan *Lease, 3)
		for priority := range 3 {
			go func() {
				done <- s.Wait(t.Context(), now, Request{Service: "s"}, WaitOptions{Priority: 2 - priority, StartBy: now.Add(time.Second), Deadline: now.Add(time.Second)})
			}()
		}
		synctest.Wait()
		d := s.Demand(now)
		if a, b := d[KeyOf("a")], d[KeyOf("b")]; a.Calls != 2 || b.Calls != 1 || a.Priority != 0 || a.Patience != time.Second {
			t.Errorf("demand %+v and %+v, want two calls at the faster endpoint and one at the other", a, b)
		}
		limits["a"].Permits = 1
		limits["a"].Wait, limits["b"].Wait = 5*time.Second, 7*time.Second
		s.PlaceWaiting(now)
		placed, ended := 0, 0
		for range 3 {
			if lease := <-done; lease != nil {
				placed++
			} else {
				ended++
			}
		}
		if placed != 1 || ended != 2 || time.Since(now) > 0 {
			t.Errorf("%d placed, %d ended after %v, want 1 and 2 at once", placed, ended, time.Since(now))
		}
		if wait, limited := s.LimitedWait(now, Request{Service: "s"}); !limited || wait != 5*time.Second {
			t.Errorf("expected wait %v, limited %v, want 5 s", wait, limited)
		}
	})
}

// A call that may go to an endpoint without a limit is not refused for the limits of others.
func TestLimitedWaitNeedsAllEndpointsLimited(t *testing.T) {
	s := newLimited(fixedLimits{"a": {Rate: 1, Wait: time.Minute}})
	if wait, limited := s.LimitedWait(time.Now(), Request{Service: "s"}); limited {
		t.Errorf("limited with a wait of %v, want not", wait)
	}
	if wait, limited := s.LimitedWait(time.Now(), Request{Service: "s", Exclude: []string{"b"}}); !limited || wait != time.Minute {
		t.Errorf("limited %v with a wait of %v, want a minute", limited, wait)
	}
}

// An endpoint that wants nothing for a while gets no call for any purpose until then, unless
// it starts anew.
func TestClosedEndpoint(t *testing.T) {
	s, now := newLimited(nil), time.Now()
	for _, id := range []string{"a", "b"} {
		if !s.Close(now, endpt.Endpoint{ID: id, StartedMs: 1}, now.Add(2*time.Second)) {
			t.Fatalf("endpoint %s was closed before", id)
		}
	}
	s.Close(now, endpt.Endpoint{ID: "a", StartedMs: 7}, now.Add(time.Hour)) // another start, which must not close this one
	for _, purpose := range []Purpose{PurposeRun, PurposeMove} {
		if _, placed := s.TryPlace(now, Request{Service: "s", Purpose: purpose}); placed {
			t.Errorf("a call was placed on a closed endpoint, purpose %d", purpose)
		}
	}
	if wait, limited := s.LimitedWait(now, Request{Service: "s"}); !limited || wait != 2*time.Second {
		t.Errorf("expected wait %v, limited %v, want 2 s", wait, limited)
	}
	s.Put(now, endpt.Endpoint{ID: "b", StartedMs: 2, Service: "s", Slots: 4})
	if lease, placed := s.TryPlace(now, Request{Service: "s"}); !placed || lease.Endpoint.ID != "b" {
		t.Error("an endpoint that started anew is closed")
	}
	if _, placed := s.TryPlace(now.Add(2*time.Second), Request{Service: "s", Exclude: []string{"b"}}); !placed {
		t.Error("an endpoint is closed after the time that it named")
	}
}

// A waiting call is refused once the homes of all its endpoints have had no permit for it,
// though it may ask again before its deadline. A call that comes meanwhile does not wait.
func TestTurnedAwayCallIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := fixedLimits{"a": {Rate: 3}, "b": {Rate: 3}}
		s, began, req := newLimited(limits), time.Now(), Request{Service: "s"}
		done := make(chan *Lease, 1)
		go func() {
			done <- s.Wait(t.Context(), began, req, WaitOptions{StartBy: began.Add(time.Second), Deadline: began.Add(time.Second)})
		}()
		synctest.Wait()
		refuse := func(id string) {
			time.Sleep(40 * time.Millisecond)
			limits[id].Refused, limits[id].Wait = time.Now(), 100*time.Millisecond
			s.PlaceWaiting(time.Now())
			synctest.Wait()
		}
		refuse("a")
		if s.Waiting("s") != 1 {
			t.Fatal("the call does not wait for the answer of the other home")
		}
		limits["a"].Wait = 0 // it may ask again, which other calls do
		refuse("b")
		if lease := <-done; lease != nil || time.Since(began) != 80*time.Millisecond {
			t.Errorf("lease %v after %v, want none after 80 ms", lease, time.Since(began))
		}
		if !s.MayQueue(time.Now(), req, 0, time.Second) {
			t.Error("a call may not queue though a home can be asked")
		}
		limits["a"].Wait = 50 * time.Millisecond
		if s.MayQueue(time.Now(), req, 0, time.Second) {
			t.Error("a call may queue though the homes have no permits")
		}
	})
}

// What a home has refused to a call says nothing about more urgent ones, which it serves first.
func TestUrgentCallAsksThoughOthersWereRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		s := newLimited(fixedLimits{"a": {Rate: 3, Wait: time.Second, Refused: now.Add(time.Millisecond), RefusedPriority: 2}})
		req := Request{Service: "s", Exclude: []string{"b"}}
		for priority, want := range []bool{true, true, false, false} {
			if got := s.MayQueue(now, req, priority, 400*time.Millisecond); got != want {
				t.Errorf("a call of priority %d may queue: %v, want %v", priority, got, want)
			}
		}
		go s.Wait(t.Context(), now, req, WaitOptions{Priority: 1, StartBy: now.Add(time.Second), Deadline: now.Add(time.Second)})
		synctest.Wait()
		s.PlaceWaiting(now)
		if d := s.Demand(now)[KeyOf("a")]; d.Calls != 1 || d.Priority != 1 {
			t.Errorf("demand %+v, want one call of priority 1", d)
		}
	})
}

// A call that comes when nobody waits asks for a permit, however low the rate: its home may
// have saved one up, and only a response tells that the limit has ended.
func TestLoneCallAsksForAPermit(t *testing.T) {
	limits := fixedLimits{"a": {Rate: 0.25}}
	s := newLimited(limits)
	req := Request{Service: "s", Exclude: []string{"b"}}
	if wait, limited := s.LimitedWait(time.Now(), req); !limited || wait != 0 {
		t.Errorf("expected wait %v, limited %v, want none before the home has refused", wait, limited)
	}
	limits["a"].Wait = 3 * time.Second
	if wait, limited := s.LimitedWait(time.Now(), req); !limited || wait != 3*time.Second {
		t.Errorf("expected wait %v, limited %v, want 3 s after the home has refused", wait, limited)
	}
}
