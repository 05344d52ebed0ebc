package invoke

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// An engine that does not listen has not run the call, and one that closes its connection
// before the first frame may have crashed under it. An entry must not confuse these.
func TestEndOfFailedCalls(t *testing.T) {
	const notRun, interrupted = peerpb.Outcome_OUTCOME_NOT_RUN, peerpb.Outcome_OUTCOME_INTERRUPTED
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc // nil: nothing listens
		stream  bool
		outcome peerpb.Outcome
		broke   bool
	}{
		{"stream, nothing listens", nil, true, notRun, false},
		{"whole response, nothing listens", nil, false, notRun, false},
		{"stream closed before its head", closeAfter(""), true, interrupted, true},
		{"stream closed after its head", closeAfter("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"), true, interrupted, true},
		{"stream closed after an event", closeAfter("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n"), true, interrupted, false},
		{"whole response closed before its head", closeAfter(""), false, interrupted, true},
		{"whole response above the limit", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxResponseBytes+1)) }, false, interrupted, false},
		{"engine is silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false, interrupted, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			end := RunModel(context.Background(), Job{
				Offer:    &peerpb.Offer{Attempt: "a", Method: http.MethodPost, Target: "/", Stream: test.stream, DeadlineMs: 300},
				Endpoint: endpointOf(t, test.handler), Buffer: buffer.New("ws", 0), Bodies: memlim.New(64 << 20), OnFrame: func(uint64, time.Duration) {},
			})
			if end.Outcome != test.outcome || end.BrokeAtStart != test.broke || !end.Rerun {
				t.Errorf("%v, broke at start: %v, rerun: %v; want %v, %v, true (%s)", end.Outcome, end.BrokeAtStart, end.Rerun, test.outcome, test.broke, end.Reason)
			}
		})
	}
}

// endpointOf returns the address of a server with the handler. It answers 404 to requests to
// resume a stream, as an engine does that has started anew.
func endpointOf(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	if handler == nil {
		return boundAddress(t)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// boundAddress returns an address that nothing listens at and that no other test gets.
func boundAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	addr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*unix.SockaddrInet4).Port)
}

// closeAfter returns a handler that writes raw bytes and closes the connection.
func closeAfter(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = conn.Write([]byte(raw))
			_ = conn.Close()
		}
	}
}
