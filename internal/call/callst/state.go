// Package callst tracks the state of one call: which outcome may be reported to
// the caller, and whether another attempt may be made. In the gateway, an endpoint
// takes the place of the agent, and the events of a stream are the frames.
package callst

import (
	"github.com/mimosalock/mimosalock/internal/ops/invar"
)

// Outcome is the result of a call as reported to the caller.
type Outcome string

// The outcomes. Every call ends with exactly one of them.
const (
	OutcomeComplete    Outcome = "complete"    // the whole response was delivered
	OutcomeNotRun      Outcome = "not_run"     // the call certainly did not run
	OutcomeUnknown     Outcome = "unknown"     // the call may have run
	OutcomeInterrupted Outcome = "interrupted" // only part of the response was delivered
)

// Stage is the furthest point that the current attempt is known to have
// reached.
type Stage uint8

// The stages of an attempt, in order.
const (
	StageUnsent   Stage = iota // nothing was sent, or the agent guaranteed that the attempt will not run
	StageOffered               // an agent may have received the offer
	StageAccepted              // an agent accepted the call and may have started it
	StageFinished              // the response is complete
)

// Call is the state of one call. It is an immutable value: the With methods
// return the next state.
type Call struct {
	repeatable bool
	buffered   bool // the caller receives the response only once it is complete
	keyed      bool // a call with its idempotency key may have run before, and no agent has said that none has
	stage      Stage
	mayHaveRun bool   // an earlier attempt may have run
	relayed    uint64 // frames passed on to the caller, or to the buffer
}

// New returns a call of which nothing was sent yet.
func New(repeatable bool) Call { return Call{repeatable: repeatable} }

// WithBuffering marks a call whose frames are buffered until the response is
// complete, so that it may start over after any frame.
func (c Call) WithBuffering() Call {
	c.buffered = true
	return c
}

// WithKey marks a call with an idempotency key, which its caller may have sent before.
func (c Call) WithKey() Call {
	c.keyed = true
	return c
}

// WithUnusedKey records the agent's guarantee that no call with the key has run.
func (c Call) WithUnusedKey() Call {
	c.keyed = false
	return c
}

// Stage returns the stage of the current attempt.
func (c Call) Stage() Stage { return c.stage }

// Relayed returns the number of frames passed on so far.
func (c Call) Relayed() uint64 { return c.relayed }

// WithOffer starts an attempt.
func (c Call) WithOffer() Call {
	invar.Check(c.MayOffer(), "no_repeat_once", "offer of a call at stage %d, earlier attempt may have run: %v", c.stage, c.mayHaveRun)
	c.stage = StageOffered
	return c
}

// WithAccept records that the agent accepted the call.
func (c Call) WithAccept() Call {
	c.stage = StageAccepted
	return c
}

// WithNotExecuted records the agent's guarantee that the attempt did not start and
// never will.
func (c Call) WithNotExecuted() Call {
	c.stage = StageUnsent
	return c
}

// WithLost gives up the attempt without knowing whether it ran. Buffered frames
// are discarded.
func (c Call) WithLost() Call {
	if c.stage != StageUnsent {
		c.mayHaveRun = true
	}
	c.stage = StageUnsent
	if c.buffered {
		c.relayed = 0
	}
	return c
}

// WithFrame records that the frame with this index was passed on.
func (c Call) WithFrame(index uint64) Call {
	invar.Check(index == c.relayed, "frames_in_order", "frame %d after %d frames", index, c.relayed)
	c.relayed = index + 1
	return c
}

// WithFinish records that the complete response reached the caller.
func (c Call) WithFinish() Call {
	c.stage = StageFinished
	return c
}

// MayOffer reports whether a new attempt may start: no attempt is open, no
// frame was passed on, and the call is repeatable or certainly did not run.
func (c Call) MayOffer() bool {
	return c.stage == StageUnsent && c.relayed == 0 && (c.repeatable || !c.mayHaveRun)
}

// DidNotRun reports whether this call certainly did not run. An earlier one with its idempotency
// key may have.
func (c Call) DidNotRun() bool { return !c.mayHaveRun && c.stage == StageUnsent && c.relayed == 0 }

// Outcome returns the outcome to report if the call ends now.
func (c Call) Outcome() Outcome {
	switch {
	case c.stage == StageFinished:
		return OutcomeComplete
	case c.relayed > 0 && !c.buffered:
		return OutcomeInterrupted
	case c.mayHaveRun || c.keyed || c.stage != StageUnsent:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// WithRelayed sets the number of frames that reached the caller through another
// entry, to continue a call from there.
func (c Call) WithRelayed(count uint64) Call {
	c.relayed = count
	return c
}
