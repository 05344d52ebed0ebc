package httpc

import (
	"net"
	"testing"
	"time"
)

// resetNext resets the next connection. It returns false if there is none.
func resetNext(ln net.Listener) bool {
	c, err := ln.Accept()
	if err != nil {
		return false
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	return c.Close() == nil
}

// Guards against calls that are blamed for a crash, as an endpoint at its limit of connections was
// taken for one that is down.
//
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
		{"resets what it accepts, as it is at its limit of connections", func(ln net.Listener) {
			for resetNext(ln) {
				continue
			}
		}, false},
		{"resets one as it ends, then refuses", func(ln net.Listener) {
			resetNext(ln)
			_ = ln.Close()
		}, true},
		{"resets one, then has room", func(ln net.Listener) {
			resetNext(ln)
			_, _ = ln.Accept()
		}, false},
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
