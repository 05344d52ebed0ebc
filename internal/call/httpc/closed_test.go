package httpc

import (
	"net"
	"testing"
	"time"
)

// A host that refuses or closes new connections serves nobody; one that says nothing may.
func TestClosed(t *testing.T) {
	for _, test := range []struct {
		name   string
		serve  func(net.Listener)
		closed bool
	}{
		{"refuses", func(ln net.Listener) { _ = ln.Close() }, true},
		{"closes what it accepts", func(ln net.Listener) {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_ = c.Close()
			}
		}, true},
		{"waits for a request", func(ln net.Listener) { _, _ = ln.Accept() }, false},
		{"does not accept", func(net.Listener) {}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			served := make(chan struct{})
			go func() { defer close(served); test.serve(ln) }()
			if test.name == "refuses" {
				<-served
			}
			if closed := New(Config{DialTimeout: time.Second}).Closed(t.Context(), ln.Addr().String()); closed != test.closed {
				t.Errorf("closed: %v, want %v", closed, test.closed)
			}
		})
	}
}
