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
func stream(first, events int) step {
	return step{status: http.StatusOK, first: first, events: events, gap: 50 * time.Millisecond}
}

func TestStream(t *testing.T) {
	cut := stream(0, 10)
	cut.cut = true
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		steps   []step
		outcome claim.Outcome
		events  int
		sent    []string
	}{
		{"whole", desc.KindStream, []step{stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1"}},
		{"cut, must not run again", desc.KindStream, []step{cut, stream(10, 30)}, claim.OutcomeInterrupted, 10, []string{"e1"}},
		{"cut, may be resumed", desc.KindResumableStream, []step{cut, stream(10, 30)}, claim.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"resumed run repeats events", desc.KindResumableStream, []step{cut, stream(5, 35)}, claim.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"failure before the first event", desc.KindStream, []step{failed}, claim.OutcomeComplete, 0, []string{"e1"}},
		{"shed", desc.KindStream, []step{shed}, claim.OutcomeNotRun, 0, []string{"e1"}},
		{"engine was replaced", desc.KindStream, []step{{status: 421, gone: true}, stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"mute engine, may run again", desc.KindResumableStream, []step{{status: 200, wait: time.Hour}, stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"mute engine, must not run again", desc.KindStream, []step{{status: 200, wait: time.Hour}, stream(0, 40)}, claim.OutcomeUnknown, 0, []string{"e1"}},
		{"lost before the answer", desc.KindStream, []step{{err: brokenErr}, stream(0, 40)}, claim.OutcomeUnknown, 0, []string{"e1"}},
		{"silent, may be resumed", desc.KindResumableStream, []step{{status: 200, events: 5, gap: 3 * time.Second}, stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(test.steps...)
				result := b.serve(t.Context(), test.kind, 2-len(test.sent)%2)
				expectStream(t, b, result, test.outcome, test.events)
				if sent, _ := b.sends(); !sameEndpoints(sent, test.sent) {
					t.Fatalf("sent to %q, want %q", sent, test.sent)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

// sameEndpoints compares sends but for the numbers of the endpoints, which are
// chosen by load and chance.
func sameEndpoints(got, want []string) bool {
	trim := func(list []string) (out []string) {
		for _, s := range list {
			_, what, _ := strings.Cut(s, " ")
			out = append(out, what)
		}
		return out
	}
	return slices.Equal(trim(got), trim(want))
}

// expectStream checks that the caller got each event once and in order.
func expectStream(t *testing.T, b *bench, result Result, outcome claim.Outcome, events int) {
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

func expectNothingHeld(t *testing.T, b *bench) {
	t.Helper()
	time.Sleep(time.Minute)
	synctest.Wait()
	if loads := b.book.Loads(); len(loads) > 0 {
		t.Fatalf("work is still placed after the end: %v", loads)
	}
}

// quietLink carries the memory of a run in 100 ms, and what the run makes
// meanwhile in 5 ms.
var quietLink = []time.Duration{100 * time.Millisecond, 5 * time.Millisecond}

// Spot notices at several endpoints: the link carries other moves for 0.9 s. The
// run is not stopped before its last part is quick to copy.
func TestBusyLinkMakesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(stream(0, 40))
		b.moveTimes = []time.Duration{500 * time.Millisecond, 400 * time.Millisecond, 5 * time.Millisecond}
		go func() {
			time.Sleep(510 * time.Millisecond)
			b.leave()
			b.then(stream(28, 12)) // after the events before the stop, at 510 ms plus three copies
		}()
		result := b.serve(t.Context(), desc.KindStream, 1)
		expectStream(t, b, result, claim.OutcomeComplete, 40)
		if result.LongestGap > 180*time.Millisecond {
			t.Fatalf("the stream stood still for %v, want 180ms at most", result.LongestGap)
		}
		expectNothingHeld(t, b)
	})
}

// A spot notice at an endpoint that serves several processes: they move in the
// order of their names, each as soon as those before it have left.
func TestMovesTakeTurns(t *testing.T) {
	for _, test := range []struct {
		name    string
		peer    string
		tokens  int
		leaves  time.Duration // when the peer's work has left, after the notice
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"nobody before", "other", 4000, 5 * time.Second, 0, 0},
		{"the one before is done", "before", 4000, 100 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond},
		{"the one before does not leave", "before", 4000, 5 * time.Second, 300 * time.Millisecond, 320 * time.Millisecond},
		{"much before", "before", 40_000, 5 * time.Second, longestTurn, longestTurn + 20*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(stream(0, 40))
				b.moveTimes = quietLink
				tell := func(tokens int) {
					load := book.Load{Calls: min(1, tokens), Tokens: tokens}
					b.book.SetPeerLoad(time.Now(), test.peer, map[string]book.Load{b.first(): load})
				}
				var notice time.Time
				go func() {
					time.Sleep(510 * time.Millisecond)
					tell(test.tokens)
					notice = time.Now()
					b.leave()
					time.Sleep(test.leaves)
					tell(0)
				}()
				b.serve(t.Context(), desc.KindStream, 1)
				if waited := b.moves[0].Sub(notice); waited < test.atLeast || waited > test.atMost {
					t.Fatalf("the move began %v after the notice, want %v to %v", waited, test.atLeast, test.atMost)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

// A spot notice: the generation moves with its memory and goes on in the same
// answer, without a gap, a repeat or an early end.
func TestNotice(t *testing.T) {
	for _, test := range []struct {
		name    string
		moveErr error
		moves   []time.Duration
		outcome claim.Outcome
		events  int
		sends   int
	}{
		{"moved", nil, quietLink, claim.OutcomeComplete, 40, 2},
		{"no engine takes it", errors.New("no room"), quietLink, claim.OutcomeInterrupted, 30, 1},
		{"the move takes too long", nil, []time.Duration{20 * time.Second}, claim.OutcomeInterrupted, 30, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := stream(0, 30)
				first.cut = true
				b := newBench(first)
				b.moveErr, b.moveTimes = test.moveErr, test.moves
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.leave()
					// What the second engine makes follows the events before the stop, at
					// 510 ms plus two copies.
					b.then(stream(12, 28))
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), test.outcome, test.events)
				if sent, _ := b.sends(); len(sent) != test.sends {
					t.Fatalf("sent to %q, want %d sends", sent, test.sends)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

// An engine that breaks off, or freezes, after the first copy of a run's memory: the
// run goes on from the copy.
func TestCopyOutlivesItsSource(t *testing.T) {
	for _, test := range []struct {
		name  string
		hang  bool
		moves []time.Duration
	}{
		{"breaks before the move reports", false, []time.Duration{100 * time.Millisecond, 150 * time.Millisecond}},
		{"breaks after the move reports", false, []time.Duration{100 * time.Millisecond, 20 * time.Millisecond}},
		{"freezes", true, []time.Duration{100 * time.Millisecond, 20 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := stream(0, 14) // until 700 ms
				first.cut, first.hang = !test.hang, test.hang
				b := newBench(first)
				b.moveErr, b.moveGood, b.moveTimes = brokenErr, 1, test.moves
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.leave()
					b.then(stream(12, 28)) // after what the copy holds
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
				expectNothingHeld(t, b)
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
				b := newBench(stream(0, 40))
				b.moveErr, b.moveGood, b.moveTimes, b.stopLate = test.err, 2, quietLink, test.stopLate
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.leave()
					b.then(stream(12, 28)) // after what the copy holds
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
				expectNothingHeld(t, b)
			})
		})
	}
}

// A copy that is not needed is given up: its engine would keep it for long.
func TestCopiesAreFreed(t *testing.T) {
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
				b := newBench(stream(0, test.events))
				b.moveErr, b.moveGood, b.moveTimes = test.err, 1, []time.Duration{100 * time.Millisecond}
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.leave()
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, test.events)
				expectNothingHeld(t, b)
				if b.freed != 1 {
					t.Fatalf("%d copies were freed, want 1", b.freed)
				}
			})
		})
	}
}

// A stopped source whose connection went silent does not hold its stream up.
func TestEndOfTheSourceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(step{status: http.StatusOK, events: 12, gap: 50 * time.Millisecond, hang: true})
		b.endHidden, b.moveTimes = true, quietLink
		go func() {
			time.Sleep(510 * time.Millisecond)
			b.leave()
			b.then(stream(12, 28))
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
		expectNothingHeld(t, b)
	})
}

// A run that ends by itself while it is being moved is complete.
func TestEndMeetsTheMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(stream(0, 16)) // ends at 800 ms
		b.endsItself, b.moveTimes = true, []time.Duration{140 * time.Millisecond, 5 * time.Millisecond}
		go func() {
			time.Sleep(650 * time.Millisecond)
			b.leave()
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 16)
		expectNothingHeld(t, b)
	})
}

