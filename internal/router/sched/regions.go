package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

const (
	// RegionLoadTTL is how long a report about the load of another region is valid. A sender
	// repeats its report within half of it, so that one may be lost.
	RegionLoadTTL = 2 * time.Second
	// maxRegionEndpoints bounds the endpoints of the own region in a report. Those with the
	// least room are left out, and get no calls of the other region.
	maxRegionEndpoints = 48

	// lentMemoryShare and lentCallsPerSlot are what runMemoryShare and plainCallsPerSlot are
	// for calls of other regions. The rest is left for calls of the own region that are
	// placed between two reports.
	lentMemoryShare  = 0.7
	lentCallsPerSlot = 1.0
	// lentProcesses is how many processes may use an endpoint of another region at a time for
	// each call that it has room for. Not all of them have such a call between two reports.
	lentProcesses = 4.0
	// maxCutShare is the share of the endpoints below which reports count as cut off. A complete
	// report leaves out endpoints that leave or have just joined, which must get no calls.
	maxCutShare = 0.5
)

// RegionCell names one of the cells into which the processes and endpoints of a region are
// divided.
type RegionCell struct {
	Region string
	Cell   int
}

// RegionReport is what the processes of one cell tell another region.
type RegionReport struct {
	Placed []EndpointLoad // placed by the cell at endpoints of the other region, the most loaded first
	// Own is the whole load of the cell's own endpoints, without what the other region has
	// placed there: it knows that itself. The endpoints with the most room come first.
	Own []EndpointLoad
}

// EndpointLoad is the load on one endpoint.
type EndpointLoad struct {
	ID   string
	Key  Key
	Load Load
}

// SetRegionLoad replaces what a cell of another region reported: the loads that it has placed
// at endpoints of the own region, and those of its own endpoints, the zero Load for an idle
// one. The scheduler keeps the map: the caller must not change it afterwards.
func (s *Scheduler) SetRegionLoad(now time.Time, source RegionCell, loads map[Key]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropRegion(source)
	s.regions[source] = peerLoad{at: now, loads: loads}
	for key, l := range loads {
		s.addToTotal(key, l)
		s.summarised[key]++
	}
	s.placeWaiting(now)
}

func (s *Scheduler) dropRegion(source RegionCell) {
	for key, l := range s.regions[source].loads {
		s.addToTotal(key, Load{}.minus(l))
		if s.summarised[key]--; s.summarised[key] == 0 {
			delete(s.summarised, key)
		}
	}
	delete(s.regions, source)
}

// dropStaleRegions drops reports that are no longer valid.
func (s *Scheduler) dropStaleRegions(now time.Time) {
	for source, r := range s.regions {
		if now.Sub(r.at) > RegionLoadTTL {
			s.dropRegion(source)
		}
	}
}

// load returns the whole load of an endpoint that is known: placed by this process, its
// peers and other regions.
func (s *Scheduler) load(e *endpointState) Load { return e.local.plus(s.peerTotals[e.key]) }

// isBlind reports whether the load of an endpoint is unknown to this process, as it is in
// another region that has not told it lately.
func (s *Scheduler) isBlind(e *endpointState) bool {
	return e.endpoint.Region != s.cfg.Region && s.summarised[e.key] == 0
}

// avoidsBlind reports whether a call must not be placed on endpoints whose load is unknown:
// processes do not report all their loads to each other, and the own region has an endpoint
// that the call may use, with or without room. A call that waits for it is better off than
// one sent to a full endpoint, whose queue nobody orders.
func (s *Scheduler) avoidsBlind(now time.Time, req Request) bool {
	if s.cfg.KnowsAllLoads == nil || s.cfg.KnowsAllLoads() {
		return false
	}
	for _, e := range s.endpoints {
		if e.endpoint.Region == s.cfg.Region && s.usable(now, e, req) && !now.Before(e.suspectUntil) {
			return true
		}
	}
	return false
}

