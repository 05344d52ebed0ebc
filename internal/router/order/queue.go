package order

import (
	"cmp"
	"time"
)

const (
	// runPart is the part of a call's run time by which others may come later and still go
	// before it. A short call then loses less by waiting for a long one than the long one
	// would by waiting for it, and no call is passed over for longer than this part.
	runPart = 1.0 / ShortRatio
	// lagPart is the part of the time until its latest start by which a call is put back whose
	// workspace used twice its share. The call can still be in time then.
	lagPart = 0.5
	// overtakePart is the part of the time until its latest start for which a call without
	// room may be passed over. In the rest, room that becomes free is held for it: memory for
	// a large call takes the ends of several others.
	overtakePart = 0.25
)

// Entry is a call that waits.
type Entry struct {
	Work
	Number   uint64    // of its arrival
	Since    time.Time // start of the wait
	StartBy  time.Time // latest start that meets its target
	Deadline time.Time // end of the wait
	// OwnRun is the expected run time of this call alone, by its own size, 0 if unknown. Work.Run
	// is that of its route, which tells which kinds of calls are short.
	OwnRun time.Duration
	InTurn bool // only priority and arrival count: its endpoints hand out permits in that order
}

// Rank is the place of a call in the queue.
type Rank struct {
	Late     bool // it cannot meet its target
	Priority int
	At       time.Time
	Number   uint64
}

// Rank returns the place of the call. Calls that can still meet their target go first, then
// more urgent ones, then those with the earliest latest start and the shorter run; those of
// workspaces that used more than their share go later.
func (e Entry) Rank(now time.Time, excess Excess) Rank {
	r := Rank{Late: now.After(e.StartBy), Priority: e.Priority, Number: e.Number}
	if e.InTurn {
		return r
	}
	run := e.OwnRun
	if run == 0 {
		run = e.Run
	}
	r.At = e.StartBy.Add(time.Duration(runPart * float64(run)))
	r.At = r.At.Add(e.Lag(excess))
	return r
}

// Lag returns by how much the call is put back because its workspace used more than its share.
func (e Entry) Lag(excess Excess) time.Duration {
	if e.InTurn {
		return 0
	}
	return time.Duration(lagPart * excess[e.Workspace] * float64(e.patience()))
}

// patience is the time that the call had until its latest start when it began to wait.
func (e Entry) patience() time.Duration { return max(0, e.StartBy.Sub(e.Since)) }

// Compare orders calls: the one that goes first is lower.
func (r Rank) Compare(o Rank) int {
	late := func(r Rank) int {
		if r.Late {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(late(r), late(o)), cmp.Compare(r.Priority, o.Priority), r.At.Compare(o.At), cmp.Compare(r.Number, o.Number))
}

// Holds reports whether a call without room holds the room that becomes free, so that calls
// behind it do not take it.
func (e Entry) Holds(now time.Time) bool {
	return e.InTurn || now.Sub(e.Since) >= time.Duration(overtakePart*float64(e.patience()))
}

// MayPass reports whether a call may be placed before another one that holds room. Only a
// short call may, in the room that the other one leaves for such calls.
func (e Entry) MayPass(holder Entry) bool {
	return !e.InTurn && e.IsShortBeside(holder.Run) && e.Priority <= holder.Priority
}

// NeedsAsMuch reports whether a call finds no room where another one of the same service
// found none: it needs as much memory and leaves as much for shorter calls.
func (e Entry) NeedsAsMuch(failed Entry) bool {
	return e.Tokens >= failed.Tokens && e.Run >= failed.Run && e.Priority >= failed.Priority
}
