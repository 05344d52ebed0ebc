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

// A spot notice: the generation moves with its memory and goes on in the same
// answer, without a gap, a repeat or an early end.
func TestNotice(t *testing.T) {
	for _, test := range []struct {
		name     string
		moveErr  error
		moveTime time.Duration
		outcome  claim.Outcome
		events   int
		sends    int
	}{
		{"moved", nil, 100 * time.Millisecond, claim.OutcomeComplete, 40, 2},
		{"no engine takes it", errors.New("no room"), time.Millisecond, claim.OutcomeInterrupted, 30, 1},
		{"the move takes too long", nil, time.Hour, claim.OutcomeInterrupted, 30, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := stream(0, 30)
				first.cut = true
				b := newBench(first)
				b.moveErr, b.moveTime = test.moveErr, test.moveTime
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.leave()
					// What the second engine makes follows the events before the stop, at
					// 510 ms plus two moves.
					b.then(stream(14, 26))
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

// A stopped source whose connection went silent does not hold its stream up.
func TestEndOfTheSourceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(step{status: http.StatusOK, events: 12, gap: 50 * time.Millisecond, hang: true})
		b.endHidden, b.moveTime = true, 100*time.Millisecond
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
		b.endsItself, b.moveTime = true, 140*time.Millisecond
		go func() {
			time.Sleep(650 * time.Millisecond)
			b.leave()
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 16)
		expectNothingHeld(t, b)
	})
}

// leave takes the endpoint of the first send away.
func (b *bench) leave() {
	sent, _ := b.sends()
	id := strings.Fields(sent[0])[0]
	b.book.Remove(time.Now(), id, time.Time{})
}

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
