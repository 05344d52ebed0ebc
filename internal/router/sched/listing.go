package sched

import (
	"math"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/avail"
)

// Change is the effect of an update on one endpoint.
type Change struct {
	Endpoint endpt.Endpoint
	Kind     ChangeKind
}

// AtRevision returns the change with its endpoint's revision replaced by that of the
// registry event that caused it.
func (c Change) AtRevision(revision uint64) Change {
	c.Endpoint.Revision = revision
	return c
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The values of ChangeKind.
const (
	ChangeNone     ChangeKind = iota // no change
	ChangeAdded                      // new, or a new incarnation
	ChangeLeaving                    // no new work is placed on it from now on
	ChangeLapsed                     // no longer listed after a registry outage, but usable for a grace period
	ChangeRelisted                   // listed again within the grace period
)

// String returns the name used in log events.
func (k ChangeKind) String() string {
	return [...]string{"none", "added", "leaving", "lapsed", "returned"}[k]
}

// Put records an endpoint that the registry lists.
func (s *Scheduler) Put(now time.Time, ep endpt.Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followedSince.IsZero() {
		s.followedSince = now
	}
	change := s.put(now, ep)
	s.placeWaiting(now)
	return change
}

func (s *Scheduler) put(now time.Time, ep endpt.Endpoint) Change {
	e, known := s.endpoints[ep.ID]
	if known && s.isOutdated(now, e, ep) {
		return Change{Endpoint: ep}
	}
	switch {
	case !known:
		return s.list(now, newState(ep))
	case !e.endpoint.SameIncarnation(ep):
		e.markLeaving(now, ep.Revision)
		s.recordReplaced(now, e.endpoint)
		return s.list(now, newState(ep))
	case e.removed || e.relisted(ep):
		e.endpoint = ep
		return s.list(now, e)
	}
	e.endpoint, e.earlierStart = ep, nil
	switch {
	case ep.Draining && !e.isLeaving:
		e.markLeaving(now, ep.Revision)
		return Change{ep, ChangeLeaving}
	case !e.graceUntil.IsZero():
		e.graceUntil = time.Time{}
		return Change{ep, ChangeRelisted}
	}
	return Change{Endpoint: ep}
}

// isOutdated reports whether an entry is older than the one that is known, by the registry's
// revision: start times come from clocks that may be set back. A registry that has just come
// back from an older copy may list an earlier incarnation; endHolds applies that entry if the
// endpoint has not registered again by then.
func (s *Scheduler) isOutdated(now time.Time, e *endpointState, ep endpt.Endpoint) bool {
	if now.Before(s.holdUntil) {
		if ep.StartedMs < e.endpoint.StartedMs {
			e.earlierStart = &ep
			return true
		}
		return false
	}
	return ep.Revision < e.endpoint.Revision
}

// list makes an endpoint usable that the registry lists from now on, or again, unless there is
// a reason against it.
func (s *Scheduler) list(now time.Time, e *endpointState) Change {
	ep := e.endpoint
	s.endpoints[ep.ID] = e
	s.changedAt[e.key] = now
	departed := s.hasDeparted(now, e)
	if e.isLeaving {
		e.isLeaving, e.leaving = false, make(chan struct{})
	}
	e.removed, e.heldUntil, e.graceUntil, e.earlierStart = false, time.Time{}, time.Time{}, nil
	switch {
	case s.words.IsLeaving(now, incarnationOf(ep)):
		e.markLeaving(now, RevisionUntilRestart)
		return Change{ep, ChangeLeaving}.AtRevision(RevisionUntilRestart)
	case ep.Draining:
		e.markLeaving(now, ep.Revision)
	case departed:
		e.hold(now, s.holdUntil)
	default:
		e.departedAt = time.Time{}
		return Change{ep, ChangeAdded}
	}
	return Change{ep, ChangeLeaving}
}

// markLeaving stops new work for the endpoint, as reported at a registry revision.
// Only a later registration that is not draining makes it usable again; see relisted.
func (e *endpointState) markLeaving(now time.Time, revision uint64) {
	if !e.isLeaving {
		e.isLeaving, e.leavingSince, e.leavingRevision = true, now, revision
		close(e.leaving)
	}
}

// RevisionUntilRestart is the revision of a leaving endpoint that said so itself: no
// later registration of the same incarnation makes it usable again.
const RevisionUntilRestart = math.MaxUint64

// relisted reports whether an endpoint marked as leaving has registered again since
// then. The removal in between may not have been seen.
func (e *endpointState) relisted(ep endpt.Endpoint) bool {
	return e.isLeaving && !ep.Draining && ep.Revision > e.leavingRevision
}

// HearLeaving takes note that an endpoint has said that it leaves, to this process or to a
// peer, also if the registry does not list it. No later entry of the same
// incarnation makes it usable again.
func (s *Scheduler) HearLeaving(now time.Time, ep endpt.Endpoint) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.words.Hear(now, incarnationOf(ep), avail.Leaving{}) {
		return Change{}
	}
	if e, known := s.endpoints[ep.ID]; known && e.endpoint.StartedMs == ep.StartedMs {
		e.markLeaving(now, RevisionUntilRestart)
		e.leavingRevision = RevisionUntilRestart
		ep = e.endpoint
	}
	return Change{ep, ChangeLeaving}.AtRevision(RevisionUntilRestart)
}

