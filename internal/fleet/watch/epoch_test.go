package watch

import (
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// settle is longer than a change takes to be read.
const settle = 500 * time.Millisecond

func TestChangeUnderAReissuedRevision(t *testing.T) {
	withWatcher(t, nil, func(b *fixture) {
		b.write(keyTable, "4")
		b.write(keyTable, "5")
		time.Sleep(settle)
		b.expectVersion(t, 5)
		b.rewind(2)
		time.Sleep(settle)
		b.expectVersion(t, 5) // not the older one
		b.write(keyTable, "5")
		b.write(keyTable, "6")
		time.Sleep(settle)
		b.expectVersion(t, 6)
	})
}

// An endpoint whose entry the older copy lacks stays in use until it had time to register
// again.
func TestEndpointThatTheOlderCopyLacks(t *testing.T) {
	for _, again := range []bool{true, false} {
		withWatcher(t, nil, func(b *fixture) {
			b.write(keyEndpoint, "")
			time.Sleep(2 * restoreTime)
			b.write(keyEndpoint, "ready")
			time.Sleep(settle)
			b.expect(t, "listed", true)
			b.rewind(1)
			time.Sleep(graceAfterOutage - settle)
			b.expect(t, "within the grace period", true)
			if again {
				b.write(keyEndpoint, "ready 2")
			}
			time.Sleep(2 * settle)
			b.expect(t, "after the grace period", again)
		})
	}
}

// An endpoint that had left, or was draining, is not used because the older copy lists it
// as ready. If its entry stays, it is alive.
func TestEndpointThatTheOlderCopyStillLists(t *testing.T) {
	for _, test := range []struct {
		name, lost, later string
		usable            bool
	}{
		{"left, its entry expires", "", "", false},
		{"left, its entry stays", "", "ready", true},
		{"drains, says so again", "draining", "draining", false},
		{"drains, its entry expires", "draining", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withWatcher(t, nil, func(b *fixture) {
				b.write(keyEndpoint, test.lost)
				time.Sleep(settle)
				b.rewind(1)
				time.Sleep(settle)
				b.expect(t, "after the rewind", false)
				if test.later != "ready" {
					b.write(keyEndpoint, test.later)
				}
				time.Sleep(restoreTime - 2*settle)
				b.expect(t, "before the end of the restore", false)
				time.Sleep(restoreTime)
				b.expect(t, "after the restore", test.usable)
			})
		})
	}
}

// A data centre whose evacuation was lost stays out of service until somebody had time to
// evacuate it again.
func TestEvacuationThatTheOlderCopyLacks(t *testing.T) {
	for _, again := range []bool{true, false} {
		withWatcher(t, nil, func(b *fixture) {
			b.write(keyEvacuate, "1")
			time.Sleep(settle)
			b.rewind(1)
			time.Sleep(restoreTime / 2)
			b.expect(t, "after the rewind", false)
			if again {
				b.write(keyEvacuate, "1")
			}
			time.Sleep(maxEvacuationHold)
			b.expect(t, "later", !again)
			if again {
				b.write(keyEvacuate, "")
				time.Sleep(settle)
				b.expect(t, "taken back", true)
			}
		})
	}
}

// An answer of the earlier epoch that arrives late is ignored, also a peer's copy.
func TestLateAnswerOfAnEarlierEpoch(t *testing.T) {
	withWatcher(t, nil, func(b *fixture) {
		b.write(keyTable, "9")
		time.Sleep(settle)
		late := b.Mirror().Since(0, 0)
		b.rewind(1)
		time.Sleep(settle)
		position := b.Mirror().Position()
		b.apply(func() []mirror.Item { return b.Mirror().Merge(late) })
		b.apply(func() []mirror.Item { return b.Mirror().Replace(late.Items, late.Position) })
		b.apply(func() []mirror.Item {
			return b.Mirror().Apply(nil, mirror.Position{Cursor: late.Position.Cursor + 5, AsOf: time.Now()})
		})
		if got := b.Mirror().Position(); got.Epoch != position.Epoch || got.State != position.State || got.Cursor != position.Cursor {
			t.Errorf("position %+v after late answers, want %+v", got, position)
		}
		if b.scheduler.Usable(time.Now(), sched.Request{Service: "s"}) != 1 {
			t.Error("the endpoint is not usable")
		}
	})
}

// A process that follows a peer takes the newer epoch from it.
func TestEpochFromPeer(t *testing.T) {
	peers := &fakePeers{count: 2}
	withWatcher(t, func(b *fixture) Peers {
		peers.isEntryPoint, peers.copy = true, b.peer
		return peers
	}, func(b *fixture) {
		b.write(keyTable, "4")
		time.Sleep(settle)
		b.update(func(r *fakeRegistry) { r.unavailable = true })
		b.peer.Replace([]mirror.Item{{Key: keyTable, Value: []byte("7"), Revision: 2}}, mirror.Position{Epoch: 1, Cursor: 2, AsOf: time.Now(), Reader: "peer"})
		time.Sleep(settle)
		b.expectVersion(t, 7)
		b.expect(t, "the older copy lacks the endpoint", true)
	})
}
