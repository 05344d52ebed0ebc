package serve

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
)

// showing is what a stream shows once a final move of its run has been sent.
type showing string

const (
	showsMore    showing = "goes on"
	showsEnd     showing = "ends properly"
	showsCut     showing = "closes without its end"
	showsSilence showing = "falls silent"
)

// stopRow is what the final move of a run may come to, and what its stream may show then.
type stopRow struct {
	name   string
	handle string
	err    error
	state  stopState
	shows  []showing
}

func stopRows() []stopRow {
	any4 := []showing{showsMore, showsEnd, showsCut, showsSilence}
	stopped := []showing{showsCut, showsSilence}
	return []stopRow{
		{"never sent", "", unsentErr, runNotStopped, any4},
		{"no answer", "", brokenErr, runMaybeStopped, any4},
		{"an answer that cannot be read", "", errors.New("the response names no copy"), runMaybeStopped, any4},
		{"copied", "handle", nil, runStopped, stopped},
		{"not running", "", ErrNotRunning, runNotThere, any4},
		{"another move in progress", "", ErrMoveRefused, runNotStopped, any4},
		{"refused without a handle", "", ErrNoRoom, runNotStopped, any4},
		{"no room, stopped all the same", "handle", ErrNoRoom, runStopped, stopped},
	}
}

// cannotBeTold reports whether a body without framing leaves open whether the run is complete.
// After a loss of the engine it is taken for complete, and after a final move without an answer
// for stopped.
func (r stopRow) cannotBeTold(shows showing) bool {
	return shows == showsCut && (r.state == runNotStopped || r.state == runNotThere) || shows == showsEnd && r.state == runMaybeStopped
}

// Guards against a stream that its engine had ended properly and that was cut, as its final move
// had failed, and against one that was stopped and counts as complete or is not continued from
// its copy: each result of a final move with all that the stream may show before or after it.
func TestStreamAfterFinalMove(t *testing.T) {
	for _, row := range stopRows() {
		for _, shows := range row.shows {
			for _, isBefore := range []bool{true, false} {
				for _, unframed := range []bool{false, true} {
					if unframed && row.cannotBeTold(shows) {
						continue
					}
					name := fmt.Sprintf("%s/%s/before the answer: %v/unframed: %v", row.name, shows, isBefore, unframed)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { expectWholeStream(t, row, shows, isBefore, unframed) })
					})
				}
			}
		}
	}
}

// Guards against a stream without framing that its final move has stopped, and that counts as
// complete as a second one is refused: the first, whose answer was lost, may still be in progress.
func TestRefusalAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := streamReply(0, 40)
		first.unframed = true
		h := newHarness(first)
		h.moveTimes = idleLinkTimes
		h.onFinalMove = func() (string, error) {
			h.onFinalMove = func() (string, error) {
				h.stop()
				time.Sleep(moveReportDelay)
				return "", ErrMoveRefused
			}
			return "", brokenErr
		}
		go func() {
			time.Sleep(510 * time.Millisecond)
			h.removeFirstEndpoint()
			h.setReplies(reply{status: 200, until: 39, gap: 50 * time.Millisecond})
		}()
		expectStream(t, h, h.serve(t.Context(), desc.KindStream, 1), callst.OutcomeComplete, 40)
		expectNoLoad(t, h)
	})
}

// Guards against a stream whose engine stands still after its final move and which waits for
// further moves instead of going on from its copy, as callers abandon a stream after 2 s.
func TestEngineStandsStillAfterFinalMove(t *testing.T) {
	inBothFramings(t, "stands still", func(t *testing.T, unframed bool) {
		first := streamReply(0, 40)
		first.unframed = unframed
		h := newHarness(first)
		h.moveTimes = idleLinkTimes
		h.onFinalMove = func() (string, error) {
			h.hang()
			h.moveTimes, h.moveErr = []time.Duration{3 * time.Second}, brokenErr
			time.Sleep(moveReportDelay)
			return "", brokenErr
		}
		go func() {
			time.Sleep(510 * time.Millisecond)
			h.removeFirstEndpoint()
			h.setReplies(reply{status: 200, until: 39, gap: 50 * time.Millisecond})
		}()
		result := h.serve(t.Context(), desc.KindStream, 1)
		expectStream(t, h, result, callst.OutcomeComplete, 40)
		if result.LongestGap > 2*time.Second {
			t.Errorf("pause of %v in the stream, want at most 2 s", result.LongestGap)
		}
		expectNoLoad(t, h)
	})
}

func expectWholeStream(t *testing.T, row stopRow, shows showing, isBefore, unframed bool) {
	t.Helper()
	const lastID = 39
	if state := stateAfterStop(row.handle, row.err); state != row.state {
		t.Errorf("the run is %v, want %v", state, row.state)
	}
	first := streamReply(0, lastID+1)
	first.unframed = unframed
	h := newHarness(first)
	h.moveTimes = idleLinkTimes
	h.onFinalMove = func() (string, error) {
		act := map[showing]func(){showsMore: func() {}, showsEnd: h.finish, showsCut: h.stop, showsSilence: h.hang}[shows]
		if isBefore {
			act()
		} else {
			time.AfterFunc(moveReportDelay, act)
		}
		time.Sleep(moveReportDelay / 2)
		return row.handle, row.err
	}
	go func() {
		time.Sleep(510 * time.Millisecond)
		h.removeFirstEndpoint()
		h.setReplies(reply{status: 200, until: lastID, gap: 50 * time.Millisecond})
	}()
	result := h.serve(t.Context(), desc.KindStream, 1)
	events, wantSends := lastID+1, 2
	if shows == showsEnd {
		events, wantSends = strings.Count(h.String(), "\n\n"), 1
	}
	expectStream(t, h, result, callst.OutcomeComplete, events)
	if sent, _ := h.sends(); len(sent) != wantSends || wantSends == 2 && !strings.HasSuffix(sent[1], " from handle") {
		t.Errorf("sends %q, want %d, the second from the copy", sent, wantSends)
	}
	expectNoLoad(t, h)
	if shows == showsEnd && h.freedCopies == 0 {
		t.Error("the copy of a run that has ended was not freed")
	}
}
