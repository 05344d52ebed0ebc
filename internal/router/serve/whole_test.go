package serve

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/claim"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

func TestUnary(t *testing.T) {
	for _, test := range []struct {
		name     string
		kind     desc.Kind
		attempts int
		replies  []reply
		outcome  claim.Outcome
		status   int
		sends    int
	}{
		{"answered", desc.KindOnce, 1, []reply{okReply}, claim.OutcomeComplete, 200, 1},
		{"failure is passed on", desc.KindOnce, 2, []reply{failedReply, okReply}, claim.OutcomeComplete, 500, 1},
		{"idempotent failure is repeated", desc.KindIdempotent, 2, []reply{failedReply, okReply}, claim.OutcomeComplete, 200, 2},
		{"two failures, the first is passed on", desc.KindIdempotent, 2, []reply{failedReply, failedReply}, claim.OutcomeComplete, 500, 2},
		{"no more attempts than allowed", desc.KindIdempotent, 1, []reply{failedReply, okReply}, claim.OutcomeComplete, 500, 1},
		{"lost, may have run", desc.KindOnce, 3, []reply{{err: brokenErr}, okReply}, claim.OutcomeUnknown, 0, 1},
		{"lost but idempotent", desc.KindIdempotent, 2, []reply{{err: brokenErr}, okReply}, claim.OutcomeComplete, 200, 2},
		{"without the endpoint's proof", desc.KindOnce, 2, []reply{{status: 200, unproven: true}, okReply}, claim.OutcomeUnknown, 0, 1},
		{"shed, another attempt allowed", desc.KindOnce, 2, []reply{overloaded, okReply}, claim.OutcomeComplete, 200, 2},
		{"shed, the only attempt", desc.KindOnce, 1, []reply{overloaded, okReply}, claim.OutcomeNotRun, 0, 1},
		{"could not be reached", desc.KindOnce, 1, []reply{{err: unsentErr}, okReply}, claim.OutcomeComplete, 200, 2},
		{"another endpoint has the address", desc.KindOnce, 1, []reply{{status: 421, gone: true}, okReply}, claim.OutcomeComplete, 200, 2},
		{"body breaks off", desc.KindOnce, 2, []reply{{status: 200, events: 1, cut: true}, okReply}, claim.OutcomeUnknown, 0, 1},
		{"slow, a second endpoint is asked", desc.KindIdempotent, 2, []reply{{status: 200, wait: 5 * time.Second}, okReply}, claim.OutcomeComplete, 200, 2},
		{"slow, must not repeat", desc.KindOnce, 2, []reply{{status: 200, wait: 5 * time.Second}, okReply}, claim.OutcomeComplete, 200, 1},
		{"never answered", desc.KindOnce, 2, []reply{{status: 200, wait: time.Hour}}, claim.OutcomeUnknown, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(test.replies...)
				result := b.serve(t.Context(), test.kind, test.attempts)
				sent, _ := b.sends()
				if result.Outcome != test.outcome || b.status != test.status || len(sent) != test.sends {
					t.Fatalf("outcome %v status %d after %d sends (%v), want %v %d %d",
						result.Outcome, b.status, len(sent), result.Reason, test.outcome, test.status, test.sends)
				}
				expectAtMostOnce(t, b, test.kind, result)
			})
		})
	}
}

// expectAtMostOnce checks that a call that must not repeat ran once at most, and
// that one which did not run is said so truly.
func expectAtMostOnce(t *testing.T, b *harness, kind desc.Kind, result Result) {
	t.Helper()
	_, runs := b.sends()
	if !kind.Repeatable() && runs > 1 {
		t.Fatalf("the call ran %d times", runs)
	}
	if !kind.Repeatable() && result.Outcome == claim.OutcomeNotRun && runs > 0 {
		t.Fatal("a call that ran is said not to have run")
	}
}

// A second send that finds no room must not hold the first one's answer back.
func TestHedgeDoesNotWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(reply{status: http.StatusOK, wait: 600 * time.Millisecond})
		for _, id := range []string{"e1", "e2", "e3"} {
			others := slices.DeleteFunc([]string{"e1", "e2", "e3"}, func(o string) bool { return o == id })
			for range 7 { // one place is left on each
				b.book.Take(time.Now(), book.Need{Service: "s", Exclude: others})
			}
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for range 2 {
				b.book.Take(time.Now(), book.Need{Service: "s"})
			}
		}()
		began := time.Now()
		result := b.serve(t.Context(), desc.KindIdempotent, 2)
		if took := time.Since(began); result.Outcome != claim.OutcomeComplete || took != 600*time.Millisecond {
			t.Fatalf("%v after %v, want the first answer after 600ms", result.Outcome, took)
		}
	})
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness()
		for _, id := range []string{"e1", "e2", "e3"} {
			b.book.Remove(time.Now(), id, time.Time{})
		}
		began := time.Now()
		result := b.serve(t.Context(), desc.KindOnce, 1)
		if result.Outcome != claim.OutcomeNotRun || result.RetryAfter == 0 || time.Since(began) > 0 {
			t.Fatalf("%+v after %v, want a refusal at once with a time to come back", result, time.Since(began))
		}
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness()
		const calls = 200
		for range calls {
			b.setReplies(failedReply, okReply)
			b.serve(t.Context(), desc.KindIdempotent, 2)
		}
		sent, _ := b.sends()
		if repeats := len(sent) - calls; repeats > 20+calls/5 {
			t.Fatalf("%d repeats of %d calls, want at most %d", repeats, calls, 20+calls/5)
		}
	})
}
