package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queued bounds the lines that wait to be written. At 300 bytes each they hold
// about 300 KB.
const queued = 1024

// Async is a writer that never blocks its callers: lines that its target does
// not take in time are dropped and counted.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsync returns a writer to the target. Close it to write what is queued.
func NewAsync(target io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queued)}
	a.done.Go(func() {
		for line := range a.lines {
			_, _ = target.Write(line) // there is nobody left to tell
		}
	})
	return a
}

// Write queues a line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what is queued. Nothing may be written afterwards.
func (a *Async) Close() {
	close(a.lines)
	a.done.Wait()
}
