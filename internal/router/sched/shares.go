package sched

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/router/order"
)

// standingTTL is how long the excess of workspaces is not determined anew. Their use is counted
// over some seconds.
const standingTTL = 100 * time.Millisecond

type standingAt struct {
	at time.Time
	order.Standing
}

// Shares tells how far a call's workspace used more than its share, see order.Excess.
type Shares struct {
	Excess  float64       // by what this process and its peers know
	Own     float64       // by the calls of this process alone
	Reports int           // of peers, that were used
	Age     time.Duration // of the oldest of them
}

func (s *Scheduler) standing(now time.Time, service string) order.Standing {
	x, known := s.standings[service]
	if !known || now.Sub(x.at) >= standingTTL {
		x = standingAt{now, s.book.Standing(now, service)}
		s.standings[service] = x
	}
	return x.Standing
}

func (s *Scheduler) excessOf(now time.Time, service string) order.Excess {
	return s.standing(now, service).Excess
}

func (s *Scheduler) sharesOf(now time.Time, w order.Work) Shares {
	x := s.standing(now, w.Service)
	return Shares{Excess: x.Excess[w.Workspace], Own: x.Own[w.Workspace], Reports: x.Reports, Age: x.Age}
}

// lagOf returns by how much a call is put back in the turns among processes. It is 0 if no peer
// has told its shares: the turns then follow the latest start alone.
func (s *Scheduler) lagOf(now time.Time, e order.Entry) time.Duration {
	x := s.standing(now, e.Service)
	if x.Reports == 0 {
		return 0
	}
	return e.Lag(x.Excess)
}

// ShareReports returns what this process tells of the shares of services whose calls wait here
// or at a peer, nil if none do.
func (s *Scheduler) ShareReports(now time.Time) map[Key]order.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[order.Hash]bool{}
	for _, w := range s.waiting {
		wanted[order.HashOf(w.request.Service)] = true
	}
	for _, p := range s.peerQueues {
		if now.Sub(p.at) > peerQueueTTL {
			continue
		}
		for key := range p.queues {
			wanted[order.Hash(key)] = true
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	out := map[Key]order.Report{}
	for service, r := range s.book.Reports(now, wanted) {
		out[Key(service)] = r
	}
	return out
}

// SetPeerShares replaces what a peer has told of the shares of some services.
func (s *Scheduler) SetPeerShares(now time.Time, peer string, reports map[Key]order.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := make(map[order.Hash]order.Report, len(reports))
	for key, r := range reports {
		told[order.Hash(key)] = r
	}
	s.book.Hear(now, peer, told)
}

// ValidShareReports returns the number of peers' reports that are valid, one for each service.
func (s *Scheduler) ValidShareReports(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.ValidReports(now)
}
