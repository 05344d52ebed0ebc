package sched

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// runMemoryShare is the share of an engine's KV cache capacity that placed calls
	// may use. The rest is a reserve for outputs that grow longer than estimated.
	runMemoryShare = 0.92
	// moveMemoryShare is the same limit for moved generations, which would be lost
	// on the engine they leave, so the reserve may be used. Beyond the capacity,
	// engines preempt running calls and process their prompts again.
	moveMemoryShare = 1.0
	// plainCallsPerSlot is how many calls may be placed on a plain endpoint for each
	// of its slots.
	plainCallsPerSlot = 2.0

	// tokenWeight and prefillWeight make the cost of an engine roughly proportional to
	// the time to the first token: a call waits for the prompts before it, and the
	// tokens in the KV cache slow down each step of the engine.
	tokenWeight   = 0.3
	prefillWeight = 3.0

	// Penalties are shares of an endpoint's capacity.
	otherRegionPenalty         = 0.5  // for another region
	unknownLoadPenalty         = 0.25 // for endpoints whose load from other processes is not reported to this one
	otherDataCentrePenalty     = 0.02 // for another data centre of the same region
	queuedMovePenalty          = 0.05 // for each other move to the same endpoint, which is carried out first
	crossDataCentreMovePenalty = 1.0  // for a move to another data centre, which takes twice as long

	runTieBreakRange  = 0.05 // random part of the cost, as a share of capacity
	moveTieBreakRange = 0.1  // larger, to spread generations that leave an engine at the same time

	coldWindow = time.Second // period of Request.MaxColdCallsPerSecond
)

// TryPlace places a call on the endpoint with the lowest cost among those with room.
// It returns false if there is none. It does not look at waiting calls: a caller that
// must not overtake them checks Waiting first.
func (s *Scheduler) TryPlace(now time.Time, req Request) (*Lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tryPlace(now, req)
}

func (s *Scheduler) tryPlace(now time.Time, req Request) (*Lease, bool) {
	s.dropStalePeers(now)
	offset := uint64(s.cfg.Random())
	abroad := s.abroad(now, req)
	s.notePauses(now, req)
	probes := s.newProbes(req, offset)
	best, missed, bestCost, missedCost := s.cheapest(now, req, abroad, probes, offset)
	if best == nil && missed == nil && abroad.hasOmitted {
		best, missed, bestCost, missedCost = s.cheapest(now, req, abroad.withOmitted(), probes, offset)
	}
	if missed != nil && (best == nil || missedCost < bestCost) {
		missed.missedAt = now
	}
	if best == nil {
		return nil, false
	}
	return s.place(now, best, req), true
}

// cheapest returns the endpoint with the lowest cost among those that the call may go to, and
// the best one of those that only a permit is missing for.
func (s *Scheduler) cheapest(now time.Time, req Request, a abroad, p probes, offset uint64) (best, missed *endpointState, bestCost, missedCost float64) {
	for _, e := range s.endpoints {
		why := s.excludes(now, e, &req, a)
		if why != Admitted && why != ExcludedPermit {
			continue
		}
		cost := s.cost(now, e, &req, p).Sum() + req.Purpose.tieBreakRange()*tieBreak(e.endpoint.ID, offset)
		switch {
		case why == ExcludedPermit:
			if missed == nil || cost < missedCost {
				missed, missedCost = e, cost
			}
		case best == nil || cost < bestCost:
			best, bestCost = e, cost
		}
	}
	return best, missed, bestCost, missedCost
}

// tieBreakRange is the size of the random part of the cost. It is larger for moves:
// when an endpoint leaves, all its generations are moved at the same time by
// processes that do not know each other's choices yet.
func (p Purpose) tieBreakRange() float64 {
	if p == PurposeRun {
		return runTieBreakRange
	}
	return moveTieBreakRange
}

// tieBreak returns a pseudo-random number in [0, 1) for an endpoint and the
// offset drawn for the call.
func tieBreak(id string, offset uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return float64((h.Sum64()^offset)*0x9E3779B97F4A7C15>>40) / (1 << 24)
}

