package link

import (
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"storj.io/drpc/drpcwire"

	"github.com/mimosalock/mimosalock/internal/call/memlim"
)

const (
	// maxFrameBytes is the size of the largest frame: drpc splits its messages into frames of at most
	// 64 KB. Its reader accepts larger ones, and stores what it has of each.
	maxFrameBytes = 64 << 10
	// smallRun is after how many small messages drpc gives up a connection's receive buffer, and one
	// more. Until then the buffer has the size of the largest message.
	smallRun   = 12
	smallRatio = 4 // a message is small below this part of the buffer
	// growthFactor is how often a message counts until its end: when the buffer grows, it is copied.
	growthFactor = 2
)

var (
	errBadFrame     = errors.New("link: the peer sent a frame that no process sends")
	errMessagesFull = errors.New("link: the memory for messages is in use")
)

// BoundMessages returns a listener whose connections end when their peer sends what no process of
// this project does, or when the buffers of messages that are larger than a frame find no room in the
// memory. Buffers of connections that carry no call give way. refused is called for each of these.
func BoundMessages(ln net.Listener, memory *memlim.Budget, refused func(c net.Conn)) net.Listener {
	return &frameListener{Listener: ln, memory: memory, refused: refused}
}

type frameListener struct {
	net.Listener
	memory  *memlim.Budget
	refused func(c net.Conn)

	mu   sync.Mutex
	idle []*frameConn // that hold memory and carry no call, the longest idle first
}

// setIdle records whether a connection that holds memory carries a call.
func (l *frameListener) setIdle(c *frameConn, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.Index(l.idle, c)
	switch {
	case idle && at < 0:
		l.idle = append(l.idle, c)
	case !idle && at >= 0:
		l.idle = slices.Delete(l.idle, at, at+1)
	}
}

// grow counts more memory of a connection. Idle connections are closed while there is no room.
func (l *frameListener) grow(c *frameConn, size int64) error {
	for {
		if l.memory.Grow(size, c.held.Load()) == nil {
			if c.held.Add(size); c.closed.Load() {
				c.free() // what was read before is still followed
			}
			return nil
		}
		l.mu.Lock()
		if len(l.idle) == 0 {
			l.mu.Unlock()
			return errMessagesFull
		}
		first := l.idle[0]
		l.idle = l.idle[1:]
		l.mu.Unlock()
		l.refused(first.Conn)
		_ = first.Close()
	}
}

// Accept returns the next connection.
func (l *frameListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frameConn{Conn: c, listener: l}, nil
}

// frameConn follows the frames that a peer sends.
type frameConn struct {
	net.Conn
	listener *frameListener
	header   []byte       // of the frame that is being received
	left     uint64       // bytes of the frame's data that are to come
	message  int64        // bytes of the message so far
	held     atomic.Int64 // bytes of the receive buffer beyond a frame, which count
	closed   atomic.Bool
	buffer   int64         // bytes of the receive buffer between two messages
	small    int           // small messages since the last one that was not
	kind     drpcwire.Kind // of the message
	done     bool          // the frame is its message's last
	invoked  bool          // the peer has begun a call
}

// Read reads from the peer.
func (c *frameConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if frameErr := c.follow(b[:n]); frameErr != nil {
		c.listener.refused(c.Conn)
		return 0, frameErr
	}
	return n, err
}

// Close closes the connection and frees what its message counts for.
func (c *frameConn) Close() error {
	err := c.Conn.Close()
	c.closed.Store(true)
	c.free()
	return err
}

func (c *frameConn) follow(b []byte) error {
	for len(b) > 0 {
		if c.left == 0 {
			c.header, b = append(c.header, b[0]), b[1:]
			if err := c.parseHeader(); err != nil {
				return err
			}
			continue
		}
		n := min(c.left, uint64(len(b)))
		b, c.left = b[n:], c.left-n
		if c.left == 0 {
			c.endFrame()
		}
	}
	return nil
}

// parseHeader looks whether a header is complete: a control byte and three numbers, of the stream,
// the message and the length of the data. If so, it begins the frame.
func (c *frameConn) parseHeader() error {
	rest := c.header[1:]
	var length uint64
	for range 3 {
		value, n := binary.Uvarint(rest)
		switch {
		case n < 0, n == 0 && len(rest) > binary.MaxVarintLen64:
			return errBadFrame
		case n == 0:
			return nil
		}
		length, rest = value, rest[n:]
	}
	kind := drpcwire.Kind(c.header[0] & 0x7f >> 1)
	c.done, c.header = c.header[0]&1 != 0, c.header[:0]
	c.invoked = c.invoked || kind == drpcwire.KindInvoke
	known := kind >= drpcwire.KindInvoke && kind <= drpcwire.KindInvokeMetadata
	if kind != c.kind {
		c.message = 0
	}
	c.kind = kind
	c.message += int64(min(length, maxFrameBytes))
	large := c.message > maxFrameBytes
	switch {
	case !known, length > maxFrameBytes, !c.invoked && kind != drpcwire.KindInvokeMetadata, large && kind != drpcwire.KindMessage:
		return errBadFrame
	case large && growthFactor*(c.message-maxFrameBytes) > c.held.Load():
		if err := c.listener.grow(c, growthFactor*(c.message-maxFrameBytes)-c.held.Load()); err != nil {
			return err
		}
	}
	if c.left = length; length == 0 {
		c.endFrame()
	}
	return nil
}

// endFrame ends a frame, and with the last one its message.
func (c *frameConn) endFrame() {
	if !c.done {
		return
	}
	if c.small++; c.message >= c.buffer/smallRatio {
		c.small = 0
	}
	c.buffer = max(c.buffer, c.message)
	c.message = 0
	if c.held.Load() == 0 {
		return
	}
	if c.small >= smallRun {
		c.buffer = 0
		c.free()
		return
	}
	if held, kept := c.held.Load(), c.buffer-maxFrameBytes; held > kept && c.held.CompareAndSwap(held, kept) {
		c.listener.memory.Shrink(held - kept)
	}
	c.listener.setIdle(c, c.kind > drpcwire.KindMessage && c.kind != drpcwire.KindInvokeMetadata)
}

// free ends the counting of the receive buffer.
func (c *frameConn) free() {
	c.listener.setIdle(c, false)
	c.listener.memory.Shrink(c.held.Swap(0))
}