// abroad is what calls to other regions depend on in one pass over the endpoints.
type abroad struct {
	avoidsBlind bool
	turn        uint64
	hasOmitted  bool // reports of other regions leave endpoints out
	usesOmitted bool // the call found no room elsewhere
}

func (s *Scheduler) abroad(now time.Time, req Request) abroad {
	a := abroad{avoidsBlind: s.avoidsBlind(now, req)}
	if !a.avoidsBlind {
		return a
	}
	a.turn = s.lendingTurn(now)
	for region, r := range s.serviceState(now, req.Service).regions {
		a.hasOmitted = a.hasOmitted || region != s.cfg.Region && r.isCut()
	}
	return a
}

func (a abroad) withOmitted() abroad {
	a.usesOmitted = true
	return a
}

// maySend reports whether this process may send a call to an endpoint, in another region as far
// as its load there allows.
func (s *Scheduler) maySend(now time.Time, e *endpointState, req *Request, a abroad) bool {
	return !a.avoidsBlind || s.lends(now, e, *req, a.turn) || a.usesOmitted && s.isOmitted(now, e, *req, a.turn)
}

// lends reports whether this process may place a call on an endpoint of another region now.
// Between two reports the processes do not know of each other's calls there. So each uses only
// a part of the endpoints, another one each second, that is the larger the more calls an
// endpoint has room for, and the fewer processes know its load.
func (s *Scheduler) lends(now time.Time, e *endpointState, req Request, turn uint64) bool {
	if e.endpoint.Region == s.cfg.Region {
		return true
	}
	if s.isBlind(e) {
		return false
	}
	informed := s.serviceState(now, req.Service).regions[e.endpoint.Region].knownShare()
	return s.takesTurn(e, lentRoom(req, e.endpoint.Slots, s.load(e)), informed, turn)
}

// takesTurn reports whether this process is among those that may use an endpoint of another
// region now, which has room for a number of calls and is considered by a share of all processes.
func (s *Scheduler) takesTurn(e *endpointState, room, informed float64, turn uint64) bool {
	return room >= 1 && tieBreak(e.endpoint.ID, turn)*informed*float64(s.cfg.Processes()) < room*lentProcesses
}

// lentRoom returns for how many more calls an endpoint with some load has room that it lends.
func lentRoom(req Request, slots int, l Load) float64 {
	if req.EngineTokens > 0 {
		return (lentMemoryShare*float64(req.EngineTokens) - float64(l.MemoryTokens)) / float64(max(1, req.MemoryTokens))
	}
	return lentCallsPerSlot*float64(slots) - float64(l.Calls)
}

// knownShare returns the share of the endpoints whose load is known to this process. Where
// reports hold a part of the endpoints only, about the same share of all processes knows each.
func (r regionState) knownShare() float64 { return float64(r.known) / float64(max(1, r.endpoints)) }

// isOmitted reports whether a call that finds no other room may go to an endpoint that the
// reports of its region leave out, as they do in large regions. Its load is unknown, so this
// process has at most one call there at a time. It lends room like an endpoint with the mean
// load of the listed ones: those with more room are listed first, so it hardly has more.
// Without this, 55% of such calls met an engine without room (TestBurstsInRegions/103).
func (s *Scheduler) isOmitted(now time.Time, e *endpointState, req Request, turn uint64) bool {
	if !s.isBlind(e) || e.local != (Load{}) {
		return false
	}
	r := s.serviceState(now, req.Service).regions[e.endpoint.Region]
	return r.isCut() && s.takesTurn(e, lentRoom(req, e.endpoint.Slots, r.meanReported()), 1-r.knownShare(), turn)
}

// meanReported returns the mean load of the known endpoints, without what this process has placed there.
func (r regionState) meanReported() Load {
	n := max(1, r.known)
	return Load{Calls: r.reported.Calls / n, MemoryTokens: r.reported.MemoryTokens / n}
}

// isCut reports whether the reports of a region have no room for all its endpoints.
func (r regionState) isCut() bool { return r.known > 0 && r.knownShare() < maxCutShare }

