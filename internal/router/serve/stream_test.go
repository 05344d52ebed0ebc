package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// streamReply is a stream of events at intervals of 50 ms.
func streamReply(firstID, events int) reply {
	return reply{status: http.StatusOK, firstID: firstID, events: events, gap: 50 * time.Millisecond}
}

func TestStream(t *testing.T) {
	cut := streamReply(0, 10)
	cut.breaks = true
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		replies []reply
		outcome callst.Outcome
		events  int
		sent    []string
	}{
		{"complete", desc.KindStream, []reply{streamReply(0, 40)}, callst.OutcomeComplete, 40, []string{"e1"}},
		{"cut, must not run again", desc.KindStream, []reply{cut, streamReply(10, 30)}, callst.OutcomeInterrupted, 10, []string{"e1"}},
		{"cut, may be resumed", desc.KindResumableStream, []reply{cut, streamReply(10, 30)}, callst.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"resumed run repeats events", desc.KindResumableStream, []reply{cut, streamReply(5, 35)}, callst.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"failure before the first event", desc.KindStream, []reply{failedReply}, callst.OutcomeComplete, 0, []string{"e1"}},
		{"overloaded", desc.KindStream, []reply{overloadedReply}, callst.OutcomeNotRun, 0, []string{"e1"}},
		{"engine was replaced", desc.KindStream, []reply{{status: 421, misdirected: true}, streamReply(0, 40)}, callst.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"no response, may run again", desc.KindResumableStream, []reply{{status: 200, wait: time.Hour}, streamReply(0, 40)}, callst.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"no response, must not run again", desc.KindStream, []reply{{status: 200, wait: time.Hour}, streamReply(0, 40)}, callst.OutcomeUnknown, 0, []string{"e1"}},
		{"lost before the response", desc.KindStream, []reply{{err: brokenErr}, streamReply(0, 40)}, callst.OutcomeUnknown, 0, []string{"e1"}},
		{"stalled, may be resumed", desc.KindResumableStream, []reply{{status: 200, events: 5, gap: 3 * time.Second}, streamReply(0, 40)}, callst.OutcomeComplete, 40, []string{"e1", "e2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.replies...)
				result := h.serve(t.Context(), test.kind, 2-len(test.sent)%2) // as many attempts as sends are expected, 1 or 2
				expectStream(t, h, result, test.outcome, test.events)
				if sent, _ := h.sends(); !sameSends(sent, test.sent) {
					t.Fatalf("sent to %q, want %q", sent, test.sent)
				}
				expectNoLoad(t, h)
			})
		})
	}
}

// sameSends compares sends without the endpoint IDs, as endpoints are chosen by
// load and at random.
func sameSends(got, want []string) bool {
	trim := func(list []string) (out []string) {
		for _, s := range list {
			_, args, _ := strings.Cut(s, " ")
			out = append(out, args)
		}
		return out
	}
	return slices.Equal(trim(got), trim(want))
}

// expectStream checks that the caller got each event once and in order.
func expectStream(t *testing.T, h *harness, result Result, outcome callst.Outcome, events int) {
	t.Helper()
	if result.Outcome != outcome {
		t.Fatalf("outcome %v (%v), want %v", result.Outcome, result.Reason, outcome)
	}
	var want strings.Builder
	for i := range events {
		want.WriteString("id: " + strconv.Itoa(i) + "\ndata: x\n\n")
	}
	if h.String() != want.String() {
		t.Fatalf("the caller received %q, want %d events", h.String(), events)
	}
}

// expectNoLoad checks that all leases were released.
func expectNoLoad(t *testing.T, h *harness) {
	t.Helper()
	time.Sleep(time.Minute)
	synctest.Wait()
	if loads := h.scheduler.Loads(); len(loads) > 0 {
		t.Fatalf("load still reserved after the call ended: %v", loads)
	}
}

// idleLinkTimes are the move times on an idle link: 100 ms for the first copy of a
// KV cache, 5 ms for each update.
var idleLinkTimes = []time.Duration{100 * time.Millisecond, 5 * time.Millisecond}

