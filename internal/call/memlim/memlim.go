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
	free  freeList
}

// New returns a budget in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// ReadAll reads a body of at most a number of bytes. The memory counts until release is
// called, which must be done once. After an error it need not be called. While a body is read
// it counts with all memory that it holds, at its end twice, since it is copied into one piece.
func (b *Budget) ReadAll(src io.Reader, most int) (body []byte, release func(), err error) {
	p := partial{budget: b}
	for {
		space, err := p.space()
		if err != nil {
			p.drop()
			return nil, func() {}, err
		}
		n, err := src.Read(space[:min(len(space), most+1-p.size)])
		p.size += n
		switch {
		case p.size > most:
			p.drop()
			return nil, func() {}, ErrTooLarge
		case errors.Is(err, io.EOF):
			return p.join()
		case err != nil:
			p.drop()
			return nil, func() {}, err
		}
	}
}

// reserve counts memory that is about to be allocated.
func (b *Budget) reserve(size int64) error {
	if b.used.Add(size) > b.limit {
		b.used.Add(-size)
		return ErrFull
	}
	return nil
}
