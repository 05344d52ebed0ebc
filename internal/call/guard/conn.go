package guard

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is an admitted connection.
type Conn struct {
	net.Conn
	port   *Port
	sender string // IP

	// These fields are guarded by port.mu.
	place      *list.Element // in port.idle, nil while a request is received or served
	phase      phase
	since      time.Time // begin of the phase
	headMemory int64     // that counts for the head received last

	head     headScan     // of the head that is being received; used by the reader only
	refused  bool         // nothing is read any more; used by the reader only
	lingers  bool         // used by the server's goroutine only
	received atomic.Int64 // bytes since the phase began
	lastRead atomic.Int64 // Unix time in ns
	writing  atomic.Int64 // begin of the write in progress, Unix time in ns, 0 for none
}

// phase is what a connection's client does.
type phase uint8

const (
	phaseIdle    phase = iota // nothing of a request has been read
	phaseHead                 // sends a head
	phaseBody                 // sends a body, or the server has not begun to serve the request
	phaseServing              // waits for a response or reads it
)

// State is an http.Server's ConnState.
func State(c net.Conn, state http.ConnState) {
	g, isGuarded := c.(*Conn)
	if !isGuarded {
		return
	}
	switch state {
	case http.StateActive:
		g.enter(phaseServing)
	case http.StateIdle:
		g.Idle()
	case http.StateClosed, http.StateHijacked:
		g.Forget()
	case http.StateNew:
	}
}

// HeadMemory returns the memory in bytes that the head of the request being served counts for.
func (c *Conn) HeadMemory() int64 {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.headMemory
}

// Idle tells that a response was sent and the next request is awaited.
func (c *Conn) Idle() {
	c.head = headScan{}
	c.enter(phaseIdle)
}

// Ended tells that the response at a connection was sent, or that the connection is closed. It is
// for servers other than http.Server.
func Ended(c net.Conn, closed bool) {
	g, isGuarded := c.(*Conn)
	switch {
	case !isGuarded:
	case closed:
		g.Forget()
	default:
		g.Idle()
	}
}

// BeginBody tells that a request's body is being read from now on.
func (c *Conn) BeginBody() { c.enter(phaseBody) }

// EndBody tells that the request is served and no body is read for now.
func (c *Conn) EndBody() { c.enter(phaseServing) }

// RelievePort closes another connection of the port that is slow, if there is one, so that the memory
// that its request holds becomes free.
func (c *Conn) RelievePort(now time.Time) { c.port.relieve(now, c.sender) }

func (c *Conn) enter(next phase) {
	p := c.port
	p.mu.Lock()
	defer p.mu.Unlock()
	c.phase, c.since = next, time.Now()
	c.received.Store(0)
	if _, counted := p.conns[c]; !counted {
		return
	}
	if next != phaseIdle {
		c.leaveIdle()
		return
	}
	p.heads -= c.headMemory
	c.headMemory = 0
	if c.place == nil {
		c.place = p.idle.PushBack(c)
	}
}

// leaveIdle requires port.mu.
func (c *Conn) leaveIdle() {
	if c.place != nil {
		c.port.idle.Remove(c.place)
		c.place = nil
	}
}

// Forget ends the counting of a connection that is closed.
func (c *Conn) Forget() {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.port.remove(c)
}

// slow reports whether the client sends a request, or takes none of a response, for some time.
// port.mu must be held.
func (c *Conn) slow(now time.Time) bool {
	if c.port.HeadLimit == nil { // messages in both directions, with heartbeats
		return now.Sub(time.Unix(0, c.lastRead.Load())) > silentAfter
	}
	if since := c.writing.Load(); since != 0 {
		return now.Sub(time.Unix(0, since)) > slowAfter
	}
	return c.sending() && now.Sub(c.since) > slowAfter
}

// sending reports whether the client sends a request. port.mu must be held.
func (c *Conn) sending() bool { return c.phase == phaseHead || c.phase == phaseBody }

// rate returns the bytes a second that the client has sent of its head or body. port.mu must be
// held.
func (c *Conn) rate(now time.Time) float64 {
	return float64(c.received.Load()) / max(now.Sub(c.since), time.Millisecond).Seconds()
}

// Read reads from the client. It answers a head that is larger than allowed, for which there is
// no memory, or that is not complete at the deadline, itself: the server then finds the connection
// broken and drops what it has read. net/http would take the part of a line that it has for a whole one.
func (c *Conn) Read(b []byte) (int, error) {
	if c.refused {
		return 0, c.refusedError()
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.port.HeadLimit != nil {
			c.endLateHead(b)
		}
		return n, err
	}
	c.received.Add(int64(n))
	c.lastRead.Store(time.Now().UnixNano())
	switch why := c.countHead(b[:n]); why {
	case "":
		return n, err
	case reasonHeadLarge:
		c.refuse(b, http.StatusRequestHeaderFieldsTooLarge, why)
	default:
		c.refuse(b, http.StatusServiceUnavailable, why)
	}
	return 0, c.refusedError()
}

