package sched

import (
	"maps"
	"math"
	"time"
)

// removedTTL is how long the state of an endpoint is kept that the registry has ceased to
// list. It is longer than a registry can lose when it comes back from an older copy.
const removedTTL = time.Minute

// heldRevision is the revision of a leaving endpoint that the registry may list as ready
// only because it came back older. No registration has a later one.
const heldRevision = math.MaxUint64 - 1

// BeginEpoch takes note that the registry came back from an older copy. Its revisions can
// no longer be compared with earlier ones. Endpoints that are leaving, or have left, stay so
// for a time even if the registry lists them as ready: entries of those that are gone expire
// within it.
func (s *Scheduler) BeginEpoch(now time.Time, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdUntil = now.Add(hold)
	for _, e := range s.endpoints {
		e.endpoint.Revision = 0
		if e.isLeaving && e.leavingRevision != RevisionUntilRestart {
			e.hold(now, s.holdUntil)
		}
	}
}

// forgetRemoved drops the states of endpoints that the registry has not listed for long, if no
// calls run there.
func (s *Scheduler) forgetRemoved(now time.Time) {
	maps.DeleteFunc(s.endpoints, func(_ string, e *endpointState) bool {
		return e.removed && e.local == (Load{}) && now.Sub(e.removedAt) > removedTTL
	})
}

// hold keeps an endpoint leaving until a time.
func (e *endpointState) hold(now, until time.Time) {
	e.markLeaving(now, heldRevision)
	e.leavingRevision, e.heldUntil = heldRevision, until
}

// hasDeparted reports whether the registry lists an endpoint that had left before it came
// back from an older copy.
func (s *Scheduler) hasDeparted(now time.Time, e *endpointState) bool {
	return !e.departedAt.IsZero() && now.Sub(e.departedAt) <= removedTTL && now.Before(s.holdUntil)
}

// endHolds makes the endpoints usable that the registry still lists as ready.
func (s *Scheduler) endHolds(now time.Time) (changes []Change) {
	for _, e := range s.endpoints {
		if ep := e.earlierStart; ep != nil && !now.Before(s.holdUntil) {
			e.earlierStart, e.endpoint.Revision = nil, 0
			if c := s.put(now, *ep); c.Kind != ChangeNone {
				changes = append(changes, c)
			}
			continue
		}
		if e.heldUntil.IsZero() || now.Before(e.heldUntil) {
			continue
		}
		e.heldUntil = time.Time{}
		if e.removed || e.endpoint.Draining {
			e.leavingRevision = e.endpoint.Revision
			continue
		}
		changes = append(changes, s.list(now, e))
	}
	return changes
}
