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

const memory = 10_000

func newBook(entries int) *Book {
	return New(Config{
		DataCentre: "a1", Region: "a", Name: "me", Entries: func() int { return entries }, Draw: func() int64 { return 1 },
	})
}

func engine(id, centre string) endpt.Endpoint {
	return endpt.Endpoint{ID: id, Born: 1, Service: "s", Address: id + ":1", DataCentre: centre, Region: centre[:1], Slots: 4}
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
		{"nothing", nil, nil, need(100), ""},
		{"only of the service", []endpt.Endpoint{other}, nil, need(100), ""},
		{"not one that drains", []endpt.Endpoint{draining}, nil, need(100), ""},
		{"the near one", []endpt.Endpoint{engine("far", "b1"), engine("near", "a1")}, nil, need(100), "near"},
		{"the far one when the near is busy", []endpt.Endpoint{engine("far", "b1"), engine("near", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"near": {Calls: 2, Tokens: 5000, Unread: 3000}})
		}, need(100), "far"},
		{"unread prompts weigh more than memory", []endpt.Endpoint{engine("m", "a1"), engine("u", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"m": {Calls: 1, Tokens: 4000}, "u": {Calls: 1, Tokens: 2000, Unread: 2000}})
		}, need(100), "m"},
		{
			"only allowed regions",
			[]endpt.Endpoint{engine("near", "a1"), engine("far", "b1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Regions: []string{"b"}},
			"far",
		},
		{
			"not the excluded",
			[]endpt.Endpoint{engine("near", "a1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Exclude: []string{"near"}},
			"",
		},
		{"not in an evacuated data centre", []endpt.Endpoint{engine("near", "a1")}, func(b *Book) { b.Evacuate(time.Now(), "a1", true) }, need(100), ""},
		{"not beyond the memory", []endpt.Endpoint{engine("near", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"near": {Calls: 1, Tokens: 9000}})
		}, need(1000), ""},
		{"a large call on an idle engine", []endpt.Endpoint{engine("near", "a1")}, nil, need(memory + 1), "near"},
		{
			"a move stays in the region",
			[]endpt.Endpoint{engine("far", "b1")},
			nil,
			Need{Service: "s", Tokens: 1, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")},
			"",
		},
		{"a move fills the memory", []endpt.Endpoint{engine("same", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"same": {Calls: 1, Tokens: 9000}})
		}, Need{Service: "s", Tokens: 1000, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")}, "same"},
		{"a move does not overfill it", []endpt.Endpoint{engine("same", "a1")}, func(b *Book) {
			b.SetPeerLoad(time.Now(), "p", map[string]Load{"same": {Calls: 1, Tokens: 9000}})
		}, Need{Service: "s", Tokens: 1001, Memory: memory, Purpose: PurposeMove, From: engine("from", "a1")}, ""},
		{
			"a move prefers the data centre",
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

// A new, empty engine must not draw the work of all processes at once.
func TestPeersSeeEachOther(t *testing.T) {
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

func TestStaleLoadIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("e", "a1"))
		b.SetPeerLoad(time.Now(), "p", map[string]Load{"e": {Calls: 1, Tokens: 9000}})
		expectTake(t, b, need(3000), "")
		time.Sleep(peerLoadAge + time.Millisecond)
		expectTake(t, b, need(3000), "e")
	})
}

// All processes together keep a cold endpoint's allowance, whoever sees whom.
func TestColdAllowanceOfBlindProcesses(t *testing.T) {
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
				// Small parts are rounded and drawn by a hash: the rules allow half as much again.
				if sent > perSecond*3/2 || sent < perSecond/4 {
					t.Fatalf("%d processes sent %d calls in a second, allowance %d", processes, sent, perSecond)
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
		{"good", OutcomeGood, 3, "near"},
		{"one failure is tolerated", OutcomeFailed, 1, "near"},
		{"many failures", OutcomeFailed, 12, "far"},
		{"out of reach", OutcomeUnusable, 1, "far"},
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
		time.Sleep(suspectFirst + time.Millisecond)
		expectTake(t, b, need(1), "near")
	})
}

func TestListing(t *testing.T) {
	written := func(revision uint64) endpt.Endpoint {
		e := engine("e", "a1")
		e.Revision = revision
		return e
	}
	restarted := engine("e", "a1")
	restarted.Born = 2
	draining := engine("e", "a1")
	draining.Draining = true
	for _, test := range []struct {
		name   string
		change func(b *Book) Change
		what   What
		usable bool
	}{
		{"heartbeat", func(b *Book) Change { return b.Put(time.Now(), engine("e", "a1")) }, WhatNone, true},
		{"drains", func(b *Book) Change { return b.Put(time.Now(), draining) }, WhatLeaving, false},
		{"started again under its ID", func(b *Book) Change { return b.Put(time.Now(), restarted) }, WhatAdded, true},
		{"late message of an earlier incarnation", func(b *Book) Change {
			b.Put(time.Now(), restarted)
			return b.Put(time.Now(), draining)
		}, WhatNone, true},
		{"removed", func(b *Book) Change { return b.Remove(time.Now(), "e", time.Time{}) }, WhatLeaving, false},
		{"removed and listed again", func(b *Book) Change {
			b.Remove(time.Now(), "e", time.Time{})
			return b.Put(time.Now(), engine("e", "a1"))
		}, WhatAdded, true},
		{"expired in an outage", func(b *Book) Change { return b.Remove(time.Now(), "e", time.Now().Add(time.Second)) }, WhatLapsed, true},
		{"came back after an outage", func(b *Book) Change {
			b.Remove(time.Now(), "e", time.Now().Add(time.Second))
			return b.Put(time.Now(), engine("e", "a1"))
		}, WhatReturn, true},
		{"a peer says that it leaves", func(b *Book) Change { return b.Leave("e", 1, 0) }, WhatLeaving, false},
		{"a peer speaks of an earlier incarnation", func(b *Book) Change { return b.Leave("e", 0, 0) }, WhatNone, true},
		{"a peer says that it leaves, and it lists itself again", func(b *Book) Change {
			b.Leave("e", 1, 8)
			return b.Put(time.Now(), written(9))
		}, WhatAdded, true},
		{"a peer says that it leaves, and an older listing has it", func(b *Book) Change {
			b.Leave("e", 1, 8)
			return b.Put(time.Now(), written(7))
		}, WhatNone, false},
		{"a peer speaks of an entry that was written again", func(b *Book) Change {
			b.Remove(time.Now(), "e", time.Time{})
			b.Put(time.Now(), written(9))
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
			t.Fatalf("changes %v, want one that leaves", changes)
		}
		expectTake(t, b, need(1), "")
	})
}

func TestLeavingIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.Put(time.Now(), engine("e", "a1"))
		l := expectTake(t, b, need(1), "e")
		b.Remove(time.Now(), "e", time.Time{})
		select {
		case <-l.Leaving():
		default:
			t.Fatal("the lease does not know that its endpoint leaves")
		}
	})
}

// A surge fills the engines; what waits is served by urgency, and calls that can
// still meet their objective go before those that cannot.
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
		wait("plan", 1, time.Minute)
		wait("late check", 0, 0)
		wait("check", 0, time.Minute)
		wait("second check", 0, time.Minute)
		time.Sleep(time.Second)
		running.Release(time.Now(), OutcomeGood)
		for _, want := range []string{"check", "second check", "plan", "late check"} {
			if got := <-order; got != want {
				t.Fatalf("served %q, want %q", got, want)
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
			t.Fatalf("%d calls wait, want none", n)
		}
	})
}

func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(1)
		b.SetPeerLoad(time.Now(), "before", map[string]Load{"e": {Calls: 1, Tokens: 3000}})
		b.SetPeerLoad(time.Now(), "you", map[string]Load{"e": {Calls: 1, Tokens: 5000}})
		if got := b.Ahead(time.Now(), "e").Tokens; got != 3000 {
			t.Fatalf("%d tokens go first, want 3000", got)
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
		expect("y") // it still runs a call
		running.Release(time.Now(), OutcomeGood)
		expect()
	})
}
