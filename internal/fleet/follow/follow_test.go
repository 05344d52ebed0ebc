package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/live"
	"github.com/mimosalock/mimosalock/internal/conf/table"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

var errAway = errors.New("away")

// registry is a stand-in whose answers the test sets.
type registry struct {
	mu      sync.Mutex
	listed  Snapshot
	peer    Snapshot // what a peer knows
	away    bool
	gone    bool // the history is gone
	events  chan []Event
	leaving bool
}

// set changes what the registry answers.
func (r *registry) set(change func(r *registry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *registry) List(context.Context) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return Snapshot{}, errAway
	}
	r.gone = false
	return r.listed, nil
}

func (r *registry) Watch(ctx context.Context, after uint64) ([]Event, uint64, error) {
	var err error
	r.set(func(r *registry) {
		switch {
		case r.away:
			err = errAway
		case r.gone:
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

func (r *registry) ListOf(context.Context, string) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peer, nil
}

func (r *registry) Leaving(context.Context, endpt.Endpoint) (leaving bool, err error) {
	r.set(func(r *registry) { leaving = r.leaving })
	return leaving, nil
}

type bench struct {
	*registry
	book   *book.Book
	tables *live.Holder
	*Follower
}

// run follows a registry that lists one endpoint.
func run(t *testing.T, play func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{registry: &registry{events: make(chan []Event)}, tables: live.New()}
		b.book = book.New(book.Config{DataCentre: "a1", Region: "a", Entries: func() int { return 1 }})
		b.registry.listed = Snapshot{Endpoints: []endpt.Endpoint{endpoint()}, Table: table.New(table.Parts{Version: 3}), At: 1}
		b.Follower = New(Deps{Source: b.registry, Book: b.book, Tables: b.tables, Log: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { b.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		play(b)
		cancel()
		<-done
	})
}

func endpoint() endpt.Endpoint {
	return endpt.Endpoint{ID: "e", Born: 1, Service: "s", Address: "e:1", DataCentre: "a1", Region: "a", Slots: 4}
}

func (b *bench) expect(t *testing.T, when string, usable bool) {
	t.Helper()
	if got := b.book.Usable(time.Now(), book.Need{Service: "s"}) == 1; got != usable {
		t.Fatalf("%s: usable %v, want %v", when, got, usable)
	}
}

func TestEvents(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []Event
		usable bool
	}{
		{"removed", []Event{EndpointGone{ID: "e"}}, false},
		{"data centre out", []Event{CentreChanged{Centre: "a1", Out: true}}, false},
		{"data centre out and back", []Event{CentreChanged{Centre: "a1", Out: true}, CentreChanged{Centre: "a1"}}, true},
		{"removed and back", []Event{EndpointGone{ID: "e"}, EndpointPut{Endpoint: endpoint()}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.expect(t, "at the start", true)
				b.events <- test.events
				time.Sleep(100 * time.Millisecond)
				b.expect(t, "after the events", test.usable)
			})
		})
	}
}

func TestTableNeverGoesBack(t *testing.T) {
	run(t, func(b *bench) {
		b.events <- []Event{TablePut{table.New(table.Parts{Version: 9})}, TablePut{table.New(table.Parts{Version: 8})}}
		time.Sleep(100 * time.Millisecond)
		b.set(func(r *registry) { r.gone = true }) // lists the old version again
		time.Sleep(time.Second)
		if v := b.tables.Current().Version(); v != 9 {
			t.Fatalf("version %d is in force, want 9", v)
		}
	})
}

// Entries that expired in an outage get two seconds to come back.
func TestOutage(t *testing.T) {
	for _, test := range []struct {
		name      string
		lasts     time.Duration
		comesBack bool
		at, after bool // usable at the return, and three seconds later
	}{
		{"short", 500 * time.Millisecond, false, false, false},
		{"long, gone for good", 8 * time.Second, false, true, false},
		{"long, comes back", 8 * time.Second, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.set(func(r *registry) { r.away = true })
				time.Sleep(test.lasts)
				b.expect(t, "in the outage", true)
				b.set(func(r *registry) { r.away = false })
				time.Sleep(1100 * time.Millisecond) // the longest pause between tries, with jitter
				b.events <- []Event{EndpointGone{ID: "e"}}
				time.Sleep(50 * time.Millisecond)
				b.expect(t, "at the return", test.at)
				if test.comesBack {
					b.events <- []Event{EndpointPut{Endpoint: endpoint()}}
				}
				time.Sleep(3 * time.Second)
				b.expect(t, "after the return", test.after)
			})
		})
	}
}

func TestHistoryGone(t *testing.T) {
	run(t, func(b *bench) {
		b.set(func(r *registry) {
			r.listed = Snapshot{Evacuated: []string{"a1"}, Endpoints: []endpt.Endpoint{endpoint()}, At: 50}
		})
		b.set(func(r *registry) { r.gone = true })
		time.Sleep(time.Second)
		b.expect(t, "after the new listing", false)
		b.set(func(r *registry) { r.listed.Evacuated = nil })
		b.set(func(r *registry) { r.gone = true })
		time.Sleep(time.Second)
		b.expect(t, "after the data centre is back", true)
	})
}

// A process that the registry does not answer takes over what a peer knows, and
// never anything older than what it knows itself.
func TestPeerListing(t *testing.T) {
	for _, test := range []struct {
		name    string
		at      uint64
		version uint64
	}{{"newer", 20, 9}, {"older", 0, 3}} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(b *bench) {
				b.Followers = func(time.Time) []string { return []string{"peer"} }
				b.set(func(r *registry) {
					r.away = true
					r.peer = Snapshot{Table: table.New(table.Parts{Version: 9}), At: test.at}
				})
				time.Sleep(3 * time.Second)
				if v := b.tables.Current().Version(); v != test.version {
					t.Fatalf("version %d is in force, want %d", v, test.version)
				}
				b.expect(t, "after the peer's listing", test.version == 3)
			})
		})
	}
}

// While the registry is away, engines are asked themselves whether they leave.
func TestEnginesAreAsked(t *testing.T) {
	for _, informed := range []bool{false, true} {
		run(t, func(b *bench) {
			b.Followers = func(time.Time) []string {
				if informed {
					return []string{"peer"}
				}
				return nil
			}
			if _, ok := b.book.Take(time.Now(), book.Need{Service: "s", Tokens: 1, Memory: 10}); !ok {
				t.Fatal("no room on an idle engine")
			}
			b.set(func(r *registry) { r.leaving = true })
			time.Sleep(time.Second)
			b.expect(t, "while the registry answers", true)
			b.set(func(r *registry) { r.away = true })
			time.Sleep(time.Second)
			b.expect(t, "while the registry is away", informed)
		})
	}
}
