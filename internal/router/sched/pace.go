package sched

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/pace"
)

// Pauses describes the pauses between the events of a stream. The zero value means that
// they do not matter.
type Pauses struct {
	Target time.Duration // longest pause wanted, 0 for none
	Usual  time.Duration // between two events where work takes as long as usual, 0 if unknown
	Events float64       // expected number of events
}

const (
	// latePausePenalty is the cost of a pause above the target that is certain to come, as a
	// share of capacity. It outweighs about a third of an engine's capacity in prompts ahead
	// of the call, which is a queue that calls still meet their first-response target behind.
	latePausePenalty = 1.0
	// A pause that is expected to be shorter than minLatePause times the target hardly
	// exceeds it; above maxLatePause it nearly always does.
	minLatePause, maxLatePause = 0.8, 1.2
	// certainEvents is the number of events in which an endpoint's slowest moment nearly
	// always occurs. With fewer, the risk is in proportion.
	certainEvents = 50.0
	// sparedDiscount makes streams with few events leave the faster endpoints to those with
	// many, as long as such come.
	sparedDiscount = 0.25
	sparedEvents   = 0.5 * certainEvents // up to this number, a stream counts as one with few
	pauseNeedTTL   = 10 * time.Second
)

// pauseNeed is the highest pace at which the streams with many events of a service still
// meet their targets, as of a time.
type pauseNeed struct {
	pace float64
	at   time.Time
}

// tolerated returns the highest pace at which pauses meet the target, 0 if any does.
func (p Pauses) tolerated() float64 {
	if p.Target <= 0 || p.Usual <= 0 {
		return 0
	}
	return p.Target.Seconds() / p.Usual.Seconds()
}

// lateShare returns how likely a pause is too long at the endpoint's slowest moment, given
// the pace that is tolerated, from 0 to 1.
func lateShare(p pace.Estimate, tolerated float64) float64 {
	if !p.Known || tolerated <= 0 {
		return 0
	}
	return min(1, max(0, (p.Peak/tolerated-minLatePause)/(maxLatePause-minLatePause)))
}

// PauseRisk returns how likely a stream has a pause above its target at the endpoint, from
// 0 to 1, and the estimate that this is based on.
func (s *Scheduler) PauseRisk(now time.Time, e endpt.Endpoint, p Pauses) (float64, pace.Estimate) {
	estimate := s.cfg.Pace.Estimate(now, e)
	return p.risk(estimate), estimate
}

func (p Pauses) risk(at pace.Estimate) float64 {
	return min(1, p.Events/certainEvents) * lateShare(at, p.tolerated())
}

// Pace returns how long work takes on an endpoint.
func (s *Scheduler) Pace(now time.Time, e endpt.Endpoint) pace.Estimate {
	return s.cfg.Pace.Estimate(now, e)
}

// notePauses records what a stream with many events tolerates.
func (s *Scheduler) notePauses(now time.Time, req Request) {
	if t := req.Pauses.tolerated(); t > 0 && req.Pauses.Events > sparedEvents {
		s.pauseNeeds[req.Service] = pauseNeed{t, now}
	}
}

// paceCost returns what the endpoint's pace adds to the cost of a call: the work ahead of
// the call and its own, as far as it takes longer than usual (less than 0 if it is faster),
// and the risk of long pauses. It is 0 if nothing is known of the pace.
func (s *Scheduler) paceCost(now time.Time, e *endpointState, req Request, load Load) float64 {
	p := s.cfg.Pace.Estimate(now, e.endpoint)
	if !p.Known {
		return 0
	}
	work := 0.0
	if req.EngineTokens > 0 {
		prompts := load.PrefillTokens
		if req.Purpose == PurposeRun {
			prompts += req.PromptTokens
		}
		work = (tokenWeight*float64(load.MemoryTokens) + prefillWeight*float64(prompts)) / float64(req.EngineTokens)
	} else {
		work = float64(load.Calls+1) / float64(max(1, e.endpoint.Slots))
	}
	// Moments of another pace than the mean are about as long as a call waits for its first
	// token, so half of the difference is left by then.
	cost := ((p.Mean+p.Now)/2 - 1) * work
	cost += latePausePenalty * req.Pauses.risk(p)
	if need := s.pauseNeeds[req.Service]; req.Pauses.Events <= sparedEvents && now.Sub(need.at) < pauseNeedTTL {
		cost -= sparedDiscount * lateShare(p, need.pace)
	}
	return cost
}
