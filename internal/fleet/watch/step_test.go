package watch

import (
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// Guards against a process that stands still or is cut off while endpoints of a new version join,
// and takes the version that it knows for the only one: streams that callers take up there went on
// at another version than they had begun at.
func TestOnlyVersionIsTrustedInStep(t *testing.T) {
	const service = "versioned"
	for _, test := range []struct {
		name    string
		disturb func(b *fixture, peers *fakePeers)
		known   bool
	}{
		{"in step", func(*fixture, *fakePeers) {}, true},
		{"cut off from the registry and the peers", func(b *fixture, _ *fakePeers) {
			b.update(func(r *fakeRegistry) { r.unavailable = true })
			time.Sleep(2 * time.Second)
		}, false},
		{"outage of the registry, peers in touch", func(b *fixture, peers *fakePeers) {
			peers.inTouch = true
			b.update(func(r *fakeRegistry) { r.unavailable = true })
			time.Sleep(2 * time.Second)
		}, true},
		{"has just stood still", func(b *fixture, _ *fakePeers) {
			b.awake.mu.Lock()
			b.awake.lastTick = time.Now().Add(-3 * time.Second)
			b.awake.mu.Unlock()
		}, false},
		{"stood still some time ago", func(b *fixture, _ *fakePeers) {
			b.awake.mu.Lock()
			b.awake.lastTick = time.Now().Add(-3 * time.Second)
			b.awake.mu.Unlock()
			time.Sleep(time.Second)
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := &fakePeers{count: 2, isEntryPoint: true}
			withWatcher(t, func(b *fixture) Peers {
				peers.copy = b.peer
				return peers
			}, func(b *fixture) {
				b.scheduler.Put(time.Now(), endpt.Endpoint{ID: "v", StartedMs: 1, Service: service, Software: "v1", Address: "v:1", DataCentre: "a1", Region: "a", Slots: 4})
				time.Sleep(30 * time.Second)
				test.disturb(b, peers)
				software, known := b.CurrentSoftware(service)
				if known != test.known || known && software != "v1" {
					t.Errorf("version %q, known %v, want known %v", software, known, test.known)
				}
			})
		})
	}
}
