// Package gone detects that a caller closed its connection while the entry
// waits for its answer and writes nothing.
package gone

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const pollInterval = 200 * time.Millisecond

// WatchClose cancels a call when the caller's connection is closed. It returns when
// the context ends.
func WatchClose(ctx context.Context, conn net.Conn, cancel func()) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if isClosed(conn) {
				cancel()
				return
			}
		}
	}
}

// Quiet reports whether a connection is open and nothing waits to be read on it.
func Quiet(conn net.Conn) bool { return peekState(conn) == stateIdle }

// isClosed reports whether the other end closed or broke the connection.
func isClosed(conn net.Conn) bool { return peekState(conn) == stateClosed }

type connState uint8

const (
	stateIdle     connState = iota // open, nothing to read
	stateReadable                  // bytes wait to be read
	stateClosed
)

// peekState looks at the socket without taking bytes: a further request of the same
// connection stays where it is.
func peekState(conn net.Conn) connState {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return stateIdle
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return stateClosed
	}
	found := stateIdle
	var buf [1]byte
	err = sc.Control(func(fd uintptr) {
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR):
		case peekErr != nil || n == 0:
			found = stateClosed
		default:
			found = stateReadable
		}
	})
	if err != nil {
		return stateClosed
	}
	return found
}
