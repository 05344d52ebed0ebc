package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/live"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const staleAfter = 2 * time.Second

// fakePeers are the peers of a process.
type fakePeers struct {
	count        int
	standby      int
	copy         *mirror.Mirror // of one peer, nil if no peer has a copy
	age          time.Duration  // of the peer's copy
	isEntryPoint bool
	inTouch      bool
}

func (p *fakePeers) Standby(time.Time, string) int         { return p.standby }
func (p *fakePeers) InTouch(time.Time, time.Duration) bool { return p.inTouch }
func (p *fakePeers) IsEntryPoint() bool                    { return p.isEntryPoint }
func (p *fakePeers) Processes(time.Time) int               { return p.count }
func (p *fakePeers) Newer(_ time.Time, v mirror.Version, maxAge time.Duration) (string, bool) {
	return "peer", p.copy != nil && v.Before(p.copy.Position().Version()) && p.age <= maxAge
}

type fixture struct {
	*fakeRegistry
	scheduler *sched.Scheduler
	tables    *live.Holder
	*Watcher
}

// withWatcher runs a scenario against a watcher of a registry that lists one endpoint.
// The registry can be changed and peers can be set in prepare.
func withWatcher(t *testing.T, prepare func(b *fixture) Peers, scenario func(b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		registry := &fakeRegistry{items: map[string]mirror.Item{}}
		registry.peer = mirror.New(registry.IsRenewal)
		b := newFixture(registry)
		b.write(keyTable, "3")
		b.write(keyEndpoint, "ready")
		var peers Peers
		if prepare != nil {
			peers = prepare(b)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { b.Run(ctx, peers); close(done) }()
		time.Sleep(time.Second)
		scenario(b)
		cancel()
		<-done
	})
}

func newFixture(r *fakeRegistry) *fixture {
	b := &fixture{fakeRegistry: r, tables: live.New()}
	b.scheduler = sched.New(sched.Config{DataCentre: "a1", Region: "a", Processes: func() int { return 1 }})
	b.Watcher = New(Deps{Address: "self", Source: r, Scheduler: b.scheduler, Tables: b.tables, Log: zap.NewNop(), StaleAfter: staleAfter})
	return b
}

func endpoint() endpt.Endpoint {
	return endpt.Endpoint{ID: "e", StartedMs: 1, Service: "s", Address: "e:1", DataCentre: "a1", Region: "a", Slots: 4}
}

func (b *fixture) expect(t *testing.T, when string, usable bool) {
	t.Helper()
	if got := b.scheduler.Usable(time.Now(), sched.Request{Service: "s"}) == 1; got != usable {
		t.Fatalf("%s: usable %v, want %v", when, got, usable)
	}
}

func (b *fixture) expectVersion(t *testing.T, want uint64) {
	t.Helper()
	table := b.tables.Current()
	if table == nil && want == 0 {
		return
	}
	if table == nil || table.Version() != want {
		t.Fatalf("table %v is active, want version %d", table, want)
	}
}

func TestEvents(t *testing.T) {
	for _, test := range []struct {
		name   string
		writes [][2]string // key and value
		usable bool
	}{
		{"removed", [][2]string{{keyEndpoint, ""}}, false},
		{"draining", [][2]string{{keyEndpoint, "draining"}}, false},
		{"heartbeat", [][2]string{{keyEndpoint, "ready 2"}}, true},
		{"data centre out of service", [][2]string{{keyEvacuate, "x"}}, false},
		{"data centre out of service and back", [][2]string{{keyEvacuate, "x"}, {keyEvacuate, ""}}, true},
		{"removed and registered again", [][2]string{{keyEndpoint, ""}, {keyEndpoint, "ready"}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withWatcher(t, nil, func(b *fixture) {
				b.expect(t, "at the start", true)
				for _, w := range test.writes {
					b.write(w[0], w[1])
				}
				time.Sleep(2 * readInterval)
				b.expect(t, "after the events", test.usable)
			})
		})
	}
}

func TestTableVersionNeverDecreases(t *testing.T) {
	withWatcher(t, nil, func(b *fixture) {
		b.write(keyTable, "9")
		b.write(keyTable, "8")
		time.Sleep(2 * readInterval)
		b.update(func(r *fakeRegistry) { r.historyGone = true }) // forces a listing, which holds version 8
		time.Sleep(time.Second)
		b.expectVersion(t, 9)
	})
}

