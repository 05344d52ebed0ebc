// Package sock checks the state of a TCP connection without reading from it. An
// entry uses it to detect that a caller has closed its connection while the entry
// waits for the response and writes nothing.
package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const pollInterval = 100 * time.Millisecond

// WatchClose polls a connection and calls onClose once if the peer closes it. It
// returns after that or when the context is done.
func WatchClose(ctx context.Context, conn net.Conn, onClose func()) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if isClosed(conn) {
				onClose()
				return
			}
		}
	}
}

// IsIdle reports whether a connection is open and has no unread data. It also reports
// true for a connection that has no socket.
func IsIdle(conn net.Conn) bool { return peekState(conn) == stateIdle }

// isClosed reports whether the peer closed or reset the connection, also with unread data, such
// as its next request.
func isClosed(conn net.Conn) (closed bool) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	err = sc.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		closed = pollErr == nil && n > 0
	})
	return closed || err != nil
}

type connState uint8

const (
	stateIdle     connState = iota // open, no unread data
	stateReadable                  // unread data, such as a pipelined request
	stateClosed
)

// peekState returns the state of the socket. It peeks rather than reads, so that the
// next request on the connection stays in the socket's buffer.
func peekState(conn net.Conn) connState {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return stateIdle
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return stateClosed
	}
	result := stateIdle
	var buf [1]byte
	err = sc.Control(func(fd uintptr) {
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR):
		case peekErr != nil || n == 0:
			result = stateClosed
		default:
			result = stateReadable
		}
	})
	if err != nil {
		return stateClosed
	}
	return result
}
