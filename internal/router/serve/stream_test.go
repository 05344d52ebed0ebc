package serve

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/claim"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

// stream is 40 events, one each 50 ms.
func streamReply(firstID, events int) reply {
	return reply{status: http.StatusOK, firstID: firstID, events: events, gap: 50 * time.Millisecond}
}

func TestStream(t *testing.T) {
	cut := streamReply(0, 10)
	cut.cut = true
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		replies []reply
		outcome claim.Outcome
		events  int
		sent    []string
	}{
		{"whole", desc.KindStream, []reply{streamReply(0, 40)}, claim.OutcomeComplete, 40, []string{"e1"}},
		{"cut, must not run again", desc.KindStream, []reply{cut, streamReply(10, 30)}, claim.OutcomeInterrupted, 10, []string{"e1"}},
		{"cut, may be resumed", desc.KindResumableStream, []reply{cut, streamReply(10, 30)}, claim.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"resumed run repeats events", desc.KindResumableStream, []reply{cut, streamReply(5, 35)}, claim.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"failure before the first event", desc.KindStream, []reply{failedReply}, claim.OutcomeComplete, 0, []string{"e1"}},
		{"shed", desc.KindStream, []reply{overloaded}, claim.OutcomeNotRun, 0, []string{"e1"}},
		{"engine was replaced", desc.KindStream, []reply{{status: 421, gone: true}, streamReply(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"mute engine, may run again", desc.KindResumableStream, []reply{{status: 200, wait: time.Hour}, streamReply(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"mute engine, must not run again", desc.KindStream, []reply{{status: 200, wait: time.Hour}, streamReply(0, 40)}, claim.OutcomeUnknown, 0, []string{"e1"}},
		{"lost before the answer", desc.KindStream, []reply{{err: brokenErr}, streamReply(0, 40)}, claim.OutcomeUnknown, 0, []string{"e1"}},
		{"silent, may be resumed", desc.KindResumableStream, []reply{{status: 200, events: 5, gap: 3 * time.Second}, streamReply(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(test.replies...)
				result := b.serve(t.Context(), test.kind, 2-len(test.sent)%2)
				expectStream(t, b, result, test.outcome, test.events)
				if sent, _ := b.sends(); !sameEndpoints(sent, test.sent) {
					t.Fatalf("sent to %q, want %q", sent, test.sent)
				}
				expectNoLoad(t, b)
			})
		})
	}
}

// sameEndpoints compares sends but for the numbers of the endpoints, which are
// chosen by load and chance.
func sameEndpoints(got, want []string) bool {
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
func expectStream(t *testing.T, b *harness, result Result, outcome claim.Outcome, events int) {
	t.Helper()
	if result.Outcome != outcome {
		t.Fatalf("outcome %v (%v), want %v", result.Outcome, result.Reason, outcome)
	}
	var want strings.Builder
	for i := range events {
		want.WriteString("id: " + strconv.Itoa(i) + "\ndata: x\n\n")
	}
	if b.String() != want.String() {
		t.Fatalf("the caller got %q, want %d events", b.String(), events)
	}
}

func expectNoLoad(t *testing.T, b *harness) {
	t.Helper()
	time.Sleep(time.Minute)
	synctest.Wait()
	if loads := b.book.Loads(); len(loads) > 0 {
		t.Fatalf("work is still placed after the end: %v", loads)
	}
}

// quietLink carries the memory of a run in 100 ms, and what the run makes
// meanwhile in 5 ms.
var idleLinkTimes = []time.Duration{100 * time.Millisecond, 5 * time.Millisecond}

// Spot notices at several endpoints: the link carries other moves for 0.9 s. The
// run is not stopped before its last part is quick to copy.
func TestBusyLinkCausesNoStreamGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(streamReply(0, 40))
		b.moveTimes = []time.Duration{500 * time.Millisecond, 400 * time.Millisecond, 5 * time.Millisecond}
		go func() {
			time.Sleep(510 * time.Millisecond)
			b.removeFirstEndpoint()
			b.setReplies(streamReply(28, 12)) // after the events before the stop, at 510 ms plus three copies
		}()
		result := b.serve(t.Context(), desc.KindStream, 1)
		expectStream(t, b, result, claim.OutcomeComplete, 40)
		if result.LongestGap > 180*time.Millisecond {
			t.Fatalf("the stream stood still for %v, want 180ms at most", result.LongestGap)
		}
		expectNoLoad(t, b)
	})
}

