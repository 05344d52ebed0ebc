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
// known to be closed.
func (p *Pool) Closed(ctx context.Context, addr string) bool {
	return Closed(ctx, addr, p.cfg.DialTimeout)
}

// Closed is Pool.Closed with a limit on the time to connect.
func Closed(ctx context.Context, addr string, timeout time.Duration) bool {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(closeWait))
	_, err = c.Read(make([]byte, 1))
	return IsBroken(err)
}

// IsBroken reports whether the error means that the peer has closed or reset the connection.
func IsBroken(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(target error) bool { return errors.Is(err, target) })
}
