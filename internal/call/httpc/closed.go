package httpc

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"
)

// closeWait is how long a new connection must stay open to count as served. A host that
// serves nobody closes it at once.
const closeWait = 50 * time.Millisecond

// Closed reports whether nothing serves connections at an address: its host refuses a new
// one, or it is closed before a request is sent. An address that does not respond is not
// known to be closed, nor is one that keeps resetting what it accepts: endpoints do so with
// connections beyond their limit.
func (p *Pool) Closed(ctx context.Context, addr string) bool {
	return Closed(ctx, addr, p.cfg.DialTimeout)
}

// closedProbes is how many connections that are reset show a limit. A process that ends resets
// those that it has not accepted yet, and its host refuses the next one.
const closedProbes = 2

// Closed is Pool.Closed with a limit on the time to connect.
func Closed(ctx context.Context, addr string, timeout time.Duration) bool {
	for range closedProbes {
		err := probe(ctx, addr, timeout)
		if !errors.Is(err, syscall.ECONNRESET) {
			return errors.Is(err, syscall.ECONNREFUSED) || IsBroken(err)
		}
	}
	return false
}

// probe opens a connection and returns what ends it within closeWait.
func probe(ctx context.Context, addr string, timeout time.Duration) error {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(closeWait))
	_, err = c.Read(make([]byte, 1))
	return err
}

// IsBroken reports whether the error means that the peer has closed or reset the connection.
func IsBroken(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(target error) bool { return errors.Is(err, target) })
}
