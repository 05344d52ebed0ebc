package memlim

import (
	"sync"
	"weak"
)

// chunkBytes is the step in which bodies above freeBytes grow. Chunks of one size can be used
// again by any other body; buffers that double leave as much garbage as they hold.
const chunkBytes = 16 << 10

type chunk [chunkBytes]byte

// partial is a body under way: a head of up to freeBytes, and chunks that count.
type partial struct {
	budget *Budget
	head   []byte
	chunks []*chunk
	size   int
}

// space returns where the next bytes of the body go.
func (p *partial) space() ([]byte, error) {
	if p.size < freeBytes {
		if p.size == len(p.head) {
			p.head = append(make([]byte, 0, max(512, 2*p.size)), p.head...)
			p.head = p.head[:cap(p.head)]
		}
		return p.head[p.size:], nil
	}
	at := p.size - freeBytes
	if at == len(p.chunks)*chunkBytes {
		if err := p.budget.reserve(chunkBytes); err != nil {
			return nil, err
		}
		p.chunks = append(p.chunks, p.budget.free.take())
	}
	return p.chunks[at/chunkBytes][at%chunkBytes:], nil
}

// join returns the body in one piece, and the function that frees its memory.
func (p *partial) join() ([]byte, func(), error) {
	if len(p.chunks) == 0 {
		return p.head[:p.size], func() {}, nil
	}
	defer p.drop()
	size := int64(p.size)
	if err := p.budget.reserve(size); err != nil {
		return nil, func() {}, err
	}
	body := append(make([]byte, 0, p.size), p.head...)
	for _, c := range p.chunks {
		body = append(body, c[:min(chunkBytes, p.size-len(body))]...)
	}
	return body, func() { p.budget.used.Add(-size) }, nil
}

// drop gives up the chunks. They are in the free list before they cease to count, so that all
// chunks of a budget, free ones too, are never more than its limit.
func (p *partial) drop() {
	p.budget.free.put(p.chunks)
	p.budget.used.Add(-int64(len(p.chunks)) * chunkBytes)
	p.chunks = nil
}

// freeList holds chunks that were given up until the garbage collector frees them: bodies that
// fail one after the other leave no garbage beside the memory in use. Safe for concurrent use.
type freeList struct {
	mu     sync.Mutex
	chunks []weak.Pointer[chunk]
}

func (f *freeList) take() *chunk {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.chunks) > 0 {
		last := len(f.chunks) - 1
		c := f.chunks[last].Value()
		f.chunks = f.chunks[:last]
		if c != nil {
			return c
		}
	}
	return new(chunk)
}

func (f *freeList) put(chunks []*chunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range chunks {
		f.chunks = append(f.chunks, weak.Make(c))
	}
}
