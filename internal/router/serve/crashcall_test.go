package serve

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/blame"
)

const testFingerprint = 0xfeed

// serveAgain serves a call that has the same caller, path and body each time.
func (h *harness) serveAgain(ctx context.Context, kind desc.Kind, attempts int) Result {
	now := time.Now()
	return h.server.Serve(ctx, Input{Service: h.engineService(), Sink: h.fakeSink, Call: &desc.Call{
		ID: "id", Kind: kind, Service: "s", Route: "r", MaxAttempts: attempts, Arrived: now, Deadline: now.Add(10 * time.Second),
		FirstResponseTarget: time.Second, EventGapTarget: 180 * time.Millisecond, PromptTokens: 1000, MaxOutputTokens: 400, Fingerprint: testFingerprint,
	}})
}

// recordCrashes records crashes of other endpoints under the call.
func (h *harness) recordCrashes(n int) {
	for i := range n {
		h.recordCrash(time.Duration(n-i)*time.Second, string(rune('a'+i)), []blame.Part{testFingerprint})
	}
}

func (h *harness) expectCallBlocked(t *testing.T, want bool) {
	t.Helper()
	if _, blocked := h.server.Blame.Blocked(time.Now(), []blame.Part{testFingerprint}); blocked != want {
		t.Errorf("blocked: %v, want %v", blocked, want)
	}
}

// Guards against a crash under a call that is not seen, whatever the kind of route and
// wherever the response breaks off, and against other failures that count as crashes.
func TestWhatCountsAsCrashUnderCall(t *testing.T) {
	broken := reply{err: brokenErr}
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		reply   reply
		serves  bool // the endpoint's address serves connections afterwards
		blocked bool
	}{
		{"no head", desc.KindIdempotent, broken, false, true},
		{"no head, not repeatable", desc.KindAtMostOnce, broken, false, true},
		{"no head, stream", desc.KindStream, broken, false, true},
		{"after the head", desc.KindAtMostOnce, reply{status: 200, breaks: true}, false, true},
		{"after the head, stream", desc.KindResumableStream, crashReply, false, true},
		{"after an event", desc.KindStream, reply{status: 200, events: 2, gap: 50 * time.Millisecond, breaks: true}, false, true},
		{"end without an event", desc.KindStream, reply{status: 200, unframed: true}, false, true},
		{"after a second of events", desc.KindStream, reply{status: 200, events: 40, gap: 50 * time.Millisecond, breaks: true}, false, false},
		{"connection reset", desc.KindAtMostOnce, broken, true, false},
		{"connection reset, stream", desc.KindStream, reply{status: 200, events: 2, breaks: true}, true, false},
		{"not reached", desc.KindAtMostOnce, reply{err: unsentErr}, false, false},
		{"refused", desc.KindAtMostOnce, overloadedReply, false, false},
		{"failed", desc.KindAtMostOnce, failedReply, false, false},
		{"no answer in time", desc.KindAtMostOnce, reply{status: 200, wait: time.Hour}, false, false},
		{"answered", desc.KindAtMostOnce, okReply, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.reply)
				h.closed = !test.serves
				h.recordCrashes(2)
				h.serveAgain(t.Context(), test.kind, 1)
				h.expectCallBlocked(t, test.blocked)
			})
		})
	}
}

// Guards against a sound call staying suspect that was under way at crashes: any end that
// the endpoint survives clears it.
func TestRunsClearCall(t *testing.T) {
	for _, test := range []struct {
		name  string
		kind  desc.Kind
		reply reply
	}{
		{"answer", desc.KindIdempotent, okReply},
		{"failure of the endpoint", desc.KindAtMostOnce, failedReply},
		{"stream", desc.KindStream, streamReply(0, 3)},
		{"stream that goes on", desc.KindStream, reply{status: 200, events: 40, gap: 50 * time.Millisecond, breaks: true}},
		{"failure of the engine", desc.KindResumableStream, failedReply},
		{"no such thing", desc.KindStream, reply{status: http.StatusNotFound, text: "no"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.reply)
				h.recordCrashes(2)
				h.serveAgain(t.Context(), test.kind, 1)
				h.recordCrash(-time.Millisecond, "z", []blame.Part{testFingerprint})
				h.expectCallBlocked(t, false)
			})
		})
	}
}

// Guards against an early event of one run counting for the next: a call that crashes each
// engine shortly after it begins to stream is not cleared by the time since its first event.
func TestResumedStreamIsNotProvenByEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := reply{status: 200, events: 12, gap: 50 * time.Millisecond, breaks: true}
		second := reply{status: 200, firstID: 12, events: 12, gap: 50 * time.Millisecond, breaks: true}
		h := newHarness(first, second)
		h.closed = true
		h.recordCrashes(1)
		if result := h.serveAgain(t.Context(), desc.KindResumableStream, 3); result.Outcome != callst.OutcomeInterrupted {
			t.Errorf("result %+v", result)
		}
		h.expectCallBlocked(t, true)
	})
}

// Guards against one attempt of a caller costing three endpoints: our own repeats stop after
// two crashes. After failures of other kinds they go on.
func TestRepeatsAfterCrashes(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   desc.Kind
		reply  reply
		closed bool
		sends  int
	}{
		{"crashes", desc.KindIdempotent, reply{err: brokenErr}, true, 2},
		{"crashes, stream", desc.KindResumableStream, crashReply, true, 2},
		{"crashes before the head, stream", desc.KindResumableStream, reply{err: brokenErr}, true, 2},
		{"crash, not repeatable", desc.KindAtMostOnce, reply{err: brokenErr}, true, 1},
		{"resets", desc.KindIdempotent, reply{err: brokenErr}, false, 3},
		{"resets, stream", desc.KindResumableStream, crashReply, false, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.reply, test.reply, test.reply, test.reply)
				h.closed = test.closed
				h.serveAgain(t.Context(), test.kind, 3)
				h.expectSends(t, test.sends)
				expectNoLoad(t, h)
			})
		})
	}
}

// Guards against a blocked call that reaches an endpoint, is held, or is told to come back at
// once; and against a refusal that says it has not run when it has.
func TestBlockedCallIsRefused(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindStream, desc.KindResumableStream, desc.KindIdempotent, desc.KindAtMostOnce} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, began := newHarness(streamReply(0, 3)), time.Now()
				h.recordCrashes(3)
				result := h.serveAgain(t.Context(), kind, 2)
				if result.Outcome != callst.OutcomeNotRun || result.Reason != ReasonCallBlocked || result.RetryAfter != blockedRetryAfter || time.Since(began) > 0 {
					t.Errorf("result %+v after %v", result, time.Since(began))
				}
				h.expectSends(t, 0)
			})
		})
		t.Run(kind.String()+", under way when it is blocked", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, began := newHarness(reply{status: 200, wait: 5 * time.Second}), time.Now()
				time.AfterFunc(300*time.Millisecond, func() { h.recordCrashes(3) })
				result := h.serveAgain(t.Context(), kind, 1)
				if result.Outcome == callst.OutcomeNotRun || time.Since(began) != 300*time.Millisecond {
					t.Errorf("result %+v after %v, want an unknown outcome at once", result, time.Since(began))
				}
			})
		})
	}
}