// Guards against a pause of the stream when several endpoints get a spot
// termination notice and their moves share a link. Copies are slow for 0.9 s here.
// The run must not be stopped before the rest of its KV cache can be copied quickly.
func TestBusyLinkCausesNoStreamGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(streamReply(0, 40))
		h.moveTimes = []time.Duration{500 * time.Millisecond, 400 * time.Millisecond, 5 * time.Millisecond}
		go func() {
			time.Sleep(510 * time.Millisecond)
			h.removeFirstEndpoint()
			h.setReplies(streamReply(28, 12)) // continues after the events made before the stop, at 510 ms plus three copies
		}()
		result := h.serve(t.Context(), desc.KindStream, 1)
		expectStream(t, h, result, callst.OutcomeComplete, 40)
		if result.LongestGap > 180*time.Millisecond {
			t.Fatalf("the stream paused for %v, want at most 180ms", result.LongestGap)
		}
		expectNoLoad(t, h)
	})
}

// When an endpoint that serves several gateway processes gets a spot termination
// notice, they move their calls in the order of their names, each when those before
// it have left or have used up their time.
func TestMovesTakeTurns(t *testing.T) {
	for _, test := range []struct {
		name      string
		peer      string
		tokens    int
		doneAfter time.Duration // time from the notice until the peer's calls have left
		atLeast   time.Duration
		atMost    time.Duration
	}{
		{"no process before", "other", 4000, 5 * time.Second, 0, 0},
		{"the one before is done", "before", 4000, 100 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond},
		{"the one before does not leave", "before", 4000, 5 * time.Second, 300 * time.Millisecond, 320 * time.Millisecond},
		{"long moves before", "before", 40_000, 5 * time.Second, maxTurnWait, maxTurnWait + 20*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(streamReply(0, 40))
				h.moveTimes = idleLinkTimes
				setPeerTokens := func(tokens int) {
					load := sched.Load{Calls: min(1, tokens), MemoryTokens: tokens}
					h.scheduler.SetPeerLoad(time.Now(), test.peer, map[sched.Key]sched.Load{sched.KeyOf(h.firstEndpoint()): load})
				}
				var notice time.Time
				go func() {
					time.Sleep(510 * time.Millisecond)
					setPeerTokens(test.tokens)
					notice = time.Now()
					h.removeFirstEndpoint()
					time.Sleep(test.doneAfter)
					setPeerTokens(0)
				}()
				h.serve(t.Context(), desc.KindStream, 1)
				if waited := h.moves[0].Sub(notice); waited < test.atLeast || waited > test.atMost {
					t.Fatalf("the move began %v after the notice, want %v to %v", waited, test.atLeast, test.atMost)
				}
				expectNoLoad(t, h)
			})
		})
	}
}

// After a spot termination notice the generation moves with its KV cache and
// continues in the same response, without missing or repeated events. If it cannot
// move, it stays until its endpoint stops.
func TestSpotNotice(t *testing.T) {
	for _, test := range []struct {
		name    string
		moveErr error
		moves   []time.Duration
		outcome callst.Outcome
		events  int
		sends   int
	}{
		{"moved", nil, idleLinkTimes, callst.OutcomeComplete, 40, 2},
		{"all moves fail", errors.New("no room"), idleLinkTimes, callst.OutcomeInterrupted, 30, 1},
		{"the move takes too long", nil, []time.Duration{20 * time.Second}, callst.OutcomeInterrupted, 30, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				firstReply := streamReply(0, 30)
				firstReply.breaks = true
				h := newHarness(firstReply)
				h.moveErr, h.moveTimes = test.moveErr, test.moves
				go func() {
					time.Sleep(510 * time.Millisecond)
					h.removeFirstEndpoint()
					// Continues after the events made before the stop, at 510 ms plus two
					// copies.
					h.setReplies(streamReply(12, 28))
				}()
				expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), test.outcome, test.events)
				if sent, _ := h.sends(); len(sent) != test.sends {
					t.Fatalf("sent to %q, want %d sends", sent, test.sends)
				}
				expectNoLoad(t, h)
			})
		})
	}
}

// If an engine breaks its connection or freezes after the first copy of a run's KV
// cache, the stream resumes from the copy.
func TestResumeFromCopyAfterSourceFails(t *testing.T) {
	for _, test := range []struct {
		name    string
		freezes bool
		moves   []time.Duration
	}{
		{"breaks before the move reports", false, []time.Duration{100 * time.Millisecond, 150 * time.Millisecond}},
		{"breaks after the move reports", false, []time.Duration{100 * time.Millisecond, 20 * time.Millisecond}},
		{"freezes", true, []time.Duration{100 * time.Millisecond, 20 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				firstReply := streamReply(0, 14) // until 700 ms
				firstReply.breaks, firstReply.hangs = !test.freezes, test.freezes
				h := newHarness(firstReply)
				h.moveErr, h.movesBeforeErr, h.moveTimes = brokenErr, 1, test.moves
				go func() {
					time.Sleep(510 * time.Millisecond)
					h.removeFirstEndpoint()
					h.setReplies(streamReply(12, 28)) // continues after the events that the copy includes
				}()
				expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 40)
				expectNoLoad(t, h)
			})
		})
	}
}

