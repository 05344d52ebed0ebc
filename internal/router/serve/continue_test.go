package serve

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// expectNotContinued checks that an answer does not become part of a stream that another
// endpoint has begun: a third one goes on, without a pause, or the stream breaks off.
func expectNotContinued(t *testing.T, answer reply) {
	t.Helper()
	cut := streamReply(0, 10)
	cut.breaks = true
	cutAgain := streamReply(10, 5)
	cutAgain.breaks = true
	for _, test := range []struct {
		name    string
		replies []reply
		outcome callst.Outcome
		events  int
	}{
		{"no attempt left", []reply{cut, answer}, callst.OutcomeInterrupted, 10},
		{"a third endpoint goes on", []reply{cut, answer, streamReply(10, 30)}, callst.OutcomeComplete, 40},
		{"second resume", []reply{cut, cutAgain, answer}, callst.OutcomeInterrupted, 15},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.replies...)
				result := h.serve(t.Context(), desc.KindResumableStream, len(test.replies))
				expectStream(t, h, result, test.outcome, test.events)
				if h.status != http.StatusOK {
					t.Errorf("status %d, want that of the first response", h.status)
				}
				if result.LongestGap > 180*time.Millisecond {
					t.Errorf("the stream paused for %v, want at most 180ms", result.LongestGap)
				}
				expectNoLoad(t, h)
			})
		})
	}
	t.Run("from a copy", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(streamReply(0, 40))
			h.moveTimes = idleLinkTimes
			go func() {
				time.Sleep(510 * time.Millisecond)
				h.removeFirstEndpoint()
				h.setReplies(answer)
			}()
			result := h.serve(t.Context(), desc.KindStream, 1)
			expectStream(t, h, result, callst.OutcomeInterrupted, 12)
			expectNoLoad(t, h)
		})
	})
}

// Guards against a response that is no event stream, such as an error, becoming part of a
// stream that another endpoint has begun, or ending it as if it were complete.
func TestStreamContinuedByOtherResponse(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer reply
	}{
		{"404, text with a blank line", reply{status: 404, text: "no such thing\n\n"}},
		{"404, empty", reply{status: 404}},
		{"404, events", reply{status: 404, firstID: 10, events: 30}},
		{"404, body without end", reply{status: 404, text: "no such thing\n\n", hangs: true}},
		{"302", reply{status: 302}},
		{"304", reply{status: 304}},
		{"429", reply{status: 429}},
		{"204", reply{status: 204}},
		{"206, events", reply{status: 206, firstID: 10, events: 30}},
		{"200, page", reply{status: 200, contentType: "text/html; charset=utf-8", text: "<html>\n\n</html>\n\n"}},
		{"200, empty text", reply{status: 200, contentType: "text/plain"}},
		{"200, other type", reply{status: 200, contentType: "application/json", firstID: 10, events: 30}},
		{"500, text with a blank line", reply{status: 500, text: "no\n\n"}},
		{"503, did not run", reply{status: 503, notExecuted: true, text: "no\n\n"}},
		{"200, unverified", reply{status: 200, unverified: true, firstID: 10, events: 30}},
	} {
		t.Run(test.name, func(t *testing.T) { expectNotContinued(t, test.answer) })
	}
}

// An endpoint that cannot continue a stream counts as failed: the endpoint before it
// accepted the same call.
func TestUnfitResponseCountsAsFailure(t *testing.T) {
	a := attempt{verdict: verdictUnfit, response: &Response{Status: http.StatusNotFound}}
	if got := a.leaseOutcome(t.Context()); got != sched.OutcomeFailed {
		t.Errorf("outcome %v, want %v", got, sched.OutcomeFailed)
	}
}
