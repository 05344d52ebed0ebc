// Package confsv is the stand-in for the platform: the configuration service
// (read and long-poll watch) and the lagging host list.
package confsv

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxWatch = 30 * time.Second

// Server is the platform, safe for concurrent use.
type Server struct {
	mu           sync.Mutex
	changed      chan struct{}
	values       map[string][]byte
	frozen       map[string][]byte // an older state to serve, or nil
	revision     uint64
	hosts        []HostRow
	hostRevision uint64
	hostLag      time.Duration
	down         bool
	calls        int
	listener     net.Listener
}

// HostRow is one row of the host list.
type HostRow struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`    // entry or agent
	Service    string `json:"service"` // of an agent's endpoint
	Address    string `json:"address"` // host:port of the process
	State      string `json:"state"`   // live or leaving
}

// New starts the platform stand-in.
func New(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: listen on %s: %w", addr, err)
	}
	s := &Server{values: map[string][]byte{}, changed: make(chan struct{}), listener: ln}
	srv := &fasthttp.Server{Handler: fasthttp.CompressHandler(s.handle), NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0)}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the platform.
func (s *Server) Close() { _ = s.listener.Close() }

// Put stores values in one step, as the upload of a version does.
func (s *Server) Put(values map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string][]byte, len(s.values)+len(values))
	for k, v := range s.values {
		next[k] = v
	}
	for k, v := range values {
		next[k] = v
	}
	s.values = next
	s.revision++
	s.notifyWatches()
}

// Value returns a stored value, or nil.
func (s *Server) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// SetDown makes every call fail, or ends that.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// Freeze serves the present state until Thaw, whatever is put meanwhile.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = s.values
}

// Thaw ends Freeze.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	s.revision++
	s.notifyWatches()
}

// SetHosts replaces the host list. Readers see it after the lag.
func (s *Server) SetHosts(rows []HostRow) {
	s.mu.Lock()
	lag := s.hostLag
	s.mu.Unlock()
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if slices.Equal(s.hosts, rows) {
			return
		}
		s.hosts = append([]HostRow(nil), rows...)
		s.hostRevision++
		s.notifyWatches()
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// SetHostLag sets how late the host list tells the truth.
func (s *Server) SetHostLag(d time.Duration) {
	s.mu.Lock()
	s.hostLag = d
	s.mu.Unlock()
}

// Calls returns the number of configuration calls so far. A waiting watch is
// one call.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	wait := min(maxWatch, time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms"))*time.Millisecond)
	switch {
	case path == "/hosts":
		s.serveHosts(ctx, after, wait)
	case strings.HasPrefix(path, "/values/"):
		s.serveValue(ctx, strings.TrimPrefix(path, "/values/"), after, wait)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// awaitRevision returns the revision once it exceeds after or the wait is over.
func (s *Server) awaitRevision(after uint64, wait time.Duration, rev func() uint64) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		now, changed, down := rev(), s.changed, s.down
		s.mu.Unlock()
		if now > after || down {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}

func (s *Server) serveValue(ctx *fasthttp.RequestCtx, key string, after uint64, wait time.Duration) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	s.awaitRevision(after, wait, func() uint64 { return s.revision })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		ctx.Error("configuration service is down", fasthttp.StatusServiceUnavailable)
		return
	}
	values := s.values
	if s.frozen != nil {
		values = s.frozen
	}
	v, ok := values[key]
	if !ok {
		ctx.Error("no such value", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("X-Revision", fmt.Sprint(s.revision))
	ctx.SetBody(v)
}

func (s *Server) serveHosts(ctx *fasthttp.RequestCtx, after uint64, wait time.Duration) {
	s.awaitRevision(after, wait, func() uint64 { return s.hostRevision })
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := json.Marshal(struct {
		Revision uint64    `json:"revision"`
		Hosts    []HostRow `json:"hosts"`
	}{s.hostRevision, s.hosts})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(out)
}