// A spot notice at an endpoint that serves several processes: they move in the
// order of their names, each as soon as those before it have left.
func TestMovesTakeTurns(t *testing.T) {
	for _, test := range []struct {
		name      string
		peer      string
		tokens    int
		doneAfter time.Duration // when the peer's work has left, after the notice
		atLeast   time.Duration
		atMost    time.Duration
	}{
		{"nobody before", "other", 4000, 5 * time.Second, 0, 0},
		{"the one before is done", "before", 4000, 100 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond},
		{"the one before does not leave", "before", 4000, 5 * time.Second, 300 * time.Millisecond, 320 * time.Millisecond},
		{"much before", "before", 40_000, 5 * time.Second, maxTurnWait, maxTurnWait + 20*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(streamReply(0, 40))
				b.moveTimes = idleLinkTimes
				setPeerTokens := func(tokens int) {
					load := book.Load{Calls: min(1, tokens), Tokens: tokens}
					b.book.SetPeerLoad(time.Now(), test.peer, map[string]book.Load{b.firstEndpoint(): load})
				}
				var notice time.Time
				go func() {
					time.Sleep(510 * time.Millisecond)
					setPeerTokens(test.tokens)
					notice = time.Now()
					b.removeFirstEndpoint()
					time.Sleep(test.doneAfter)
					setPeerTokens(0)
				}()
				b.serve(t.Context(), desc.KindStream, 1)
				if waited := b.moves[0].Sub(notice); waited < test.atLeast || waited > test.atMost {
					t.Fatalf("the move began %v after the notice, want %v to %v", waited, test.atLeast, test.atMost)
				}
				expectNoLoad(t, b)
			})
		})
	}
}

// A spot notice: the generation moves with its memory and goes on in the same
// answer, without a gap, a repeat or an early end.
func TestSpotNotice(t *testing.T) {
	for _, test := range []struct {
		name    string
		moveErr error
		moves   []time.Duration
		outcome claim.Outcome
		events  int
		sends   int
	}{
		{"moved", nil, idleLinkTimes, claim.OutcomeComplete, 40, 2},
		{"no engine takes it", errors.New("no room"), idleLinkTimes, claim.OutcomeInterrupted, 30, 1},
		{"the move takes too long", nil, []time.Duration{20 * time.Second}, claim.OutcomeInterrupted, 30, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				firstReply := streamReply(0, 30)
				firstReply.cut = true
				b := newHarness(firstReply)
				b.moveErr, b.moveTimes = test.moveErr, test.moves
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.removeFirstEndpoint()
					// What the second engine makes follows the events before the stop, at
					// 510 ms plus two copies.
					b.setReplies(streamReply(12, 28))
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), test.outcome, test.events)
				if sent, _ := b.sends(); len(sent) != test.sends {
					t.Fatalf("sent to %q, want %d sends", sent, test.sends)
				}
				expectNoLoad(t, b)
			})
		})
	}
}

// An engine that breaks off, or freezes, after the first copy of a run's memory: the
// run goes on from the copy.
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
				firstReply.cut, firstReply.hang = !test.freezes, test.freezes
				b := newHarness(firstReply)
				b.moveErr, b.movesBeforeErr, b.moveTimes = brokenErr, 1, test.moves
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.removeFirstEndpoint()
					b.setReplies(streamReply(12, 28)) // after what the copy holds
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
				expectNoLoad(t, b)
			})
		})
	}
}

// A final move fails after it has stopped its run, whose stream then ends like a
// complete one: that end proves nothing, and the stream goes on from the copy.
func TestFinalMoveOfUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		stopLate time.Duration
	}{
		{"its answer is lost, after the stream ended", brokenErr, 0},
		{"its answer is lost, before the stream ends", brokenErr, 50 * time.Millisecond},
		{"it is refused, after the stream ended", ErrMoveRefused, 0},
		{"it is refused, before the stream ends", ErrMoveRefused, 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(streamReply(0, 40))
				b.moveErr, b.movesBeforeErr, b.moveTimes, b.stopDelay = test.err, 2, idleLinkTimes, test.stopLate
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.removeFirstEndpoint()
					b.setReplies(streamReply(12, 28)) // after what the copy holds
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
				expectNoLoad(t, b)
			})
		})
	}
}

