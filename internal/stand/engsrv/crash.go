package engsrv

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/stand/engsim"
)

const relistenPause = 10 * time.Millisecond // while the port is still in use

// CrashCounts returns how many prompts with the crash marker were submitted and how
// often the engine crashed, and whether it is down now.
func (s *Server) CrashCounts() (submitted, crashes int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marked, s.crashes, s.down
}

// trackConn keeps the open connections, which a crash closes.
func (s *Server) trackConn(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == fasthttp.StateClosed || state == fasthttp.StateHijacked:
		delete(s.conns, conn)
	case s.down:
		_ = conn.Close()
	default:
		s.conns[conn] = struct{}{}
	}
}

// crash closes all connections, forgets all streams and refuses connections until the
// downtime is over. The caller holds the lock.
func (s *Server) crash() {
	s.crashes++
	s.down = true
	s.endSpans()
	for _, st := range s.streams {
		st.done, st.canceled = true, true
	}
	s.streams = map[string]*stream{}
	s.engine = engsim.New(s.cfg.Engine)
	s.loadHistory, s.cacheEvents, s.fence, s.loadedModels = nil, nil, 0, []string{s.cfg.Model}
	s.boot = rand.Uint64()
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.changed.Broadcast()
	time.AfterFunc(s.cfg.CrashDowntime, s.restart)
}

// restart listens again at the same address, cold.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		time.AfterFunc(relistenPause, s.restart)
		return
	}
	s.listener, s.down = ln, false
	go func() { _ = s.http.Serve(ln) }()
}
