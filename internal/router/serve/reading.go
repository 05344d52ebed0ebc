package serve

import (
	"maps"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/desc"
)

const (
	// Parts of a target for the first event within which the prompt is to be read: of the call's
	// own target if it is short, and otherwise of the shortest target among the calls of its
	// service, since a prompt that is read delays those that come next.
	shortReadPart = 0.8
	longReadPart  = 0.65
	// besideReadPart replaces longReadPart for calls whose own target is at least urgentRatio times
	// the shortest one, so that they can wait. Two gateways may place long prompts at an engine
	// before they know of each other's: both together leave a call of the shortest target the
	// time that it may wait.
	besideReadPart = shortReadPart / 2
	urgentRatio    = 2

	// The rate of reading follows quick reads faster than slow ones, and so tends to what an
	// engine does when nothing else holds it up.
	fasterWeight = 0.2
	slowerWeight = 0.05
	// targetWindow is how long the shortest target of a service is remembered.
	targetWindow = time.Minute
)

// readStats tracks how fast the engines of each service read prompts, and the targets of its
// calls.
type readStats struct {
	mu       sync.Mutex
	services map[string]readStat
}

type readStat struct {
	perSecond float64       // prompt tokens, 0 if unknown
	target    time.Duration // the shortest of the calls in the current window, 0 if none
	previous  time.Duration // of the window before
	since     time.Time     // start of the current window
}

func newReadStats() *readStats { return &readStats{services: map[string]readStat{}} }

// clone returns a copy that shares nothing with it.
func (r *readStats) clone() *readStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &readStats{services: maps.Clone(r.services)}
}

// recordRead records that an engine read a number of prompt tokens within a time.
func (r *readStats) recordRead(service string, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	weight := slowerWeight
	if rate > s.perSecond {
		weight = fasterWeight
	}
	if s.perSecond == 0 {
		weight = 1
	}
	s.perSecond += weight * (rate - s.perSecond)
	r.services[service] = s
}

// maxUnread returns the prompt tokens, the call's own included, that an engine may have to
// read when the call is placed there. It is 0, no limit, until a rate is known.
func (r *readStats) maxUnread(now time.Time, call *desc.Call, short bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[call.Service].withTarget(now, call.FirstResponseTarget)
	r.services[call.Service] = s
	if short {
		return int(shortReadPart * call.FirstResponseTarget.Seconds() * s.perSecond)
	}
	part, target := longReadPart, s.shortestTarget()
	if urgentRatio*target <= call.FirstResponseTarget {
		part = besideReadPart
	}
	return int(part * target.Seconds() * s.perSecond)
}

func (s readStat) withTarget(now time.Time, target time.Duration) readStat {
	if now.Sub(s.since) >= targetWindow {
		s.previous, s.target, s.since = s.target, 0, now
	}
	s.target = shorter(s.target, target)
	return s
}

func (s readStat) shortestTarget() time.Duration { return shorter(s.target, s.previous) }

// shorter returns the shorter of two targets, of which 0 stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}
