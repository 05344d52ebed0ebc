package serve

import (
	"errors"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
)

// stopState is what the final move of a run says of the run. What the stream shows decides
// together with it, see docs/design/leaving.md.
type stopState uint8

const (
	runNotStopped   stopState = iota // no final move, or none that the engine has carried out
	runMaybeStopped                  // the engine may have got the final move, and its answer is unknown
	runStopped                       // the stream closes without its end
	runNotThere                      // the engine does not run the call: it has ended, or was preempted or lost
)

var stopStateNames = [...]string{"not stopped", "maybe stopped", "stopped", "not there"}

func (s stopState) String() string { return stopStateNames[s] }

// stateAfterStop returns the state of a run after a final move with this result of
// Upstream.Move.
func stateAfterStop(handle string, err error) stopState {
	var sendErr *httpc.Error
	switch {
	case err == nil, handle != "":
		return runStopped
	case errors.Is(err, ErrNotRunning):
		return runNotThere
	case errors.Is(err, ErrMoveRefused), errors.As(err, &sendErr) && sendErr.Kind == httpc.KindUnsent:
		return runNotStopped
	}
	return runMaybeStopped
}

// recordStop takes over what a move has said of the run. An answer that was lost is not made up
// for by a later one.
func (c *streamCall) recordStop(state stopState) {
	if state == runMaybeStopped || c.stop == runNotStopped {
		c.stop = state
	}
	if state == runMaybeStopped {
		c.stopUnknown = time.Now()
	}
}

// bufferedFor is how long events that a run has made before its stop may still arrive.
const bufferedFor = 100 * time.Millisecond

// goesOn reports whether the current source may be moved again: not if it may have been stopped
// and has not shown since that it was not. An engine that stands still answers no move, and the
// stream would wait for that instead of going on from its copy.
func (c *streamCall) goesOn() bool {
	return c.stop != runMaybeStopped || c.lastEventAt.Sub(c.stopUnknown) > bufferedFor
}

// endIsSure reports whether the regular end of the current source's body is the end of its
// run. A run that was stopped closes its stream without one, but a body without length or
// chunks ends in the same way whether its run was stopped or is complete.
func (c *streamCall) endIsSure() bool {
	return !c.source.response.Unframed || c.movedCopy == nil && !c.stopPending() && c.stop != runMaybeStopped
}

// stopPending reports whether a final move of the current source awaits its answer.
func (c *streamCall) stopPending() bool { return c.movedCopy == nil && c.finalMoveSent.Load() }

// endedComplete reports whether a source whose body ended while its final move was pending has
// ended its run, as the move's answer tells, and no earlier one may have stopped it.
func (c *streamCall) endedComplete(state stopState) bool {
	return c.sourceEnded && c.stop != runMaybeStopped && (state == runNotStopped || state == runNotThere)
}
