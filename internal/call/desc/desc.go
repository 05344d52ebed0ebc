// Package desc describes one call in the product's own terms: what it may cost,
// how long its caller waits, and what may be repeated. It is plain data.
package desc

import "time"

// Kind tells what may be repeated, and how the answer arrives.
type Kind uint8

// The kinds of call.
const (
	KindIdempotent      Kind = iota // whole answer, may run more than once
	KindOnce                        // whole answer, runs at most once
	KindStream                      // events, one generation only
	KindResumableStream             // events, another run may go on after the last one
)

// Streams reports whether the answer is a series of events.
func (k Kind) Streams() bool { return k == KindStream || k == KindResumableStream }

// Repeatable reports whether a second run is allowed after one that may have
// happened.
func (k Kind) Repeatable() bool { return k == KindIdempotent || k == KindResumableStream }

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
		return "once"
	case KindStream:
		return "stream"
	case KindResumableStream:
		return "resumable_stream"
	}
	return "unknown"
}

// Call is one attempt of a caller.
type Call struct {
	ID        string
	Kind      Kind
	Service   string
	Route     string
	Workspace string
	Version   uint64 // configuration that the call was matched with
	Priority  int    // 0 goes first

	Arrived     time.Time
	Deadline    time.Time     // the earlier of the caller's limit and the route's timeout
	FirstAnswer time.Duration // objective up to the answer or its first event
	Gap         time.Duration // objective between events, 0 for none
	Attempts    int           // endpoints that the call may be sent to

	Model        string
	PromptTokens int
	OutputTokens int // most tokens that may be generated
	LengthHint   int // the caller's estimate of the output, 0 for none

	Regions     []string // where it may be served, empty for everywhere
	LastEventID string   // the caller resumes after this event
}

// Left returns the time until the deadline.
func (c *Call) Left(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// Tokens estimates the engine memory that the call will hold.
func (c *Call) Tokens() int {
	output := c.OutputTokens
	if c.LengthHint > 0 && c.LengthHint < output {
		output = c.LengthHint
	}
	return c.PromptTokens + output
}