// A copy that is not needed is given up: its engine would keep it for long.
func TestUnusedCopiesAreFreed(t *testing.T) {
	for _, test := range []struct {
		name   string
		err    error
		events int // of the source, one each 50 ms
	}{
		{"the run ends before it is stopped", ErrNotRunning, 13},
		{"the move is refused", ErrMoveRefused, 14},
		{"the engine does not answer, but goes on", brokenErr, 14},
		{"the call ends in the first copy", nil, 11},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(streamReply(0, test.events))
				b.moveErr, b.movesBeforeErr, b.moveTimes = test.err, 1, []time.Duration{100 * time.Millisecond}
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.removeFirstEndpoint()
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, test.events)
				expectNoLoad(t, b)
				if b.freedCopies != 1 {
					t.Fatalf("%d copies were freed, want 1", b.freedCopies)
				}
			})
		})
	}
}

// A stopped source whose connection went silent does not hold its stream up.
func TestStoppedSourceNeverCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(reply{status: http.StatusOK, events: 12, gap: 50 * time.Millisecond, hang: true})
		b.stopHidesEnd, b.moveTimes = true, idleLinkTimes
		go func() {
			time.Sleep(510 * time.Millisecond)
			b.removeFirstEndpoint()
			b.setReplies(streamReply(12, 28))
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
		expectNoLoad(t, b)
	})
}

// A run that ends by itself while it is being moved is complete.
func TestRunEndsDuringMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(streamReply(0, 16)) // ends at 800 ms
		b.endsBeforeFinalMove, b.moveTimes = true, []time.Duration{140 * time.Millisecond, 5 * time.Millisecond}
		go func() {
			time.Sleep(650 * time.Millisecond)
			b.removeFirstEndpoint()
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 16)
		expectNoLoad(t, b)
	})
}

// first returns the endpoint of the first send.
func (b *harness) firstEndpoint() string {
	sent, _ := b.sends()
	return strings.Fields(sent[0])[0]
}

// leave takes the endpoint of the first send away.
func (b *harness) removeFirstEndpoint() { b.book.Remove(time.Now(), b.firstEndpoint(), time.Time{}) }

func TestCallerDisconnects(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindOnce, desc.KindIdempotent, desc.KindStream, desc.KindResumableStream} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(reply{status: http.StatusOK, events: 1000, gap: 50 * time.Millisecond})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, cancel)
				began := time.Now()
				if result := b.serve(ctx, kind, 1); result.Reason != ReasonCallerGone {
					t.Fatalf("reason %v, want %v", result.Reason, ReasonCallerGone)
				}
				if took := time.Since(began); took != 300*time.Millisecond {
					t.Fatalf("the call went on for %v, want 300ms", took)
				}
				expectNoLoad(t, b)
			})
		})
	}
}

func TestFitsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness()
		for range 50 {
			b.setReplies(streamReply(0, 40)) // 2 s
			b.serve(t.Context(), desc.KindStream, 1)
		}
		for _, test := range []struct {
			kind        desc.Kind
			limit       time.Duration
			nearCertain bool
			want        bool
		}{
			{desc.KindStream, 3 * time.Second, false, true},
			{desc.KindStream, time.Second, false, false},
			{desc.KindStream, time.Hour, true, false},
			{desc.KindResumableStream, 3 * time.Second, true, true},
			{desc.KindResumableStream, time.Second, true, false},
		} {
			call := &desc.Call{Kind: test.kind, Route: "r"}
			if got := b.server.FitsIn(call, test.limit, test.nearCertain); got != test.want {
				t.Errorf("%v within %v, sure %v: %v, want %v", test.kind, test.limit, test.nearCertain, got, test.want)
			}
		}
		if b.server.FitsIn(&desc.Call{Kind: desc.KindStream, Route: "new"}, time.Hour, false) {
			t.Error("a generation of an unknown route fits")
		}
	})
}
