package invoke

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	errorBody   = `{"error":"overloaded"}`
	errorFields = "Content-Type: application/json\r\nContent-Length: 22\r\n\r\n" + errorBody
)

// resumeRefusals are answers to a request to resume a stream that do not continue it.
var resumeRefusals = []struct{ name, raw string }{
	{"503", "HTTP/1.1 503 Service Unavailable\r\n" + errorFields},
	{"500", "HTTP/1.1 500 Internal Server Error\r\n" + errorFields},
	{"200 without events", "HTTP/1.1 200 OK\r\n" + errorFields},
	{"503 with events", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/event-stream\r\n\r\ndata: " + errorBody + "\n\ndata: [DONE]\n\n"},
}

// Guards against an engine's refusal to resume a stream that becomes part of the stream, or
// its end.
func TestRefusedResume(t *testing.T) {
	for _, refusal := range resumeRefusals {
		for name, adopted := range map[string]bool{"": false, ", adopted": true} {
			t.Run(refusal.name+name, func(t *testing.T) {
				t.Parallel()
				end, head, frames := runRefused(t, refusal.raw, 1<<30, Job{Offer: streamOffer(), Adopted: adopted})
				expectResponse(t, end, head, frames, peerpb.Outcome_OUTCOME_INTERRUPTED, "one")
			})
			t.Run(refusal.name+name+", resumed later", func(t *testing.T) {
				t.Parallel()
				end, head, frames := runRefused(t, refusal.raw, 1, Job{Offer: streamOffer(), Adopted: adopted})
				expectResponse(t, end, head, frames, peerpb.Outcome_OUTCOME_COMPLETE, "one", "two")
			})
		}
	}
}

// Guards against an engine's refusal to continue a whole response that is taken for the
// response.
func TestRefusedResumeOfWholeResponse(t *testing.T) {
	addr := rawEndpoint(t, func(*http.Request) rawResponse { return rawResponse{data: resumeRefusals[0].raw} })
	offer := streamOffer()
	offer.Stream = false
	end, head, frames := runRaw(RunModel, Job{Offer: offer, Endpoint: addr, Adopted: true})
	if end.Outcome != peerpb.Outcome_OUTCOME_INTERRUPTED || head != nil || len(frames) > 0 {
		t.Errorf("%v (%s), head %v, frames %q; want interrupted and no response", end.Outcome, end.Reason, head, frames)
	}
}

func streamOffer() *peerpb.Offer {
	return &peerpb.Offer{Attempt: "a", Method: http.MethodPost, Target: "/", Stream: true, DeadlineMs: 1000}
}

// runRefused runs a stream that breaks off inside its second event, and whose engine then
// refuses to resume it this many times.
func runRefused(t *testing.T, refusal string, times int32, j Job) (*peerpb.End, *peerpb.Head, []string) {
	t.Helper()
	var requests atomic.Int32
	j.Endpoint = rawEndpoint(t, func(*http.Request) rawResponse {
		switch n := requests.Add(1); {
		case n == 1:
			return rawResponse{data: streamHead + "data: one\n\ndata: t"}
		case n <= 1+times:
			return rawResponse{data: refusal}
		default:
			return rawResponse{data: streamHead + "data: two\n\ndata: [DONE]\n\n"}
		}
	})
	return runRaw(RunModel, j)
}

func expectResponse(t *testing.T, end *peerpb.End, head *peerpb.Head, frames []string, outcome peerpb.Outcome, want ...string) {
	t.Helper()
	if end.Outcome != outcome || head.GetStatus() != http.StatusOK || !slices.Equal(frames, want) {
		t.Errorf("%v (%s), status %d, frames %q; want %v, 200, %q", end.Outcome, end.Reason, head.GetStatus(), frames, outcome, want)
	}
}
