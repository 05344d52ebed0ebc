// Package event cuts a stream of server-sent events into whole events without
// changing a byte, so that a stream that breaks in the middle of one can go on
// elsewhere.
package event

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEvent bounds one event in bytes. The largest that engines send are a few KB.
const maxEvent = 1 << 20

// Event is one whole event with the blank line that ends it.
type Event struct {
	ID  string // empty if the event carries none
	Raw []byte // valid until the next call of Next
}

// ErrTooLarge is returned for an event above 1 MB.
var ErrTooLarge = errors.New("event is larger than 1 MB")

// Reader reads events from a body.
type Reader struct {
	src  io.Reader
	buf  []byte
	from int // start of the first event not yet returned
	seen int // bytes after from in which no event ends
	err  error
}

// New returns a reader of the body.
func New(src io.Reader) *Reader { return &Reader{src: src, buf: make([]byte, 0, 4096)} }

// Next returns the next whole event. At the end it returns io.EOF, or
// io.ErrUnexpectedEOF if the body ended inside an event.
func (r *Reader) Next() (Event, error) {
	for {
		if end := r.boundary(); end > 0 {
			raw := r.buf[r.from : r.from+end]
			r.from, r.seen = r.from+end, 0
			return Event{ID: id(raw), Raw: raw}, nil
		}
		if r.err != nil {
			return Event{}, r.ended()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// ended tells how the body ended.
func (r *Reader) ended() error {
	if errors.Is(r.err, io.EOF) && r.from < len(r.buf) {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

func (r *Reader) fill() error {
	if r.from > 0 {
		rest := copy(r.buf, r.buf[r.from:])
		r.buf, r.from = r.buf[:rest], 0
	}
	if len(r.buf) >= maxEvent {
		return fmt.Errorf("read event: %w", ErrTooLarge)
	}
	if len(r.buf) == cap(r.buf) {
		r.buf = append(make([]byte, 0, 2*cap(r.buf)), r.buf...)
	}
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
	return nil
}

// boundary returns the length of the first event with its blank line, or 0. What
// was searched before is not searched again.
func (r *Reader) boundary() int {
	b := r.buf[r.from:]
	skip := max(0, r.seen-len("\r\n\r\n"))
	lf := bytes.Index(b[skip:], []byte("\n\n"))
	crlf := bytes.Index(b[skip:], []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		r.seen = len(b)
		return 0
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return skip + lf + len("\n\n")
	}
	return skip + crlf + len("\r\n\r\n")
}

func id(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
