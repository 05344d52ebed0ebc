package serve

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/event"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const maxPause = 180 * time.Millisecond // the target between events

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
				h, began := newHarness(test.replies...), time.Now()
				result := h.serve(t.Context(), desc.KindResumableStream, len(test.replies))
				expectStream(t, h, result, test.outcome, test.events)
				if h.status != http.StatusOK {
					t.Errorf("status %d, want that of the first response", h.status)
				}
				if pause := result.LongestGap; pause > maxPause {
					t.Errorf("the stream paused for %v, want at most %v", pause, maxPause)
				}
				if took := time.Since(began); took > 41*50*time.Millisecond+maxPause {
					t.Errorf("the stream took %v", took)
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
			began := time.Now()
			result := h.serve(t.Context(), desc.KindStream, 1)
			expectStream(t, h, result, callst.OutcomeInterrupted, 12)
			if took := time.Since(began); took > 12*50*time.Millisecond+maxPause {
				t.Errorf("the stream broke off after %v", took)
			}
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

// Guards against a stream that waits for the rest of an error that no caller gets.
func TestStreamWaitsForNoError(t *testing.T) {
	for _, answer := range []reply{
		{status: 500, text: "no", hangs: true, breaks: true},
		{status: 503, notExecuted: true, text: "no", hangs: true, breaks: true},
		{status: 404, text: "no", hangs: true, breaks: true},
	} {
		t.Run(strconv.Itoa(answer.status), func(t *testing.T) { expectNotContinued(t, answer) })
	}
}

// Guards against events that do not follow those sent so far, or the end of a source that
// has sent none, becoming part of a stream that another endpoint has begun.
func TestStreamContinuedByOtherEvents(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer reply
	}{
		{"empty", reply{status: 200, contentType: "text/event-stream"}},
		{"empty, without length or chunks", reply{status: 200, unframed: true}},
		{"text", reply{status: 200, text: "no such thing\n"}},
		{"text with a blank line", reply{status: 200, text: "no such thing\n\n"}},
		{"a whole response", reply{status: 200, text: "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nno\n\n"}},
		{"error event", reply{status: 200, text: "event: error\ndata: no\n\n"}},
		{"comment", reply{status: 200, text: ": wait\n\n"}},
		{"events without IDs", reply{status: 200, events: 30, noIDs: true}},
		{"a gap", reply{status: 200, firstID: 20, events: 20}},
		{"known events only", reply{status: 200, events: 10}},
	} {
		t.Run(test.name, func(t *testing.T) { expectNotContinued(t, test.answer) })
	}
}

// Guards against a stream whose last event has no numeric ID being resumed, stopped for a
// move or given up for its silence: no other endpoint can go on after that event.
func TestStreamWithoutPosition(t *testing.T) {
	stream := reply{status: 200, events: 40, gap: 50 * time.Millisecond, noIDs: true}
	broken, silent := stream, stream
	broken.breaks = true
	silent.text, silent.events, silent.gap = "data: x\n\n", 2, 2*time.Second
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		reply   reply
		leaves  bool // its endpoint is leaving
		outcome callst.Outcome
	}{
		{"breaks off", desc.KindResumableStream, broken, false, callst.OutcomeInterrupted},
		{"is silent", desc.KindResumableStream, silent, false, callst.OutcomeComplete},
		{"its endpoint leaves", desc.KindStream, stream, true, callst.OutcomeComplete},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.reply, streamReply(0, 40))
				if test.leaves {
					time.AfterFunc(510*time.Millisecond, h.removeFirstEndpoint)
				}
				result := h.serve(t.Context(), test.kind, 2)
				if want := test.reply.text + strings.Repeat("data: x\n\n", test.reply.events); result.Outcome != test.outcome || h.String() != want {
					t.Errorf("outcome %v, body %q, want %v, %q", result.Outcome, h.String(), test.outcome, want)
				}
				if sent, _ := h.sends(); len(sent) != 1 || len(h.moves) > 0 {
					t.Errorf("sent to %q, %d moves, want one send", sent, len(h.moves))
				}
				expectNoLoad(t, h)
			})
		})
	}
}

