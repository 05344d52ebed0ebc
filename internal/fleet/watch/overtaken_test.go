package watch

import (
	"sync"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
)

// Guards against a slow registry's answer that arrives after a peer's newer copy and puts
// endpoints, data centres and configurations back: here, and at a process that starts later.
func TestPeerOvertakesAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  [2]string // key and value that the answer holds
		newer   [2]string // that the peer holds besides
		usable  bool
		version uint64
	}{
		{"heartbeat of an endpoint that has left", [2]string{keyEndpoint, "ready 2"}, [2]string{keyEndpoint, ""}, false, 3},
		{"endpoint ready before it drained", [2]string{keyEndpoint, "ready 2"}, [2]string{keyEndpoint, "draining"}, false, 3},
		{"removal of an endpoint that has come back", [2]string{keyEndpoint, ""}, [2]string{keyEndpoint, "ready 3"}, true, 3},
		{"data centre evacuated and taken back", [2]string{keyEvacuate, "x"}, [2]string{keyEvacuate, ""}, true, 3},
		{"older configuration", [2]string{keyTable, "4"}, [2]string{keyTable, "5"}, true, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			withWatcher(t, nil, func(b *fixture) {
				b.onAnswer = sync.OnceFunc(func() {
					b.write(test.newer[0], test.newer[1])
					list, epoch, revision, _ := b.List(t.Context())
					b.peer.Replace(list, mirror.Position{Epoch: epoch, Cursor: revision, AsOf: time.Now(), Reader: "peer"})
					p := b.Mirror().Position()
					b.apply(func() []mirror.Item { return b.Mirror().Merge(b.peer.Since(p.Epoch, p.Cursor)) })
				})
				b.write(test.answer[0], test.answer[1])
				time.Sleep(time.Second)
				b.expect(t, "after the late answer", test.usable)
				b.expectVersion(t, test.version)
				expectStart(t, b.Mirror(), test.usable, test.version)
			})
		})
	}
}

// expectStart checks what a process that starts with a peer's copy acts on while the registry
// does not respond.
func expectStart(t *testing.T, peer *mirror.Mirror, usable bool, version uint64) {
	t.Helper()
	registry := &fakeRegistry{items: map[string]mirror.Item{}, unavailable: true, peer: peer}
	started := newFixture(registry)
	started.peers = &fakePeers{count: 2, copy: peer}
	if !started.pull(t.Context(), "peer", started.Mirror().Position()) {
		t.Fatal("the peer's copy was not taken")
	}
	started.expect(t, "at a process that started", usable)
	started.expectVersion(t, version)
}