// Entries removed after a long outage expired because their heartbeats could not
// reach the registry, so the endpoints stay usable for two seconds. After a short
// outage a removed entry takes effect at once.
func TestExpiryAfterOutage(t *testing.T) {
	for _, test := range []struct {
		name                          string
		outage                        time.Duration
		registersAgain                bool
		usableAtRecovery, usableLater bool // usableLater is checked three seconds after recovery
	}{
		{"short", 500 * time.Millisecond, false, false, false},
		{"long, does not register again", 8 * time.Second, false, true, false},
		{"long, registers again", 8 * time.Second, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withWatcher(t, nil, func(b *fixture) {
				b.update(func(r *fakeRegistry) { r.unavailable = true })
				time.Sleep(test.outage)
				b.expect(t, "during the outage", true)
				b.update(func(r *fakeRegistry) { r.unavailable = false })
				time.Sleep(1100 * time.Millisecond) // longer than most retry pauses, which jitter extends up to 1.5 s
				b.write(keyEndpoint, "")
				time.Sleep(2 * readInterval)
				b.expect(t, "at recovery", test.usableAtRecovery)
				if test.registersAgain {
					b.write(keyEndpoint, "ready")
				}
				time.Sleep(3 * time.Second)
				b.expect(t, "after recovery", test.usableLater)
			})
		})
	}
}

// A process that has not read the registry itself hears from the reader that entries
// may have expired in an outage.
func TestGraceIsPassedOn(t *testing.T) {
	withWatcher(t, nil, func(b *fixture) {
		b.HearReport(time.Now(), mirror.Report{Grace: time.Second})
		b.write(keyEndpoint, "")
		time.Sleep(2 * readInterval)
		b.expect(t, "within the grace period", true)
		time.Sleep(time.Second)
		b.expect(t, "after the grace period", false)
	})
}

func TestHistoryGone(t *testing.T) {
	withWatcher(t, nil, func(b *fixture) {
		b.write(keyEvacuate, "x")
		b.update(func(r *fakeRegistry) { r.historyGone = true })
		time.Sleep(time.Second)
		b.expect(t, "after the new listing", false)
		b.write(keyEvacuate, "")
		b.update(func(r *fakeRegistry) { r.historyGone = true })
		time.Sleep(time.Second)
		b.expect(t, "after the data centre is back in service", true)
	})
}

// A process takes changes from a peer whose copy is newer, never from an older one,
// and does not read the registry while reports say that its copy is current.
func TestChangesFromPeer(t *testing.T) {
	prepare := func(b *fixture) Peers {
		b.peer.Replace([]mirror.Item{{Key: keyTable, Value: []byte("3"), Revision: 1}, {Key: keyEndpoint, Value: []byte("ready"), Revision: 2}}, mirror.Position{Cursor: 2, AsOf: time.Now()})
		return &fakePeers{count: 50, copy: b.peer}
	}
	withWatcher(t, prepare, func(b *fixture) {
		b.expectVersion(t, 3)
		b.peer.Apply([]mirror.Item{{Key: keyTable, Value: []byte("9"), Revision: 20}, {Key: keyEndpoint, Revision: 21, Deleted: true}}, mirror.Position{Cursor: 21, AsOf: time.Now()})
		time.Sleep(100 * time.Millisecond)
		b.expectVersion(t, 9)
		b.expect(t, "after the peer's change", false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			b.HearReport(time.Now(), mirror.Report{State: 21, Cursor: 21, Reader: "peer", Reachable: true})
		}
		b.update(func(r *fakeRegistry) {
			if r.reads > 0 {
				t.Errorf("%d reads of the registry, want none", r.reads)
			}
		})
	})
}

// Whatever the reason for the silence of the peers, a process reads the registry
// itself before its copy is older than the bounds allow.
func TestStaleCopyIsReadAgain(t *testing.T) {
	for _, standby := range []int{0, 1, 2} {
		prepare := func(b *fixture) Peers {
			b.peer.Replace([]mirror.Item{{Key: keyEndpoint, Value: []byte("ready"), Revision: 2}}, mirror.Position{Cursor: 2, AsOf: time.Now()})
			return &fakePeers{count: 300, standby: standby, copy: b.peer}
		}
		withWatcher(t, prepare, func(b *fixture) {
			b.write(keyEndpoint, "draining")
			time.Sleep(staleAfter*3/2 - time.Second + 200*time.Millisecond) // the copy is a second old
			b.expect(t, "after the copy was stale", false)
		})
	}
}

