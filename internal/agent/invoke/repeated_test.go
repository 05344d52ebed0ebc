package invoke

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Guards against an earlier refusal, written once more on a connection that the endpoint
// keeps open, that is taken for the response to the next call.
func TestRepeatedRefusal(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 80 * time.Millisecond} {
		for _, c := range cutResponses() {
			t.Run(fmt.Sprint(c.name, ", copy after ", delay), func(t *testing.T) {
				t.Parallel()
				addr := repeatingEndpoint(t, delay, "HTTP/1.1 503 Service Unavailable\r\n"+errorFields, lengthResponse)
				offer := streamOffer()
				offer.Stream = c.stream
				for _, want := range []uint32{http.StatusServiceUnavailable, http.StatusOK} {
					end, head, _ := runRaw(c.run, Job{Offer: offer, Endpoint: addr})
					if end.Outcome != peerpb.Outcome_OUTCOME_COMPLETE || head.GetStatus() != want {
						t.Errorf("%v (%s), status %d; want complete, %d", end.Outcome, end.Reason, head.GetStatus(), want)
					}
				}
			})
		}
	}
}

// repeatingEndpoint returns the address of a server that keeps its connections, answers its
// first request with the first response and all others with the other one, and writes each
// response once more after the delay.
func repeatingEndpoint(t *testing.T, delay time.Duration, first, other string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var requests atomic.Int32
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			response := other
			if requests.Add(1) == 1 {
				response = first
			}
			_, _ = io.WriteString(conn, response)
			time.AfterFunc(delay, func() { _, _ = io.WriteString(conn, response) })
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}