func (s *Scheduler) place(now time.Time, e *endpointState, req Request) *Lease {
	load := Load{Calls: 1, MemoryTokens: req.MemoryTokens, PrefillTokens: req.PromptTokens}
	if req.Purpose == PurposeMove {
		load.PrefillTokens, load.IncomingMoves = 0, 1
	} else {
		s.book.Use(now, req.Work)
	}
	e.dropOldSends(now)
	e.recentSends = append(e.recentSends, now)
	e.local = e.local.plus(load)
	s.countRemote(e)
	s.noteTaken(now, e, req)
	s.changedAt[e.key] = now
	if s.cfg.Limits != nil {
		s.cfg.Limits.Take(now, e.endpoint)
	}
	return &Lease{Endpoint: e.endpoint, scheduler: s, state: e, request: req, load: load, unread: s.load(e).PrefillTokens, placedAt: now}
}

// excludes returns what keeps the call from the endpoint now, Admitted if nothing does.
// ExcludedPermit comes last: the endpoint has room. The request is not copied, as this runs for
// each endpoint of each call.
func (s *Scheduler) excludes(now time.Time, e *endpointState, req *Request, a abroad) Exclusion {
	why := s.allows(now, e, req)
	switch {
	case why != Admitted:
		return why
	case !s.maySend(now, e, req, a): // before the costlier checks: it excludes whole regions
		return ExcludedOtherRegion
	}
	if why = s.fits(now, e, req); why == Admitted && !s.hasPermit(now, e) {
		return ExcludedPermit
	}
	return why
}

// usable reports whether the endpoint may receive the call, regardless of its
// load.
func (s *Scheduler) usable(now time.Time, e *endpointState, req Request) bool {
	return s.allows(now, e, &req) == Admitted
}

// allows returns what keeps the call from the endpoint regardless of its load.
func (s *Scheduler) allows(now time.Time, e *endpointState, req *Request) Exclusion {
	ep := e.endpoint
	switch {
	case ep.Service != req.Service:
		return ExcludedService
	case e.isLeaving:
		return ExcludedLeaving
	case s.evacuated[ep.DataCentre]:
		return ExcludedEvacuated
	case !e.graceUntil.IsZero() && now.After(e.graceUntil):
		return ExcludedUnlisted
	case req.Software != "" && ep.Software != req.Software:
		return ExcludedVersion
	case len(req.Regions) > 0 && !slices.Contains(req.Regions, ep.Region):
		return ExcludedRegion
	case req.Purpose == PurposeMove && ep.Region != req.Source.Region:
		return ExcludedRegion // copying the KV cache to another region takes longer than an endpoint's termination notice
	case slices.Contains(req.Exclude, ep.ID):
		return ExcludedTried
	}
	return Admitted
}

// admits returns why the endpoint has no room for the call now, Admitted if it has.
func (s *Scheduler) admits(now time.Time, e *endpointState, req *Request) Exclusion {
	if why := s.allows(now, e, req); why != Admitted {
		return why
	}
	return s.fits(now, e, req)
}

// fits returns why the endpoint, which the call may use, has no room for it now.
func (s *Scheduler) fits(now time.Time, e *endpointState, req *Request) Exclusion {
	switch {
	case !s.hasTurn(now, e, *req):
		return ExcludedTurn
	case !s.admitsCold(now, e, req):
		return ExcludedCold
	case e.isFull(now, req):
		return ExcludedFull
	}
	load := s.load(e).plus(s.unseenLoad(now, e, req))
	if load == (Load{}) {
		return Admitted // also for a call larger than the engine's KV cache capacity, which the engine refuses itself
	}
	if req.EngineTokens == 0 {
		if float64(load.Calls) >= plainCallsPerSlot*float64(e.endpoint.Slots) {
			return ExcludedSlots
		}
		return Admitted
	}
	if req.Purpose == PurposeRun && !req.reads(load) {
		return ExcludedUnread
	}
	if load.Calls >= e.endpoint.Slots {
		return ExcludedSlots
	}
	share := runMemoryShare
	if req.Purpose == PurposeMove {
		share = moveMemoryShare
	}
	forCalls, forMoves := s.keptTokens(now, e, *req), s.keptForMoves(now, e, req)
	limit, needed := share*float64(req.EngineTokens), load.MemoryTokens+req.MemoryTokens
	switch {
	case float64(needed) > limit:
		return ExcludedMemory
	case float64(needed+forCalls) > limit:
		return ExcludedKeptForCalls
	case float64(needed+forMoves) > limit:
		return ExcludedKeptForMoves
	}
	return Admitted
}

