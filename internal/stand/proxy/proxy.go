// Package proxy is a TCP proxy for fault injection: tests can cut, stall, delay and
// silence its connections.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// SlowRate is that of a link of 10 Mbit/s, in bytes a second.
const SlowRate = 1_250_000

// Link is a proxy that forwards connections to a target. It is safe for concurrent use.
type Link struct {
	listener         net.Listener
	mu               sync.Mutex
	changed          *sync.Cond // signals a change of stalled
	target           string
	conns            map[*connPair]struct{}
	refuse           bool
	stalled          bool
	cut              directions // in which the bytes of all connections are discarded
	delay            time.Duration
	rate             int           // bytes a second in each direction, 0 for no limit
	lines            [2]sync.Mutex // to the target and to the client, held while bytes are under way at the rate
	cutAfterToClient int           // bytes to forward to the client until a cut, 0 for no cut
	cutAfterToTarget int           // the same for bytes to the target
}

// connPair is one proxied connection.
type connPair struct {
	client, server net.Conn
	silenced       directions // directions whose bytes are discarded
	swallows       directions // directions in which the end of the connection is not forwarded either
}

// New starts a link to the target on a free loopback port.
func New(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	l := &Link{listener: ln, target: target, conns: map[*connPair]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Addr returns the address to dial instead of the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Retarget forwards new connections to another address.
func (l *Link) Retarget(addr string) {
	l.mu.Lock()
	l.target = addr
	l.mu.Unlock()
}

// Close ends the link and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Cut()
}

// SetRefusing closes new connections as soon as they are accepted, or ends that.
func (l *Link) SetRefusing(on bool) {
	l.mu.Lock()
	l.refuse = on
	l.mu.Unlock()
}

// Cut closes all open connections.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close()
	}
}

// CutAfter cuts one connection after bytesToClient more bytes to clients, and one after
// bytesToTarget more bytes to the target. All connections count together. 0 means no cut.
func (l *Link) CutAfter(bytesToClient, bytesToTarget int) {
	l.mu.Lock()
	l.cutAfterToClient, l.cutAfterToTarget = bytesToClient, bytesToTarget
	l.mu.Unlock()
}

// SetStalled stops forwarding, or continues it with the bytes that were held back.
func (l *Link) SetStalled(on bool) {
	l.mu.Lock()
	l.stalled = on
	l.changed.Broadcast()
	l.mu.Unlock()
}

// SetDelay delays the bytes of each read before they are forwarded.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	l.delay = d
	l.mu.Unlock()
}

// SetRate limits what all connections together carry in each direction, in bytes a second. 0 is no
// limit.
func (l *Link) SetRate(rate int) {
	l.mu.Lock()
	l.rate = rate
	l.mu.Unlock()
}

// Silence discards all further bytes of the connections that are open now, without
// closing them. New connections work.
func (l *Link) Silence() { l.addSilence(directions{toTarget: true, toClient: true}) }

// SilenceOneWay is Silence for the bytes to the client or to the target only.
func (l *Link) SilenceOneWay(toClient bool) {
	l.addSilence(directions{toTarget: !toClient, toClient: toClient})
}

// CutOneWay is SilenceOneWay on a path that loses the end of the connections too: the peer in
// that direction does not learn that they were closed.
func (l *Link) CutOneWay(toClient bool) {
	l.addSilence(directions{toTarget: !toClient, toClient: toClient})
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.swallows = directions{toTarget: p.swallows.toTarget || !toClient, toClient: p.swallows.toClient || toClient}
	}
}

// HalfClose ends the connections that are open now in the direction to the client or to the
// target. The other direction works.
func (l *Link) HalfClose(toClient bool) {
	l.addSilence(directions{toTarget: !toClient, toClient: toClient})
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		dst := p.server
		if toClient {
			dst = p.client
		}
		if tcp, ok := dst.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
}

// SetCutOneWay discards all bytes to the client or to the target, of new connections too, or ends that.
func (l *Link) SetCutOneWay(toClient, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if toClient {
		l.cut.toClient = on
	} else {
		l.cut.toTarget = on
	}
}

