// Package desc describes a call by the properties that routing and retries
// depend on: its size in tokens, its deadline, and whether it may be repeated.
// It contains plain data.
package desc

import "time"

// Kind tells whether a call may be repeated and how its response arrives.
type Kind uint8

// The kinds of call.
const (
	KindIdempotent      Kind = iota // single response; may run more than once
	KindAtMostOnce                  // single response; runs at most once
	KindStream                      // event stream; all events come from one generation
	KindResumableStream             // event stream; a new run may continue after the last event delivered
)

// Streams reports whether the response is an event stream.
func (k Kind) Streams() bool { return k == KindStream || k == KindResumableStream }

// Repeatable reports whether the call may run again after an attempt that may
// have run.
func (k Kind) Repeatable() bool { return k == KindIdempotent || k == KindResumableStream }

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindAtMostOnce:
		return "once"
	case KindStream:
		return "stream"
	case KindResumableStream:
		return "resumable_stream"
	}
	return "unknown"
}

// Call is one request from a caller. A retry by the caller is another Call.
type Call struct {
	ID        string
	Kind      Kind
	Service   string
	Route     string
	Workspace string
	Version   uint64 // configuration version that the call was routed with
	Priority  int    // 0 is served first

	Arrived             time.Time
	Deadline            time.Time     // the earlier of the caller's limit and the route's timeout
	FirstResponseTarget time.Duration // target time to the response or its first event
	EventGapTarget      time.Duration // target time between events, 0 for none
	MaxAttempts         int           // maximum number of endpoints that the call is sent to

	Model           string
	PromptParts     []string // IDs of the prompt's parts in order, which calls share; without the last part, the call's own
	PromptTokens    int
	MaxOutputTokens int // maximum number of generated tokens
	LengthHint      int // caller's estimate of the generated tokens, 0 for none

	// Fingerprint is the same for all calls with the same caller, path and body: they are one
	// request that is sent again. 0 if unknown.
	Fingerprint uint64

	Regions     []string // regions that may serve the call, empty for all
	LastEventID string   // the caller resumes after this event
	Resumes     string   // ID of the caller's call that brought the stream's first event, empty if the caller names none
}

// Remaining returns the time until the deadline.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// EstimatedTokens estimates the KV cache that the call will occupy, in tokens.
func (c *Call) EstimatedTokens() int {
	output := c.MaxOutputTokens
	if c.LengthHint > 0 && c.LengthHint < output {
		output = c.LengthHint
	}
	return c.PromptTokens + output
}
