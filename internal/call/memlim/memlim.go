// Package memlim bounds the memory that a process spends on bodies that it reads as a
// whole. Peers that send without end cannot exhaust it, however many do so at once.
package memlim

import (
	"errors"
	"io"
	"sync/atomic"
)

// Errors of ReadAll.
var (
	ErrTooLarge = errors.New("the body is larger than allowed")
	ErrFull     = errors.New("the memory for bodies is in use")
)

// freeBytes of each body do not count: they hold almost every body.
const freeBytes = 8 << 10

// Budget is the memory for all bodies together. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// ReadAll reads a body of at most a number of bytes. The memory counts until release is
// called, which must be done once. After an error it need not be called.
func (b *Budget) ReadAll(src io.Reader, most int) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { b.used.Add(-reserved) }
	buf := make([]byte, 0, 512)
	for {
		n, err := src.Read(buf[len(buf):min(cap(buf), most+1)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > most:
			release()
			return nil, func() {}, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buf, release, nil
		case err != nil:
			release()
			return nil, func() {}, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		if grown := int64(2 * cap(buf)); grown > freeBytes {
			if b.used.Add(grown-reserved) > b.limit {
				b.used.Add(reserved - grown)
				release()
				return nil, func() {}, ErrFull
			}
			reserved = grown
		}
		buf = append(make([]byte, 0, 2*cap(buf)), buf...)
	}
}
