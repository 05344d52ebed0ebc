package invoke

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Guards against a plain endpoint's crash that looks like any lost response, and against a
// reset connection that looks like a crash.
func TestCrashOfPlainEndpoint(t *testing.T) {
	for name, crashes := range map[string]bool{"the endpoint ends": true, "the connection is closed": false} {
		for _, noRepeat := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				ln, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = ln.Close() })
				go func() {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = io.ReadAtLeast(c, make([]byte, 1), 1)
					if crashes {
						_ = ln.Close()
					}
					_ = c.Close()
				}()
				end := RunPlain(context.Background(), Job{
					Offer:    &peerpb.Offer{Attempt: "a", Method: "POST", Target: "/", NoRepeat: noRepeat, DeadlineMs: 1000},
					Endpoint: ln.Addr().String(), Buffer: buffer.New("ws", 0), Bodies: memlim.New(64 << 20),
				})
				if end.BrokeAtStart != crashes || end.Outcome == peerpb.Outcome_OUTCOME_COMPLETE {
					t.Errorf("%v, broke at start: %v, want %v", end.Outcome, end.BrokeAtStart, crashes)
				}
			})
		}
	}
}
