package sched

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// Limits holds the rates that endpoints accept from all processes together, and the
// permits of this process for calls to such endpoints.
type Limits interface {
	// Any reports whether any endpoint may name a limit.
	Any() bool
	// Limit returns the limit that an endpoint names. named is false if it names none.
	Limit(now time.Time, e endpt.Endpoint) (limit Limit, named bool)
	// Take uses one of the permits, if the endpoint names a limit.
	Take(now time.Time, e endpt.Endpoint)
}

// Limit is an endpoint's limit.
type Limit struct {
	Rate    float64       // calls a second from all processes together, above 0
	Permits int           // calls that this process may send now
	Queued  int           // permits that are to come
	Wait    time.Duration // until this process may ask for more permits
}

// Demand is how many calls this process wants to send to an endpoint.
type Demand struct {
	Calls    int
	Priority int           // of the most urgent one
	Patience time.Duration // until the last of them gives up
}

const (
	// A process that would rather have placed a call on a limited endpoint asks for one
	// permit in advance.
	advancePriority = 1 << 10 // less urgent than any call
	advancePatience = time.Second
	missedTTL       = 300 * time.Millisecond

	maxDemand = 64 // waiting calls that ask for permits
)

// limit returns the limit of an endpoint. One that wants nothing for a while has a limit
// without permits until then.
func (s *Scheduler) limit(now time.Time, e *endpointState) (l Limit, named bool) {
	if s.cfg.Limits != nil {
		l, named = s.cfg.Limits.Limit(now, e.endpoint)
	}
	if wait := e.closedUntil.Sub(now); wait > 0 {
		return Limit{Rate: max(l.Rate, closedRate), Wait: max(l.Wait, wait)}, true
	}
	return l, named
}

// closedRate is the assumed rate of an endpoint that has only said when it wants calls again.
const closedRate = 1.0

// mayBeLimited reports whether any endpoint may have a limit.
func (s *Scheduler) mayBeLimited(now time.Time) bool {
	return s.cfg.Limits != nil && s.cfg.Limits.Any() || now.Before(s.closedUntil)
}

// Close stops calls to one incarnation of an endpoint until a time. It reports whether the
// endpoint is known.
func (s *Scheduler) Close(id string, startedMs int64, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.endpoints[id]
	if !known || e.endpoint.StartedMs != startedMs {
		return false
	}
	if until.After(e.closedUntil) {
		e.closedUntil = until
	}
	if until.After(s.closedUntil) {
		s.closedUntil = until
	}
	return true
}

func (s *Scheduler) hasPermit(now time.Time, e *endpointState) bool {
	l, named := s.limit(now, e)
	return !named || l.Permits > 0
}

// limitedEndpoint is an endpoint that names a limit, with the calls that are to be sent
// to it.
type limitedEndpoint struct {
	*endpointState
	limit  Limit
	demand Demand
}

// Demand returns what this process wants to send to endpoints that name a limit. Each
// waiting call counts at the endpoint that is expected to have a permit for it first, if
// any.
func (s *Scheduler) Demand(now time.Time) map[Key]Demand {
	if s.cfg.Limits == nil || !s.cfg.Limits.Any() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var limited []*limitedEndpoint
	for _, e := range s.endpoints {
		if l, named := s.limit(now, e); named {
			limited = append(limited, &limitedEndpoint{endpointState: e, limit: l})
		}
	}
	if len(limited) == 0 {
		return nil
	}
	for _, w := range s.waiting[:min(maxDemand, len(s.waiting))] {
		s.addDemand(now, limited, w)
	}
	out := map[Key]Demand{}
	for _, e := range limited {
		switch {
		case e.demand.Calls > 0:
			out[e.key] = e.demand
		case now.Sub(e.missedAt) < missedTTL:
			out[e.key] = Demand{Calls: 1, Priority: advancePriority, Patience: advancePatience}
		}
	}
	return out
}

func (s *Scheduler) addDemand(now time.Time, limited []*limitedEndpoint, w *waiter) {
	var best *limitedEndpoint
	bestWait := 0.0
	for _, e := range limited {
		covered := e.limit.Permits + e.limit.Queued - e.demand.Calls
		if !s.usable(now, e.endpointState, w.request) || e.limit.Wait > 0 && covered <= 0 {
			continue
		}
		if wait := float64(max(0, 1-covered)) / e.limit.Rate; best == nil || wait < bestWait {
			best, bestWait = e, wait
		}
	}
	if best == nil {
		return
	}
	d := &best.demand
	if d.Calls == 0 || w.options.Priority < d.Priority {
		d.Priority = w.options.Priority
	}
	d.Calls++
	d.Patience = max(d.Patience, w.options.Deadline.Sub(now))
}

// LimitedWait returns how long a call is expected to wait if it is queued now. limited is
// false if it may be sent to an endpoint that names no limit, or to none.
func (s *Scheduler) LimitedWait(now time.Time, req Request) (wait time.Duration, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := 0
	for _, w := range s.waiting {
		if w.request.Service == req.Service {
			ahead++
		}
	}
	return s.limitedWait(now, req, ahead)
}

// limitedWait is LimitedWait for a call with a number of others before it.
func (s *Scheduler) limitedWait(now time.Time, req Request, ahead int) (wait time.Duration, limited bool) {
	if !s.mayBeLimited(now) {
		return 0, false
	}
	var rate float64
	var covered, open int // open: endpoints for which this process may ask for permits
	for _, e := range s.endpoints {
		if !s.usable(now, e, req) {
			continue
		}
		l, named := s.limit(now, e)
		switch {
		case !named:
			return 0, false
		case l.Wait == 0:
			open++
		case rate == 0 || l.Wait < wait:
			wait = l.Wait
		}
		rate += l.Rate
		covered += l.Permits + l.Queued
	}
	switch {
	case rate == 0:
		return 0, false
	case covered > ahead:
		return 0, true
	case open > 0: // the homes may have saved up a permit for each
		return time.Duration(float64(max(0, ahead+1-covered-open)) / rate * float64(time.Second)), true
	}
	return wait, true
}

// PlaceWaiting places the waiting calls for which there is room now, and ends the wait of
// those that have no prospect of a permit. It is called when permits may have come or been
// refused.
func (s *Scheduler) PlaceWaiting(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placeWaiting(now)
}
