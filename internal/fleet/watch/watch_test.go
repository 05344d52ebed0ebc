package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/live"
	"github.com/mimosalock/mimosalock/internal/conf/routes"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

var errUnavailable = errors.New("registry unavailable")

// fakeRegistry is a Source whose responses the test sets.
type fakeRegistry struct {
	mu          sync.Mutex
	listing     Snapshot
	peerListing Snapshot // returned by ListFromPeer
	unavailable bool
	historyGone bool // Watch fails with ErrHistoryGone until the next List
	events      chan []Event
	draining    bool
}

// update changes the fields under the lock.
func (r *fakeRegistry) update(change func(r *fakeRegistry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *fakeRegistry) List(context.Context) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return Snapshot{}, errUnavailable
	}
	r.historyGone = false
	return r.listing, nil
}

func (r *fakeRegistry) Watch(ctx context.Context, after uint64) ([]Event, uint64, error) {
	var err error
	r.update(func(r *fakeRegistry) {
		switch {
		case r.unavailable:
			err = errUnavailable
		case r.historyGone:
			err = ErrHistoryGone
		}
	})
	if err != nil {
		return nil, 0, err
	}
	select {
	case e := <-r.events:
		return e, after + 1, nil
	case <-time.After(100 * time.Millisecond):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (r *fakeRegistry) ListFromPeer(context.Context, string) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerListing, nil
}

func (r *fakeRegistry) IsDraining(context.Context, endpt.Endpoint) (draining bool, err error) {
	r.update(func(r *fakeRegistry) { draining = r.draining })
	return draining, nil
}

type fixture struct {
	*fakeRegistry
	scheduler *sched.Scheduler
	tables    *live.Holder
	*Watcher
}

// withWatcher runs a scenario against a watcher of a registry that lists one
// endpoint.
func withWatcher(t *testing.T, scenario func(b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &fixture{fakeRegistry: &fakeRegistry{events: make(chan []Event)}, tables: live.New()}
		b.scheduler = sched.New(sched.Config{DataCentre: "a1", Region: "a", Processes: func() int { return 1 }})
		b.fakeRegistry.listing = Snapshot{Endpoints: []endpt.Endpoint{endpoint()}, Table: routes.New(routes.Parts{Version: 3}), Revision: 1}
		b.Watcher = New(Deps{Source: b.fakeRegistry, Scheduler: b.scheduler, Tables: b.tables, Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { b.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		scenario(b)
		cancel()
		<-done
	})
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

func TestEvents(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []Event
		usable bool
	}{
		{"removed", []Event{EndpointRemoved{ID: "e"}}, false},
		{"data centre out of service", []Event{DataCentreChanged{DataCentre: "a1", OutOfService: true}}, false},
		{"data centre out of service and back", []Event{DataCentreChanged{DataCentre: "a1", OutOfService: true}, DataCentreChanged{DataCentre: "a1"}}, true},
		{"removed and registered again", []Event{EndpointRemoved{ID: "e"}, EndpointPut{Endpoint: endpoint()}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withWatcher(t, func(b *fixture) {
				b.expect(t, "at the start", true)
				b.events <- test.events
				time.Sleep(100 * time.Millisecond)
				b.expect(t, "after the events", test.usable)
			})
		})
	}
}

func TestTableVersionNeverDecreases(t *testing.T) {
	withWatcher(t, func(b *fixture) {
		b.events <- []Event{TablePut{routes.New(routes.Parts{Version: 9})}, TablePut{routes.New(routes.Parts{Version: 8})}}
		time.Sleep(100 * time.Millisecond)
		b.update(func(r *fakeRegistry) { r.historyGone = true }) // forces a listing, which still holds version 3
		time.Sleep(time.Second)
		if v := b.tables.Current().Version(); v != 9 {
			t.Fatalf("version %d is active, want 9", v)
		}
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
			withWatcher(t, func(b *fixture) {
				b.update(func(r *fakeRegistry) { r.unavailable = true })
				time.Sleep(test.outage)
				b.expect(t, "during the outage", true)
				b.update(func(r *fakeRegistry) { r.unavailable = false })
				time.Sleep(1100 * time.Millisecond) // longer than most retry pauses, which jitter extends up to 1.5 s
				b.events <- []Event{EndpointRemoved{ID: "e"}}
				time.Sleep(50 * time.Millisecond)
				b.expect(t, "at recovery", test.usableAtRecovery)
				if test.registersAgain {
					b.events <- []Event{EndpointPut{Endpoint: endpoint()}}
				}
				time.Sleep(3 * time.Second)
				b.expect(t, "after recovery", test.usableLater)
			})
		})
	}
}

func TestHistoryGone(t *testing.T) {
	withWatcher(t, func(b *fixture) {
		b.update(func(r *fakeRegistry) {
			r.listing = Snapshot{Evacuated: []string{"a1"}, Endpoints: []endpt.Endpoint{endpoint()}, Revision: 50}
		})
		b.update(func(r *fakeRegistry) { r.historyGone = true })
		time.Sleep(time.Second)
		b.expect(t, "after the new listing", false)
		b.update(func(r *fakeRegistry) { r.listing.Evacuated = nil })
		b.update(func(r *fakeRegistry) { r.historyGone = true })
		time.Sleep(time.Second)
		b.expect(t, "after the data centre is back in service", true)
	})
}

// A process that cannot reach the registry applies a peer's listing, but never one
// older than its own state.
func TestPeerListing(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision uint64
		version  uint64
	}{{"newer", 20, 9}, {"older", 0, 3}} {
		t.Run(test.name, func(t *testing.T) {
			withWatcher(t, func(b *fixture) {
				b.PeersWithRegistry = func(time.Time) []string { return []string{"peer"} }
				b.update(func(r *fakeRegistry) {
					r.unavailable = true
					r.peerListing = Snapshot{Table: routes.New(routes.Parts{Version: 9}), Revision: test.revision}
				})
				time.Sleep(3 * time.Second)
				if v := b.tables.Current().Version(); v != test.version {
					t.Fatalf("version %d is active, want %d", v, test.version)
				}
				b.expect(t, "after the peer's listing", test.version == 3)
			})
		})
	}
}

// While the registry is unreachable and no peer can reach it either, engines that
// run generations of this process are asked directly whether they are draining.
func TestEndpointsArePolledDuringOutage(t *testing.T) {
	for _, peerHasRegistry := range []bool{false, true} {
		withWatcher(t, func(b *fixture) {
			b.PeersWithRegistry = func(time.Time) []string {
				if peerHasRegistry {
					return []string{"peer"}
				}
				return nil
			}
			if _, ok := b.scheduler.TryPlace(time.Now(), sched.Request{Service: "s", MemoryTokens: 1, EngineTokens: 10}); !ok {
				t.Fatal("no capacity on an idle endpoint")
			}
			b.update(func(r *fakeRegistry) { r.draining = true })
			time.Sleep(time.Second)
			b.expect(t, "while the registry is reachable", true)
			b.update(func(r *fakeRegistry) { r.unavailable = true })
			time.Sleep(time.Second)
			b.expect(t, "while the registry is unreachable", peerHasRegistry)
		})
	}
}
