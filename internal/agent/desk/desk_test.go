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
	d := &testDesk{t: t, refresh: func() {}}
	trail := audit.New(self, zap.NewNop())
	d.Desk = New(Deps{
		Settings: setup.Settings{Host: self, DataCentre: dataCentre, Service: service, Endpoint: "127.0.0.1:1", KeepFinishedMs: 1000, OrphanMs: 1000, BufferBytes: 1 << 20},
		Clock:    clock.New(), Store: active.New(true, trail), Roster: roster.New(trail), Pool: link.New(nil), Trail: trail,
		Meter: metric.New(), Life: t.Context(), Refresh: func(context.Context) { d.refresh() }, Log: zap.NewNop(),
	})
	d.publish(false)
	d.health.up = true
	return d
}

// publish applies a new configuration version.
func (d *testDesk) publish(outOfService bool) {
	d.t.Helper()
	d.version++
	next, err := bundle.Build(d.version, spec.File{
		DataCentres: []spec.DataCentre{{Name: dataCentre, Region: "north", OutOfService: outOfService}},
		Services:    []spec.Service{{Name: service, Kind: spec.KindPlain, Floor: 1, MaxConcurrency: 1, KeyHorizonSecs: 30}},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.Store.Apply(next, "test"); err != nil {
		d.t.Fatal(err)
	}
	d.applyConfig()
}

func (d *testDesk) offer() *peerpb.Offer {
	d.offers++
	return &peerpb.Offer{
		Attempt: callid.New(callid.NewCall(), dataCentre, self, d.Clock.Incarnation()).String(), Service: service, Workspace: "w",
		Incarnation: d.Clock.Incarnation(), Beat: d.Clock.Beat(), QueueMs: 60_000, Method: "GET", Target: "/", DeadlineMs: 1000,
	}
}

// occupy uses up the concurrency limit of 1 without running a call.
func (d *testDesk) occupy() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Adopt(time.Now(), admissionRequest(&peerpb.Offer{Attempt: "occupant"}), 0)
}

func (d *testDesk) expectRefused(o *peerpb.Offer, kind peerpb.RefusalKind, reason string) {
	d.t.Helper()
	_, refused := d.Offer(d.t.Context(), o)
	if refused == nil || refused.Kind != kind || refused.Reason != reason {
		d.t.Fatalf("refusal %v, want %v %q", refused, kind, reason)
	}
}

func (d *testDesk) expectAccepted(o *peerpb.Offer) *Run {
	d.t.Helper()
	run, refused := d.Offer(d.t.Context(), o)
	if refused != nil {
		d.t.Fatalf("refused: %v", refused)
	}
	return run
}

const notRun = peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN

func TestOfferRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *testDesk, o *peerpb.Offer)
		reason string
	}{
		{"earlier incarnation", func(_ *testDesk, o *peerpb.Offer) { o.Incarnation++ }, "offer is for an earlier incarnation"},
		{"old beat echoed", func(_ *testDesk, _ *peerpb.Offer) { time.Sleep(4 * time.Second) }, "offer is stale"},
		{"another service", func(_ *testDesk, o *peerpb.Offer) { o.Service = "plans" }, "serves depot"},
		{"data centre out of service", func(d *testDesk, _ *peerpb.Offer) { d.publish(true) }, "data centre is out of service"},
		{"host leaving", func(d *testDesk, _ *peerpb.Offer) {
			d.Roster.Update(1, []roster.Member{{Host: self, Role: roster.RoleAgent, Service: service, Leaving: true}})
			d.maintain()
		}, "host is leaving"},
		{"stopping", func(d *testDesk, _ *peerpb.Offer) { d.Stop() }, "agent is stopping"},
		{"endpoint down", func(d *testDesk, _ *peerpb.Offer) { d.health = health{} }, "endpoint unreachable"},
		{"revoked", func(d *testDesk, o *peerpb.Offer) {
			d.Revoke(&peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat})
		}, "revoked"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDesk(t)
				o := d.offer()
				c.change(d, o)
				d.expectRefused(o, notRun, c.reason)
			})
		})
	}
}

func TestPausedAgentRefreshesBeforeStartingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDesk(t)
		d.maintain()
		d.occupy()
		waiting := d.expectAccepted(d.offer())
		release := make(chan struct{})
		d.refresh = func() { <-release }
		time.Sleep(5 * time.Second) // without calls of maintain, this looks like a paused process
		d.expectRefused(d.offer(), notRun, "agent was paused")
		<-waiting.Decided()
		if waiting.Refusal() == nil || waiting.Refusal().Reason != "agent was paused" {
			t.Fatalf("refusal of the call queued before the pause: %v", waiting.Refusal())
		}
		d.publish(true) // the configuration that the peers send
		close(release)
		synctest.Wait()
		d.expectRefused(d.offer(), notRun, "data centre is out of service")
	})
}

func TestDrainRefusesWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDesk(t)
		d.occupy()
		run := d.expectAccepted(d.offer())
		d.publish(true)
		<-run.Decided()
		if run.Refusal().GetKind() != notRun {
			t.Fatalf("refusal %v", run.Refusal())
		}
		d.publish(false)
		d.expectAccepted(d.offer())
	})
}

func TestRevokeReturnsFate(t *testing.T) {
	cases := []struct {
		name string
		make func(d *testDesk) *peerpb.RevokeRequest
		want peerpb.Fate
	}{
		{"never offered", func(d *testDesk) *peerpb.RevokeRequest {
			return &peerpb.RevokeRequest{Attempt: d.offer().Attempt, Beat: d.Clock.Beat()}
		}, peerpb.Fate_FATE_NEVER},
		{"waiting", func(d *testDesk) *peerpb.RevokeRequest {
			d.occupy()
			o := d.offer()
			d.expectAccepted(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_NEVER},
		{"attempt of another workspace", func(d *testDesk) *peerpb.RevokeRequest {
			d.occupy()
			o := d.offer()
			d.expectAccepted(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "x", Beat: o.Beat}
		}, peerpb.Fate_FATE_UNKNOWN},
		{"started", func(d *testDesk) *peerpb.RevokeRequest {
			o := d.offer()
			d.expectAccepted(o)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_STARTED},
		{"attempt of an earlier process", func(d *testDesk) *peerpb.RevokeRequest {
			id := callid.New(callid.NewCall(), dataCentre, self, d.Clock.Incarnation()+1)
			return &peerpb.RevokeRequest{Attempt: id.String(), Beat: d.Clock.Beat()}
		}, peerpb.Fate_FATE_UNKNOWN},
		{"record may have expired", func(d *testDesk) *peerpb.RevokeRequest {
			o := d.offer()
			time.Sleep(time.Minute)
			return &peerpb.RevokeRequest{Attempt: o.Attempt, Workspace: "w", Beat: o.Beat}
		}, peerpb.Fate_FATE_UNKNOWN},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDesk(t)
				if got := d.Revoke(c.make(d)); got != c.want {
					t.Fatalf("fate %v, want %v", got, c.want)
				}
			})
		})
	}
}

func TestWaitingBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDesk(t)
		d.occupy()
		queued := 0
		for range 8 {
			o := d.offer()
			o.Body = make([]byte, 300<<10) // the limit for all is 1 MiB
			if _, refused := d.Offer(t.Context(), o); refused == nil {
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
		d := newTestDesk(t)
		d.occupy()
		o := d.offer()
		o.QueueMs = 2000
		run := d.expectAccepted(o)
		for range 50 {
			time.Sleep(maintenanceInterval)
			d.maintain()
		}
		if run.Refusal().GetReason() != "waited too long" {
			t.Fatalf("refusal %v", run.Refusal())
		}
	})
}
