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

// Watch cancels a call when the caller's connection is closed. It returns when
// the context ends.
func Watch(ctx context.Context, conn net.Conn, cancel func()) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if closed(conn) {
				cancel()
				return
			}
		}
	}
}

// Quiet reports whether a connection is open and nothing waits to be read on it.
func Quiet(conn net.Conn) bool { return peek(conn) == stateQuiet }

// closed reports whether the other end closed or broke the connection.
func closed(conn net.Conn) bool { return peek(conn) == stateClosed }

type state uint8

const (
	stateQuiet   state = iota // open, nothing to read
	stateWaiting              // bytes wait to be read
	stateClosed
)

// peek looks at the socket without taking bytes: a further request of the same
// connection stays where it is.
func peek(conn net.Conn) state {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return stateQuiet
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return stateClosed
	}
	found := stateQuiet
	var buf [1]byte
	err = sc.Control(func(fd uintptr) {
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR):
		case peekErr != nil || n == 0:
			found = stateClosed
		default:
			found = stateWaiting
		}
	})
	if err != nil {
		return stateClosed
	}
	return found
}
