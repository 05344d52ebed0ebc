package link

import (
	"net"
	"sync/atomic"
)

// traffic counts connections dialled and bytes of TCP payload over all connections
// of one process.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
	dials    atomic.Int64
}

// Dials returns the number of connections dialled so far, including failed attempts.
func (t *traffic) Dials() int64 { return t.dials.Load() }

// Traffic returns the bytes received and sent so far.
func (t *traffic) Traffic() (received, sent int64) { return t.received.Load(), t.sent.Load() }

// CountConn wraps a connection to count its bytes.
func (t *traffic) CountConn(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

// CountListener wraps a listener to count the bytes of its connections.
func (t *traffic) CountListener(ln net.Listener) net.Listener {
	return &countedListener{Listener: ln, traffic: t}
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.CountConn(c), nil
}
