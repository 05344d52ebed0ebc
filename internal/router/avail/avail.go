// Package avail remembers what endpoints say about the calls that they want. Records are kept
// by incarnation and do not depend on the registry's entries, which may lapse, be rewritten, or
// arrive late. It does no I/O.
package avail

import (
	"maps"
	"slices"
	"time"
)

// Incarnation is one start of an endpoint.
type Incarnation struct {
	ID        string
	StartedMs int64 // as in endpt.Endpoint
}

// Reason is why an incarnation gets no calls.
type Reason interface{ reason() }

// Leaving means that the endpoint wants no calls until it stops.
type Leaving struct{}

// Closed means that the endpoint wants no calls of this process until a time.
type Closed struct{ Until time.Time }

func (Leaving) reason() {}
func (Closed) reason()  {}

const (
	// leavingTTL is longer than a leaving endpoint goes on running.
	leavingTTL = time.Hour
	// maxIncarnations bounds memory, above the endpoints of the largest fleet and those that
	// replace them in an hour.
	maxIncarnations = 4096
)

// record is what one incarnation has said.
type record struct {
	leaving     time.Time // when it last said that it leaves, zero if it did not
	closedUntil time.Time
	heard       time.Time // its newest reason
}

func (r record) isLeaving(now time.Time) bool {
	return !r.leaving.IsZero() && now.Sub(r.leaving) <= leavingTTL
}

// ended reports whether nothing of the record holds any more.
func (r record) ended(now time.Time) bool {
	return !r.isLeaving(now) && !now.Before(r.closedUntil)
}

// Ledger holds the reasons of all incarnations. It is not safe for concurrent use.
type Ledger struct {
	records     map[Incarnation]record
	closedUntil time.Time // the latest of all incarnations
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{records: map[Incarnation]record{}} }

// Hear records a reason. It reports whether it was not known before.
func (l *Ledger) Hear(now time.Time, i Incarnation, reason Reason) (news bool) {
	r, known := l.records[i]
	if !known {
		l.makeRoom(now)
	}
	switch reason := reason.(type) {
	case Leaving:
		news = !l.IsLeaving(now, i)
		r.leaving = now
	case Closed:
		if news = reason.Until.After(r.closedUntil); news {
			r.closedUntil = reason.Until
		}
		if reason.Until.After(l.closedUntil) {
			l.closedUntil = reason.Until
		}
	}
	r.heard = now
	l.records[i] = r
	return news
}

// makeRoom drops what has ended and, if that is not enough, the oldest quarter.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.records) < maxIncarnations {
		return
	}
	maps.DeleteFunc(l.records, func(_ Incarnation, r record) bool { return r.ended(now) })
	if len(l.records) < maxIncarnations {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(l.records), func(a, b Incarnation) int { return l.records[a].heard.Compare(l.records[b].heard) })
	for _, i := range oldest[:maxIncarnations/4] {
		delete(l.records, i)
	}
}

// IsLeaving reports whether an incarnation has said that it leaves.
func (l *Ledger) IsLeaving(now time.Time, i Incarnation) bool {
	return l.records[i].isLeaving(now)
}

// AnyClosed reports whether any incarnation may want no calls for a while.
func (l *Ledger) AnyClosed(now time.Time) bool { return now.Before(l.closedUntil) }

// ClosedFor returns for how long an incarnation wants no calls, 0 if it wants some.
func (l *Ledger) ClosedFor(now time.Time, i Incarnation) time.Duration {
	if !l.AnyClosed(now) {
		return 0
	}
	return max(0, l.records[i].closedUntil.Sub(now))
}

// Clone returns a copy of the ledger that shares nothing with it.
func (l *Ledger) Clone() *Ledger { return &Ledger{maps.Clone(l.records), l.closedUntil} }
