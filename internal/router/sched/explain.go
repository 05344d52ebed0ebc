package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Explained tells whether an endpoint may get a call now, why not, and what it would cost.
// Ages are in milliseconds, -1 if there is no such report.
type Explained struct {
	ID         string  `json:"id"`
	DataCentre string  `json:"data_centre"`
	Region     string  `json:"region"`
	Software   string  `json:"software,omitempty"`
	Exclusion  string  `json:"exclusion,omitempty"` // empty if the call may go there
	Detail     string  `json:"detail,omitempty"`    // of the exclusion
	Cost       float64 `json:"cost"`
	Terms      Terms   `json:"terms"`
	// MayGet means that the endpoint gets the call if the random part of the costs is so.
	MayGet    bool  `json:"may_get"`
	Load      Load  `json:"load"`
	Slots     int   `json:"slots"`
	PeersAge  int64 `json:"peers_age_ms"`  // of the oldest valid load report that lists it
	RegionAge int64 `json:"region_age_ms"` // the same of other cells and regions
	PaceAge   int64 `json:"pace_age_ms"`
}

// Sources tells how old the newest and the oldest valid reports of other processes are, in
// milliseconds, -1 if there are none.
type Sources struct {
	Peers     int   `json:"peers"` // that report loads
	PeersNew  int64 `json:"peers_newest_ms"`
	PeersOld  int64 `json:"peers_oldest_ms"`
	Regions   int   `json:"region_reports"`
	RegionNew int64 `json:"region_newest_ms"`
	RegionOld int64 `json:"region_oldest_ms"`
	Queues    int   `json:"queue_reports"` // of peers with waiting calls
	QueueOld  int64 `json:"queue_oldest_ms"`
}

const noAge = -1

// Explain returns what decides about a call at each endpoint of its service: first those that
// may get it, by cost, then the others. options are those of a call that must queue, nil for
// another one. It is meant for a Snapshot: it refreshes what the scheduler derives from its
// state, like any look for an endpoint.
func (s *Scheduler) Explain(now time.Time, req Request, options *WaitOptions) (list []Explained, from Sources) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropStalePeers(now)
	if options != nil {
		req.waiter = &waiter{request: req, options: *options}
	}
	abroad := s.abroad(now, req)
	isAdmitted := func(x Explained) bool { return x.Exclusion == "" || x.Exclusion == ExcludedPermit.String() }
	if list = s.explainAll(now, req, abroad); abroad.hasOmitted && !slices.ContainsFunc(list, isAdmitted) {
		list = s.explainAll(now, req, abroad.withOmitted())
	}
	slices.SortFunc(list, func(a, b Explained) int {
		return cmp.Or(strings.Compare(a.Exclusion, b.Exclusion), cmp.Compare(a.Cost, b.Cost), strings.Compare(a.ID, b.ID))
	})
	for i := range list {
		list[i].MayGet = list[i].Exclusion == "" && list[i].Cost < list[0].Cost+req.Purpose.tieBreakRange()
	}
	return list, s.sources(now)
}

func (s *Scheduler) explainAll(now time.Time, req Request, a abroad) (list []Explained) {
	for _, e := range s.endpoints {
		if e.endpoint.Service == req.Service {
			list = append(list, s.explain(now, e, req, a))
		}
	}
	return list
}

func (s *Scheduler) explain(now time.Time, e *endpointState, req Request, a abroad) Explained {
	why, ep := s.excludes(now, e, &req, a), e.endpoint
	x := Explained{
		ID: ep.ID, DataCentre: ep.DataCentre, Region: ep.Region, Software: ep.Software, Slots: ep.Slots,
		Terms: s.cost(now, e, &req, probes{}), Load: s.load(e).plus(s.unseenLoad(now, e, &req)),
		PeersAge: oldestOf(now, s.peers, e.key), RegionAge: oldestOf(now, s.regions, e.key), PaceAge: noAge,
	}
	x.Cost = x.Terms.Sum()
	if p := s.cfg.Pace.Estimate(now, ep); p.Known {
		x.PaceAge = p.Age.Milliseconds()
	}
	if why != Admitted {
		x.Exclusion, x.Detail = why.String(), s.detail(now, e, req, why)
	}
	return x
}

