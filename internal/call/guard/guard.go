// Package guard bounds what clients outside this project's control can hold of a process:
// connections and the memory of request heads. A port that has no room left closes the
// connection that its client misses least, rather than refusing whoever comes next.
package guard

import (
	"container/list"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/ops/metric"
)

// Sizes by which memory is counted.
const (
	// ConnBytes is the memory of a connection: its goroutines, its read and write buffers and
	// the part of a body that memlim does not count.
	ConnBytes = 24 << 10
	// fieldBytes is the memory of one header field beyond its text, as it was received and as
	// it is forwarded: two entries in maps of net/http and their strings.
	fieldBytes = 256
	textFactor = 2 // a head's text is held as received and as forwarded
	// HeadSlack is what a head may have beyond the limit on its fields: the rest of the request
	// line, white space that does not count, and 4 KB that the server reads ahead.
	HeadSlack = 8 << 10
)

const (
	// slowAfter is for how long a connection must have been receiving a head or a body, or have
	// sent nothing of a response, before it can be closed for others. A request within the
	// limits crosses half the world in less.
	slowAfter = time.Second
	// silentAfter is for how long a connection with heartbeats, which are due each second, must
	// have sent nothing before it can be closed for others.
	silentAfter = 3 * time.Second
	// DefaultWriteTimeout ends the response to a client that takes nothing of it for so long. A
	// client that reads takes something each second, as streams have events of that pace.
	DefaultWriteTimeout = 30 * time.Second
	// lingerTime is for how long what a refused client still sends is read and dropped, so that
	// the refusal reaches it.
	lingerTime  = 500 * time.Millisecond
	logInterval = time.Second // between two log lines of a port
)

// Reasons for turning a client away, as in metrics and log lines.
const (
	reasonNoConns    = "no_connections" // all are in use by calls
	reasonIdle       = "idle"           // the longest idle connection, closed for a new one
	reasonSlow       = "slow"           // the slowest one of the sender with the most slow ones
	reasonMost       = "most"           // of the sender with the most connections that send a request
	reasonHeadLarge  = "head_large"
	reasonHeadMemory = "head_memory" // the memory for heads is in use
	reasonHeadLate   = "head_late"   // not complete at the deadline
	reasonNotReading = "not_reading" // nothing of a response was taken for the WriteTimeout
)

// Config is what the clients of one port may hold.
type Config struct {
	Port      string     // name in metrics and log lines
	Conns     int        // at most open at the same time
	HeadBytes int64      // memory of all heads that are held
	HeadLimit func() int // size in bytes that a head may have, HeadSlack aside; nil for a port without HTTP
	// WriteTimeout is for how long a client may take nothing of a response.
	WriteTimeout time.Duration
	Metrics      *metric.Set
	Log          *zap.Logger
}

// Port admits the connections of one listener. It is safe for concurrent use.
type Port struct {
	Config
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	idle     *list.List // of *Conn, the longest idle first
	heads    int64      // memory that counts for heads
	lastLog  time.Time
	unlogged int // clients turned away since
}

// New returns a Port without connections.
func New(c Config) *Port {
	return &Port{Config: c, conns: map[*Conn]struct{}{}, idle: list.New()}
}

// Listen returns a listener whose connections are those of ln that the port admits.
func (p *Port) Listen(ln net.Listener) net.Listener { return listener{ln, p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection that is admitted. It closes the others.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw, time.Now()); c != nil {
			return c, nil
		}
		_ = raw.Close() // a client that is gone is no matter
	}
}

// admit returns nil if there is no connection that could be closed for this one.
func (p *Port) admit(raw net.Conn, now time.Time) *Conn {
	host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		host = raw.RemoteAddr().String()
	}
	c := &Conn{Conn: raw, port: p, sender: host, since: now}
	p.mu.Lock()
	var closed *Conn
	why := reasonNoConns
	if len(p.conns) >= p.Conns {
		if closed, why = p.choose(now, host, true); closed == nil {
			p.mu.Unlock()
			p.Report(now, reasonNoConns, c.sender)
			return nil
		}
		p.remove(closed)
	}
	p.conns[c] = struct{}{}
	c.place = p.idle.PushBack(c)
	p.mu.Unlock()
	if closed != nil {
		p.Report(now, why, closed.sender)
		_ = closed.Conn.Close()
	}
	return c
}

// relieve closes a connection that gives way for a sender, if there is one.
func (p *Port) relieve(now time.Time, sender string) {
	p.mu.Lock()
	c, why := p.choose(now, sender, false)
	if c != nil {
		p.remove(c)
	}
	p.mu.Unlock()
	if c != nil {
		p.Report(now, why, c.sender)
		_ = c.Conn.Close()
	}
}

// choose returns the connection to close next for a sender and why: the longest idle one if asked
// for, then the slowest of the sender that has the most slow ones, then of a sender that has at least
// two connections more that send than this sender has at all. p.mu must be held.
func (p *Port) choose(now time.Time, sender string, idle bool) (c *Conn, why string) {
	if first := p.idle.Front(); idle && first != nil {
		if c, isConn := first.Value.(*Conn); isConn {
			return c, reasonIdle
		}
	}
	if c := p.slowest(now, 1, func(c *Conn) bool { return c.slow(now) }); c != nil {
		return c, reasonSlow
	}
	own := 0
	for c := range p.conns {
		if c.sender == sender {
			own++
		}
	}
	return p.slowest(now, own+2, (*Conn).sending), reasonMost
}

// slowest returns the slowest of the connections that count, of the sender that has the most of
// these, nil if no sender has a number of them. p.mu must be held.
func (p *Port) slowest(now time.Time, least int, counts func(*Conn) bool) (slowest *Conn) {
	count := map[string]int{}
	for c := range p.conns {
		if counts(c) {
			count[c.sender]++
		}
	}
	for c := range p.conns {
		n := count[c.sender]
		if n < least || !counts(c) {
			continue
		}
		if slowest == nil || n > count[slowest.sender] || n == count[slowest.sender] && c.rate(now) < slowest.rate(now) {
			slowest = c
		}
	}
	return slowest
}

// remove ends the counting of a connection. p.mu must be held.
func (p *Port) remove(c *Conn) {
	if _, counted := p.conns[c]; !counted {
		return
	}
	delete(p.conns, c)
	c.leaveIdle()
	p.heads -= c.headMemory
	c.headMemory = 0
}

// Report counts a client that was turned away, and logs it if none was logged lately.
func (p *Port) Report(now time.Time, why, sender string) {
	p.Metrics.TurnedAway.WithLabelValues(p.Port, why).Inc()
	p.mu.Lock()
	p.unlogged++
	count, conns, heads, due := p.unlogged, len(p.conns), p.heads, now.Sub(p.lastLog) >= logInterval
	if due {
		p.lastLog, p.unlogged = now, 0
	}
	p.mu.Unlock()
	if due {
		p.Log.Warn("client_turned_away", zap.String("port", p.Port), zap.String("why", why), zap.String("sender", sender), zap.Int("count", count),
			zap.Int("connections", conns), zap.Int("most_connections", p.Conns), zap.Int64("head_bytes", heads), zap.Int64("most_head_bytes", p.HeadBytes))
	}
}
