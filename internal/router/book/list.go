package book

import (
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// Change is the effect of an update on one endpoint.
type Change struct {
	Endpoint endpt.Endpoint
	What     ChangeKind
}

// At returns the change with its endpoint's revision replaced by that of the
// registry event that caused it.
func (c Change) At(revision uint64) Change {
	c.Endpoint.Revision = revision
	return c
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The values of ChangeKind.
const (
	WhatNone       ChangeKind = iota // no change
	ChangeAdded                      // new, or a new incarnation
	WhatLeaving                      // no new work is placed on it from now on
	ChangeLapsed                     // no longer listed after a registry outage, but usable for a grace period
	ChangeRelisted                   // listed again within the grace period
)

// String returns the name used in log events.
func (w ChangeKind) String() string {
	return [...]string{"none", "added", "leaving", "lapsed", "returned"}[w]
}

// Put records an endpoint that the registry lists.
func (b *Book) Put(now time.Time, ep endpt.Endpoint) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.put(ep)
	b.placeWaiting(now)
	return change
}

func (b *Book) put(ep endpt.Endpoint) Change {
	e, known := b.endpoints[ep.ID]
	if known && ep.StartedMs < e.endpoint.StartedMs {
		return Change{Endpoint: ep} // late event of an earlier incarnation
	}
	if !known || e.removed || !e.endpoint.SameIncarnation(ep) || e.relisted(ep) {
		if known {
			e.markLeaving(ep.Revision)
		}
		e = &endpointState{endpoint: ep, leaving: make(chan struct{})}
		b.endpoints[ep.ID], b.regionIDs = e, nil
		if ep.Draining {
			e.markLeaving(ep.Revision)
			return Change{ep, WhatLeaving}
		}
		return Change{ep, ChangeAdded}
	}
	e.endpoint = ep
	switch {
	case ep.Draining && !e.isLeaving:
		e.markLeaving(ep.Revision)
		return Change{ep, WhatLeaving}
	case !e.graceUntil.IsZero():
		e.graceUntil = time.Time{}
		return Change{ep, ChangeRelisted}
	}
	return Change{Endpoint: ep}
}

// markLeaving stops new work for the endpoint, as reported at a registry revision. A
// draining incarnation does not return; one whose registry entry was removed may
// be listed again.
func (e *endpointState) markLeaving(revision uint64) {
	if !e.isLeaving {
		e.isLeaving, e.leavingRevision = true, revision
		close(e.leaving)
	}
}

// relisted reports whether an endpoint marked as leaving has registered again since
// then. The removal in between may not have been seen.
func (e *endpointState) relisted(ep endpt.Endpoint) bool {
	return e.isLeaving && !ep.Draining && ep.Revision > e.leavingRevision
}

// Leave marks an endpoint as leaving because a peer reported it. The report is
// ignored if it is about another incarnation or if the endpoint has registered
// again after the reported revision.
func (b *Book) Leave(id string, born int64, revision uint64) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.endpoints[id]
	if !known || e.isLeaving || e.endpoint.StartedMs != born || e.endpoint.Revision > revision {
		return Change{}
	}
	e.markLeaving(revision)
	return Change{e.endpoint, WhatLeaving}.At(revision)
}

// Busy returns the engines that run generations of this process and are not
// leaving.
func (b *Book) Busy() []endpt.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []endpt.Endpoint
	for _, e := range b.endpoints {
		if e.local.Tokens > 0 && !e.isLeaving {
			out = append(out, e.endpoint)
		}
	}
	return out
}

// IDs returns the sorted IDs of the endpoints in this process's region. The caller
// must not change the slice: it is cached until an endpoint is added or removed.
func (b *Book) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.regionIDs != nil {
		return b.regionIDs
	}
	b.regionIDs = []string{}
	for id, e := range b.endpoints {
		if e.endpoint.Region == b.cfg.Region {
			b.regionIDs = append(b.regionIDs, id)
		}
	}
	slices.Sort(b.regionIDs)
	return b.regionIDs
}

// Remove records that the registry no longer lists an endpoint. If grace is in the
// future, the endpoint stays usable until then, since its entry may have expired
// during a registry outage.
func (b *Book) Remove(now time.Time, id string, grace time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(now, id, grace)
}

func (b *Book) remove(now time.Time, id string, grace time.Time) Change {
	e, known := b.endpoints[id]
	switch {
	case !known:
		return Change{}
	case now.Before(grace) && !e.isLeaving:
		if !e.graceUntil.IsZero() {
			return Change{}
		}
		e.graceUntil = grace
		return Change{e.endpoint, ChangeLapsed}
	}
	wasLeaving := e.isLeaving
	e.markLeaving(e.endpoint.Revision)
	e.removed = true
	if e.local == (Load{}) {
		delete(b.endpoints, id)
		b.regionIDs = nil
	}
	if wasLeaving {
		return Change{}
	}
	return Change{e.endpoint, WhatLeaving}
}

// Replace records a complete listing: endpoints that are not in it are removed, as
// by Remove.
func (b *Book) Replace(now time.Time, list []endpt.Endpoint, grace time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, ep := range list {
		listed[ep.ID] = true
		changes = appendChange(changes, b.put(ep))
	}
	for id := range b.endpoints {
		if !listed[id] {
			changes = appendChange(changes, b.remove(now, id, grace))
		}
	}
	b.placeWaiting(now)
	return changes
}

func appendChange(list []Change, c Change) []Change {
	if c.What == WhatNone {
		return list
	}
	return append(list, c)
}

// Expire removes endpoints whose grace period has ended.
func (b *Book) Expire(now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for id, e := range b.endpoints {
		if !e.graceUntil.IsZero() && now.After(e.graceUntil) {
			changes = appendChange(changes, b.remove(now, id, time.Time{}))
		}
	}
	b.placeWaiting(now) // cold limits and suspect times may have ended
	return changes
}

// Evacuate takes a data centre out of service or, if out is false, back into
// service. It reports whether this changed anything.
func (b *Book) Evacuate(now time.Time, centre string, out bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuated[centre] == out {
		return false
	}
	if out {
		b.evacuated[centre] = true
	} else {
		delete(b.evacuated, centre)
	}
	b.placeWaiting(now)
	return true
}

// Evacuated returns the data centres that are out of service.
func (b *Book) Evacuated() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for centre := range b.evacuated {
		out = append(out, centre)
	}
	return out
}
