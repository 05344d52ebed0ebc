package dgram

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/router/peers"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// startProcess runs a transport with a group and a scheduler that holds one endpoint.
func startProcess(t *testing.T, address string, incarnation uint64, seeds ...string) (*peers.Group, *sched.Scheduler) {
	t.Helper()
	s := sched.New(sched.Config{DataCentre: "a1", Region: "a", Name: address, Processes: func() int { return 1 }})
	s.Put(time.Now(), endpt.Endpoint{ID: "e", StartedMs: 1, Service: "s", DataCentre: "a1", Region: "a", Slots: 4})
	g := peers.New(peers.Config{
		Address: address, Region: "a", Incarnation: incarnation, Seeds: seeds, Scheduler: s, Log: zap.NewNop(), Registry: noCopy{},
	})
	c, err := New(address, g, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return g, s
}

// noCopy is an empty copy of the registry.
type noCopy struct{}

func (noCopy) Report(time.Time) mirror.Report      { return mirror.Report{} }
func (noCopy) HearReport(time.Time, mirror.Report) {}
func (noCopy) Newest() mirror.Step                 { return mirror.Step{} }
func (noCopy) HearStep(mirror.Step)                {}

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func TestLeavingEndpointReachesPeer(t *testing.T) {
	first, second := freeAddress(t), freeAddress(t)
	g, _ := startProcess(t, first, 1)
	_, s := startProcess(t, second, 2, first)
	reported := false
	for range 500 {
		if g.Processes(time.Now()) == 2 && !reported {
			g.ReportLeaving(time.Now(), endpt.Endpoint{ID: "e", StartedMs: 1, Revision: 1})
			reported = true
		}
		if s.Usable(time.Now(), sched.Request{Service: "s"}) == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("the second process did not learn that the endpoint is leaving (reported by the first: %v)", reported)
}

func TestBadAddress(t *testing.T) {
	if _, err := New("nowhere", nil, zap.NewNop()); err == nil {
		t.Fatal("an address without a port was accepted")
	}
}