// Guards against a truncated stream that counts as complete. A failed final move may
// have stopped its run, whose stream then ends like a complete one if it has no framing. The
// stream must resume from the copy.
func TestFinalMoveOfUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		name      string
		handle    string
		err       error
		stopDelay time.Duration
	}{
		{"its response is lost, after the stream ended", "", brokenErr, 0},
		{"its response is lost, before the stream ends", "", brokenErr, 50 * time.Millisecond},
		{"it is refused, after the stream ended", "handle", ErrNoRoom, 0},
		{"it is refused, before the stream ends", "handle", ErrNoRoom, 50 * time.Millisecond},
	} {
		inBothFramings(t, test.name, func(t *testing.T, unframed bool) {
			first := streamReply(0, 40)
			first.unframed = unframed
			h := newHarness(first)
			h.failedHandle, h.moveErr, h.movesBeforeErr, h.moveTimes, h.stopDelay = test.handle, test.err, 2, idleLinkTimes, test.stopDelay
			go func() {
				time.Sleep(510 * time.Millisecond)
				h.removeFirstEndpoint()
				h.setReplies(streamReply(12, 28)) // continues after the events that the copy includes
			}()
			expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 40)
			expectNoLoad(t, h)
		})
	}
}

// inBothFramings runs a test with streams whose bodies have a length or chunks, and without.
func inBothFramings(t *testing.T, name string, test func(t *testing.T, unframed bool)) {
	for _, unframed := range []bool{false, true} {
		t.Run(fmt.Sprintf("%s, unframed: %v", name, unframed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, unframed) })
		})
	}
}

// A copy that is not needed is freed, as its engine would keep it for a long time.
func TestUnusedCopiesAreFreed(t *testing.T) {
	for _, test := range []struct {
		name   string
		err    error
		events int // of the source, one each 50 ms
	}{
		{"the run ends before it is stopped", ErrNotRunning, 13},
		{"the move is refused", ErrMoveRefused, 14},
		{"the move gets no response, but the run continues", brokenErr, 14},
		{"the call ends during the first copy", nil, 11},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(streamReply(0, test.events))
				h.moveErr, h.movesBeforeErr, h.moveTimes = test.err, 1, []time.Duration{100 * time.Millisecond}
				go func() {
					time.Sleep(510 * time.Millisecond)
					h.removeFirstEndpoint()
				}()
				expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, test.events)
				expectNoLoad(t, h)
				if h.freedCopies != 1 {
					t.Fatalf("%d copies were freed, want 1", h.freedCopies)
				}
			})
		})
	}
}

// Guards against a copy that keeps its engine's memory and slot for many seconds, as the engine was
// at its limit of connections when the copy was to be freed.
func TestCopyIsFreedAtConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(streamReply(0, 13))
		h.unfreed = 2
		h.moveErr, h.movesBeforeErr, h.moveTimes = ErrNotRunning, 1, []time.Duration{100 * time.Millisecond}
		go func() {
			time.Sleep(510 * time.Millisecond)
			h.removeFirstEndpoint()
		}()
		expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 13)
		expectNoLoad(t, h)
		if h.freedCopies != 1 {
			t.Errorf("%d copies were freed, want 1", h.freedCopies)
		}
	})
}

// The stream resumes at the target even if the connection to the stopped source
// stalls and never closes.
func TestStoppedSourceNeverCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(reply{status: http.StatusOK, events: 12, gap: 50 * time.Millisecond, hangs: true})
		h.stopHidesEnd, h.moveTimes = true, idleLinkTimes
		go func() {
			time.Sleep(510 * time.Millisecond)
			h.removeFirstEndpoint()
			h.setReplies(streamReply(12, 28))
		}()
		expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 40)
		expectNoLoad(t, h)
	})
}