// An event without an ID that arrives while its source is stopped for a move leaves no
// place to go on from: the copy is freed and not used.
func TestPositionLostDuringMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(streamReply(0, 40))
		h.moveTimes = idleLinkTimes
		c := &streamCall{
			s: h.server, in: Input{Call: &desc.Call{Service: "s"}, Sink: h.fakeSink}, reports: make(chan opReport, 1),
			holdTimer: time.NewTimer(time.Hour),
		}
		lease, ok := h.scheduler.TryPlace(time.Now(), sched.Request{Service: "s"})
		if !ok {
			t.Fatal("no endpoint has room")
		}
		c.at = newPosition("3").withEvent(event.Event{Raw: []byte("data: x\n\n")})
		c.resumeFromCopy(t.Context(), &remoteCopy{target: lease})
		result, done := c.handleReport(t.Context(), <-c.reports)
		if !done || result.Outcome != callst.OutcomeInterrupted {
			t.Errorf("result %+v, done %v, want an interrupted stream", result, done)
		}
		expectNoLoad(t, h)
		if sent, _ := h.sends(); len(sent) != 0 || h.freedCopies != 1 {
			t.Errorf("sent to %q, %d copies freed, want none and one", sent, h.freedCopies)
		}
	})
}

// Which events of a source follow a position, and whether its end is that of the stream.
func TestContinuation(t *testing.T) {
	const rest = "id: 4\ndata: d\n\nid: 5\ndata: e\n\n"
	atStart, afterHead := newPosition(""), newPosition("").withBegin()
	resumedByCaller, after3 := newPosition("3"), newPosition("3").withBegin()
	for _, test := range []struct {
		name       string
		at         position
		body, want string
		end        error
	}{
		{"first source", atStart, "data: a\n\n: wait\n\n" + rest, "data: a\n\n: wait\n\n" + rest, io.EOF},
		{"first source, empty", atStart, "", "", io.EOF},
		{"first source skips an ID of its own", atStart, "id: 1\n\nid: 3\n\n", "id: 1\n\nid: 3\n\n", io.EOF},
		{"first source repeats an event", atStart, "id: 1\n\nid: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\n", io.EOF},
		{"resumed by the caller", resumedByCaller, rest, rest, io.EOF},
		{"resumed by the caller at the end", resumedByCaller, "", "", io.EOF},
		{"resumed by the caller, starts over", resumedByCaller, "id: 2\n\nid: 3\n\n" + rest, rest, io.EOF},
		{"resumed by the caller, a gap", resumedByCaller, "id: 5\ndata: e\n\n", "", errNotContinued},
		{"resumed by the caller, a gap after a comment", resumedByCaller, ": wait\n\nid: 5\n\n", ": wait\n\n", errNotContinued},
		{"resumed by the caller, no IDs", resumedByCaller, "data: a\n\n", "data: a\n\n", io.EOF},
		{"begun without an event", afterHead, rest, rest, io.EOF},
		{"begun without an event, empty", afterHead, "", "", errNotContinued},
		{"begun without an event, no IDs", afterHead, "data: a\n\n", "", errNotContinued},
		{"continues", after3, rest, rest, io.EOF},
		{"continues after a comment", after3, ": wait\n\n" + rest, rest, io.EOF},
		{"continues after known events", after3, "id: 1\n\nid: 3\n\n" + rest, rest, io.EOF},
		{"continues with events of its own", after3, rest + "data: f\n\n: wait\n\n", rest + "data: f\n\n: wait\n\n", io.EOF},
		{"a gap", after3, "id: 5\n\n", "", errNotContinued},
		{"the last number of all", newPosition("9223372036854775807").withBegin(), "id: 1\n\n", "", errNotContinued},
		{"negative ID", after3, "id: -4\n\n", "", errNotContinued},
		{"cut in an event", after3, rest + "id: 6\nda", rest, io.ErrUnexpectedEOF},
		{"cut in the first event", after3, "id: 4\nda", "", io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newContinuation(strings.NewReader(test.body), test.at)
			var got strings.Builder
			for {
				e, at, err := c.next()
				if err != nil {
					if !errors.Is(err, test.end) || got.String() != test.want {
						t.Errorf("events %q, end %v, want %q, %v", got.String(), err, test.want, test.end)
					}
					return
				}
				got.Write(e.Raw)
				if !at.begun || e.Comment != strings.HasPrefix(string(e.Raw), ":") {
					t.Errorf("event %+v, position %+v", e, at)
				}
			}
		})
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

// Guards against an endpoint's error, or another response that is no event stream, being
// broken off or sent again. It is the answer to the call, as it is.
func TestResponseThatIsNoStream(t *testing.T) {
	cutText := reply{status: 404, text: "no", breaks: true}
	for _, test := range []struct {
		name    string
		answer  reply
		outcome callst.Outcome // for a call that must not run again
	}{
		{"404, text", reply{status: 404, text: "no such thing"}, callst.OutcomeComplete},
		{"404, empty", reply{status: 404}, callst.OutcomeComplete},
		{"404, empty, without length or chunks", reply{status: 404, unframed: true}, callst.OutcomeComplete},
		{"302", reply{status: 302}, callst.OutcomeComplete},
		{"204", reply{status: 204}, callst.OutcomeComplete},
		{"200, JSON", reply{status: 200, contentType: "application/json", text: "{}"}, callst.OutcomeComplete},
		{"200, JSON, ends with its connection", reply{status: 200, contentType: "application/json", text: "{}", unframed: true}, callst.OutcomeComplete},
		{"200, empty text, ends with its connection", reply{status: 200, contentType: "text/plain", unframed: true}, callst.OutcomeUnknown},
		{"404, cut", cutText, callst.OutcomeUnknown},
	} {
		for _, parts := range [][]string{nil, {"p1"}} {
			for _, kind := range []desc.Kind{desc.KindStream, desc.KindResumableStream} {
				t.Run(test.name+", "+kind.String()+" "+strings.Join(parts, ","), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						h := newHarness(test.answer, streamReply(0, 40))
						result := h.serve(t.Context(), kind, 2, parts...)
						defer expectNoLoad(t, h)
						if test.outcome != callst.OutcomeComplete && kind == desc.KindResumableStream {
							expectStream(t, h, result, callst.OutcomeComplete, 40) // from the next endpoint
							return
						}
						want, status := test.answer.text, test.answer.status
						if test.outcome != callst.OutcomeComplete {
							want, status = "", 0
						}
						if result.Outcome != test.outcome || h.status != status || h.String() != want {
							t.Errorf("outcome %v, status %d, body %q, want %v, %d, %q", result.Outcome, h.status, h.String(), test.outcome, status, want)
						}
						if sent, _ := h.sends(); len(sent) != 1 {
							t.Errorf("sent to %q, want one send", sent)
						}
					})
				})
			}
		}
	}
}

// Guards against the beginning of an error response, whose endpoint was given up before it
// was complete, reaching the caller as if it were all of it.
func TestPartOfErrorIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(reply{status: status, text: "half", hangs: true, breaks: true})
				result := h.serve(t.Context(), desc.KindResumableStream, 2)
				if result.Outcome != callst.OutcomeUnknown || h.status != 0 || h.Len() > 0 {
					t.Errorf("outcome %v, status %d, body %q, want an unknown outcome and nothing sent", result.Outcome, h.status, h.String())
				}
				expectNoLoad(t, h)
			})
		})
	}
}
