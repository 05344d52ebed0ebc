package book

import (
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// Change tells what a listing did to one endpoint.
type Change struct {
	Endpoint endpt.Endpoint
	What     What
}

// At returns the change as seen at a revision of the registry.
func (c Change) At(revision uint64) Change {
	c.Endpoint.Revision = revision
	return c
}

// What names a Change.
type What uint8

// The changes of an endpoint.
const (
	WhatNone    What = iota
	WhatAdded        // new, or a new incarnation
	WhatLeaving      // gets no new work from now on
	WhatLapsed       // missing after an outage of the registry, usable for a while
	WhatReturn       // listed again
)

// String returns the name used in logs.
func (w What) String() string {
	return [...]string{"none", "added", "leaving", "lapsed", "returned"}[w]
}

// Put records one listed endpoint.
func (b *Book) Put(now time.Time, ep endpt.Endpoint) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.put(ep)
	b.serveWaiting(now)
	return change
}

func (b *Book) put(ep endpt.Endpoint) Change {
	e, known := b.endpoints[ep.ID]
	if known && ep.Born < e.endpoint.Born {
		return Change{Endpoint: ep} // a late message of an earlier incarnation
	}
	if !known || e.removed || !e.endpoint.Same(ep) || e.returns(ep) {
		if known {
			e.leave(ep.Revision)
		}
		e = &entry{endpoint: ep, leaving: make(chan struct{})}
		b.endpoints[ep.ID], b.ids = e, nil
		if ep.Draining {
			e.leave(ep.Revision)
			return Change{ep, WhatLeaving}
		}
		return Change{ep, WhatAdded}
	}
	e.endpoint = ep
	switch {
	case ep.Draining && !e.left:
		e.leave(ep.Revision)
		return Change{ep, WhatLeaving}
	case !e.lapsed.IsZero():
		e.lapsed = time.Time{}
		return Change{ep, WhatReturn}
	}
	return Change{Endpoint: ep}
}

// leave ends new work for the endpoint, on a word of that revision. An incarnation
// that drains does not come back; one whose entry went missing may.
func (e *entry) leave(revision uint64) {
	if !e.left {
		e.left, e.leftAt = true, revision
		close(e.leaving)
	}
}

// returns reports whether an endpoint that was said to leave has listed itself
// again since. The removal between may not have been seen.
func (e *entry) returns(ep endpt.Endpoint) bool {
	return e.left && !ep.Draining && ep.Revision > e.leftAt
}

// Leave ends new work for an endpoint on a peer's word. An endpoint that listed
// itself again after the revision that the peer speaks of has not left.
func (b *Book) Leave(id string, born int64, revision uint64) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.endpoints[id]
	if !known || e.left || e.endpoint.Born != born || e.endpoint.Revision > revision {
		return Change{}
	}
	e.leave(revision)
	return Change{e.endpoint, WhatLeaving}.At(revision)
}

// Busy returns the engines that run generations of this process.
func (b *Book) Busy() []endpt.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []endpt.Endpoint
	for _, e := range b.endpoints {
		if e.mine.Tokens > 0 && !e.left {
			out = append(out, e.endpoint)
		}
	}
	return out
}

// IDs returns the endpoints of the process's region, sorted. The slice must not be
// changed: it is made again only when endpoints come or go.
func (b *Book) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ids != nil {
		return b.ids
	}
	b.ids = []string{}
	for id, e := range b.endpoints {
		if e.endpoint.Region == b.cfg.Region {
			b.ids = append(b.ids, id)
		}
	}
	slices.Sort(b.ids)
	return b.ids
}

// Remove records that the registry no longer lists an endpoint. With a grace it
// stays usable until then, since its entry may have expired while the registry
// was away.
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
	case now.Before(grace) && !e.left:
		if !e.lapsed.IsZero() {
			return Change{}
		}
		e.lapsed = grace
		return Change{e.endpoint, WhatLapsed}
	}
	wasLeft := e.left
	e.leave(e.endpoint.Revision)
	e.removed = true
	if e.mine == (Load{}) {
		delete(b.endpoints, id)
		b.ids = nil
	}
	if wasLeft {
		return Change{}
	}
	return Change{e.endpoint, WhatLeaving}
}

// Replace records a whole listing.
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
	b.serveWaiting(now)
	return changes
}

func appendChange(list []Change, c Change) []Change {
	if c.What == WhatNone {
		return list
	}
	return append(list, c)
}

// Expire drops endpoints whose grace is over.
func (b *Book) Expire(now time.Time) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for id, e := range b.endpoints {
		if !e.lapsed.IsZero() && now.After(e.lapsed) {
			changes = appendChange(changes, b.remove(now, id, time.Time{}))
		}
	}
	b.serveWaiting(now) // allowances and suspicions end with time
	return changes
}

// Evacuate takes a data centre out or back in. It reports whether that changed
// anything.
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
	b.serveWaiting(now)
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