// A run that ends by itself during its move counts as complete.
func TestRunEndsDuringMove(t *testing.T) {
	inBothFramings(t, "ends", func(t *testing.T, unframed bool) {
		first := streamReply(0, 16) // ends at 800 ms
		first.unframed = unframed
		h := newHarness(first)
		h.endsBeforeFinalMove, h.moveTimes = true, []time.Duration{140 * time.Millisecond, 5 * time.Millisecond}
		go func() {
			time.Sleep(650 * time.Millisecond)
			h.removeFirstEndpoint()
		}()
		expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 16)
		expectNoLoad(t, h)
	})
}

// firstEndpoint returns the ID of the endpoint that got the first send.
func (h *harness) firstEndpoint() string {
	sent, _ := h.sends()
	return strings.Fields(sent[0])[0]
}

// removeFirstEndpoint removes the endpoint of the first send, as after a spot
// termination notice.
func (h *harness) removeFirstEndpoint() {
	h.scheduler.Remove(time.Now(), h.firstEndpoint(), time.Time{})
}

func TestCallerDisconnects(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindAtMostOnce, desc.KindIdempotent, desc.KindStream, desc.KindResumableStream} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(reply{status: http.StatusOK, events: 1000, gap: 50 * time.Millisecond})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, cancel)
				began := time.Now()
				if result := h.serve(ctx, kind, 1); result.Reason != ReasonCallerGone {
					t.Fatalf("reason %v, want %v", result.Reason, ReasonCallerGone)
				}
				if took := time.Since(began); took != 300*time.Millisecond {
					t.Fatalf("the call ended after %v, want 300ms", took)
				}
				expectNoLoad(t, h)
			})
		})
	}
}

func TestExpectedToEndWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		for range 50 {
			h.setReplies(streamReply(0, 40)) // 2 s
			h.serve(t.Context(), desc.KindStream, 1)
		}
		for _, test := range []struct {
			kind  desc.Kind
			limit time.Duration
			want  bool
		}{
			{desc.KindStream, 3 * time.Second, true},
			{desc.KindStream, time.Second, false},
			{desc.KindResumableStream, 3 * time.Second, true},
			{desc.KindResumableStream, time.Second, false},
		} {
			call := &desc.Call{Kind: test.kind, Route: "r"}
			if got := h.server.ExpectedToEndWithin(call, test.limit); got != test.want {
				t.Errorf("%v within %v: %v, want %v", test.kind, test.limit, got, test.want)
			}
		}
		if h.server.ExpectedToEndWithin(&desc.Call{Kind: desc.KindStream, Route: "new"}, time.Hour) {
			t.Error("a generation of a route without completed calls is expected to end in time")
		}
		for _, test := range []struct {
			kind  desc.Kind
			route string
			limit time.Duration
			want  bool
		}{
			{desc.KindStream, "r", time.Hour, false},
			{desc.KindResumableStream, "r", 3 * time.Second, true},
			{desc.KindResumableStream, "r", time.Second, false},
			{desc.KindAtMostOnce, "r", 3 * time.Second, true},
			{desc.KindAtMostOnce, "new", time.Hour, false},
		} {
			if got := h.server.LikelyToEndWithin(&desc.Call{Kind: test.kind, Route: test.route}, test.limit); got != test.want {
				t.Errorf("%v of route %s is likely to end within %v: %v, want %v", test.kind, test.route, test.limit, got, test.want)
			}
		}
	})
}

// An engine must count as full as it is: a generation that grows beyond its estimate of
// 1,240 tokens holds up to 1,480 after 120 events of four. Its memory is free at its end.
func TestMemoryFollowsGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(streamReply(0, 120))
		began := time.Now()
		service := h.engineService()
		service.Engine.TokensPerEvent = 4
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.serveBy(t.Context(), service, desc.KindStream, 1)
		}()
		for _, expected := range []struct{ events, least, most int }{{50, 1240, 1240}, {65, 1256, 1496}, {118, 1448, 1752}} {
			time.Sleep(time.Duration(expected.events)*50*time.Millisecond - time.Since(began))
			held := 0
			for _, l := range h.scheduler.Loads() {
				held += l.MemoryTokens
			}
			if held < expected.least || held > expected.most {
				t.Errorf("after %d events the engine counts as holding %d tokens, want %d to %d", expected.events, held, expected.least, expected.most)
			}
		}
		<-done
		expectNoLoad(t, h)
	})
}
