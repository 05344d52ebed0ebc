package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// closeAll makes all endpoints want nothing for a time.
func (h *harness) closeAll(d time.Duration) {
	for _, id := range []string{"e1", "e2", "e3"} {
		h.scheduler.Close(time.Now(), endpt.Endpoint{ID: id, StartedMs: 1}, time.Now().Add(d))
	}
}

// expectLimited checks that a call was refused without a send and told to come back when
// there may be room, or a little later.
func expectLimited(t *testing.T, r Result, wait time.Duration) {
	t.Helper()
	if most := wait*3/2 + limitedRetrySpread; r.Outcome != callst.OutcomeNotRun || r.RetryAfter < wait || r.RetryAfter > most {
		t.Errorf("outcome %v, come back after %v, want not run and %v to %v", r.Outcome, r.RetryAfter, wait, most)
	}
}

// Guards against calls that wait for endpoints that have all said that there will be no room
// in time, and against callers that all come back at the same moment.
func TestNoRoomIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindIdempotent, desc.KindAtMostOnce, desc.KindStream} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(okReply)
			h.closeAll(8 * time.Second)
			began, returns := time.Now(), map[time.Duration]bool{}
			for range 20 {
				r := h.serve(t.Context(), kind, 2)
				expectLimited(t, r, 8*time.Second)
				returns[r.RetryAfter] = true
			}
			if sent, _ := h.sends(); len(sent) > 0 || time.Since(began) > 0 {
				t.Errorf("kind %v: %d sends, refused after %v, want none and at once", kind, len(sent), time.Since(began))
			}
			if len(returns) < 15 {
				t.Errorf("kind %v: 20 callers were told %d different times", kind, len(returns))
			}
		})
	}
}

// Guards against a queued call that is only refused at its deadline though the last endpoint
// says meanwhile that there will be no room.
func TestQueuedCallIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(okReply)
		h.closeAll(200 * time.Millisecond)
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			h.closeAll(8 * time.Second)
			h.scheduler.PlaceWaiting(time.Now())
		}()
		r := h.serve(t.Context(), desc.KindIdempotent, 2)
		if took := time.Since(began); took != 100*time.Millisecond {
			t.Errorf("refused after %v, want 100 ms", took)
		}
		expectLimited(t, r, 8*time.Second)
	})
}

// Guards against a call that an endpoint has turned away and that is told to come back at once,
// though no endpoint wants calls for a while.
func TestRefusedCallIsToldWhenThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(overloadedReply)
		go func() {
			time.Sleep(time.Millisecond)
			h.closeAll(3 * time.Second)
		}()
		h.replies[0].wait = 2 * time.Millisecond
		expectLimited(t, h.serve(t.Context(), desc.KindAtMostOnce, 1), 2999*time.Millisecond)
	})
}
