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
	service    = "depot"
	dataCentre = "mayo-a"
	self       = "depot-1"
)

// testDesk is a Desk whose periodic maintenance runs only when the test calls it.
type testDesk struct {
	*Desk
	t       *testing.T
	version uint64
	offers  int
	refresh func()
}

func newTestDesk(t *testing.T) *testDesk {
	t.Helper()
	b := &testDesk{t: t, refresh: func() {}}
	trail := audit.New(self, zap.NewNop())
	b.Desk = New(Deps{
		Settings: setup.Settings{Host: self, DataCentre: dataCentre, Service: service, Endpoint: "127.0.0.1:1", KeepFinishedMs: 1000, OrphanMs: 1000, BufferBytes: 1 << 20},
		Clock:    clock.New(), Store: active.New(true, trail), Roster: roster.New(trail), Pool: link.New(nil), Trail: trail,
		Meter: metric.New(), Life: t.Context(), Refresh: func(context.Context) { b.refresh() }, Log: zap.NewNop(),
	})
	b.publish(false)
	b.health.up = true
	return b
}

// publish applies a new configuration version.
func (b *testDesk) publish(outOfService bool) {
	b.t.Helper()
	b.version++
	next, err := bundle.Build(b.version, spec.File{
		DataCentres: []spec.DataCentre{{Name: dataCentre, Region: "north", OutOfService: outOfService}},
		Services:    []spec.Service{{Name: service, Kind: spec.KindPlain, Floor: 1, MaxConcurrency: 1, KeyHorizonSecs: 30}},
	})
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.Store.Apply(next, "test"); err != nil {
		b.t.Fatal(err)
	}
	b.applyConfig()
}

func (b *testDesk) offer() *peerpb.Offer {
	b.offers++
	return &peerpb.Offer{
		Attempt: callid.New(callid.NewCall(), dataCentre, self, b.Clock.Incarnation()).String(), Service: service, Workspace: "w",
		Incarnation: b.Clock.Incarnation(), Beat: b.Clock.Beat(), QueueMs: 60_000, Method: "GET", Target: "/", DeadlineMs: 1000,
	}
}

// occupy uses up the concurrency limit of 1 without running a call.
func (b *testDesk) occupy() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admission.Adopt(time.Now(), admissionRequest(&peerpb.Offer{Attempt: "occupant"}), 0)
}

func (b *testDesk) expectRefused(o *peerpb.Offer, kind peerpb.RefusalKind, reason string) {
	b.t.Helper()
	_, refused := b.Offer(b.t.Context(), o)
	if refused == nil || refused.Kind != kind || refused.Reason != reason {
		b.t.Fatalf("refusal %v, want %v %q", refused, kind, reason)
	}
}

func (b *testDesk) expectAccepted(o *peerpb.Offer) *Run {
	b.t.Helper()
	run, refused := b.Offer(b.t.Context(), o)
	if refused != nil {
		b.t.Fatalf("refused: %v", refused)
	}
	return run
}

const notRun = peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN

func TestOfferRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *testDesk, o *peerpb.Offer)
		reason string
	}{
		{"earlier incarnation", func(_ *testDesk, o *peerpb.Offer) { o.Incarnation++ }, "offer is for an earlier incarnation"},
		{"old beat echoed", func(_ *testDesk, _ *peerpb.Offer) { time.Sleep(4 * time.Second) }, "offer is stale"},
		{"another service", func(_ *testDesk, o *peerpb.Offer) { o.Service = "plans" }, "serves depot"},
		{"data centre out of service", func(b *testDesk, _ *peerpb.Offer) { b.publish(true) }, "data centre is out of service"},
		{"host leaving", func(b *testDesk, _ *peerpb.Offer) {
			b.Roster.Update(1, []roster.Member{{Host: self, Role: roster.RoleAgent, Service: service, Leaving: true}})
			b.maintain()
		}, "host is leaving"},
		{"stopping", func(b *testDesk, _ *peerpb.Offer) { b.Stop() }, "agent is stopping"},
		{"endpoint down", func(b *testDesk, _ *peerpb.Offer) { b.health = health{} }, "endpoint unreachable"},
		{"revoked", func(b *testDesk, o *peerpb.Offer) {
			b.Revoke(&peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat})
		}, "revoked"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestDesk(t)
				o := b.offer()
				c.change(b, o)
				b.expectRefused(o, notRun, c.reason)
			})
		})
	}
}

func TestPausedAgentRefreshesBeforeStartingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestDesk(t)
		b.maintain()
		b.occupy()
		waiting := b.expectAccepted(b.offer())
		release := make(chan struct{})
		b.refresh = func() { <-release }
		time.Sleep(5 * time.Second) // without calls of maintain, this looks like a paused process
		b.expectRefused(b.offer(), notRun, "agent was paused")
		<-waiting.Decided()
		if waiting.Refusal() == nil || waiting.Refusal().Reason != "agent was paused" {
			t.Fatalf("refusal of the call queued before the pause: %v", waiting.Refusal())
		}
		b.publish(true) // the configuration that the peers send
		close(release)
		synctest.Wait()
		b.expectRefused(b.offer(), notRun, "data centre is out of service")
	})
}

func TestDrainRefusesWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestDesk(t)
		b.occupy()
		run := b.expectAccepted(b.offer())
		b.publish(true)
		<-run.Decided()
		if run.Refusal().GetKind() != notRun {
			t.Fatalf("refusal %v", run.Refusal())
		}
		b.publish(false)
		b.expectAccepted(b.offer())
	})
}

func TestRevokeReturnsFate(t *testing.T) {
	cases := []struct {
		name string
		make func(b *testDesk) *peerpb.RevokeRequest
		want peerpb.Fate
	}{
		{"never offered", func(b *testDesk) *peerpb.RevokeRequest {
			return &peerpb.RevokeRequest{Attempt: b.offer().Attempt, Beat: b.Clock.Beat()}
		}, peerpb.Fate_FATE_NEVER},
		{"waiting", func(b *testDesk) *peerpb.RevokeRequest {
			b.occupy()
			o := b.offer()
			b.expectAccepted(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_NEVER},
		{"attempt of another workspace", func(b *testDesk) *peerpb.RevokeRequest {
			b.occupy()
			o := b.offer()
			b.expectAccepted(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "x", Beat: o.Beat}
		}, peerpb.Fate_FATE_UNKNOWN},
		{"started", func(b *testDesk) *peerpb.RevokeRequest {
			o := b.offer()
			b.expectAccepted(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_STARTED},
		{"attempt of an earlier process", func(b *testDesk) *peerpb.RevokeRequest {
			id := callid.New(callid.NewCall(), dataCentre, self, b.Clock.Incarnation()+1)
			return &peerpb.RevokeRequest{Attempt: id.String(), Beat: b.Clock.Beat()}
		}, peerpb.Fate_FATE_UNKNOWN},
		{"record may have expired", func(b *testDesk) *peerpb.RevokeRequest {
			o := b.offer()
			time.Sleep(time.Minute)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_UNKNOWN},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestDesk(t)
				if got := b.Revoke(c.make(b)); got != c.want {
					t.Fatalf("fate %v, want %v", got, c.want)
				}
			})
		})
	}
}

func TestWaitingBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestDesk(t)
		b.occupy()
		queued := 0
		for range 8 {
			o := b.offer()
			o.Body = make([]byte, 300<<10) // the limit for all is 1 MiB
			if _, refused := b.Offer(t.Context(), o); refused == nil {
				queued++
			}
		}
		if queued != 3 {
			t.Fatalf("%d calls with bodies of 300 KiB queued in 1 MiB, want 3", queued)
		}
	})
}

func TestQueueWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestDesk(t)
		b.occupy()
		o := b.offer()
		o.QueueMs = 2000
		run := b.expectAccepted(o)
		for range 50 {
			time.Sleep(maintenanceInterval)
			b.maintain()
		}
		if run.Refusal().GetReason() != "waited too long" {
			t.Fatalf("refusal %v", run.Refusal())
		}
	})
}
