package serve

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	culpritPart = "c0"
	sharedPart  = "50"
)

// crashReply is the response of an engine that crashes as it begins to answer.
var crashReply = reply{status: http.StatusOK, breaks: true}

// recordCrash records a crash under a call, some time ago and shortly after the call's send.
func (h *harness) recordCrash(ago time.Duration, engine string, parts []blame.Part) {
	h.server.Blame.RecordCrash(time.Now().Add(-ago), 10*time.Millisecond, engine, 1, parts)
}

// blockCulprit records crashes of other engines until calls with culpritPart are blocked.
func (h *harness) blockCulprit(t *testing.T) {
	t.Helper()
	parts := []blame.Part{blame.KeyOf(culpritPart)}
	for i, engine := range []string{"x1", "x2", "x3"} {
		h.recordCrash(time.Duration(2-i)*time.Second, engine, parts)
	}
	if _, blocked := h.server.Blame.Blocked(time.Now(), parts); !blocked {
		t.Fatal("the part is not blocked after three crashes")
	}
}

func (h *harness) expectSends(t *testing.T, want int) {
	t.Helper()
	if sent, _ := h.sends(); len(sent) != want {
		t.Errorf("sent to %v, want %d sends", sent, want)
	}
}

// A crash must be told from other failures: calls that were running or waiting on the
// engine did not cause it.
func TestWhatCountsAsCrash(t *testing.T) {
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		replies []reply
		crashes int
	}{
		{"stream breaks off before its first event", desc.KindStream, []reply{crashReply}, 1},
		{"resumable stream, twice", desc.KindResumableStream, []reply{crashReply, crashReply}, 2},
		{"stream ends without an event", desc.KindStream, []reply{{status: http.StatusOK}}, 1},
		{"stream breaks off after an event", desc.KindStream, []reply{{status: http.StatusOK, events: 1, breaks: true}}, 0},
		{"stream breaks off before its head", desc.KindStream, []reply{{err: brokenErr}}, 0},
		{"engine cannot be reached", desc.KindStream, []reply{{err: unsentErr}, {err: unsentErr}, {err: unsentErr}}, 0},
		{"engine refuses", desc.KindStream, []reply{overloadedReply}, 0},
		{"engine fails", desc.KindStream, []reply{failedReply}, 0},
		{"engine answers with an error of the caller's", desc.KindStream, []reply{{status: http.StatusNotFound}}, 0},
		{"its text breaks off", desc.KindStream, []reply{{status: http.StatusNotFound, text: "no", breaks: true}}, 0},
		{"stream is silent", desc.KindStream, []reply{{status: http.StatusOK, hangs: true}}, 0},
		{"complete stream", desc.KindStream, []reply{streamReply(0, 3)}, 0},
		{"single response breaks off", desc.KindAtMostOnce, []reply{{status: http.StatusOK, breaks: true}}, 1},
		{"single response is lost", desc.KindAtMostOnce, []reply{{err: brokenErr}}, 0},
		{"single response", desc.KindAtMostOnce, []reply{okReply}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.replies...)
				h.serve(t.Context(), test.kind, 2, sharedPart, culpritPart)
				report, _ := h.server.Blame.Report(time.Now())
				if len(report.Crashes) != test.crashes {
					t.Errorf("%d crashes recorded, want %d", len(report.Crashes), test.crashes)
				}
			})
		})
	}
}

// A caller that leaves must not make an engine look as if it had crashed.
func TestCallerThatLeavesIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(reply{status: http.StatusOK, hangs: true, breaks: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		h.serve(ctx, desc.KindStream, 1, sharedPart, culpritPart)
		if report, _ := h.server.Blame.Report(time.Now()); len(report.Crashes) > 0 {
			t.Errorf("crashes recorded: %v", report.Crashes)
		}
	})
}

// A part that engines answer must not stay suspect: a complete response clears it, and so
// does a stream that goes on.
func TestAnswersClearParts(t *testing.T) {
	for _, test := range []struct {
		name    string
		reply   reply
		blocked bool
	}{
		{"complete stream", streamReply(0, 3), false},
		{"long stream that breaks off", reply{status: http.StatusOK, events: 40, gap: 50 * time.Millisecond, breaks: true}, false},
		{"short stream that breaks off", reply{status: http.StatusOK, events: 2, gap: 50 * time.Millisecond, breaks: true}, true},
		{"silent stream", reply{status: http.StatusOK, hangs: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.reply)
				parts := []blame.Part{blame.KeyOf(sharedPart)}
				h.recordCrash(2*time.Second, "x1", parts)
				h.recordCrash(time.Second, "x2", parts)
				h.serve(t.Context(), desc.KindStream, 1, sharedPart)
				h.recordCrash(0, "x3", parts)
				if _, blocked := h.server.Blame.Blocked(time.Now(), parts); blocked != test.blocked {
					t.Errorf("blocked: %v, want %v", blocked, test.blocked)
				}
			})
		})
	}
}