// MarkLeaving marks an endpoint as leaving because a peer's copy of the registry says so. The
// report is ignored if it is about another incarnation or if the endpoint has registered
// again after the reported revision.
func (s *Scheduler) MarkLeaving(now time.Time, id string, startedMs int64, revision uint64) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.endpoints[id]
	if !known || e.isLeaving || e.endpoint.StartedMs != startedMs || e.endpoint.Revision > revision {
		return Change{}
	}
	e.markLeaving(now, revision)
	return Change{e.endpoint, ChangeLeaving}.AtRevision(revision)
}

// BusyEngines returns the engines that run generations of this process and are not
// leaving.
func (s *Scheduler) BusyEngines() []endpt.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []endpt.Endpoint
	for _, e := range s.endpoints {
		if e.local.MemoryTokens > 0 && !e.isLeaving {
			out = append(out, e.endpoint)
		}
	}
	return out
}

// Remove records that the registry no longer lists an endpoint. If grace is in the
// future, the endpoint stays usable until then, since its entry may have expired
// during a registry outage.
func (s *Scheduler) Remove(now time.Time, id string, grace time.Time) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(now, id, grace)
}

func (s *Scheduler) remove(now time.Time, id string, grace time.Time) Change {
	e, known := s.endpoints[id]
	switch {
	case !known, e.removed:
		return Change{}
	case now.Before(grace) && !e.isLeaving:
		if !e.graceUntil.IsZero() {
			return Change{}
		}
		e.graceUntil = grace
		return Change{e.endpoint, ChangeLapsed}
	}
	wasLeaving := e.isLeaving
	e.earlierStart = nil
	if e.graceUntil.IsZero() {
		e.departedAt = now
	}
	e.markLeaving(now, e.endpoint.Revision)
	e.removed, e.removedAt = true, now
	if wasLeaving {
		return Change{}
	}
	return Change{e.endpoint, ChangeLeaving}
}

func appendChange(list []Change, c Change) []Change {
	if c.Kind == ChangeNone {
		return list
	}
	return append(list, c)
}

// ExpireGrace removes endpoints whose grace period has ended.
func (s *Scheduler) ExpireGrace(now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for id, e := range s.endpoints {
		if !e.graceUntil.IsZero() && now.After(e.graceUntil) {
			changes = appendChange(changes, s.remove(now, id, time.Time{}))
		}
	}
	changes = append(changes, s.endHolds(now)...)
	s.forgetRemoved(now)
	s.forgetQueues(now)
	s.placeWaiting(now) // cold limits and suspect times may have ended
	return changes
}

// Evacuate takes a data centre out of service or, if out is false, back into
// service. It reports whether this changed anything.
func (s *Scheduler) Evacuate(now time.Time, dataCentre string, out bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated[dataCentre] == out {
		return false
	}
	if out {
		s.evacuated[dataCentre] = true
	} else {
		delete(s.evacuated, dataCentre)
	}
	s.placeWaiting(now)
	return true
}

// Evacuated returns the data centres that are out of service.
func (s *Scheduler) Evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for dataCentre := range s.evacuated {
		out = append(out, dataCentre)
	}
	return out
}
