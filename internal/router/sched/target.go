package sched

import (
	"slices"
	"time"
)

// TargetState tells whether the target of a move may get the request that follows it.
type TargetState uint8

// The values of TargetState.
const (
	TargetUsable  TargetState = iota // may get the request now
	TargetCold                       // has got as many requests within the last second as it may if it is cold
	TargetLeaving                    // leaves, its entry has lapsed or its data centre is out of service
	TargetClosed                     // has said that it wants no calls for now
)

// String returns the name used in logs.
func (t TargetState) String() string {
	return [...]string{"usable", "cold_limit", "leaving", "closed"}[t]
}

// IsLeaving reports whether the endpoint is leaving. It is false again once an endpoint has
// returned under the same registration.
func (l *Lease) IsLeaving() bool {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	return l.state.isLeaving
}

// IsAlone reports whether this process has no other call at the endpoint.
func (l *Lease) IsAlone() bool {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	return l.state.local.Calls <= 1
}

// WithdrawLoad takes the call out of the load of its leaving endpoint, as it will not be moved:
// processes whose turn to move comes later do not wait for it.
func (l *Lease) WithdrawLoad() {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	if l.state.isLeaving {
		l.state.local = l.state.local.minus(l.load)
		l.load = Load{}
	}
}

// TargetState returns the state of a move's target, which may have changed since it was chosen.
func (l *Lease) TargetState(now time.Time) TargetState {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	return l.targetState(now)
}

func (l *Lease) targetState(now time.Time) TargetState {
	req := l.request
	req.Exclude = nil
	switch {
	case !l.scheduler.usable(now, l.state, req):
		return TargetLeaving
	case l.scheduler.words.ClosedFor(now, incarnationOf(l.state.endpoint)) > 0:
		return TargetClosed
	}
	return TargetUsable
}

// CountSend counts the request that follows a move at the time of that request instead of the
// placement, as the copies in between may take seconds. It counts only if the target is usable.
func (l *Lease) CountSend(now time.Time) TargetState {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	if state := l.targetState(now); state != TargetUsable {
		return state
	}
	e := l.state
	if i := slices.Index(e.recentSends, l.placedAt); i >= 0 {
		e.recentSends = slices.Delete(e.recentSends, i, i+1)
	}
	if !l.scheduler.admitsCold(now, e, &l.request) {
		l.placedAt = time.Time{}
		return TargetCold
	}
	e.recentSends, l.placedAt = append(e.recentSends, now), now
	return TargetUsable
}

// admitsCold reports whether the endpoint may get the call even if it is cold. The request that
// follows a move counts like any other. Its copy is refused unless the engine has a free slot,
// so the moves to an engine in one second are at most its slots: where these fit into what is
// tolerated above the limit, moves need no share of the limit, which in a large fleet would
// leave a process without any target in its region.
func (s *Scheduler) admitsCold(now time.Time, e *endpointState, req *Request) bool {
	limit := req.MaxColdCallsPerSecond
	if limit <= 0 {
		return true
	}
	tolerated := limit*(s.cfg.ColdOverage-1) + s.cfg.ColdTolerance
	if req.Purpose == PurposeMove && float64(e.endpoint.Slots) <= tolerated {
		return true
	}
	return s.withinColdLimit(now, e, limit)
}

// PrefillAhead returns how many prompt tokens of other calls the endpoint has yet to process,
// as far as this process knows.
func (l *Lease) PrefillAhead() int {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	return l.state.local.plus(l.scheduler.peerTotals[l.state.key]).PrefillTokens
}
