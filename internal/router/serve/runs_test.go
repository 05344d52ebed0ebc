package serve

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
)

// sendEnd is how the first send of a call may end.
type sendEnd struct {
	name   string
	reply  reply
	ran    bool // the endpoint may have begun to work on the call
	free   bool // the call did not reach the endpoint, which does not count as an attempt
	answer bool // the caller gets it as it is, and nothing else is tried
}

// sendEnds are the ends of sends. A stream that broke off after its first event is not among
// them: it goes on instead of running again.
func sendEnds() []sendEnd {
	return []sendEnd{
		{name: "own 500", reply: reply{status: http.StatusInternalServerError}, ran: true},
		{name: "own 504 at the time limit", reply: reply{status: http.StatusGatewayTimeout}, ran: true},
		{name: "500 that is not verified", reply: reply{status: http.StatusInternalServerError, unverified: true}, ran: true},
		{name: "502 of unknown length", reply: reply{status: http.StatusBadGateway, unframed: true}, ran: true},
		{name: "500 cut in its body", reply: reply{status: http.StatusInternalServerError, text: "x", breaks: true}, ran: true},
		{name: "404", reply: reply{status: http.StatusNotFound}, ran: true, answer: true},
		{name: "success of another type", reply: reply{status: http.StatusOK, contentType: "application/json", text: "{}"}, ran: true, answer: true},
		{name: "success of another type, cut", reply: reply{status: http.StatusOK, contentType: "application/json", text: "{", breaks: true}, ran: true},
		{name: "success that is not verified", reply: reply{status: http.StatusOK, unverified: true}, ran: true},
		{name: "broken off in its head", reply: reply{err: brokenErr}, ran: true},
		{name: "broken off after its head", reply: reply{status: http.StatusOK, breaks: true}, ran: true},
		{name: "refusal", reply: overloadedReply},
		{name: "refusal of a malformed call", reply: reply{status: http.StatusBadRequest, notExecuted: true}},
		{name: "500 that says that it has not run", reply: reply{status: http.StatusInternalServerError, notExecuted: true}},
		{name: "not reached", reply: reply{err: unsentErr}, free: true},
		{name: "another endpoint has the address", reply: reply{status: http.StatusMisdirectedRequest, misdirected: true}, free: true},
		{name: "silent beyond the time limit", reply: reply{status: http.StatusOK, wait: time.Hour}, ran: true},
	}
}

// wantSends returns to how many endpoints a call is sent if the first send ends so and the
// second succeeds.
func (e sendEnd) wantSends(kind desc.Kind, attempts int) int {
	switch {
	case e.free:
		return 2
	case e.answer, e.ran && !kind.Repeatable():
		return 1
	}
	return min(2, attempts)
}

// Guards against streams that ran again after a worker's own 500 or 504: whatever the end of a
// send, what may run once is not sent again unless it has certainly not run, and what may be
// repeated is.
func TestCallsRunOnceWhateverTheEnd(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindAtMostOnce, desc.KindStream, desc.KindIdempotent, desc.KindResumableStream} {
		for _, end := range sendEnds() {
			for attempts := 1; attempts <= 3; attempts++ {
				t.Run(fmt.Sprintf("%v/%s/%d attempts", kind, end.name, attempts), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						second := okReply
						if kind.Streams() {
							second = streamReply(0, 3)
						}
						h := newHarness(end.reply, second, second)
						result := h.serve(t.Context(), kind, attempts)
						sent, _ := h.sends()
						if want := end.wantSends(kind, attempts); len(sent) != want {
							t.Errorf("sent to %d endpoints, want %d; outcome %v", len(sent), want, result.Outcome)
						}
						expectAtMostOnce(t, h, kind, result)
						if end.ran && result.Outcome == callst.OutcomeNotRun {
							t.Errorf("the caller is told that the call did not run")
						}
						if !end.answer && len(sent) == 2 && (result.Outcome != callst.OutcomeComplete || h.status != http.StatusOK) {
							t.Errorf("outcome %v, status %d after a second send that succeeded", result.Outcome, h.status)
						}
						expectNoLoad(t, h)
					})
				})
			}
		}
	}
}

// Guards against a stream that may run once and is run anew after its move: whatever the end of
// the send to the engine that holds its copy, it is sent to no other.
func TestMovedStreamsRunOnceWhateverTheEnd(t *testing.T) {
	for _, end := range sendEnds() {
		for attempts := 1; attempts <= 3; attempts++ {
			t.Run(fmt.Sprintf("%s/%d attempts", end.name, attempts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(streamReply(0, 40))
					h.moveTimes = idleLinkTimes
					go func() {
						time.Sleep(510 * time.Millisecond)
						h.removeFirstEndpoint()
						h.setReplies(end.reply, streamReply(0, 40), streamReply(0, 40))
					}()
					result := h.serve(t.Context(), desc.KindStream, attempts)
					sent, runs := h.sends()
					if len(sent) != 2 || !strings.HasSuffix(sent[1], " from handle") || runs > 2 {
						t.Errorf("sends %q, want the first one and one from the copy", sent)
					}
					if result.Outcome != callst.OutcomeInterrupted {
						t.Errorf("outcome %v, want that of a stream that was broken off", result.Outcome)
					}
					expectNoLoad(t, h)
				})
			})
		}
	}
}
