package sched

import (
	"slices"
	"strings"
	"time"
)

const (
	// departureWindow is for how long an engine that left counts. Terminations come in series
	// with some seconds between them.
	departureWindow = 20 * time.Second
	// noticeSpan is about how long engines serve after they have announced that they leave.
	// What leaves within it has to find room at the same time.
	noticeSpan = 2 * time.Second
	// maxMoveShare bounds the room kept for moves: above it, new calls lose more than moved
	// ones gain (docs/POLICY.md).
	maxMoveShare = 0.1
	// keptRefresh is the interval at which departures are looked for.
	keptRefresh = 50 * time.Millisecond
	// fullTime is how long an engine counts as full that refused a copy for lack of room. The
	// shortest calls end within it, and the loads of other processes arrive.
	fullTime = 300 * time.Millisecond
)

// departure is an engine that announced that it leaves.
type departure struct {
	id         string
	dataCentre string
	at         time.Time
	engines    int // of its service and region that were usable before it left
}

// pool is the engines of a service in a region: moves do not leave the region.
type pool struct{ service, region string }

// keptShare returns the share of the engines' memory to be kept free for moves: the largest
// share of the pool that left within one notice, less the longer ago that was. All engines of
// a service have the same memory. Departures are in the order of time.
func keptShare(now time.Time, departures []departure) (share float64) {
	for last, d := range departures {
		age := now.Sub(d.at)
		if age >= departureWindow {
			continue
		}
		first := last
		for first > 0 && d.at.Sub(departures[first-1].at) < noticeSpan {
			first--
		}
		left, of := last-first+1, departures[first].engines
		fresh := 1 - float64(age)/float64(departureWindow)
		share = max(share, fresh*float64(left)/float64(max(1, of)))
	}
	return min(share, maxMoveShare)
}

// leavers holds the departures by pool and the room kept because of them.
type leavers struct {
	seenAt     time.Time // when departures were last looked for
	departures map[pool][]departure
	shares     map[pool]float64
}

// keptForMoves returns how many tokens of an engine's memory a call must leave free for
// generations that move off engines that leave.
func (s *Scheduler) keptForMoves(now time.Time, e *endpointState, req *Request) int {
	if req.Purpose == PurposeMove || req.Short || !req.Movable {
		return 0
	}
	s.refreshDepartures(now)
	return int(s.leavers.shares[poolOf(e)] * float64(req.EngineTokens))
}

func poolOf(e *endpointState) pool { return pool{e.endpoint.Service, e.endpoint.Region} }

// refreshDepartures looks for engines that have begun to leave. One whose entry has vanished
// without an announcement is none: it gave no time for moves.
func (s *Scheduler) refreshDepartures(now time.Time) {
	if now.Sub(s.leavers.seenAt) < keptRefresh {
		return
	}
	s.leavers.seenAt = now
	left, usable := map[pool][]departure{}, map[pool]int{}
	for id, e := range s.endpoints {
		switch {
		case !e.isLeaving:
			e.departureSeen = false
			usable[poolOf(e)]++
		case !e.departureSeen:
			e.departureSeen = true
			if !e.removed {
				left[poolOf(e)] = append(left[poolOf(e)], departure{id: id, dataCentre: e.endpoint.DataCentre, at: now})
			}
		}
	}
	if s.leavers.departures == nil {
		s.leavers.departures = map[pool][]departure{}
	}
	for p, new := range left {
		for i := range new {
			new[i].engines = usable[p] + len(new)
		}
		slices.SortFunc(new, func(a, b departure) int { return strings.Compare(a.id, b.id) })
		s.leavers.departures[p] = append(s.leavers.departures[p], new...)
	}
	s.leavers.shares = map[pool]float64{}
	for p, all := range s.leavers.departures {
		// Kept one notice longer, as the first of those that left together counts the engines.
		all = slices.DeleteFunc(all, func(d departure) bool { return now.Sub(d.at) >= departureWindow+noticeSpan })
		s.leavers.departures[p] = all
		if share := keptShare(now, all); share > 0 {
			s.leavers.shares[p] = share
		}
		if len(all) == 0 {
			delete(s.leavers.departures, p)
		}
	}
}

// KeptRoom is the room kept for moves at the engines of a service in a region.
type KeptRoom struct {
	Service, Region string
	Share           float64       // of each engine's memory
	Left            []string      // IDs of the engines that left within departureWindow, in order
	DataCentres     []string      // of these engines
	Newest          time.Duration // age of the newest departure
}

// KeptRoom returns the room that is kept for moves now, by service and region.
func (s *Scheduler) KeptRoom(now time.Time) (list []KeptRoom) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshDepartures(now)
	for p, share := range s.leavers.shares {
		kept := KeptRoom{Service: p.service, Region: p.region, Share: share}
		for _, d := range s.leavers.departures[p] {
			kept.Left, kept.DataCentres, kept.Newest = append(kept.Left, d.id), append(kept.DataCentres, d.dataCentre), now.Sub(d.at)
		}
		slices.Sort(kept.DataCentres)
		kept.DataCentres = slices.Compact(kept.DataCentres)
		list = append(list, kept)
	}
	slices.SortFunc(list, func(a, b KeptRoom) int { return strings.Compare(a.Service+"/"+a.Region, b.Service+"/"+b.Region) })
	return list
}

// MarkFull records that the engine refused a copy for lack of room: for fullTime, no further
// moves and no new calls that run long are placed on it.
func (l *Lease) MarkFull(now time.Time) {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	l.state.fullUntil = now.Add(fullTime)
}

// isFull reports whether the endpoint counts as full for a call.
func (e *endpointState) isFull(now time.Time, req *Request) bool {
	return !req.Short && now.Before(e.fullUntil)
}
