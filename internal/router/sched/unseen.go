package sched

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// unseenCalls are calls that an endpoint has told of and this process did not know of.
type unseenCalls struct {
	count int
	at    time.Time
}

// unseenTTL is how long unseen calls count, ever less. By then, reports of load have told
// of those that other processes placed.
const unseenTTL = time.Second

// HearCalls records how many calls an endpoint has. Those that this process does not know of
// count towards its load for a while.
func (s *Scheduler) HearCalls(now time.Time, ep endpt.Endpoint, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[ep.ID]
	if e == nil || e.endpoint.StartedMs != ep.StartedMs {
		return
	}
	known := s.load(e).Calls
	e.unseen = unseenCalls{max(0, calls-known), now}
}

// unseenLoad returns the load of the calls that only the endpoint has told of. Each counts
// with the mean memory of the calls that are known there, or that of the request.
func (s *Scheduler) unseenLoad(now time.Time, e *endpointState, req *Request) Load {
	left := 1 - now.Sub(e.unseen.at).Seconds()/unseenTTL.Seconds()
	if e.unseen.count == 0 || left <= 0 {
		return Load{}
	}
	calls := left * float64(e.unseen.count)
	memory := float64(req.MemoryTokens)
	if known := s.load(e); known.Calls > 0 {
		memory = float64(known.MemoryTokens) / float64(known.Calls)
	}
	return Load{Calls: int(calls), MemoryTokens: int(calls * memory)}
}