// directions is a set of directions of a connection.
type directions struct{ toTarget, toClient bool }

func (s directions) appliesTo(toClient bool) bool {
	return toClient && s.toClient || !toClient && s.toTarget
}

func (l *Link) addSilence(s directions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns { // a silenced direction stays silenced
		p.silenced = directions{toTarget: p.silenced.toTarget || s.toTarget, toClient: p.silenced.toClient || s.toClient}
	}
}

// Faulty reports whether a fault other than a silent connection is active.
func (l *Link) Faulty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuse || l.stalled || l.cut != (directions{}) || l.delay > 0 || l.rate > 0 || l.cutAfterToClient > 0 || l.cutAfterToTarget > 0
}

// Silenced reports whether a connection is silent.
func (l *Link) Silenced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if p.silenced != (directions{}) {
			return true
		}
	}
	return false
}

// OpenConns returns the number of open connections.
func (l *Link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		refuse, target := l.refuse, l.target
		l.mu.Unlock()
		if refuse {
			_ = client.Close()
			continue
		}
		go l.serve(client, target)
	}
}

// serve dials the target and forwards both directions until the connection ends.
func (l *Link) serve(client net.Conn, target string) {
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, server: server}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	var relays sync.WaitGroup
	relays.Add(2)
	go l.relay(&relays, p, server, client, false)
	go l.relay(&relays, p, client, server, true)
	relays.Wait()
	p.close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// relay forwards one direction until its end, which it passes on as it came: as the end of what
// the peer gets, after which the other direction goes on, or as a reset.
func (l *Link) relay(done *sync.WaitGroup, p *connPair, dst, src net.Conn, toClient bool) {
	defer done.Done()
	buf := make([]byte, 32<<10)
	var err error
	for err == nil {
		var n int
		n, err = src.Read(buf)
		if n > 0 && !l.forward(p, dst, buf[:n], toClient) && !l.swallowed(p, !toClient) {
			break
		}
	}
	tcp, isTCP := dst.(*net.TCPConn)
	switch {
	case l.swallowed(p, toClient):
		_ = src.Close()
		return
	case errors.Is(err, io.EOF) && isTCP:
		_ = tcp.CloseWrite()
		return
	case errors.Is(err, syscall.ECONNRESET) && isTCP:
		_ = tcp.SetLinger(0)
	}
	p.close()
}

// swallowed reports whether the end of a connection does not reach the peer in a direction.
func (l *Link) swallowed(p *connPair, toClient bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.swallows.appliesTo(toClient)
}

// forward writes bytes to dst, subject to the active faults. It reports whether the
// connection stays open.
func (l *Link) forward(p *connPair, dst io.Writer, b []byte, toClient bool) bool {
	l.mu.Lock()
	for l.stalled && !p.silenced.appliesTo(toClient) {
		l.changed.Wait()
	}
	if l.cut.appliesTo(toClient) { // what has lost bytes stays silent
		p.silenced = directions{toTarget: p.silenced.toTarget || !toClient, toClient: p.silenced.toClient || toClient}
	}
	delay, rate, silenced := l.delay, l.rate, p.silenced.appliesTo(toClient)
	cut := false
	remaining := &l.cutAfterToTarget
	if toClient {
		remaining = &l.cutAfterToClient
	}
	if *remaining > 0 {
		cut = *remaining <= len(b)
		b = b[:min(len(b), *remaining)]
		*remaining -= len(b)
	}
	l.mu.Unlock()
	if silenced {
		return true
	}
	time.Sleep(delay)
	if rate > 0 {
		l.transmit(len(b), rate, toClient)
	}
	_, err := dst.Write(b)
	return err == nil && !cut
}

// transmit takes the time that bytes take at a rate, after those before them in the direction.
func (l *Link) transmit(bytes, rate int, toClient bool) {
	line := &l.lines[0]
	if toClient {
		line = &l.lines[1]
	}
	line.Lock()
	defer line.Unlock()
	time.Sleep(time.Duration(bytes) * time.Second / time.Duration(rate))
}
