package httpc

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// hangupAckTimeout is for the endpoint's host to acknowledge the end of the connection. One
	// that does not is out of reach, or has not read the request.
	hangupAckTimeout = 100 * time.Millisecond
	hangupPoll       = 2 * time.Millisecond
)

// HangupTimeout is for the endpoint itself to close its side.
const HangupTimeout = 400 * time.Millisecond

// HangupResult is what is known of an endpoint after a Hangup.
type HangupResult string

// The results of a Hangup.
const (
	HangupClosed      HangupResult = "closed"      // the endpoint has closed its side
	HangupSending     HangupResult = "sending"     // the endpoint sent more, and the connection was reset
	HangupUnanswered  HangupResult = "unanswered"  // its host knows of the end, but the endpoint did not close its side
	HangupUnconfirmed HangupResult = "unconfirmed" // its host did not acknowledge the end
)

// Hangup is the end of an exchange that the endpoint may still work on: the connection is
// shut down, and reset if the endpoint sends more or does not close its side in time. It is
// immutable once Done is closed.
type Hangup struct {
	done   chan struct{}
	result HangupResult
	took   time.Duration
}

// Done is closed when the endpoint has closed its side or the wait for it is over.
func (h *Hangup) Done() <-chan struct{} { return h.done }

// Result returns what is known of the endpoint, once Done is closed.
func (h *Hangup) Result() HangupResult { return h.result }

// Took returns how long it took, once Done is closed.
func (h *Hangup) Took() time.Duration { return h.took }

// hangUp ends a connection, in the background if it has to wait for the endpoint. It returns nil
// if the endpoint has closed its side already. Reads and writes of the connection fail from then on.
func hangUp(c net.Conn) *Hangup {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil
	}
	h := &Hangup{done: make(chan struct{}), result: peerState(tcp)}
	switch {
	case h.result == HangupClosed:
		_ = c.Close()
		return nil
	case h.result == HangupSending || tcp.CloseWrite() != nil:
		h.reset(tcp)
		return h
	}
	_ = c.SetDeadline(time.Unix(1, 0))
	go h.await(tcp)
	return h
}

func (h *Hangup) await(c *net.TCPConn) {
	limits := map[HangupResult]time.Duration{HangupUnconfirmed: hangupAckTimeout, HangupUnanswered: HangupTimeout} // 0 for the others
	began, tick := time.Now(), time.NewTicker(hangupPoll)
	defer tick.Stop()
	for {
		h.result, h.took = peerState(c), time.Since(began)
		if h.took >= limits[h.result] {
			break
		}
		<-tick.C
	}
	h.reset(c)
}

// reset closes the connection. A mere end would follow what is still to be sent, and to some
// endpoints it says only that no more requests come.
func (h *Hangup) reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
	close(h.done)
}

// States of a connection in Linux' tcp_states.h in which the peer has not closed its side.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// peerState returns what is known of the peer of a connection. It reads nothing, so that it can
// be called beside Read.
func peerState(c *net.TCPConn) HangupResult {
	raw, err := c.SyscallConn()
	if err != nil {
		return HangupClosed
	}
	result := HangupClosed
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr != nil {
			result = HangupUnanswered
			return
		}
		unread, _ := unix.IoctlGetInt(int(fd), unix.TIOCINQ) // 0 if it fails
		open := info.State == tcpEstablished || info.State == tcpFinWait1 || info.State == tcpFinWait2
		switch {
		case open && unread > 0:
			result = HangupSending
		case info.State == tcpFinWait2:
			result = HangupUnanswered
		case open:
			result = HangupUnconfirmed
		}
	})
	if err != nil {
		return HangupClosed
	}
	return result
}
