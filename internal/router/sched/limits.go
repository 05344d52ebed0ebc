package sched

import (
	"math"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/avail"
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
	Refused time.Time     // when the home last had no permit for a call, zero if never
	// RefusedPriority is the priority of that call. More urgent ones may be asked for at once.
	RefusedPriority int
}

// waitFor returns how long a call of a priority has to wait until this process may ask for a
// permit for it.
func (l Limit) waitFor(priority int) time.Duration {
	if !l.Refused.IsZero() && priority < l.RefusedPriority {
		return 0
	}
	return l.Wait
}

// refusedSince reports whether the home has had no permit for a call of a priority since a time.
func (l Limit) refusedSince(since time.Time, priority int) bool {
	return l.Refused.After(since) && priority >= l.RefusedPriority
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
	if wait := s.words.ClosedFor(now, incarnationOf(e.endpoint)); wait > 0 {
		return Limit{Rate: max(l.Rate, closedRate), Wait: max(l.Wait, wait)}, true
	}
	return l, named
}

// closedRate is the assumed rate of an endpoint that has only said when it wants calls again.
const closedRate = 1.0

// mayBeLimited reports whether any endpoint may have a limit.
func (s *Scheduler) mayBeLimited(now time.Time) bool {
	return s.cfg.Limits != nil && s.cfg.Limits.Any() || s.words.AnyClosed(now)
}

// Close stops calls to one incarnation of an endpoint until a time, also if the registry does not
// list it. It reports whether that is later than known before.
func (s *Scheduler) Close(now time.Time, ep endpt.Endpoint, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.Hear(now, incarnationOf(ep), avail.Closed{Until: until})
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
	avoidsBlind := s.avoidsBlind(now, w.request)
	for _, e := range limited {
		covered := e.limit.Permits + e.limit.Queued - e.demand.Calls
		if avoidsBlind && s.isBlind(e.endpointState) || !s.usable(now, e.endpointState, w.request) || e.limit.waitFor(w.options.Priority) > 0 && covered <= 0 {
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

// limitedRoom is what the limits of the endpoints of a call leave for it and the calls
// before it.
type limitedRoom struct {
	rate    float64       // of all of them
	permits int           // that this process has or is to get
	open    int           // endpoints at which it may ask for a permit
	wait    time.Duration // until it may ask at another one
	later   int           // endpoints that have not refused one and at which it may ask later
}

// limitedRoom returns the room for a call of a priority that has waited since a time. It does
// not count endpoints whose homes have had no permit for it. limited is false if the call may
// be sent to an endpoint that names no limit, or to none.
func (s *Scheduler) limitedRoom(now time.Time, req Request, priority int, since time.Time) (r limitedRoom, limited bool) {
	if !s.mayBeLimited(now) {
		return limitedRoom{}, false
	}
	avoidsBlind := s.avoidsBlind(now, req)
	for _, e := range s.endpoints {
		if avoidsBlind && s.isBlind(e) || !s.usable(now, e, req) {
			continue
		}
		l, named := s.limit(now, e)
		if !named {
			return limitedRoom{}, false
		}
		wait := l.waitFor(priority)
		if wait > 0 && (r.wait == 0 || wait < r.wait) {
			r.wait = wait
		}
		switch {
		case l.refusedSince(since, priority):
		case wait == 0:
			r.open++
		case l.Refused.IsZero():
			r.later++
		}
		r.rate += l.Rate
		r.permits += l.Permits + l.Queued
	}
	return r, r.rate > 0
}

// expectedWait returns how long a call waits with a number of others before it. The homes
// may have saved up a permit for each.
func (r limitedRoom) expectedWait(ahead int) time.Duration {
	switch {
	case r.permits > ahead:
		return 0
	case r.open > 0:
		return time.Duration(float64(max(0, ahead+1-r.permits-r.open)) / r.rate * float64(time.Second))
	}
	return r.wait
}

// hasProspect reports whether a call with a number of others before it may get a permit
// within a time.
func (r limitedRoom) hasProspect(ahead int, within time.Duration) bool {
	if r.permits <= ahead && r.open == 0 && ahead-r.permits >= r.later {
		return false
	}
	return r.expectedWait(ahead) <= within
}

// leastUrgent is above the priority of any call.
const leastUrgent = math.MaxInt

// LimitedWait returns how long a call is expected to wait if it is queued now. limited is
// false if it may be sent to an endpoint that names no limit, or to none.
func (s *Scheduler) LimitedWait(now time.Time, req Request) (wait time.Duration, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room, limited := s.limitedRoom(now, req, leastUrgent, now)
	return room.expectedWait(s.waitingFor(req.Service)), limited
}

// MayQueue reports whether a call of a priority may get a place within a time if it is queued
// now, as far as limits matter.
func (s *Scheduler) MayQueue(now time.Time, req Request, priority int, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	room, limited := s.limitedRoom(now, req, priority, now)
	return !limited || room.hasProspect(s.waitingFor(req.Service), within)
}

// PlaceWaiting places the waiting calls for which there is room now, and ends the wait of
// those that have no prospect of a permit. It is called when permits may have come or been
// refused.
func (s *Scheduler) PlaceWaiting(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placeWaiting(now)
}