// first returns the endpoint of the first send.
func (b *bench) first() string {
	sent, _ := b.sends()
	return strings.Fields(sent[0])[0]
}

// leave takes the endpoint of the first send away.
func (b *bench) leave() { b.book.Remove(time.Now(), b.first(), time.Time{}) }

func TestCallerLeaves(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindOnce, desc.KindIdempotent, desc.KindStream, desc.KindResumableStream} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(step{status: http.StatusOK, events: 1000, gap: 50 * time.Millisecond})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, cancel)
				began := time.Now()
				if result := b.serve(ctx, kind, 1); result.Reason != ReasonCallerGone {
					t.Fatalf("reason %v, want %v", result.Reason, ReasonCallerGone)
				}
				if took := time.Since(began); took != 300*time.Millisecond {
					t.Fatalf("the call went on for %v, want 300ms", took)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

func TestFitsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		for range 50 {
			b.then(stream(0, 40)) // 2 s
			b.serve(t.Context(), desc.KindStream, 1)
		}
		for _, test := range []struct {
			kind  desc.Kind
			limit time.Duration
			sure  bool
			want  bool
		}{
			{desc.KindStream, 3 * time.Second, false, true},
			{desc.KindStream, time.Second, false, false},
			{desc.KindStream, time.Hour, true, false},
			{desc.KindResumableStream, 3 * time.Second, true, true},
			{desc.KindResumableStream, time.Second, true, false},
		} {
			call := &desc.Call{Kind: test.kind, Route: "r"}
			if got := b.server.FitsIn(call, test.limit, test.sure); got != test.want {
				t.Errorf("%v within %v, sure %v: %v, want %v", test.kind, test.limit, test.sure, got, test.want)
			}
		}
		if b.server.FitsIn(&desc.Call{Kind: desc.KindStream, Route: "new"}, time.Hour, false) {
			t.Error("a generation of an unknown route fits")
		}
	})
}
