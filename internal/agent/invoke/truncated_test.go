package invoke

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	lengthResponse  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Worker: one\r\nContent-Length: 11\r\n\r\n{\"ok\":true}"
	chunkedResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"ok\"\r\n6\r\n:true}\r\n0\r\n\r\n"
	closedResponse  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"ok\":true}"
	chunkedStream   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\nb\r\ndata: two\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	closedStream    = streamHead + "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
)

// cutResponse is a response that an endpoint cuts.
type cutResponse struct {
	name, raw string
	run       func(context.Context, Job) *peerpb.End
	stream    bool
	isWhole   func(cut int) bool // whether the first bytes of raw are the whole response
}

func cutResponses() []cutResponse {
	from := func(raw, last string) func(int) bool {
		end := strings.Index(raw, last) + len(last)
		return func(cut int) bool { return cut >= end }
	}
	var out []cutResponse
	for kind, run := range map[string]func(context.Context, Job) *peerpb.End{"plain": RunPlain, "engine": RunModel} {
		out = append(out,
			cutResponse{kind + ", length", lengthResponse, run, false, from(lengthResponse, "true}")},
			cutResponse{kind + ", chunks", chunkedResponse, run, false, from(chunkedResponse, "0\r\n")},
			cutResponse{kind + ", until closed", closedResponse, run, false, from(closedResponse, "\r\n\r\n")})
	}
	return append(out,
		cutResponse{"stream, chunks", chunkedStream, RunModel, true, from(chunkedStream, "[DONE]\n\n")},
		cutResponse{"stream, until closed", closedStream, RunModel, true, from(closedStream, "[DONE]\n\n")})
}

// Guards against a response that was cut, in its head or body, and that looks whole.
func TestTruncatedResponses(t *testing.T) {
	for _, c := range cutResponses() {
		for name, reset := range map[string]bool{"FIN": false, "RST": true} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				t.Parallel()
				forEachCut(len(c.raw), func(cut int) { expectTruncated(t, c, cut, reset) })
			})
		}
	}
}

// forEachCut calls check for each cut below the end, some at a time.
func forEachCut(end int, check func(cut int)) {
	var workers sync.WaitGroup
	var next atomic.Int64
	for range 8 {
		workers.Go(func() {
			for cut := int(next.Add(1)) - 1; cut < end; cut = int(next.Add(1)) - 1 {
				check(cut)
			}
		})
	}
	workers.Wait()
}

// expectTruncated checks the outcome of a call whose response was cut.
func expectTruncated(t *testing.T, c cutResponse, cut int, reset bool) {
	t.Helper()
	end, head, frames := runCut(t, c, cut, reset)
	at := fmt.Sprintf("cut after %q", c.raw[max(0, cut-20):cut])
	if end.Outcome == peerpb.Outcome_OUTCOME_COMPLETE && !c.isWhole(cut) {
		t.Errorf("%s: complete with status %d, frames %q", at, head.GetStatus(), frames)
	}
	if inHead := cut < strings.Index(c.raw, "\r\n\r\n")+len("\r\n\r\n"); inHead && (head != nil || len(frames) > 0) {
		t.Errorf("%s: head %v, frames %q", at, head, frames)
	}
	for i, frame := range frames {
		if c.stream && frame != []string{"one", "two"}[i] {
			t.Errorf("%s: frames %q", at, frames)
		}
	}
}

// runCut runs a call whose endpoint writes only the first bytes of the response.
func runCut(t *testing.T, c cutResponse, cut int, reset bool) (*peerpb.End, *peerpb.Head, []string) {
	t.Helper()
	addr := rawEndpoint(t, func(r *http.Request) rawResponse {
		if r.Method == http.MethodGet { // a resume
			return rawResponse{data: "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}
		}
		return rawResponse{data: c.raw[:cut], reset: reset}
	})
	offer := streamOffer()
	offer.Stream = c.stream
	return runRaw(c.run, Job{Offer: offer, Endpoint: addr})
}

// Guards against an engine that crashes while it writes the head of a response
// without being counted.
func TestCrashInHeadIsCounted(t *testing.T) {
	for _, c := range cutResponses() {
		if strings.HasPrefix(c.name, "plain") {
			continue
		}
		for name, reset := range map[string]bool{"FIN": false, "RST": true} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				t.Parallel()
				forEachCut(strings.Index(c.raw, "\r\n\r\n")+len("\r\n\r\n"), func(cut int) {
					end, _, _ := runCut(t, c, cut, reset)
					if !end.BrokeAtStart {
						t.Errorf("cut after %q: not counted as broken at its start: %s", c.raw[max(0, cut-20):cut], end.Reason)
					}
				})
			})
		}
	}
}

// Guards against an agent that ends because a response declares a length beyond any memory.
func TestDeclaredLengthIsBounded(t *testing.T) {
	for kind, run := range map[string]func(context.Context, Job) *peerpb.End{"plain": RunPlain, "engine": RunModel} {
		t.Run(kind, func(t *testing.T) {
			addr := rawEndpoint(t, func(*http.Request) rawResponse {
				return rawResponse{data: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4000000000000000000\r\n\r\nx"}
			})
			offer := streamOffer()
			offer.Stream = false
			if end, _, _ := runRaw(run, Job{Offer: offer, Endpoint: addr}); end.Outcome != peerpb.Outcome_OUTCOME_INTERRUPTED {
				t.Errorf("%v (%s), want interrupted", end.Outcome, end.Reason)
			}
		})
	}
}
