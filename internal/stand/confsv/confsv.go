// Package confsv is a stand-in (fake) for the platform. It serves the configuration
// service, with reads and long-poll watches of values, and the host list, whose
// changes can be delayed.
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

// maxWatch is the longest wait of a long poll, whatever the request asks for.
const maxWatch = 30 * time.Second

// Server is the stand-in platform. It is safe for concurrent use.
type Server struct {
	mu             sync.Mutex
	changed        chan struct{} // closed and replaced at each change
	values         map[string][]byte
	frozen         map[string][]byte // values served since Freeze, or nil
	epoch          uint64            // rises with each Restore; 0 if the platform names none
	revision       uint64
	hosts          []HostRow
	hostRevision   uint64
	hostLag        time.Duration
	down           bool
	configRequests int // requests to the configuration service
	listener       net.Listener
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

// New starts a stand-in platform on the address.
func New(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: listen on %s: %w", addr, err)
	}
	s := &Server{values: map[string][]byte{}, changed: make(chan struct{}), epoch: 1, listener: ln}
	srv := &fasthttp.Server{Handler: fasthttp.CompressHandler(s.handle), NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0)}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

// Put stores values atomically, as the upload of a version does.
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

// SetDown makes every read of a configuration value fail, or ends that. The host
// list stays available.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// Freeze keeps serving the present values until Unfreeze, regardless of later Puts.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = s.values
}

// Unfreeze serves the latest values again.
func (s *Server) Unfreeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	s.revision++
	s.notifyWatches()
}

// SetHosts replaces the host list. The change becomes visible after the host lag.
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

// SetHostLag sets the delay until a change of the host list becomes visible.
func (s *Server) SetHostLag(d time.Duration) {
	s.mu.Lock()
	s.hostLag = d
	s.mu.Unlock()
}

// Backup is a copy of what the platform stores.
type Backup struct {
	values                 map[string][]byte
	hosts                  []HostRow
	revision, hostRevision uint64
}

// Backup returns a copy of the present state.
func (s *Server) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{values: s.values, hosts: s.hosts, revision: s.revision, hostRevision: s.hostRevision}
}

// Restore goes back to a copy. Later changes are lost, and their revisions are given out
// again.
func (s *Server) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.hosts, s.revision, s.hostRevision = b.values, b.hosts, b.revision, b.hostRevision
	if s.epoch > 0 {
		s.epoch++
	}
	s.notifyWatches()
}

// HideEpoch makes the platform name no epoch.
func (s *Server) HideEpoch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = 0
}

// ConfigRequests returns the number of requests to the configuration service so far. A long
// poll counts once, when it begins.
func (s *Server) ConfigRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configRequests
}

// notifyWatches makes all long polls check for a change. The caller holds the lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	after := position{epoch: uint64(ctx.QueryArgs().GetUintOrZero("epoch")), revision: uint64(ctx.QueryArgs().GetUintOrZero("after"))}
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

// position is up to where a client has read.
type position struct{ epoch, revision uint64 }

// awaitRevision returns once the revision exceeds that of after, the epoch is another one,
// the wait is over or the configuration service is down.
func (s *Server) awaitRevision(after position, wait time.Duration, rev func() uint64) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		current, epoch, changed, down := rev(), s.epoch, s.changed, s.down
		s.mu.Unlock()
		if current > after.revision || after.epoch > 0 && epoch != after.epoch || down {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		}
	}
}

func (s *Server) serveValue(ctx *fasthttp.RequestCtx, key string, after position, wait time.Duration) {
	s.mu.Lock()
	s.configRequests++
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
	if s.epoch > 0 {
		ctx.Response.Header.Set("X-Epoch", fmt.Sprint(s.epoch))
	}
	ctx.SetBody(v)
}

func (s *Server) serveHosts(ctx *fasthttp.RequestCtx, after position, wait time.Duration) {
	s.awaitRevision(after, wait, func() uint64 { return s.hostRevision })
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := json.Marshal(struct {
		Epoch    uint64    `json:"epoch,omitempty"`
		Revision uint64    `json:"revision"`
		Hosts    []HostRow `json:"hosts"`
	}{s.epoch, s.hostRevision, s.hosts})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(out)
}