// A call with a blocked prompt is refused at once and reaches no engine; one that shares
// other parts is served.
func TestBlockedPromptIsRefused(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindStream, desc.KindResumableStream, desc.KindIdempotent, desc.KindAtMostOnce} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(streamReply(0, 3))
				h.blockCulprit(t)
				result := h.serve(t.Context(), kind, 2, sharedPart, culpritPart)
				if result.Outcome != callst.OutcomeNotRun || result.Reason != ReasonPromptBlocked || result.RetryAfter != blockedRetryAfter {
					t.Errorf("result %+v", result)
				}
				h.expectSends(t, 0)
				expectNoLoad(t, h)
				if result := h.serve(t.Context(), kind, 2, sharedPart); result.Outcome != callst.OutcomeComplete {
					t.Errorf("a call with other parts: %+v", result)
				}
			})
		})
	}
}

// A crash under a call is the last that its prompt may cause: the call is not repeated
// once the prompt is blocked.
func TestBlockedPromptIsNotRepeated(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindResumableStream, desc.KindIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(crashReply, streamReply(0, 3))
				parts := []blame.Part{blame.KeyOf(culpritPart)}
				h.recordCrash(2*time.Second, "x1", parts)
				h.recordCrash(time.Second, "x2", parts)
				if result := h.serve(t.Context(), kind, 3, culpritPart); result.Outcome == callst.OutcomeComplete || result.Outcome == callst.OutcomeNotRun {
					t.Errorf("outcome %v after a crash", result.Outcome)
				}
				h.expectSends(t, 1)
			})
		})
	}
}

// A call that waits for an engine while its prompt becomes blocked is not sent.
func TestPromptBlockedWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		release := h.fillEngines(t)
		ended := make(chan Result, 1)
		go func() { ended <- h.serve(t.Context(), desc.KindResumableStream, 2, culpritPart) }()
		synctest.Wait()
		h.blockCulprit(t)
		release()
		result := <-ended
		if result.Outcome != callst.OutcomeNotRun || result.Reason != ReasonPromptBlocked {
			t.Errorf("result %+v", result)
		}
		h.expectSends(t, 0)
		expectNoLoad(t, h)
	})
}

// fillEngines places calls until no engine has room, and returns a function that
// ends them.
func (h *harness) fillEngines(t *testing.T) (release func()) {
	t.Helper()
	call := &desc.Call{Kind: desc.KindResumableStream, Service: "s", PromptTokens: 1000, MaxOutputTokens: 400}
	var leases []*sched.Lease
	for {
		lease, ok := h.scheduler.TryPlace(time.Now(), h.server.placementRequest(Input{Call: call, Service: h.engineService()}, nil))
		if !ok {
			return func() {
				for _, l := range leases {
					l.Release(time.Now(), outcomeNone)
				}
			}
		}
		leases = append(leases, lease)
	}
}

// A call that an engine has not begun to answer ends when its prompt becomes blocked, so
// that the engine does not crash under it.
func TestPromptBlockedBeforeAnswer(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindStream, desc.KindResumableStream, desc.KindIdempotent, desc.KindAtMostOnce} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(reply{status: http.StatusOK, wait: 400 * time.Millisecond, events: 3})
				time.AfterFunc(200*time.Millisecond, func() { h.blockCulprit(t) })
				began := time.Now()
				result := h.serve(t.Context(), kind, 2, culpritPart)
				if result.Outcome != callst.OutcomeUnknown || result.Reason != ReasonPromptBlocked || time.Since(began) != 200*time.Millisecond {
					t.Errorf("result %+v after %v", result, time.Since(began))
				}
				h.expectSends(t, 1)
				synctest.Wait()
				expectNoLoad(t, h)
			})
		})
	}
}

