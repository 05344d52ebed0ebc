// Package buffer buffers the responses of running and recently finished attempts,
// frame by frame, so that a relay to an entry can resume at any frame.
package buffer

import (
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/ops/invar"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Buffer holds the response of one attempt. It is safe for concurrent use. All
// frames share one byte slice, so that a frame needs no allocation of its own.
type Buffer struct {
	Workspace string

	mu            sync.Mutex
	data          []byte
	frameEnds     []uint32 // end offset of each frame in data
	firstIndex    uint64   // index of the first frame held
	head          *peerpb.Head
	end           *peerpb.End
	endedAt       time.Time
	delivered     bool               // a Reader's session was sent the whole response
	readers       map[string]*Reader // by session
	lastDetach    time.Time          // when the last reader left; at first the time of creation
	abandoned     chan struct{}      // closed by Abandon
	abandonReason string
}

// Reader reads a Buffer for one relay. A newer Reader of the same session replaces
// it.
type Reader struct {
	buf       *Buffer
	session   string
	wake      chan struct{}
	next      uint64
	windowEnd uint64 // index of the first frame beyond the flow-control window
}

// Frame is one frame and its index. Its data must not be changed.
type Frame struct {
	Index uint64
	Data  []byte
}

// New returns an empty buffer whose first frame will have the given index.
func New(workspace string, first uint64) *Buffer {
	return &Buffer{Workspace: workspace, firstIndex: first, lastDetach: time.Now(), abandoned: make(chan struct{}), readers: map[string]*Reader{}}
}

// SetHead stores the status and headers.
func (b *Buffer) SetHead(h *peerpb.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = h
	b.notify()
}

// HasHead reports whether the status and headers are stored.
func (b *Buffer) HasHead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head != nil
}

// Append adds the next frame. It copies the data.
func (b *Buffer) Append(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	b.data = append(b.data, data...)
	b.frameEnds = append(b.frameEnds, uint32(len(b.data)))
	b.notify()
}

// Finish records how the response ended. Later calls have no effect.
func (b *Buffer) Finish(end *peerpb.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return
	}
	end.Total = b.count()
	b.end = end
	b.endedAt = time.Now()
	b.notify()
}

// Count returns the number of frames so far, including dropped ones.
func (b *Buffer) Count() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count()
}

func (b *Buffer) count() uint64 { return b.firstIndex + uint64(len(b.frameEnds)) }

// Ended returns the end of the response and its time, or nil while the call runs.
func (b *Buffer) Ended() (*peerpb.End, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end, b.endedAt
}

// IsDelivered reports whether a session was sent the response up to its end.
func (b *Buffer) IsDelivered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delivered
}

// Bytes returns the memory that the buffer holds.
func (b *Buffer) Bytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return cap(b.data) + 4*cap(b.frameEnds)
}

// Abandon signals the producer that nobody waits for the response.
func (b *Buffer) Abandon(reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandonReason != "" || b.end != nil {
		return
	}
	b.abandonReason = reason
	close(b.abandoned)
}

// Abandoned returns a channel that is closed by Abandon.
func (b *Buffer) Abandoned() <-chan struct{} { return b.abandoned }

// AbandonReason returns why the response was abandoned, or an empty string.
func (b *Buffer) AbandonReason() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.abandonReason
}

// UnreadFor returns for how long no Reader has been attached, 0 while one is.
func (b *Buffer) UnreadFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.readers) > 0 {
		return 0
	}
	return time.Since(b.lastDetach)
}

// Attach returns a Reader that starts at the frame with index next, and replaces
// an earlier Reader of the session. It reports false if that frame is no longer
// held or lies beyond the end of the buffer.
func (b *Buffer) Attach(session string, next, window uint64) (*Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if next < b.firstIndex || next > b.count() {
		return nil, false
	}
	previous := b.readers[session]
	r := &Reader{buf: b, session: session, wake: make(chan struct{}, 1), next: next, windowEnd: next + window}
	b.readers[session] = r
	if previous != nil {
		previous.signal()
	}
	return r, true
}

// Detach removes a Reader unless a newer one has replaced it.
func (b *Buffer) Detach(r *Reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readers[r.session] == r {
		delete(b.readers, r.session)
		b.lastDetach = time.Now()
	}
}

// DropBefore frees the memory of the frames below the index. Relays can no longer
// resume at them.
func (b *Buffer) DropBefore(below uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(below, b.count())
	if n <= b.firstIndex {
		return
	}
	drop := n - b.firstIndex
	from := b.frameEnds[drop-1]
	kept := append([]byte(nil), b.data[from:]...)
	ends := append([]uint32(nil), b.frameEnds[drop:]...)
	b.data, b.frameEnds, b.firstIndex = kept, ends, n
	for i := range b.frameEnds {
		b.frameEnds[i] -= from
	}
}

func (b *Buffer) notify() {
	for _, r := range b.readers {
		r.signal()
	}
}

func (r *Reader) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives a value after the buffer has changed.
func (r *Reader) Wake() <-chan struct{} { return r.wake }

// Ack advances the window: the frames below next have reached the caller.
func (r *Reader) Ack(next, window uint64) {
	r.buf.mu.Lock()
	defer r.buf.mu.Unlock()
	r.windowEnd = max(r.windowEnd, next+window)
	r.signal()
}

// Replaced reports whether a newer Reader of the session has replaced this one.
func (r *Reader) Replaced() bool {
	r.buf.mu.Lock()
	defer r.buf.mu.Unlock()
	return r.buf.readers[r.session] != r
}

// Head returns the status and headers, or nil if they are not known yet.
func (r *Reader) Head() *peerpb.Head {
	r.buf.mu.Lock()
	defer r.buf.mu.Unlock()
	return r.buf.head
}

// Next returns the next frame if there is one and the window allows it.
func (r *Reader) Next() (Frame, bool) {
	b := r.buf
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readers[r.session] != r || r.next >= b.count() || r.next >= r.windowEnd || r.next < b.firstIndex {
		return Frame{}, false
	}
	i := r.next - b.firstIndex
	var from uint32
	if i > 0 {
		from = b.frameEnds[i-1]
	}
	f := Frame{Index: r.next, Data: b.data[from:b.frameEnds[i]:b.frameEnds[i]]}
	r.next++
	return f, true
}

// End returns the end of the response once every frame has been read, and nil
// before.
func (r *Reader) End() *peerpb.End {
	b := r.buf
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == nil || r.next < b.count() {
		return nil
	}
	invar.Check(r.next == b.end.Total, "whole_answer", "reader reached the end after %d of %d frames", r.next, b.end.Total)
	return b.end
}

// Delivered records that the session was sent the response up to its end.
func (r *Reader) Delivered() {
	r.buf.mu.Lock()
	defer r.buf.mu.Unlock()
	r.buf.delivered = true
}
