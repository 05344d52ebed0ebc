// Package rawsv is a stand-in for a server that answers with any bytes, for tests of what is no
// HTTP response.
package rawsv

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// Server answers the first request of each connection, and reads what else the client sends until
// the client closes the connection. It is safe for concurrent use.
type Server struct {
	Addr   string // host:port
	t      testing.TB
	answer func(*http.Request) string

	mu       sync.Mutex
	requests []*http.Request
	open     int // connections with a request that their client has not closed
}

// Always returns the same answer to all requests.
func Always(answer string) func(*http.Request) string {
	return func(*http.Request) string { return answer }
}

// New starts a server that accepts connections until the end of the test.
func New(t testing.TB, answer func(*http.Request) string) *Server {
	t.Helper()
	ln := listen(t)
	s := &Server{Addr: ln.Addr().String(), t: t, answer: answer}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// NewCrashing starts a server that stops as it answers its first request, and returns its address.
func NewCrashing(t testing.TB, answer string) (addr string) {
	t.Helper()
	ln := listen(t)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_ = ln.Close()
			_, _ = io.WriteString(c, answer)
		}
	}()
	return ln.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.count(1, r)
	defer s.count(-1)
	_, _ = io.WriteString(c, s.answer(r))
	_, _ = io.Copy(io.Discard, in)
}

func (s *Server) count(open int, requests ...*http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += open
	s.requests = append(s.requests, requests...)
}

// Requests returns the requests so far. Their bodies have been read.
func (s *Server) Requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// ExpectClosed fails the test if a client does not close its connection in time.
func (s *Server) ExpectClosed(timeout time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open := s.open
		s.mu.Unlock()
		if open == 0 {
			return
		}
	}
	s.t.Error("the connection stays open after an answer that is none")
}