// A stream that an engine answers goes on, whatever is blocked meanwhile.
func TestBlockDoesNotEndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(streamReply(0, 20))
		time.AfterFunc(500*time.Millisecond, func() { h.blockCulprit(t) })
		if result := h.serve(t.Context(), desc.KindStream, 1, culpritPart); result.Outcome != callst.OutcomeComplete {
			t.Errorf("result %+v", result)
		}
	})
}

// A crashed engine's response without length or chunks ends regularly. It must neither
// clear the prompt nor be passed on as complete.
func TestUnframedCrash(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindStream, desc.KindResumableStream, desc.KindIdempotent, desc.KindAtMostOnce} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(reply{status: http.StatusOK, unframed: true})
				parts := []blame.Part{blame.KeyOf(culpritPart)}
				h.recordCrash(2*time.Second, "x1", parts)
				h.recordCrash(time.Second, "x2", parts)
				if result := h.serve(t.Context(), kind, 1, culpritPart); result.Outcome == callst.OutcomeComplete {
					t.Errorf("result %+v", result)
				}
				if _, blocked := h.server.Blame.Blocked(time.Now(), parts); !blocked {
					t.Error("the part is not blocked after three crashes")
				}
			})
		})
	}
}

// What the gateway's own limits end, and refusals that break off, are no crashes.
func TestOwnLimitsAreNoCrashes(t *testing.T) {
	for _, test := range []struct {
		name   string
		reply  reply
		memory int64
	}{
		{"no memory for the response", reply{status: http.StatusOK, events: 2000}, 1},
		{"refusal breaks off", reply{status: http.StatusServiceUnavailable, notExecuted: true, breaks: true}, 16 << 20},
		{"misdirected, breaks off", reply{status: http.StatusMisdirectedRequest, misdirected: true, breaks: true}, 16 << 20},
		{"failure breaks off", reply{status: http.StatusInternalServerError, breaks: true}, 16 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.reply)
				h.server.Bodies = memlim.New(test.memory)
				h.serve(t.Context(), desc.KindAtMostOnce, 1, sharedPart)
				if report, _ := h.server.Blame.Report(time.Now()); len(report.Crashes) > 0 {
					t.Error("a crash is recorded")
				}
			})
		})
	}
}

// A complete single response clears the parts of its call.
func TestSingleResponseClearsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(reply{status: http.StatusOK, events: 1})
		parts := []blame.Part{blame.KeyOf(sharedPart)}
		h.recordCrash(2*time.Second, "x1", parts)
		h.recordCrash(time.Second, "x2", parts)
		h.serve(t.Context(), desc.KindIdempotent, 1, sharedPart)
		h.recordCrash(0, "x3", parts)
		if _, blocked := h.server.Blame.Blocked(time.Now(), parts); blocked {
			t.Error("the part is blocked after an answer")
		}
	})
}

// A caller that leaves in the middle of a single response must not make an engine look as
// if it had crashed.
func TestCallerThatLeavesSingleResponseIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(reply{status: http.StatusOK, events: 1, hangs: true, breaks: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		h.serve(ctx, desc.KindIdempotent, 1, sharedPart)
		synctest.Wait()
		if report, _ := h.server.Blame.Report(time.Now()); len(report.Crashes) > 0 {
			t.Errorf("crashes recorded: %v", report.Crashes)
		}
	})
}

// No hedge is sent for a blocked prompt.
func TestTryPlaceRefusesBlockedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.blockCulprit(t)
		in := Input{Service: h.engineService(), Call: &desc.Call{Kind: desc.KindIdempotent, Service: "s", PromptParts: []string{culpritPart}}}
		if lease, reason := h.server.tryPlace(in, nil); lease != nil || reason != ReasonPromptBlocked {
			t.Errorf("lease %v, reason %v", lease, reason)
		}
	})
}

// A stream that goes on after crashes proves its parts sound then, not only at its end.
func TestLongStreamClearsLaterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(reply{status: http.StatusOK, events: 100, gap: 100 * time.Millisecond})
		parts := []blame.Part{blame.KeyOf(sharedPart)}
		time.AfterFunc(3*time.Second, func() {
			for i, engine := range []string{"x1", "x2", "x3"} {
				h.recordCrash(time.Duration(2-i)*300*time.Millisecond, engine, parts)
			}
		})
		time.AfterFunc(6*time.Second, func() {
			if _, blocked := h.server.Blame.Blocked(time.Now(), parts); blocked {
				t.Error("the part is blocked although an answer on it has gone on for 3 s since")
			}
		})
		h.serve(t.Context(), desc.KindStream, 1, sharedPart)
	})
}
