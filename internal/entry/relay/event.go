package relay

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
)

// Event is what Next returns: a Frame, Restart or End.
type Event interface{ event() }

// Frame is the next frame of the response.
type Frame struct {
	ID   callid.ID // the attempt that produced it
	Data []byte
}

// End is the last event of a call.
type End struct {
	Outcome    callst.Outcome
	Reason     string
	RetryAfter time.Duration // 0 unless the call did not run: one with its idempotency key may have
}

// Restart means that all frames returned so far must be discarded because the
// response starts over. Only a buffered call can restart.
type Restart struct{}

func (Frame) event()   {}
func (Restart) event() {}
func (End) event()     {}
