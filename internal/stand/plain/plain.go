// Package plain is a stand-in (fake) for a plain service, one that is not a model
// engine. It echoes requests and counts how often each call ran.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Server is one worker of the service. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	runs     map[string]int
	delay    time.Duration
	breakAt  BreakPoint
	response string // raw, instead of its own
	listener net.Listener
}

// BreakPoint is the point at which the worker closes the connection of a call without
// a response.
type BreakPoint uint8

// The values of BreakPoint. A call broken before its run is not counted in RunCounts,
// one broken after it is.
const (
	BreakNever BreakPoint = iota
	BreakBeforeRun
	BreakAfterRun
)

// Both are more than an entry accepts.
const (
	maxBodyBytes = 128 << 20
	maxHeadBytes = 64 << 10
)

// New starts a worker. Calls are counted by their X-Call header.
func New(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in service: listen on %s: %w", addr, err)
	}
	s := &Server{runs: map[string]int{}, listener: ln}
	srv := &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeadBytes, NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0)}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

// RunCounts returns how often each call ran, by X-Call header.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// SetDelay sets the duration of every call.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// SetBreakPoint closes the connection of every further call at the point.
func (s *Server) SetBreakPoint(at BreakPoint) {
	s.mu.Lock()
	s.breakAt = at
	s.mu.Unlock()
}

// SetRawResponse makes the worker run every further call, write these bytes as the response and
// close the connection. With an empty string it responds as usual.
func (s *Server) SetRawResponse(response string) {
	s.mu.Lock()
	s.response = response
	s.mu.Unlock()
}

type echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Call   string `json:"call"`
	Body   string `json:"body"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	call := string(ctx.Request.Header.Peek("X-Call"))
	s.mu.Lock()
	delay, at, response := s.delay, s.breakAt, s.response
	if at != BreakBeforeRun {
		s.runs[call]++
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if at != BreakNever || response != "" {
		_, _ = io.WriteString(ctx.Conn(), response)
		_ = ctx.Conn().Close()
		return
	}
	out, err := json.Marshal(echo{
		Method: string(ctx.Method()), Path: string(ctx.RequestURI()), Call: call, Body: string(ctx.PostBody()),
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set("X-Worker", s.Addr())
	ctx.SetContentType("application/json")
	ctx.SetBody(out)
}
