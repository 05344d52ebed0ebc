// Package stand holds what the scripts of the review run: stand-ins of the platform's
// store, of workers and of callers on loopback addresses, and the gateways as processes
// of their own.
package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Record is the file that holds what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Since returns the seconds from the start of the record to a time.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Printf adds a line that begins with the seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Troubled reports whether the script is to cause its disruption: TROUBLE is not 0.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }
