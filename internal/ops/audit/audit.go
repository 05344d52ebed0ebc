// Package audit records state changes that affect calls, in memory and in the
// log.
package audit

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

const maxEvents = 20_000 // about 4 MB

// Event is one state change: what happened to which subject, why, and under
// which configuration version.
type Event struct {
	At      time.Time `json:"at"` // local clock, for display only
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"` // a call ID, host, data centre or service
	Reason  string    `json:"why"`
	Version uint64    `json:"version"` // of the configuration
}

// Kind is the kind of a state change.
type Kind string

// The kinds of Event.
const (
	KindConfigApplied  Kind = "config_applied"
	KindConfigRejected Kind = "config_rejected"
	KindDrained        Kind = "drain"       // the agent admits no new work
	KindReopened       Kind = "return"      // the agent admits new work again
	KindLimitReset     Kind = "limit_moved" // the concurrency limit was reset
	KindSuspected      Kind = "host_suspected"
	KindLeavingHeld    Kind = "host_leaving_held" // a leaving host stays so although an older list says otherwise
	KindTrusted        Kind = "host_trusted"      // a suspected host answered
	KindOffered        Kind = "call_offered"
	KindAccepted       Kind = "call_accepted"
	KindRefused        Kind = "call_refused"
	KindStarted        Kind = "call_started"
	KindEnded          Kind = "call_ended"
	KindResumed        Kind = "stream_resumed"
	KindRevoked        Kind = "call_revoked"
	KindModelOrder     Kind = "order_given" // the engine was told which models to load
	KindViolation      Kind = "violation"
)

// Trail is the audit record of one process, safe for concurrent use. Recording
// to a nil Trail does nothing.
type Trail struct {
	mu      sync.Mutex
	events  []Event // a ring buffer once it is full
	next    int     // index of the oldest event once the ring is full
	log     *zap.Logger
	process string
}

// New returns an empty trail for the named process.
func New(process string, log *zap.Logger) *Trail { return &Trail{log: log, process: process} }

// Record appends an event with the current time, and logs it.
func (t *Trail) Record(e Event) {
	if t == nil {
		return
	}
	e.At = time.Now()
	t.log.Info(string(e.Kind), zap.String("who", t.process), zap.String("subject", e.Subject),
		zap.String("why", e.Reason), zap.Uint64("version", e.Version))
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
		return
	}
	t.events[t.next] = e
	t.next = (t.next + 1) % maxEvents
}

// Events returns the events whose subject contains the ID, oldest first. An
// empty ID selects all events.
func (t *Trail) Events(id string) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Event
	for i := range t.events {
		e := t.events[(t.next+i)%len(t.events)]
		if strings.Contains(e.Subject, id) {
			out = append(out, e)
		}
	}
	return out
}