// A process that starts takes a peer's copy, but a stale one only if the registry
// cannot be reached: it may hold what was removed since.
func TestStart(t *testing.T) {
	for _, test := range []struct {
		name         string
		peerAge      time.Duration
		isEntryPoint bool
		unavailable  bool
		version      uint64 // 3 is the registry's, 2 the peer's
		reads        bool
	}{
		{"peer has a current copy", 0, false, false, 2, false},
		{"peer's copy is stale", time.Minute, false, false, 3, true},
		{"peer's copy is stale, registry unavailable", time.Minute, false, true, 2, true},
		{"peer has a current copy, registry unavailable", 0, false, true, 2, false},
		{"first process", time.Minute, true, false, 3, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			prepare := func(b *fixture) Peers {
				b.unavailable = test.unavailable
				b.peer.Replace([]mirror.Item{{Key: keyTable, Value: []byte("2"), Revision: 1}}, mirror.Position{Cursor: 1, AsOf: time.Now().Add(-test.peerAge)})
				return &fakePeers{count: 9, copy: b.peer, age: test.peerAge, isEntryPoint: test.isEntryPoint}
			}
			withWatcher(t, prepare, func(b *fixture) {
				time.Sleep(startupWait / 2)
				b.expectVersion(t, test.version)
				b.update(func(r *fakeRegistry) {
					if got := r.reads > 0; got != test.reads {
						t.Errorf("read the registry %v, want %v", got, test.reads)
					}
				})
			})
		})
	}
}

// While the copy is stale, engines that run generations of this process are asked
// directly whether they are draining.
func TestEndpointsArePolledDuringOutage(t *testing.T) {
	for _, peersAreCurrent := range []bool{false, true} {
		withWatcher(t, nil, func(b *fixture) {
			if _, ok := b.scheduler.TryPlace(time.Now(), sched.Request{Service: "s", MemoryTokens: 1, EngineTokens: 10}); !ok {
				t.Fatal("no capacity on an idle endpoint")
			}
			b.update(func(r *fakeRegistry) { r.draining = true })
			time.Sleep(time.Second)
			b.expect(t, "while the registry is reachable", true)
			b.update(func(r *fakeRegistry) { r.unavailable = true })
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				if peersAreCurrent {
					p := b.Mirror().Position()
					b.HearReport(time.Now(), mirror.Report{State: p.State, Cursor: p.Cursor, Reachable: true, Reader: "peer"})
				}
			}
			b.expect(t, "while the registry is unreachable", peersAreCurrent)
		})
	}
}

// While the registry is down, a large fleet must not load it with attempts, and every
// process still makes some.
func TestAttemptsDuringOutage(t *testing.T) {
	for _, test := range []struct{ processes, most int }{{1, 15}, {50, 5}, {390, 5}} {
		prepare := func(b *fixture) Peers {
			b.peer.Replace(nil, mirror.Position{Cursor: 2, AsOf: time.Now()})
			return &fakePeers{count: test.processes, copy: b.peer}
		}
		withWatcher(t, prepare, func(b *fixture) {
			b.update(func(r *fakeRegistry) { r.unavailable, r.reads = true, 0 })
			time.Sleep(10 * time.Second)
			b.update(func(r *fakeRegistry) {
				if r.reads < 1 || r.reads > test.most {
					t.Errorf("%d attempts in 10 s of one of %d processes, want 1 to %d", r.reads, test.processes, test.most)
				}
			})
		})
	}
}

// A reader that hears of one before it in the order while it waits for the registry ceases
// to read.
func TestReaderYields(t *testing.T) {
	var hearsOther atomic.Bool
	prepare := func(b *fixture) Peers {
		b.onWatch = func() {
			if hearsOther.Load() {
				p := b.Mirror().Position()
				b.HearReport(time.Now(), mirror.Report{State: p.State, Cursor: p.Cursor, Reader: "before", Reachable: true})
			}
		}
		return &fakePeers{count: 5, isEntryPoint: true}
	}
	withWatcher(t, prepare, func(b *fixture) {
		hearsOther.Store(true)
		time.Sleep(500 * time.Millisecond) // shorter than the copy needs to become stale
		b.update(func(r *fakeRegistry) { r.reads = 0 })
		time.Sleep(time.Second)
		b.update(func(r *fakeRegistry) {
			if r.reads > 0 {
				t.Errorf("%d reads after another process read for all", r.reads)
			}
		})
	})
}

// A call that waits until an endpoint wants calls again must not wait for the registry's
// response too.
func TestClosedTimeEndsWhileRegistryIsSilent(t *testing.T) {
	withWatcher(t, nil, func(b *fixture) {
		b.update(func(r *fakeRegistry) { r.onWatch = func() { time.Sleep(900 * time.Millisecond) } })
		time.Sleep(2 * time.Second)
		for range 5 {
			now := time.Now()
			b.scheduler.Close(now, endpoint(), now.Add(200*time.Millisecond))
			l := b.scheduler.Wait(context.Background(), now, sched.Request{Service: "s"}, sched.WaitOptions{StartBy: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
			if l == nil {
				t.Fatal("the call was not placed")
			}
			if took := time.Since(now); took > 300*time.Millisecond {
				t.Errorf("the call was placed after %v, want about 200 ms", took)
			}
			l.Release(time.Now(), sched.OutcomeNone)
			time.Sleep(130 * time.Millisecond)
		}
	})
}