func (c *Conn) refusedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// endLateHead answers a head that is not complete at its deadline. If nothing of one was read since
// the last response, what the server may have read ahead of it is not answered.
func (c *Conn) endLateHead(buffer []byte) {
	c.port.mu.Lock()
	phase := c.phase
	c.port.mu.Unlock()
	switch phase {
	case phaseHead:
		c.refuse(buffer, http.StatusRequestTimeout, reasonHeadLate)
	case phaseIdle:
		c.refused = true
		_ = c.CloseWrite() // the error means that the client is gone
	case phaseBody, phaseServing:
	}
}

var errRefused = errors.New("the request was refused")

// countHead counts what was read of a head. It returns why the head must be refused, if so.
func (c *Conn) countHead(read []byte) (why string) {
	if c.head.ended {
		return ""
	}
	p := c.port
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.phase == phaseBody || c.phase == phaseServing {
		return "" // the server had read the head, or its end, ahead
	}
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHead, time.Now()
		c.leaveIdle()
	}
	if p.HeadLimit == nil {
		c.phase, c.head.ended = phaseServing, true
		return ""
	}
	size, fields := c.head.scan(read)
	if c.head.size > p.HeadLimit()+HeadSlack {
		return reasonHeadLarge
	}
	if c.head.ended {
		c.phase, c.since = phaseBody, time.Now()
	}
	if _, counted := p.conns[c]; !counted {
		return ""
	}
	memory := int64(size)*textFactor + int64(fields)*fieldBytes
	if p.heads+memory > p.HeadBytes {
		return reasonHeadMemory
	}
	p.heads += memory
	c.headMemory += memory
	return ""
}

// refuse answers a head and reads what the client still sends for a while, into a buffer.
func (c *Conn) refuse(buffer []byte, status int, why string) {
	now := time.Now()
	c.refused = true
	c.port.Report(now, why, c.sender)
	if why == reasonHeadMemory {
		c.RelievePort(now)
	}
	text := http.StatusText(status) + "\n"
	if _, err := io.WriteString(c, refusal(status, text)); err == nil {
		c.linger(buffer)
	}
}

// linger drops what the client sends until it stops or lingerTime is over.
func (c *Conn) linger(buffer []byte) {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return // the client is gone
	}
	// A deadline in the past, as the listener below may replace later ones by its own.
	timer := time.AfterFunc(lingerTime, func() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) })
	defer timer.Stop()
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

func refusal(status int, text string) string {
	var b bytes.Buffer
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(text)), Body: io.NopCloser(bytes.NewBufferString(text)),
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
	}
	if status == http.StatusServiceUnavailable {
		resp.Header.Set("Retry-After", "0.500")
	}
	_ = resp.Write(&b) // a bytes.Buffer returns no errors
	return b.String()
}

// writePiece is the most that counts as one step of a response's progress, in bytes.
const writePiece = 16 << 10

// Write writes to the client. It fails if the client takes nothing for the port's WriteTimeout.
func (c *Conn) Write(b []byte) (written int, err error) {
	defer c.writing.Store(0)
	for len(b) > 0 && err == nil {
		now := time.Now()
		c.writing.Store(now.UnixNano())
		if err := c.Conn.SetWriteDeadline(now.Add(c.port.WriteTimeout)); err != nil {
			return written, err
		}
		var n int
		n, err = c.Conn.Write(b[:min(len(b), writePiece)])
		written, b = written+n, b[n:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.port.Report(time.Now(), reasonNotReading, c.sender)
	}
	return written, err
}

// CloseWrite closes the sending side. http.Server calls it before it closes a connection whose
// request was not read completely; without it, a TCP reset could discard the response before
// the client reads it.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SyscallConn gives access to the socket, which the state of the connection can be read from.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errNoSocket
}

var errNoSocket = errors.New("the connection has no socket")

// LingerOnClose makes Close wait for a while for what the client still sends of a request that was
// not read completely, so that the response reaches it.
func (c *Conn) LingerOnClose() { c.lingers = true }

// Close closes the connection and frees what it counts for.
func (c *Conn) Close() error {
	if c.lingers {
		c.linger(make([]byte, 4<<10))
	}
	c.Forget()
	return c.Conn.Close()
}
