package book

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

const memory = 10_000 // of one engine, in tokens

func newBook(processes int) *Book {
	return New(Config{
		DataCentre: "a1", Region: "a", Name: "me", Entries: func() int { return processes }, Draw: func() int64 { return 1 },
	})
}

func engine(id, centre string) endpt.Endpoint {
	return endpt.Endpoint{ID: id, StartedMs: 1, Service: "s", Address: id + ":1", DataCentre: centre, Region: centre[:1], Slots: 4}
}

func need(tokens int) Need { return Need{Service: "s", Tokens: tokens, Prompt: tokens, Memory: memory} }

func expectTake(t *testing.T, b *Book, n Need, want string) *Lease {
	t.Helper()
	l, ok := b.Take(time.Now(), n)
	got := ""
	if ok {
		got = l.Endpoint.ID
	}
	if got != want {
		t.Fatalf("placed at %q, want %q", got, want)
	}
	return l
}

func TestPlacement(t *testing.T) {
	draining := engine("d", "a1")
	draining.Draining = true
	other := engine("x", "a1")
	other.Service = "other"
	for _, test := range []struct {
		name      string
		endpoints []endpt.Endpoint
		prepare   func(b *Book)
		need      Need
		want      string
	}{
		{"no endpoints", nil, nil, need(100), ""},
		{"endpoint of another service", []endpt.Endpoint{other}, nil, need(100), ""},
		{"draining endpoint", []endpt.Endpoint{draining}, nil, need(100), ""},
		{"own region preferred", []endpt.Endpoint{engine("far", "b1"), engine("near", "a1")}, nil, need(100), "near"},
		{"other region when the own is busy", []endpt.Endpoint{engine("far", "b1"), engine("near", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"near": {Calls: 2, Tokens: 5000, PrefillTokens: 3000}})
		}, need(100), "far"},
		{"unprocessed prompts cost more than memory", []endpt.Endpoint{engine("m", "a1"), engine("u", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"m": {Calls: 1, Tokens: 4000}, "u": {Calls: 1, Tokens: 2000, PrefillTokens: 2000}})
		}, need(100), "m"},
		{
			"allowed regions only",
			[]endpt.Endpoint{engine("near", "a1"), engine("far", "b1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Regions: []string{"b"}},
			"far",
		},
		{
			"excluded endpoint",
			[]endpt.Endpoint{engine("near", "a1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Exclude: []string{"near"}},
			"",
		},
		{"evacuated data centre", []endpt.Endpoint{engine("near", "a1")}, func(b *Book) { b.Evacuate(time.Now(), "a1", true) }, need(100), ""},
		{"not enough free memory", []endpt.Endpoint{engine("near", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"near": {Calls: 1, Tokens: 9000}})
		}, need(1000), ""},
		{"idle engine takes a call larger than its memory", []endpt.Endpoint{engine("near", "a1")}, nil, need(memory + 1), "near"},
		{
			"move stays in the region",
			[]endpt.Endpoint{engine("far", "b1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")},
			"",
		},
		{"move may fill all memory", []endpt.Endpoint{engine("same", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"same": {Calls: 1, Tokens: 9000}})
		}, Need{Service: "s", Tokens: 1000, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")}, "same"},
		{"move does not exceed the memory", []endpt.Endpoint{engine("same", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"same": {Calls: 1, Tokens: 9000}})
		}, Need{Service: "s", Tokens: 1001, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")}, ""},
		{
			"move prefers the same data centre",
			[]endpt.Endpoint{engine("n", "a2"), engine("same", "a1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")},
			"same",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBook(1)
				for _, ep := range test.endpoints {
					b.Put(time.Now(), ep)
				}
				if test.prepare != nil {
					test.prepare(b)
				}
				expectTake(t, b, test.need, test.want)
			})
		})
	}
}

// A new, empty engine must not attract the calls of all processes at once: a process
// counts the load that its peers have reported.
func TestPeerLoadAffectsPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newBook(2), newBook(2)
		for _, b := range []*Book{first, second} {
			b.Put(time.Now(), engine("new", "a1"))
			b.Put(time.Now(), engine("old", "a1"))
		}
		l, ok := first.Take(time.Now(), need(3000))
		if !ok {
			t.Fatal("no room on idle engines")
		}
		second.SetPeerLoad(time.Now(), "first", first.Loads())
		want := "new"
		if l.Endpoint.ID == "new" {
			want = "old"
		}
		expectTake(t, second, need(3000), want)
	})
}

func TestStalePeerLoadIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("e", "a1"))
		b.SetPeerLoad(time.Now(), "p", map[string]Load{"e": {Calls: 1, Tokens: 9000}})
		expectTake(t, b, need(3000), "")
		time.Sleep(peerLoadTTL + time.Millisecond)
		expectTake(t, b, need(3000), "e")
	})
}

// The calls of all processes to a cold endpoint must stay within its limit even if
// no process receives its peers' loads.
func TestColdLimitWithoutPeerContact(t *testing.T) {
	for _, processes := range []int{6, 31, 390} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const perSecond = 38
				n := Need{Service: "s", Tokens: 1, Memory: 1_000_000, ColdPerSecond: perSecond}
				sent := 0
				for i := range processes {
					b := New(Config{DataCentre: "a1", Region: "a", Name: fmt.Sprint(i), Entries: func() int { return processes }, Draw: func() int64 { return 1 }})
					e := engine("cold", "a1")
					e.Slots = 1000
					b.Put(time.Now(), e)
					for range 100 {
						if _, ok := b.Take(time.Now(), n); ok {
							sent++
						}
					}
				}
				// A process's part is rounded down or, if below 1, decided by a hash, so the
				// total varies. Up to 1.5 times the limit is accepted.
				if sent > perSecond*3/2 || sent < perSecond/4 {
					t.Fatalf("%d processes sent %d calls in a second, limit %d", processes, sent, perSecond)
				}
			})
		})
	}
}

func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		times   int
		want    string
	}{
		{"success", OutcomeGood, 3, "near"},
		{"one failure is tolerated", OutcomeFailed, 1, "near"},
		{"many failures", OutcomeFailed, 12, "far"},
		{"unreachable", OutcomeUnusable, 1, "far"},
		{"another endpoint has its address", OutcomeGone, 1, "far"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBook(1)
				b.Put(time.Now(), engine("near", "a1"))
				for range test.times {
					l := expectTake(t, b, need(1), "near")
					l.Release(time.Now(), test.outcome)
				}
				b.Put(time.Now(), engine("far", "b1"))
				expectTake(t, b, need(1), test.want)
			})
		})
	}
}

func TestSuspicionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("near", "a1"))
		b.Put(time.Now(), engine("far", "b1"))
		expectTake(t, b, need(1), "near").Release(time.Now(), OutcomeUnusable)
		expectTake(t, b, need(1), "far").Release(time.Now(), OutcomeGood)
		time.Sleep(minSuspectTime + time.Millisecond)
		expectTake(t, b, need(1), "near")
	})
}

func TestListing(t *testing.T) {
	atRevision := func(revision uint64) endpt.Endpoint {
		e := engine("e", "a1")
		e.Revision = revision
		return e
	}
	restarted := engine("e", "a1")
	restarted.StartedMs = 2
	draining := engine("e", "a1")
	draining.Draining = true
	for _, test := range []struct {
		name   string
		change func(b *Book) Change
		what   ChangeKind
		usable bool
	}{
		{"listed again unchanged", func(b *Book) Change { return b.Put(time.Now(), engine("e", "a1")) }, WhatNone, true},
		{"draining", func(b *Book) Change { return b.Put(time.Now(), draining) }, WhatLeaving, false},
		{"restarted under the same ID", func(b *Book) Change { return b.Put(time.Now(), restarted) }, ChangeAdded, true},
		{"late event of an earlier incarnation", func(b *Book) Change {
			b.Put(time.Now(), restarted)
			return b.Put(time.Now(), draining)
		}, WhatNone, true},
		{"removed", func(b *Book) Change { return b.Remove(time.Now(), "e", time.Time{}) }, WhatLeaving, false},
		{"removed and listed again", func(b *Book) Change {
			b.Remove(time.Now(), "e", time.Time{})
			return b.Put(time.Now(), engine("e", "a1"))
		}, ChangeAdded, true},
		{"expired during a registry outage", func(b *Book) Change { return b.Remove(time.Now(), "e", time.Now().Add(time.Second)) }, ChangeLapsed, true},
		{"listed again after a registry outage", func(b *Book) Change {
			b.Remove(time.Now(), "e", time.Now().Add(time.Second))
			return b.Put(time.Now(), engine("e", "a1"))
		}, ChangeRelisted, true},
		{"peer reports it as leaving", func(b *Book) Change { return b.Leave("e", 1, 0) }, WhatLeaving, false},
		{"peer reports an earlier incarnation as leaving", func(b *Book) Change { return b.Leave("e", 0, 0) }, WhatNone, true},
		{"peer reports it as leaving, then it registers again", func(b *Book) Change {
			b.Leave("e", 1, 8)
			return b.Put(time.Now(), atRevision(9))
		}, ChangeAdded, true},
		{"peer reports it as leaving, then an older listing has it", func(b *Book) Change {
			b.Leave("e", 1, 8)
			return b.Put(time.Now(), atRevision(7))
		}, WhatNone, false},
		{"registered again before a peer reports it as leaving", func(b *Book) Change {
			b.Remove(time.Now(), "e", time.Time{})
			b.Put(time.Now(), atRevision(9))
			return b.Leave("e", 1, 8)
		}, WhatNone, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBook(1)
				b.Put(time.Now(), engine("e", "a1"))
				if c := test.change(b); c.What != test.what {
					t.Fatalf("change %v, want %v", c.What, test.what)
				}
				if got := b.Usable(time.Now(), need(1)) == 1; got != test.usable {
					t.Fatalf("usable %v, want %v", got, test.usable)
				}
			})
		})
	}
}

func TestGraceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("e", "a1"))
		b.Replace(time.Now(), nil, time.Now().Add(time.Second))
		expectTake(t, b, need(1), "e")
		time.Sleep(time.Second + time.Millisecond)
		if changes := b.Expire(time.Now()); len(changes) != 1 || changes[0].What != WhatLeaving {
			t.Fatalf("changes %v, want one of kind leaving", changes)
		}
		expectTake(t, b, need(1), "")
	})
}

func TestLeaseSignalsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("e", "a1"))
		l := expectTake(t, b, need(1), "e")
		b.Remove(time.Now(), "e", time.Time{})
		select {
		case <-l.Leaving():
		default:
			t.Fatal("Leaving of the lease was not closed when its endpoint was removed")
		}
	})
}

// While the engines are full, waiting calls are ordered by priority, and calls that
// can still meet their latency objective go before those that cannot.
func TestWaitingOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("e", "a1"))
		running := expectTake(t, b, need(9000), "e")
		order := make(chan string, 4)
		wait := func(name string, priority int, onTime time.Duration) {
			go func() {
				p := Place{Priority: priority, OnTime: time.Now().Add(onTime), Until: time.Now().Add(time.Minute)}
				if l := b.Wait(context.Background(), time.Now(), need(9000), p); l != nil {
					order <- name
					l.Release(time.Now(), OutcomeGood)
				}
			}()
			synctest.Wait()
		}
		wait("low priority", 1, time.Minute)
		wait("late", 0, 0)
		wait("first", 0, time.Minute)
		wait("second", 0, time.Minute)
		time.Sleep(time.Second)
		running.Release(time.Now(), OutcomeGood)
		for _, want := range []string{"first", "second", "low priority", "late"} {
			if got := <-order; got != want {
				t.Fatalf("placed %q, want %q", got, want)
			}
		}
	})
}

func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		began := time.Now()
		if l := b.Wait(context.Background(), began, need(1), Place{Until: began.Add(time.Second)}); l != nil {
			t.Fatal("placed without an endpoint")
		}
		if waited := time.Since(began); waited != time.Second {
			t.Fatalf("waited %v, want 1s", waited)
		}
		if n := b.Waiting("s"); n != 0 {
			t.Fatalf("%d calls waiting, want none", n)
		}
	})
}

func TestAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.SetPeerLoad(time.Now(), "before", map[string]Load{"e": {Calls: 1, Tokens: 3000}})
		b.SetPeerLoad(time.Now(), "you", map[string]Load{"e": {Calls: 1, Tokens: 5000}})
		if got := b.Ahead(time.Now(), "e").Tokens; got != 3000 {
			t.Fatalf("load of earlier peers is %d tokens, want 3000", got)
		}
	})
}

func TestIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		expect := func(want ...string) {
			t.Helper()
			if got := b.IDs(); !slices.Equal(got, want) {
				t.Fatalf("endpoints %q, want %q", got, want)
			}
		}
		expect()
		b.Put(time.Now(), engine("y", "a1"))
		b.Put(time.Now(), engine("far", "b1"))
		b.Put(time.Now(), engine("x", "a2"))
		expect("x", "y")
		running := expectTake(t, b, need(1), "y")
		b.Remove(time.Now(), "x", time.Time{})
		b.Remove(time.Now(), "y", time.Time{})
		expect("y") // kept while it runs a call
		running.Release(time.Now(), OutcomeGood)
		expect()
	})
}