// lendingTurn returns the number that decides which endpoints of other regions this process
// uses now.
func (s *Scheduler) lendingTurn(now time.Time) uint64 {
	return xxhash.Sum64String(s.cfg.Name) + uint64(now.Unix())*0xD6E8FEB86659FD93
}

// RegionReport returns what this process tells another region. isOwn reports whether an
// endpoint of the own region belongs to the cell of this process.
func (s *Scheduler) RegionReport(now time.Time, region string, isOwn func(id string) bool) (r RegionReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropStaleRegions(now)
	all, receiver := map[Key]Load{}, map[Key]Load{}
	for source, report := range s.regions {
		for key, l := range report.loads {
			all[key] = all[key].plus(l)
			if source.Region == region {
				receiver[key] = receiver[key].plus(l)
			}
		}
	}
	var own []ranked
	for _, e := range s.endpoints {
		switch load := s.load(e); {
		case e.endpoint.Region == region:
			if l := load.minus(all[e.key]); l != (Load{}) {
				r.Placed = append(r.Placed, EndpointLoad{e.endpoint.ID, e.key, l})
			}
		case e.endpoint.Region == s.cfg.Region && !e.isLeaving && isOwn(e.endpoint.ID):
			used := float64(load.Calls) / float64(max(1, e.endpoint.Slots))
			own = append(own, ranked{EndpointLoad{e.endpoint.ID, e.key, load.minus(receiver[e.key])}, e.endpoint.Service, used})
		}
	}
	slices.SortFunc(r.Placed, func(x, y EndpointLoad) int {
		return cmp.Or(cmp.Compare(y.Load.MemoryTokens, x.Load.MemoryTokens), cmp.Compare(y.Load.Calls, x.Load.Calls), cmp.Compare(x.Key, y.Key))
	})
	r.Own = byRoom(own, s.cfg.Name)
	return r
}

// ranked is an endpoint of a report with what its place depends on.
type ranked struct {
	EndpointLoad
	service string
	used    float64 // calls for each slot
}

// byRoom returns up to maxRegionEndpoints, those of the half with more room first. Within a
// half the order depends on the sender: where messages hold fewer endpoints, receivers then
// learn of different ones, instead of all choosing the same few. The services take turns, so
// that none is left out because its endpoints have more calls.
func byRoom(all []ranked, sender string) []EndpointLoad {
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.used, y.used), cmp.Compare(x.Load.MemoryTokens, y.Load.MemoryTokens), cmp.Compare(x.Key, y.Key))
	})
	inService := map[string][]ranked{}
	for _, e := range all {
		inService[e.service] = append(inService[e.service], e)
	}
	all = all[:0]
	for _, list := range inService {
		half := (len(list) + 1) / 2
		for _, part := range [][]ranked{list[:half], list[half:]} {
			slices.SortFunc(part, func(x, y ranked) int {
				return cmp.Compare(rank.Score(sender, x.ID), rank.Score(sender, y.ID))
			})
		}
		all = append(all, list...)
	}
	turns, turn := map[string]int{}, map[Key]int{}
	for _, e := range all {
		turn[e.Key] = turns[e.service]
		turns[e.service]++
	}
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(turn[x.Key], turn[y.Key]), cmp.Compare(x.service, y.service))
	})
	out := make([]EndpointLoad, 0, min(maxRegionEndpoints, len(all)))
	for _, e := range all[:min(maxRegionEndpoints, len(all))] {
		out = append(out, e.EndpointLoad)
	}
	return out
}

// countRemote counts a call that is placed in another region.
func (s *Scheduler) countRemote(e *endpointState) {
	if s.cfg.Metrics == nil || e.endpoint.Region == s.cfg.Region {
		return
	}
	load := "known"
	if s.isBlind(e) {
		load = "unknown"
	}
	s.cfg.Metrics.RemoteCalls.WithLabelValues(load).Inc()
}