// detail returns the figures behind an exclusion.
func (s *Scheduler) detail(now time.Time, e *endpointState, req Request, why Exclusion) string {
	load, limit := s.load(e).plus(s.unseenLoad(now, e, &req)), int(runMemoryShare*float64(req.EngineTokens))
	switch why {
	case ExcludedLeaving:
		listed := "listed"
		if e.removed {
			listed = fmt.Sprintf("not listed for %s", roundAge(now.Sub(e.removedAt)))
		}
		return fmt.Sprintf("has been leaving for %s, %s by the registry", roundAge(now.Sub(e.leavingSince)), listed)
	case ExcludedEvacuated:
		return "data centre " + e.endpoint.DataCentre + " is out of service"
	case ExcludedVersion:
		return fmt.Sprintf("runs %q, wanted is %q", e.endpoint.Software, req.Software)
	case ExcludedRegion:
		return fmt.Sprintf("in %s, allowed are %s", e.endpoint.Region, strings.Join(req.Regions, ", "))
	case ExcludedTurn:
		count, _ := s.processesAhead(now, e, req.waiter)
		return fmt.Sprintf("%d gateways go first, load changed %s ago: %s", count, roundAge(now.Sub(s.changedAt[e.key])), s.namesAhead(now, req.Service))
	case ExcludedCold:
		return fmt.Sprintf("%d calls of this process in the last second, %.1f allowed for %d processes", len(e.recentSends), req.MaxColdCallsPerSecond, s.cfg.Processes())
	case ExcludedFull:
		return fmt.Sprintf("for another %s", roundAge(e.fullUntil.Sub(now)))
	case ExcludedSlots:
		return fmt.Sprintf("%d calls, %d slots", load.Calls, e.endpoint.Slots)
	case ExcludedUnread:
		return fmt.Sprintf("%d tokens unread, %d of the call, %d allowed", load.PrefillTokens, req.PromptTokens, req.MaxUnreadTokens)
	case ExcludedMemory:
		return fmt.Sprintf("%d tokens used, %d needed, %d allowed", load.MemoryTokens, req.MemoryTokens, limit)
	case ExcludedKeptForCalls:
		k := s.roomKept(now, req)
		return fmt.Sprintf("%d tokens used, %d needed, %d allowed; %d kept for shorter calls, %d for larger ones", load.MemoryTokens, req.MemoryTokens, limit, k.shorter, k.larger)
	case ExcludedKeptForMoves:
		return fmt.Sprintf("%d tokens used, %d needed, %d allowed; %d kept for moves", load.MemoryTokens, req.MemoryTokens, limit, s.keptForMoves(now, e, &req))
	case ExcludedOtherRegion:
		if s.isBlind(e) {
			return "its region has not reported its load lately, or a call of this gateway is there"
		}
		return "too little room, or other processes use it in this second"
	case ExcludedPermit:
		if wait := s.words.ClosedFor(now, incarnationOf(e.endpoint)); wait > 0 {
			return fmt.Sprintf("wants no calls for another %s", roundAge(wait))
		}
		l, _ := s.limit(now, e)
		return fmt.Sprintf("limit %.1f/s, no permit here, %d asked for, may ask in %s", l.Rate, l.Queued, roundAge(l.Wait))
	}
	return ""
}

// namesAhead returns the peers that report waiting calls of a service, with the ages of their reports.
func (s *Scheduler) namesAhead(now time.Time, service string) string {
	var names []string
	for name, p := range s.peerQueues {
		if _, waits := p.head(now, service); waits {
			names = append(names, fmt.Sprintf("%s (%s ago)", name, roundAge(now.Sub(p.at))))
		}
	}
	slices.Sort(names)
	return strings.Join(names[:min(maxNames, len(names))], ", ")
}

const maxNames = 4 // of peers in a detail

func roundAge(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// oldestOf returns the age of the oldest report that lists an endpoint.
func oldestOf[K comparable](now time.Time, reports map[K]peerLoad, key Key) int64 {
	oldest := int64(noAge)
	for _, r := range reports {
		if _, lists := r.loads[key]; lists {
			oldest = max(oldest, now.Sub(r.at).Milliseconds())
		}
	}
	return oldest
}

func (s *Scheduler) sources(now time.Time) (f Sources) {
	f.Peers, f.Regions = len(s.peers), len(s.regions)
	f.PeersNew, f.PeersOld = ages(now, s.peers)
	f.RegionNew, f.RegionOld = ages(now, s.regions)
	f.QueueOld = noAge
	for _, p := range s.peerQueues {
		if age := now.Sub(p.at); age <= peerQueueTTL {
			f.Queues, f.QueueOld = f.Queues+1, max(f.QueueOld, age.Milliseconds())
		}
	}
	return f
}

func ages[K comparable](now time.Time, reports map[K]peerLoad) (newest, oldest int64) {
	newest, oldest = noAge, noAge
	for _, r := range reports {
		age := now.Sub(r.at).Milliseconds()
		oldest = max(oldest, age)
		if newest == noAge || age < newest {
			newest = age
		}
	}
	return newest, oldest
}

// Queue queues a call without waiting for its place. It is meant for a Snapshot: the call stays
// in the queue. The lease is nil if the call waits; t tells how.
func (s *Scheduler) Queue(now time.Time, req Request, options WaitOptions) (l *Lease, t Trace) {
	options.Trace = &t
	if w := s.enqueue(now, req, options); w != nil && len(w.granted) > 0 {
		l = <-w.granted
	}
	return l, t
}
