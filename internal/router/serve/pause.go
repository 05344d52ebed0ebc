package serve

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	minPauseWeight  = 0.002 // of the newest pause in the moving average: two or three long streams
	eventEWMAWeight = 0.1   // of the newest stream in the moving averages
	// maxPauseRatio bounds a pause as a multiple of the usual one: callers who read slowly
	// delay events as well.
	maxPauseRatio   = 8
	notedPauseRisk  = 0.5 // from which a placement is counted and logged
	pausesUntilUsed = 20  // the usual pause counts as unknown before
)

// pauseStats tracks how the streams of each route pause and how long they are.
type pauseStats struct {
	mu     sync.Mutex
	routes map[string]pauseStat
}

type pauseStat struct {
	usual          time.Duration // mean pause between two events, divided by the pace of the endpoint
	pauses         int           // that are part of it
	events, tokens float64       // moving averages of the events of a stream and the output tokens expected of it
}

func newPauseStats() *pauseStats { return &pauseStats{routes: map[string]pauseStat{}} }

func (p *pauseStats) recordPause(route string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.routes[route]
	if s.pauses >= pausesUntilUsed {
		pause = min(pause, maxPauseRatio*s.usual)
	}
	s.pauses++
	s.usual += time.Duration(max(minPauseWeight, 1/float64(s.pauses)) * float64(pause-s.usual))
	p.routes[route] = s
}

func (p *pauseStats) recordEvents(call *desc.Call, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, tokens := p.routes[call.Route], float64(outputTokens(call))
	if s.events == 0 {
		s.events, s.tokens = float64(events), tokens
	}
	s.events += eventEWMAWeight * (float64(events) - s.events)
	s.tokens += eventEWMAWeight * (tokens - s.tokens)
	p.routes[call.Route] = s
}

func outputTokens(call *desc.Call) int { return call.EstimatedTokens() - call.PromptTokens }

// of returns what is expected of the pauses of a call. An event holds one token until a
// stream of its route has completed.
func (p *pauseStats) of(call *desc.Call) sched.Pauses {
	if !call.Kind.Streams() || call.EventGapTarget <= 0 {
		return sched.Pauses{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, out := p.routes[call.Route], sched.Pauses{Target: call.EventGapTarget, Events: float64(outputTokens(call))}
	if s.pauses >= pausesUntilUsed {
		out.Usual = s.usual
	}
	if s.tokens > 0 {
		out.Events *= s.events / s.tokens
	}
	return out
}

// recordPause learns from a pause before an event that came at a time.
func (c *streamCall) recordPause(now time.Time, pause time.Duration) {
	if c.in.Call.EventGapTarget > 0 && c.sourceEvents > 1 { // else the endpoint was changed in between
		mean := c.s.Scheduler.Pace(now, c.source.lease.Endpoint).Mean
		c.s.pauses.recordPause(c.in.Call.Route, time.Duration(float64(pause)/mean))
	}
}

// recordEvents learns the number of events from a complete stream.
func (c *streamCall) recordEvents(result Result) {
	if result.Outcome == callst.OutcomeComplete && c.in.Call.LastEventID == "" {
		c.s.pauses.recordEvents(c.in.Call, int(c.state.Relayed()))
	}
}

// notePauseRisk counts and logs that a stream is placed where pauses above its target are
// expected.
func (s *Server) notePauseRisk(in Input, at endpt.Endpoint) {
	risk, estimate := s.Scheduler.PauseRisk(time.Now(), at, in.pauses)
	if risk < notedPauseRisk {
		return
	}
	s.Metrics.PauseRisks.Inc()
	s.Log.Info("pause_risk", zap.String("id", in.Call.ID), zap.String("endpoint", at.ID), zap.Float64("risk", risk),
		zap.Duration("target", in.pauses.Target), zap.Duration("usual_pause", in.pauses.Usual), zap.Float64("events", in.pauses.Events),
		zap.Float64("mean_pace", estimate.Mean), zap.Float64("peak_pace", estimate.Peak), zap.Duration("age", estimate.Age))
}