// withinColdLimit reports whether this process may send another call to the endpoint
// within its part of the cold limit. The limit is always applied, since an
// endpoint may become cold without warning.
func (s *Scheduler) withinColdLimit(now time.Time, e *endpointState, perSecond float64) bool {
	e.dropOldSends(now)
	limit := perSecond / float64(s.cfg.Processes())
	if limit >= 1 {
		return len(e.recentSends) < int(limit)
	}
	return len(e.recentSends) < 1 && s.selectedByHash(e.endpoint.ID, limit)
}

// dropOldSends removes the send times older than coldWindow.
func (e *endpointState) dropOldSends(now time.Time) {
	firstRecent := slices.IndexFunc(e.recentSends, func(t time.Time) bool { return now.Sub(t) < coldWindow })
	if firstRecent < 0 {
		firstRecent = len(e.recentSends)
	}
	e.recentSends = slices.Delete(e.recentSends, 0, firstRecent)
}

// selectedByHash reports whether this process is one of those that may send to the
// endpoint when the cold limit allows fewer calls per second than there are
// processes. limit is the part of one call per second that this process may send. A
// hash selects that fraction of the processes without communication.
func (s *Scheduler) selectedByHash(id string, limit float64) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.cfg.Name + "/" + id))
	return float64(h.Sum64()>>11)/(1<<53) < limit
}

// cost returns the terms of the cost of placing the call on the endpoint: the share of its
// capacity in use plus penalties for distance and failures.
func (s *Scheduler) cost(now time.Time, e *endpointState, req *Request, p probes) (t Terms) {
	load := s.load(e).plus(s.unseenLoad(now, e, req))
	t.Failures = s.failureCost(now, e, *req, p)
	if req.EngineTokens > 0 {
		t.Memory = tokenWeight * float64(load.MemoryTokens) / float64(req.EngineTokens)
		t.Unread = prefillWeight * float64(load.PrefillTokens) / float64(req.EngineTokens)
	} else {
		t.Calls = float64(load.Calls) / float64(max(1, e.endpoint.Slots))
	}
	t.Distance, t.Pace = s.distancePenalty(e, req), s.paceCost(now, e, *req, load)
	if req.Purpose == PurposeMove {
		t.Moves = queuedMovePenalty * float64(load.IncomingMoves)
	}
	if now.Before(e.suspectUntil) {
		t.Unreachable = suspectPenalty
	}
	if !e.graceUntil.IsZero() && !now.Before(s.holdUntil) { // the registry's older copy may lack an endpoint that runs
		t.Unlisted = unlistedPenalty
	}
	return t
}

// distancePenalty returns the penalty for the endpoint's location relative to this
// process or, for a move, relative to the engine that the generation leaves.
func (s *Scheduler) distancePenalty(e *endpointState, req *Request) float64 {
	switch {
	case req.Purpose == PurposeMove && e.endpoint.DataCentre != req.Source.DataCentre:
		return crossDataCentreMovePenalty
	case req.Purpose == PurposeMove:
		return 0
	case e.endpoint.Region != s.cfg.Region:
		return otherRegionPenalty
	case s.cfg.KnowsLoad != nil && !s.cfg.KnowsLoad(e.endpoint.ID):
		return unknownLoadPenalty
	case e.endpoint.DataCentre != s.cfg.DataCentre:
		return otherDataCentrePenalty
	}
	return 0
}

const (
	suspectPenalty  = 100.0 // larger than any other cost: used only if there is no alternative
	unlistedPenalty = 10.0  // used only after all listed endpoints
)
