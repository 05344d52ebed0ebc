package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// Snapshot returns a scheduler with a copy of the state. Calls are placed and queued there as
// they would be here, without any effect here: it shares no state that either changes, takes no
// permits, counts nothing and draws no random numbers.
func (s *Scheduler) Snapshot() *Scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := New(s.cfg)
	c.cfg.Random, c.cfg.Metrics = func() int64 { return 0 }, nil
	if s.cfg.Limits != nil {
		c.cfg.Limits = keptLimits{s.cfg.Limits}
	}
	c.endpoints = make(map[string]*endpointState, len(s.endpoints))
	states := make([]endpointState, 0, len(s.endpoints))
	for id, e := range s.endpoints {
		states = append(states, *e)
		copied := &states[len(states)-1]
		copied.leaving, copied.recentSends = nil, slices.Clone(e.recentSends)
		c.endpoints[id] = copied
	}
	c.evacuated, c.peerTotals, c.summarised = maps.Clone(s.evacuated), maps.Clone(s.peerTotals), maps.Clone(s.summarised)
	c.peers, c.regions = cloneLoads(s.peers), cloneLoads(s.regions)
	c.peerQueues, c.changedAt, c.freedAt = maps.Clone(s.peerQueues), maps.Clone(s.changedAt), maps.Clone(s.freedAt)
	c.standings, c.pauseNeeds = maps.Clone(s.standings), maps.Clone(s.pauseNeeds)
	c.arrivals, c.holdUntil, c.followedSince = s.arrivals, s.holdUntil, s.followedSince
	c.words, c.book = s.words.Clone(), s.book.Clone()
	c.leavers = leavers{s.leavers.seenAt, map[pool][]departure{}, maps.Clone(s.leavers.shares)}
	for p, list := range s.leavers.departures {
		c.leavers.departures[p] = slices.Clone(list)
	}
	c.reserve.kept, c.reserve.states, c.reserve.last, c.reserve.found = maps.Clone(s.reserve.kept), maps.Clone(s.reserve.states), s.reserve.last, s.reserve.found
	for service, versions := range s.replacedSoftware {
		c.replacedSoftware[service] = maps.Clone(versions)
	}
	for _, w := range s.waiting {
		c.waiting = append(c.waiting, w.clone())
	}
	return c
}

func cloneLoads[K comparable](m map[K]peerLoad) map[K]peerLoad {
	out := make(map[K]peerLoad, len(m))
	for k, p := range m {
		out[k] = peerLoad{p.at, maps.Clone(p.loads)}
	}
	return out
}

// clone returns a copy whose lease nobody takes.
func (w *waiter) clone() *waiter {
	copied, trace := *w, *w.options.Trace
	copied.options.Trace, copied.granted = &trace, make(chan *Lease, 1)
	copied.request.waiter = &copied
	return &copied
}

// keptLimits are limits whose permits are not used.
type keptLimits struct{ Limits }

// Take leaves the permits alone.
func (keptLimits) Take(time.Time, endpt.Endpoint) {}
