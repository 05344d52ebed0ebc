package memlim

import (
	"bytes"
	"io"
	"iter"
)

// Reserve counts a copy of a body, of a size in bytes, that is about to be made. The memory counts
// until release is called, which must be done once. The first bytes do not count, as in ReadAll.
func (b *Budget) Reserve(size int) (release func(), err error) {
	counted := int64(max(0, size-freeBytes))
	if err := b.reserve(counted); err != nil {
		return nil, err
	}
	return func() { b.used.Add(-counted) }, nil
}

// ReserveAfter is like Reserve, and also succeeds if nothing else counts than a message that the body
// came with: a lone body is larger than its share of the memory.
func (b *Budget) ReserveAfter(size, message int) (release func(), err error) {
	if release, err = b.Reserve(size); err == nil || b.used.Load() > int64(message) {
		return release, err
	}
	b.used.Add(int64(size))
	return func() { b.used.Add(-int64(size)) }, nil
}

// Grow counts more memory, in bytes, until Shrink takes it back. It is for memory that grows in
// steps and that another package holds. It succeeds in any case if nothing counts but the memory
// that grows.
func (b *Budget) Grow(size, held int64) error {
	err := b.reserve(size)
	if err != nil && b.used.Load() <= held {
		b.used.Add(size)
		return nil
	}
	return err
}

// Shrink ends the counting of memory.
func (b *Budget) Shrink(size int64) { b.used.Add(-size) }

// Used returns the bytes that count now.
func (b *Budget) Used() int64 { return b.used.Load() }

// Buffer holds a body that arrives in pieces. It is not safe for concurrent use.
type Buffer struct{ parts partial }

// NewBuffer returns an empty Buffer, whose memory counts in the budget.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{partial{budget: b}} }

// Write appends a piece. After ErrFull the Buffer holds the begin of it.
func (b *Buffer) Write(piece []byte) (written int, err error) {
	for len(piece) > 0 {
		space, err := b.parts.space()
		if err != nil {
			return written, err
		}
		n := copy(space, piece)
		b.parts.size += n
		written, piece = written+n, piece[n:]
	}
	return written, nil
}

// Reset drops the content and frees its memory.
func (b *Buffer) Reset() {
	b.parts.drop()
	b.parts = partial{budget: b.parts.budget}
}

// Len returns the size of the content in bytes.
func (b *Buffer) Len() int { return b.parts.size }

// Join returns the content in one piece, whose memory counts until release is called, once. The
// Buffer keeps the content.
func (b *Buffer) Join() (body []byte, release func(), err error) {
	release, err = b.parts.budget.Reserve(b.Len())
	if err != nil {
		return nil, nil, err
	}
	body = make([]byte, 0, b.Len())
	for piece := range b.pieces() {
		body = append(body, piece...)
	}
	return body, release, nil
}

// Reader returns a reader of the content, which must not change meanwhile.
func (b *Buffer) Reader() io.Reader {
	var readers []io.Reader
	for piece := range b.pieces() {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

// pieces returns the content in the pieces in which it is held.
func (b *Buffer) pieces() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		left := b.Len()
		if n := min(left, len(b.parts.head)); !yield(b.parts.head[:n]) {
			return
		}
		left -= min(left, len(b.parts.head))
		for _, c := range b.parts.chunks {
			if !yield(c[:min(left, chunkBytes)]) {
				return
			}
			left -= min(left, chunkBytes)
		}
	}
}
