package desk

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/conf/active"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/fleet/clock"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	service = "depot"
	centre  = "mayo-a"
	self    = "depot-1"
)

// bench is a desk whose upkeep runs only when the test says so.
type bench struct {
	*Desk
	t       *testing.T
	version uint64
	offers  int
	refresh func()
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, refresh: func() {}}
	trail := audit.New(self, zap.NewNop())
	b.Desk = New(Deps{
		Settings: setup.Settings{Host: self, DataCentre: centre, Service: service, Endpoint: "127.0.0.1:1", KeepFinishedMs: 1000, OrphanMs: 1000, BufferBytes: 1 << 20},
		Clock:    clock.New(), Store: active.New(true, trail), Roster: roster.New(trail), Pool: link.New(nil), Trail: trail,
		Meter: metric.New(), Life: t.Context(), Refresh: func(context.Context) { b.refresh() }, Log: zap.NewNop(),
	})
	b.publish(false)
	b.health.up = true
	return b
}

func (b *bench) publish(out bool) {
	b.t.Helper()
	b.version++
	next, err := bundle.Build(b.version, spec.File{
		DataCentres: []spec.DataCentre{{Name: centre, Region: "north", OutOfService: out}},
		Services:    []spec.Service{{Name: service, Kind: spec.KindPlain, Floor: 1, MaxConcurrency: 1, KeyHorizonSecs: 30}},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.Store.Apply(next, "test"); err != nil {
		b.t.Fatal(err)
	}
	b.configure()
}

func (b *bench) offer() *peerpb.Offer {
	b.offers++
	return &peerpb.Offer{
		Attempt: callid.New(callid.NewCall(), centre, self, b.Clock.Incarnation()).String(), Service: service, Workspace: "w",
		Incarnation: b.Clock.Incarnation(), Beat: b.Clock.Beat(), QueueMs: 60_000, Method: "GET", Target: "/", DeadlineMs: 1000,
	}
}

// occupy fills the one place of the endpoint without any work.
func (b *bench) occupy() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate.Adopt(time.Now(), requestOf(&peerpb.Offer{Attempt: "occupant"}), 0)
}

func (b *bench) expectRefused(o *peerpb.Offer, kind peerpb.RefusalKind, reason string) {
	b.t.Helper()
	_, refused := b.Offer(b.t.Context(), o)
	if refused == nil || refused.Kind != kind || refused.Reason != reason {
		b.t.Fatalf("refusal %v, want %v %q", refused, kind, reason)
	}
}

func (b *bench) expectTaken(o *peerpb.Offer) *Run {
	b.t.Helper()
	run, refused := b.Offer(b.t.Context(), o)
	if refused != nil {
		b.t.Fatalf("refused: %v", refused)
	}
	return run
}

const notRun = peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN

func TestOffersOfOldKnowledge(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *bench, o *peerpb.Offer)
		reason string
	}{
		{"earlier incarnation", func(_ *bench, o *peerpb.Offer) { o.Incarnation++ }, "offer is for an earlier incarnation"},
		{"old echo", func(_ *bench, _ *peerpb.Offer) { time.Sleep(4 * time.Second) }, "offer is stale"},
		{"another service", func(_ *bench, o *peerpb.Offer) { o.Service = "plans" }, "serves depot"},
		{"data centre out", func(b *bench, _ *peerpb.Offer) { b.publish(true) }, "data centre is out of service"},
		{"host leaving", func(b *bench, _ *peerpb.Offer) {
			b.Roster.Update(1, []roster.Member{{Host: self, Role: roster.RoleAgent, Service: service, Leaving: true}})
			b.upkeep()
		}, "host is leaving"},
		{"stopping", func(b *bench, _ *peerpb.Offer) { b.Stop() }, "agent is stopping"},
		{"endpoint down", func(b *bench, _ *peerpb.Offer) { b.health = health{} }, "endpoint unreachable"},
		{"revoked", func(b *bench, o *peerpb.Offer) {
			b.Revoke(&peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat})
		}, "revoked"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				o := b.offer()
				c.change(b, o)
				b.expectRefused(o, notRun, c.reason)
			})
		})
	}
}

func TestPausedAgentAsksBeforeItActs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.upkeep()
		b.occupy()
		waiting := b.expectTaken(b.offer())
		release := make(chan struct{})
		b.refresh = func() { <-release }
		time.Sleep(5 * time.Second) // no upkeep meanwhile: the process was paused
		b.expectRefused(b.offer(), notRun, "agent was paused")
		<-waiting.Decided()
		if waiting.Refusal() == nil || waiting.Refusal().Reason != "agent was paused" {
			t.Fatalf("what waited before the pause: %v", waiting.Refusal())
		}
		b.publish(true) // what the peers tell
		close(release)
		synctest.Wait()
		b.expectRefused(b.offer(), notRun, "data centre is out of service")
	})
}

func TestDrainDropsWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.occupy()
		run := b.expectTaken(b.offer())
		b.publish(true)
		<-run.Decided()
		if run.Refusal().GetKind() != notRun {
			t.Fatalf("refusal %v", run.Refusal())
		}
		b.publish(false)
		b.expectTaken(b.offer())
	})
}

func TestFate(t *testing.T) {
	cases := []struct {
		name string
		make func(b *bench) *peerpb.RevokeRequest
		want peerpb.Fate
	}{
		{"never offered", func(b *bench) *peerpb.RevokeRequest {
			return &peerpb.RevokeRequest{Attempt: b.offer().Attempt, Beat: b.Clock.Beat()}
		}, peerpb.Fate_FATE_NEVER},
		{"waiting", func(b *bench) *peerpb.RevokeRequest {
			b.occupy()
			o := b.offer()
			b.expectTaken(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_NEVER},
		{"another workspace's", func(b *bench) *peerpb.RevokeRequest {
			b.occupy()
			o := b.offer()
			b.expectTaken(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "x", Beat: o.Beat}
		}, peerpb.Fate_FATE_UNKNOWN},
		{"started", func(b *bench) *peerpb.RevokeRequest {
			o := b.offer()
			b.expectTaken(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_STARTED},
		{"a predecessor's", func(b *bench) *peerpb.RevokeRequest {
			id := callid.New(callid.NewCall(), centre, self, b.Clock.Incarnation()+1)
			return &peerpb.RevokeRequest{Attempt: id.String(), Beat: b.Clock.Beat()}
		}, peerpb.Fate_FATE_UNKNOWN},
		{"perhaps forgotten", func(b *bench) *peerpb.RevokeRequest {
			o := b.offer()
			time.Sleep(time.Minute)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_UNKNOWN},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				if got := b.Revoke(c.make(b)); got != c.want {
					t.Fatalf("fate %v, want %v", got, c.want)
				}
			})
		})
	}
}

func TestWaitingBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.occupy()
		taken := 0
		for range 8 {
			o := b.offer()
			o.Body = make([]byte, 300<<10) // of 1 MB
			if _, refused := b.Offer(t.Context(), o); refused == nil {
				taken++
			}
		}
		if taken != 3 {
			t.Fatalf("%d bodies of 300 KB wait in 1 MB", taken)
		}
	})
}

func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.occupy()
		o := b.offer()
		o.QueueMs = 2000
		run := b.expectTaken(o)
		for range 50 {
			time.Sleep(upkeepInterval)
			b.upkeep()
		}
		if run.Refusal().GetReason() != "waited too long" {
			t.Fatalf("refusal %v", run.Refusal())
		}
	})
}
