// Package link dials other processes and pools idle connections. A connection
// carries one call at a time, so that a stalled call never delays another.
package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 2 * time.Minute // avoids most handshakes at 800 endpoints and 10 probes per second
	maxIdlePerPeer  = 4
	maxMessageBytes = 72 << 20 // the largest request body plus its envelope
)

// Options returns the message size limit that client and server must share. A connection keeps no
// buffer of a sent message that is larger than a frame.
func Options() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxFrameBytes},
	}
}

// Pool dials peers and keeps idle connections. It is safe for concurrent use.
type Pool struct {
	traffic
	tls  *tls.Config
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Conn is a connection to a peer. It carries one call at a time.
type Conn struct {
	peerpb.DRPCPeerClient
	drpc      *drpcconn.Conn
	addr      string
	idleSince time.Time
}

// New returns a Pool. A nil TLS configuration means plain TCP.
func New(config *tls.Config) *Pool {
	return &Pool{tls: config, idle: map[string][]*Conn{}}
}

// Get returns an idle connection or dials a new one. The peer of an idle connection
// may be gone without a trace, so a call that must not be repeated may only be sent
// after the peer has answered a probe on the connection.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	if c := p.takeIdle(addr); c != nil {
		return c, nil
	}
	return p.Dial(ctx, addr)
}

// Dial opens a new connection.
func (p *Pool) Dial(ctx context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	p.dials.Add(1)
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link: dial %s: %w", addr, err)
	}
	raw = p.CountConn(raw)
	if p.tls != nil {
		secured := tls.Client(raw, p.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("link: handshake with %s: %w", addr, err)
		}
		raw = secured
	}
	dc := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: Options()})
	return &Conn{DRPCPeerClient: peerpb.NewDRPCPeerClient(dc), drpc: dc, addr: addr}, nil
}

// Reusable returns a channel that is closed once the connection can carry the next
// call. Cancelling the context of a call before that closes the connection.
func (c *Conn) Reusable() <-chan struct{} { return c.drpc.Unblocked() }

// Broken reports whether the connection is closed.
func (c *Conn) Broken() bool {
	select {
	case <-c.drpc.Closed():
		return true
	default:
		return false
	}
}

// Put returns a connection to the pool after a call that ended cleanly.
func (p *Pool) Put(c *Conn) {
	if c.Broken() {
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerPeer {
		_ = c.drpc.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Drop closes a connection whose state is uncertain.
func (p *Pool) Drop(c *Conn) { _ = c.drpc.Close() }

// Sweep closes connections that were idle for longer than idleTimeout.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for len(list) > 0 && time.Since(list[0].idleSince) > idleTimeout {
			_ = list[0].drpc.Close()
			list = list[1:]
		}
		if len(list) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = list
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.drpc.Close()
		}
		delete(p.idle, addr)
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if c.Broken() {
			continue
		}
		if time.Since(c.idleSince) > idleTimeout {
			_ = c.drpc.Close()
			continue
		}
		return c
	}
	return nil
}
