package serve

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
)

// Two endpoints in a row get a spot termination notice, and the second handover
// fails. The end of the first source must not count as the end of the second: the
// stream must resume from the copy, and must not count as complete while the second
// source still sends events.
func TestSecondHandoverFails(t *testing.T) {
	for _, test := range []struct {
		name           string
		moveErr        error
		movesBeforeErr int
		second         reply
		third          reply
	}{
		{"source breaks during the move", brokenErr, 4, reply{status: 200, firstID: 12, events: 16, gap: 50 * time.Millisecond, breaks: true}, streamReply(26, 14)},
		{"engine says that the call is not running", ErrNotRunning, 3, streamReply(12, 28), streamReply(26, 14)},
	} {
		inBothFramings(t, test.name, func(t *testing.T, unframed bool) {
			first := streamReply(0, 40)
			first.unframed = unframed
			h := newHarness(first)
			h.moveTimes = []time.Duration{100 * time.Millisecond, 5 * time.Millisecond, 5 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond}
			h.moveErr, h.movesBeforeErr = test.moveErr, test.movesBeforeErr
			go func() {
				time.Sleep(510 * time.Millisecond)
				h.removeFirstEndpoint()
				h.setReplies(test.second)
				time.Sleep(740 * time.Millisecond)
				sent, _ := h.sends()
				h.scheduler.Remove(time.Now(), strings.Fields(sent[1])[0], time.Time{})
				h.setReplies(test.third)
			}()
			expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 40)
			expectNoLoad(t, h)
		})
	}
}

// A resume that waits for the retry budget ends with its caller.
func TestWaitForRetryEndsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		for h.server.Retries.TryRetry(time.Now(), "s") {
			continue
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(30*time.Millisecond, cancel)
		c := &streamCall{s: h.server, in: Input{Call: &desc.Call{Service: "s"}}}
		began := time.Now()
		if c.takeRetry(ctx) {
			t.Fatal("a retry beyond the budget was granted")
		}
		if took := time.Since(began); took != 30*time.Millisecond {
			t.Fatalf("took %v, want 30ms", took)
		}
	})
}
