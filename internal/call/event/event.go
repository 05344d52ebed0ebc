// Package event splits a stream of server-sent events into complete events
// without changing any bytes, so that a stream that breaks off within an event
// can continue from another endpoint.
package event

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes is the maximum size of one event. Engines send events of at
// most a few KB.
const maxEventBytes = 1 << 20

// Event is one complete event, including the blank line that ends it.
type Event struct {
	ID      string // empty if the event carries none
	Raw     []byte // valid until the next call to Next
	Comment bool   // it has no fields, so that it is no event
}

// ErrTooLarge is returned for an event larger than 1 MB.
var ErrTooLarge = errors.New("event is larger than 1 MB")

// Reader reads events from a response body.
type Reader struct {
	src     io.Reader
	buf     []byte
	start   int // offset in buf of the first event not yet returned
	scanned int // bytes after start that were searched and contain no end of an event
	err     error
}

// New returns a Reader of the body.
func New(src io.Reader) *Reader { return &Reader{src: src, buf: make([]byte, 0, 4096)} }

// Next returns the next complete event. At the end of the body it returns
// io.EOF, or io.ErrUnexpectedEOF if the body ended within an event.
func (r *Reader) Next() (Event, error) {
	for {
		if end := r.eventEnd(); end > 0 {
			raw := r.buf[r.start : r.start+end]
			r.start, r.scanned = r.start+end, 0
			return Event{ID: eventID(raw), Raw: raw, Comment: isComment(raw)}, nil
		}
		if r.err != nil {
			return Event{}, r.endError()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// endError returns the error to report once the body has ended.
func (r *Reader) endError() error {
	if errors.Is(r.err, io.EOF) && r.start < len(r.buf) {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// fill discards the events already returned and reads more of the body.
func (r *Reader) fill() error {
	if r.start > 0 {
		rest := copy(r.buf, r.buf[r.start:])
		r.buf, r.start = r.buf[:rest], 0
	}
	if len(r.buf) >= maxEventBytes {
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

// eventEnd returns the length of the first event with its blank line, or 0 if
// the event is not complete yet. Lines end with LF or CRLF, also mixed. It does not
// search the same bytes twice.
func (r *Reader) eventEnd() int {
	b := r.buf[r.start:]
	skip := max(0, r.scanned-len("\n\r\n"))
	lf := bytes.Index(b[skip:], []byte("\n\n"))
	crlf := bytes.Index(b[skip:], []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		r.scanned = len(b)
		return 0
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return skip + lf + len("\n\n")
	}
	return skip + crlf + len("\n\r\n")
}

// eventID returns the value of the first id field, or "".
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isComment reports whether all lines are comments or blank.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
