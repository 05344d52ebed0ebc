package sched

import (
	"os"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// entryHistories are what may become of an endpoint's registry entry while the endpoint runs.
var entryHistories = map[string]func(s *Scheduler, now time.Time, e endpt.Endpoint){
	"stays":     func(*Scheduler, time.Time, endpt.Endpoint) {},
	"rewritten": func(s *Scheduler, now time.Time, e endpt.Endpoint) { s.Put(now, e) },
	"lapsed and back": func(s *Scheduler, now time.Time, e endpt.Endpoint) {
		s.Remove(now, e.ID, time.Time{})
		s.Put(now, e)
	},
	"lapsed with grace and back": func(s *Scheduler, now time.Time, e endpt.Endpoint) {
		s.Remove(now, e.ID, now.Add(time.Second))
		s.Put(now, e)
	},
	"draining and ready": func(s *Scheduler, now time.Time, e endpt.Endpoint) {
		draining := e
		draining.Draining = true
		s.Put(now, draining)
		e.Revision++
		s.Put(now, e)
	},
	"lost in an older copy and written again": func(s *Scheduler, now time.Time, e endpt.Endpoint) {
		s.BeginEpoch(now, time.Second)
		s.Remove(now, e.ID, now.Add(time.Second))
		s.ExpireGrace(now.Add(2 * time.Second))
		s.Put(now.Add(2*time.Second), e)
		s.ExpireGrace(now.Add(2 * time.Second))
	},
	"gone, in an older copy and held": func(s *Scheduler, now time.Time, e endpt.Endpoint) {
		s.Remove(now, e.ID, time.Time{})
		s.BeginEpoch(now, time.Second)
		s.Put(now, e)
		s.ExpireGrace(now.Add(2 * time.Second))
	},
	"at another address": func(s *Scheduler, now time.Time, e endpt.Endpoint) {
		e.Address = "elsewhere:1"
		s.Put(now, e)
	},
}

// What an endpoint has said holds whatever becomes of its entry, also if the word arrived
// before the entry, and ends with a new start.
func TestWordsOutliveEntries(t *testing.T) {
	words := map[string]func(s *Scheduler, now time.Time, e endpt.Endpoint){
		"leaving": func(s *Scheduler, now time.Time, e endpt.Endpoint) { s.HearLeaving(now, e) },
		"closed":  func(s *Scheduler, now time.Time, e endpt.Endpoint) { s.Close(now, e, now.Add(time.Minute)) },
	}
	for word, say := range words {
		for history, play := range entryHistories {
			for _, early := range []bool{false, true} {
				t.Run(word+", "+history+map[bool]string{true: ", heard before the entry"}[early], func(t *testing.T) {
					s, now := newScheduler(1), time.Now()
					e := engine("e", "a1")
					e.Revision = 5
					if early {
						say(s, now, e)
					}
					s.Put(now, e)
					if !early {
						say(s, now, e)
					}
					play(s, now, e)
					later := now.Add(5 * time.Second)
					if _, placed := s.TryPlace(later, request(1)); placed {
						t.Error("a call was placed")
					}
					e.StartedMs++
					e.Revision = 9
					s.Put(later, e)
					if _, placed := s.TryPlace(later, request(1)); !placed {
						t.Error("no call was placed on an endpoint that started anew")
					}
				})
			}
		}
	}
}

// A peer must hear that an endpoint leaves also if this process does not know the endpoint
// or has it as draining by the registry, and hears it once.
func TestLeavingIsNewsOnce(t *testing.T) {
	for name, prepare := range map[string]func(s *Scheduler, e endpt.Endpoint){
		"unknown": func(*Scheduler, endpt.Endpoint) {},
		"listed":  func(s *Scheduler, e endpt.Endpoint) { s.Put(time.Now(), e) },
		"draining": func(s *Scheduler, e endpt.Endpoint) {
			e.Draining = true
			s.Put(time.Now(), e)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, e := newScheduler(1), engine("e", "a1")
			prepare(s, e)
			for i, want := range []ChangeKind{ChangeLeaving, ChangeNone} {
				c := s.HearLeaving(time.Now(), e)
				if c.Kind != want || want == ChangeLeaving && (c.Endpoint.ID != e.ID || c.Endpoint.StartedMs != e.StartedMs || c.Endpoint.Revision != RevisionUntilRestart) {
					t.Errorf("word %d: change %+v, want kind %v", i, c, want)
				}
			}
		})
	}
}

// A process that keeps an endpoint's load with its entry takes the endpoint for idle, sure and
// warm when the entry comes back, though its calls still run there.
func TestLoadOutlivesEntries(t *testing.T) {
	for history, play := range entryHistories {
		if history == "at another address" {
			continue // where nothing of it runs
		}
		t.Run(history, func(t *testing.T) {
			s, now := newScheduler(1), time.Now()
			e := engine("e", "a1")
			e.Revision = 5
			s.Put(now, e)
			var leases []*Lease
			for range e.Slots {
				leases = append(leases, expectPlaced(t, s, request(100), "e"))
			}
			before := s.Loads()
			play(s, now, e)
			if after := s.Loads(); after[KeyOf("e")] != before[KeyOf("e")] {
				t.Errorf("load %+v, want %+v", after, before)
			}
			expectPlaced(t, s, request(100), "")
			leases[0].Release(now, OutcomeUnreachable)
			play(s, now, e)
			other := engine("f", "b1")
			s.Put(now, other)
			expectPlaced(t, s, request(100), "f") // e has room, but is suspect
			for _, l := range leases[1:] {
				l.Release(now, OutcomeNone)
			}
			if got := s.Loads()[KeyOf("e")]; got != (Load{}) {
				t.Errorf("load %+v after all calls ended, want none", got)
			}
		})
	}
}

