// Package cutter is a TCP link that tests can cut, stall, delay and silence.
package cutter

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Link forwards connections to a target. It is safe for concurrent use.
type Link struct {
	listener         net.Listener
	mu               sync.Mutex
	changed          *sync.Cond
	target           string
	conns            map[*connPair]struct{}
	refuse           bool
	stalled          bool
	delay            time.Duration
	cutAfterToClient int // bytes towards the client until a cut, 0 for none
	cutAfterToTarget int // the same towards the target
}

type connPair struct {
	client, server net.Conn
	silenced       directions // what is swallowed from now on
}

// New returns a link on a loopback port to the target.
func New(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("cutter: %w", err)
	}
	l := &Link{listener: ln, target: target, conns: map[*connPair]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Addr returns the address to dial instead of the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Retarget sends new connections elsewhere.
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

// Refuse drops new connections at once, or ends that.
func (l *Link) Refuse(on bool) {
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

// CutAfter closes, once, the connection that carries the last of so many bytes
// towards the client or towards the target. 0 means no cut.
func (l *Link) CutAfter(down, up int) {
	l.mu.Lock()
	l.cutAfterToClient, l.cutAfterToTarget = down, up
	l.mu.Unlock()
}

// Stall holds all bytes back, or lets them go.
func (l *Link) Stall(on bool) {
	l.mu.Lock()
	l.stalled = on
	l.changed.Broadcast()
	l.mu.Unlock()
}

// Delay holds each read back for the time.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	l.delay = d
	l.mu.Unlock()
}

// Silence makes the open connections swallow everything for good, while new
// ones work.
func (l *Link) Silence() { l.addSilence(directions{toTarget: true, toClient: true}) }

// SilenceOneWay does the same towards the client or towards the target only.
func (l *Link) SilenceOneWay(towardsClient bool) {
	l.addSilence(directions{toTarget: !towardsClient, toClient: towardsClient})
}

// directions tells which ways are silent: up is towards the target.
type directions struct{ toTarget, toClient bool }

func (s directions) appliesTo(towardsClient bool) bool {
	return towardsClient && s.toClient || !towardsClient && s.toTarget
}

func (l *Link) addSilence(s directions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns { // a way that is silent stays so
		p.silenced = directions{toTarget: p.silenced.toTarget || s.toTarget, toClient: p.silenced.toClient || s.toClient}
	}
}

// Open returns the number of open connections.
func (l *Link) Open() int {
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
	var both sync.WaitGroup
	both.Add(2)
	go l.relay(&both, p, server, client, false)
	go l.relay(&both, p, client, server, true)
	both.Wait()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

func (l *Link) relay(done *sync.WaitGroup, p *connPair, dst io.Writer, src io.Reader, towardsClient bool) {
	defer done.Done()
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !l.forward(p, dst, buf[:n], towardsClient) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward forwards bytes as the faults in force allow. It reports whether the
// connection goes on.
func (l *Link) forward(p *connPair, dst io.Writer, b []byte, towardsClient bool) bool {
	l.mu.Lock()
	for l.stalled && !p.silenced.appliesTo(towardsClient) {
		l.changed.Wait()
	}
	delay, silenced := l.delay, p.silenced.appliesTo(towardsClient)
	cut := false
	left := &l.cutAfterToTarget
	if towardsClient {
		left = &l.cutAfterToClient
	}
	if *left > 0 {
		cut = *left <= len(b)
		b = b[:min(len(b), *left)]
		*left -= len(b)
	}
	l.mu.Unlock()
	if silenced {
		return true
	}
	time.Sleep(delay)
	_, err := dst.Write(b)
	return err == nil && !cut
}
