package sched

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/fault"
)

const (
	// lossPenalty is the cost of a failure that is certain to come, of a call that it ends. At
	// an endpoint that fails two calls in five more than others, it outweighs four fifths of
	// an engine's capacity in prompts ahead, behind which no call is placed anyway.
	lossPenalty = 6.0
	// repeatPenalty is the same of a call that is sent again: its prompt is read a second time,
	// behind the prompts of another engine.
	repeatPenalty = 1.0
	// probeShare is the part of an even share of the repeatable calls that a suspect endpoint
	// gets, so that it is noticed when it recovers. From its first success on, it gets
	// recoveringShare until enough of them are known. With a call a second for each endpoint,
	// two in three of them repeatable, that takes a dozen seconds.
	probeShare, recoveringShare = 0.3, 1.0
	// probeDiscount prefers the endpoint for a probe. It is above runTieBreakRange.
	probeDiscount = 0.1
	// probeSalt makes the probes of a call independent of its tie-breaks.
	probeSalt = 0x5bd1e995
)

// Failures returns how often an endpoint fails calls.
func (s *Scheduler) Failures(now time.Time, e endpt.Endpoint) fault.Estimate {
	return s.cfg.Faults.Estimate(now, e)
}

func (s *Scheduler) recordFault(now time.Time, e endpt.Endpoint, outcome Outcome) {
	if outcome == OutcomeSuccess || outcome == OutcomeFailed {
		s.cfg.Faults.Record(now, e, outcome == OutcomeFailed)
	}
}

// probes decides which suspect endpoints a call may find out more about. The zero value is
// none.
type probes struct {
	offset    uint64 // drawn for the call
	endpoints int    // of its service
}

// newProbes returns the probes of a call that may be repeated.
func (s *Scheduler) newProbes(req Request, offset uint64) (p probes) {
	if !req.Repeatable || !s.cfg.Faults.Any() {
		return probes{}
	}
	p.offset = offset ^ probeSalt
	for _, e := range s.endpoints {
		if e.endpoint.Service == req.Service && !e.removed {
			p.endpoints++
		}
	}
	return p
}

// includes reports whether the call may go to a suspect endpoint as if it did not fail.
func (p probes) includes(e *endpointState, f fault.Estimate) bool {
	share := probeShare
	if f.Recovering {
		share = recoveringShare
	}
	return p.endpoints > 0 && tieBreak(e.endpoint.ID, p.offset)*float64(p.endpoints) < share
}

// failureCost returns what the endpoint's failures add to the cost of a call: the more the
// less the call can be repeated. It is 0 unless the endpoint fails clearly more often than
// others of its service.
func (s *Scheduler) failureCost(now time.Time, e *endpointState, req Request, p probes) float64 {
	f := s.cfg.Faults.Estimate(now, e.endpoint)
	switch {
	case !f.Suspect:
		return 0
	case p.includes(e, f):
		return -probeDiscount
	case req.Repeatable:
		return repeatPenalty * f.Excess
	}
	return lossPenalty * f.Excess
}