// A cold endpoint must not get its calls of a second twice because its entry came back.
func TestColdLimitOutlivesEntries(t *testing.T) {
	for history, play := range entryHistories {
		if history == "at another address" {
			continue // another process
		}
		t.Run(history, func(t *testing.T) {
			s, now := newScheduler(1), time.Now()
			e := engine("e", "a1")
			e.Revision = 5
			s.Put(now, e)
			cold := request(1)
			cold.MaxColdCallsPerSecond = 2
			for range 2 {
				expectPlaced(t, s, cold, "e").Release(now, OutcomeSuccess)
			}
			play(s, now, e)
			expectPlaced(t, s, cold, "")
		})
	}
}

// A stream must not be moved off an endpoint whose entry has come back.
func TestEntryThatComesBackEndsLeaving(t *testing.T) {
	s, now := newScheduler(1), time.Now()
	e := engine("e", "a1")
	s.Put(now, e)
	l := expectPlaced(t, s, request(1), "e")
	left := l.Leaving()
	s.Remove(now, "e", time.Time{})
	s.Put(now, e)
	select {
	case <-left:
	default:
		t.Error("the lease was not told that the entry was removed")
	}
	select {
	case <-l.Leaving():
		t.Error("the endpoint is leaving though its entry came back")
	default:
	}
}

// The histories above must not by themselves make an endpoint unusable, or the tests of words
// would show nothing.
func TestHistoriesLeaveEndpointUsable(t *testing.T) {
	for history, play := range entryHistories {
		t.Run(history, func(t *testing.T) {
			s, now := newScheduler(1), time.Now()
			e := engine("e", "a1")
			e.Revision = 5
			s.Put(now, e)
			play(s, now, e)
			if _, placed := s.TryPlace(now.Add(5*time.Second), request(1)); !placed {
				t.Error("no call was placed though the endpoint has said nothing")
			}
		})
	}
}

// A call that runs for long at an endpoint without an entry must be counted when the entry
// comes back.
func TestLoadOutlivesRemovedTTL(t *testing.T) {
	s, now := newScheduler(1), time.Now()
	e := engine("e", "a1")
	s.Put(now, e)
	expectPlaced(t, s, request(100), "e")
	before := s.Loads()
	s.Remove(now, "e", time.Time{})
	now = now.Add(10 * removedTTL)
	s.ExpireGrace(now)
	s.Put(now, e)
	if after := s.Loads(); after[KeyOf("e")] != before[KeyOf("e")] {
		t.Errorf("load %+v, want %+v", after, before)
	}
}

// An endpoint whose clock was set back, or that no longer tells its start, must be used when it
// registers again, with its entry gone before, replaced, or read from an older copy.
func TestEarlierStartTime(t *testing.T) {
	for start, started := range map[string]int64{"clock set back": 50, "unknown": 0} {
		for history, play := range map[string]func(s *Scheduler, now time.Time){
			"after its entry was gone": func(s *Scheduler, now time.Time) { s.Remove(now, "e", time.Time{}) },
			"in place of its entry":    func(*Scheduler, time.Time) {},
			"in an older copy":         func(s *Scheduler, now time.Time) { s.BeginEpoch(now, time.Second) },
			"gone, in an older copy": func(s *Scheduler, now time.Time) {
				s.Remove(now, "e", time.Time{})
				s.BeginEpoch(now, time.Second)
			},
		} {
			t.Run(start+", "+history, func(t *testing.T) {
				s, now := newScheduler(1), time.Now()
				e := engine("e", "a1")
				e.StartedMs, e.Revision = 100, 5
				s.Put(now, e)
				s.HearLeaving(now, e)
				play(s, now)
				e.StartedMs, e.Revision, e.Address = started, 9, "e:2"
				s.Put(now, e)
				now = now.Add(2 * time.Second)
				s.ExpireGrace(now)
				if l, placed := s.TryPlace(now, request(1)); !placed || l.Endpoint.Address != "e:2" {
					t.Errorf("placed %v, want at the address of the newer entry", placed)
				}
			})
		}
	}
}

// Peers that have started since must hear that an endpoint leaves when its entry comes back.
func TestEntryOfLeavingEndpointIsNews(t *testing.T) {
	s, now := newScheduler(1), time.Now()
	e := engine("e", "a1")
	s.Put(now, e)
	s.HearLeaving(now, e)
	s.Remove(now, e.ID, time.Time{})
	if c := s.Put(now, e); c.Kind != ChangeLeaving || c.Endpoint.Revision != RevisionUntilRestart {
		t.Errorf("change %+v, want that the endpoint itself said that it leaves", c)
	}
}

// What a process that has started anew says before its entry is read must hold for it.
func TestWordBeforeNewEntry(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("KNOWN-RED.txt, 17")
	}
	s, now := newScheduler(1), time.Now()
	old := engine("e", "a1")
	old.StartedMs, old.Revision = now.Add(-time.Hour).UnixMilli(), 5
	s.Put(now, old)
	s.Close(now, old, now.Add(10*time.Second)) // said by the new process, at the same address with the same ID
	next := old
	next.StartedMs, next.Revision = now.Add(-time.Second).UnixMilli(), 9
	s.Put(now.Add(300*time.Millisecond), next)
	placed := 0
	for range 8 {
		if _, ok := s.TryPlace(now.Add(time.Second), request(1)); ok {
			placed++
		}
	}
	if placed > 2 {
		t.Errorf("%d calls placed at once within the closed time, want at most 2", placed)
	}
}
