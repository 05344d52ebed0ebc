package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines limits the lines that wait to be written: about 300 KB at 300
// bytes each.
const maxQueuedLines = 1024

// Async is a writer that never blocks its callers. It drops and counts lines
// that the target does not accept in time.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsync returns a writer to the target. Close writes the lines still queued.
func NewAsync(target io.Writer) *Async {
	a := &Async{lines: make(chan []byte, maxQueuedLines)}
	a.done.Go(func() {
		for line := range a.lines {
			_, _ = target.Write(line) // an error of the log output cannot be logged
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

// Dropped returns the number of lines dropped because the queue was full.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (a *Async) Close() {
	close(a.lines)
	a.done.Wait()
}
