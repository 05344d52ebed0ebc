// Package admit is the admission control of one endpoint. It combines a
// concurrency limit that starts at a floor and rises while the endpoint is
// measured to be fast, a forecast of the engine's KV cache usage from learned
// output lengths, and a short fair queue. It does no I/O, and the time is passed
// in.
package admit

import (
	"fmt"
	"math"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/fair"
	"github.com/mimosalock/mimosalock/internal/agent/learn"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
)

// Config holds the fixed settings of one endpoint.
type Config struct {
	Floor    int  // concurrency limit of a cold endpoint
	Max      int  // concurrency limit of a warm endpoint
	WarmUp   int  // output tokens, or calls of a plain service, until an endpoint is warm
	Model    bool // the endpoint is a model engine with a KV cache, not a plain service
	Warm     bool // skip the warm-up and start at Max
	MaxQueue int  // maximum number of waiting calls, 0 for the default
}

// Request describes a call to the admission control.
type Request struct {
	ID        string
	Workspace string
	Weight    int
	Class     string        // calls of a class have a common distribution of output lengths
	Priority  int           // lower runs first
	Prompt    int           // prompt length in tokens
	Limit     int           // max_tokens of the call, 0 for none
	Queue     time.Duration // maximum time in the queue
}

// Verdict is the kind of decision on an offer.
type Verdict uint8

// The verdicts.
const (
	VerdictStart Verdict = iota
	VerdictWait
	VerdictRefuse
)

// Decision is a verdict with its reason. Wait is the expected time in the queue
// for VerdictWait, and the time after which to retry for VerdictRefuse.
type Decision struct {
	Verdict Verdict
	Reason  string
	Wait    time.Duration
}

const (
	defaultMaxQueue     = 256
	minRetryAfter       = 200 * time.Millisecond
	meanSmoothing       = 0.1      // weight of the newest call in moving averages
	gapSampleTokens     = 8        // output tokens over which the gap between tokens is averaged
	coldGapSampleTokens = 2        // the same if the gap is so long that the endpoint looks cold
	prefillCost         = 1.0 / 16 // work of processing a prompt token, in output tokens
)

// Gate is the admission state of one endpoint. It is not safe for concurrent
// use.
type Gate struct {
	cfg          Config
	ramp         ramp
	memory       memory
	curves       map[string]*learn.Curve
	running      map[string]*running
	queue        *fair.Queue[Request]
	waiting      map[string]*fair.Item[Request]
	draining     bool
	meanDuration time.Duration // of finished calls
	demand       demand        // for calls of the most urgent priority

	meanFootprint float64 // KV cache tokens that a recent call held at its end
	minPriority   int     // lowest value seen: the most urgent
	maxPriority   int     // highest value seen
}

// running is a started call.
type running struct {
	req            Request
	produced       int // output tokens so far
	started        time.Time
	gapStart       time.Time // start of the current gap measurement, zero before the first token
	gapStartTokens int       // output tokens at gapStart
	withPrefill    bool      // the engine processed another call's prompt during the measurement
}

// New returns the Gate of an endpoint that has just started.
func New(cfg Config) *Gate {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	return &Gate{
		cfg: cfg, ramp: newRamp(cfg), curves: map[string]*learn.Curve{}, running: map[string]*running{},
		queue: fair.New[Request](), waiting: map[string]*fair.Item[Request]{}, meanDuration: time.Second, minPriority: math.MaxInt, maxPriority: math.MinInt,
	}
}

// Offer decides on a call. A later call of Next returns a queued call when it
// may start.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	if d, ok := g.refuseAlways(r); ok {
		return d
	}
	g.minPriority = min(g.minPriority, r.Priority)
	g.maxPriority = max(g.maxPriority, r.Priority)
	if g.canStart(now, r) {
		g.queue.Charge(r.Workspace, r.Weight, g.cost(r))
		g.start(now, r)
		return Decision{Verdict: VerdictStart}
	}
	wait := g.expectedWait(r)
	if wait > r.Queue || g.queue.Len() >= g.cfg.MaxQueue {
		return Decision{Verdict: VerdictRefuse, Reason: "busy", Wait: max(minRetryAfter, wait-r.Queue)}
	}
	it := &fair.Item[Request]{
		Value: r, Workspace: r.Workspace, Weight: r.Weight, Priority: r.Priority, Cost: g.cost(r), Arrived: now, MaxWait: r.Queue,
	}
	g.queue.Push(it)
	g.waiting[r.ID] = it
	return Decision{Verdict: VerdictWait, Reason: "queued", Wait: wait}
}

// Probe returns the decision that Offer would make, without changing anything.
func (g *Gate) Probe(now time.Time, r Request) Decision {
	if d, ok := g.refuseAlways(r); ok {
		return d
	}
	if g.canStart(now, r) {
		return Decision{Verdict: VerdictStart}
	}
	wait := g.expectedWait(r)
	if wait > r.Queue || g.queue.Len() >= g.cfg.MaxQueue {
		return Decision{Verdict: VerdictRefuse, Reason: "busy", Wait: max(minRetryAfter, wait-r.Queue)}
	}
	return Decision{Verdict: VerdictWait, Reason: "queued", Wait: wait}
}

// refuseAlways refuses a call that could not start however long it waited.
func (g *Gate) refuseAlways(r Request) (Decision, bool) {
	if g.draining {
		return Decision{Verdict: VerdictRefuse, Reason: "leaving", Wait: minRetryAfter}, true
	}
	if g.cfg.Model && g.memory.capacity > 0 && r.Prompt+1 > g.memory.capacity {
		return Decision{Verdict: VerdictRefuse, Reason: fmt.Sprintf("prompt of %d tokens exceeds the engine's %d", r.Prompt, g.memory.capacity)}, true
	}
	return Decision{}, false
}

// Next starts the first queued call, if it may start now, and returns it.
func (g *Gate) Next(now time.Time) (Request, bool) {
	if g.draining {
		return Request{}, false
	}
	it := g.queue.Next(now)
	if it == nil || !g.hasRoom(now, it.Value) {
		return Request{}, false
	}
	g.queue.Take(it)
	delete(g.waiting, it.Value.ID)
	g.start(now, it.Value)
	return it.Value, true
}

// Expired removes and returns the queued calls whose time in the queue is over.
func (g *Gate) Expired(now time.Time) []Request {
	var out []Request
	for _, it := range g.queue.Expired(now) {
		delete(g.waiting, it.Value.ID)
		out = append(out, it.Value)
	}
	return out
}

// Withdraw removes a call from the queue and reports whether it was queued.
func (g *Gate) Withdraw(id string) bool {
	it, ok := g.waiting[id]
	if !ok {
		return false
	}
	delete(g.waiting, id)
	return g.queue.Remove(it)
}

// Drain refuses new calls from now on. It empties the queue and returns the calls
// that were in it.
func (g *Gate) Drain() []Request {
	g.draining = true
	var out []Request
	for id, it := range g.waiting {
		out = append(out, it.Value)
		g.queue.Remove(it)
		delete(g.waiting, id)
	}
	return out
}

// Reopen accepts new calls again after Drain, with the limit at the floor.
func (g *Gate) Reopen() {
	g.draining = false
	g.ramp.reset()
}

// Draining reports whether new calls are refused because of Drain.
func (g *Gate) Draining() bool { return g.draining }

// Adopt counts a call that an earlier agent process started.
func (g *Gate) Adopt(now time.Time, r Request, produced int) {
	if _, ok := g.running[r.ID]; ok {
		return
	}
	g.running[r.ID] = &running{req: r, produced: produced, started: now}
	g.memory.stale = true
}

// Token records that a running call has produced count tokens. The gap between
// tokens is averaged over several tokens, since the gaps within a burst would
// look too short. While the engine processes the prompt of another call, gaps
// are longer even if it is warm, so such measurements are marked.
func (g *Gate) Token(now time.Time, id string, count int) {
	run := g.running[id]
	if run == nil {
		return
	}
	g.recordProgress(run, count)
	if run.gapStart.IsZero() {
		g.ramp.addWork(prefillCost / 2 * float64(run.req.Prompt)) // counts half, as a part of the prompt may have come from the prefix cache
	}
	run.withPrefill = run.withPrefill || g.anyPrefilling()
	work := count - run.gapStartTokens
	switch {
	case run.gapStart.IsZero():
	case work <= 0:
		return
	default:
		gap := now.Sub(run.gapStart) / time.Duration(work)
		coldSample := work >= coldGapSampleTokens && g.ramp.isColdGap(gap, len(g.running), true)
		if work < gapSampleTokens && !coldSample {
			return
		}
		g.ramp.recordGap(gap, len(g.running), work, run.withPrefill)
	}
	run.gapStart, run.gapStartTokens, run.withPrefill = now, count, false
}

// recordProgress counts the output tokens of a call up to count.
func (g *Gate) recordProgress(run *running, count int) {
	curve := g.curve(run.req.Class)
	for run.produced < count {
		run.produced++
		curve.RecordToken(run.produced)
	}
}

// Finished records that a call completed after count tokens.
func (g *Gate) Finished(now time.Time, id string, count int) {
	run := g.running[id]
	if run == nil {
		return
	}
	g.recordProgress(run, count)
	if g.cfg.Model {
		g.curve(run.req.Class).RecordEnd(count)
		g.meanFootprint += meanSmoothing * (float64(run.req.Prompt+count) - g.meanFootprint)
		g.demand.recordEnd(run.req, count, g.minPriority)
	}
	delete(g.running, id)
	g.memory.stale = true
	g.updateDemand(now)
	took := float64(now.Sub(run.started))
	g.meanDuration += time.Duration(meanSmoothing * (took - float64(g.meanDuration)))
	if g.cfg.Model {
		g.curve(run.req.Class).RecordEnd(run.produced)
		return
	}
	g.ramp.recordGap(now.Sub(run.started), len(g.running)+1, 1, false)
}

// Cancelled records that a call ended before its response was complete. Its
// length is not learned, as the full length is unknown.
func (g *Gate) Cancelled(id string) {
	delete(g.running, id)
	g.memory.stale = true
}

// Report stores the KV cache figures from the engine's load report: capacity and
// use in tokens, and preemptions since the engine's start. The figures lag.
func (g *Gate) Report(capacity, used, preemptions int) { g.memory.report(capacity, used, preemptions) }

// ResetLimit sets the concurrency limit back to the floor, for example after a
// restart of the endpoint.
func (g *Gate) ResetLimit() { g.ramp.reset() }

// Running returns the number of started calls.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of queued calls.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Limit returns the current concurrency limit.
func (g *Gate) Limit() int { return g.ramp.limit() }

// Collapses returns how often the limit was set back to the floor.
func (g *Gate) Collapses() int { return g.ramp.resets }

func (g *Gate) start(now time.Time, r Request) {
	g.running[r.ID] = &running{req: r, started: now}
	g.memory.stale = true
	g.updateDemand(now)
	invar.Check(len(g.running) <= max(g.cfg.Max, g.cfg.Floor)+adoptedSlack, "endpoint_not_overloaded",
		"%d calls running, maximum %d", len(g.running), g.cfg.Max)
}

// adoptedSlack allows for adopted calls, which are counted without a check of the
// limit.
const adoptedSlack = 4096

// canStart reports whether a new call may start without queueing: no queued call
// has precedence, and there is room.
func (g *Gate) canStart(now time.Time, r Request) bool {
	return g.queue.Ahead(r.Workspace, r.Priority) == 0 && g.hasRoom(now, r)
}

// hasRoom reports whether the concurrency limit, less the slots reserved for
// urgent calls, and the engine's memory allow one more call. An idle engine may
// always start one.
func (g *Gate) hasRoom(now time.Time, r Request) bool {
	slots := g.ramp.limit()
	if !g.urgent(r) {
		slots = max(g.ramp.floor, slots-g.reserved(now))
	}
	if len(g.running) >= slots {
		return false
	}
	return !g.cfg.Model || len(g.running) == 0 || g.fits(now, r)
}

// anyPrefilling reports whether a running call has not produced a token yet, so
// that its prompt may be in processing.
func (g *Gate) anyPrefilling() bool {
	for _, run := range g.running {
		if run.produced == 0 {
			return true
		}
	}
	return false
}

// curve returns the length distribution of a class.
func (g *Gate) curve(class string) *learn.Curve {
	c := g.curves[class]
	if c == nil {
		c = learn.New()
		g.curves[class] = c
	}
	return c
}

// cost returns the expected work of a call in output tokens, or 1 for a plain
// service.
func (g *Gate) cost(r Request) float64 {
	if !g.cfg.Model {
		return 1
	}
	return g.curve(r.Class).MeanLength(0, r.Limit) + prefillCost*float64(r.Prompt)
}

// expectedWait estimates the time in the queue from the number of calls ahead and
// the rate at which running calls end.
func (g *Gate) expectedWait(r Request) time.Duration {
	ahead := 1 + g.queue.Ahead(r.Workspace, r.Priority)
	slots := max(1, min(len(g.running), g.ramp.limit()))
	return time.Duration(float64(g.meanDuration) * float64(ahead) / float64(slots))
}

// SetLimits applies changed settings of the service.
func (g *Gate) SetLimits(floor, highest, warmUp int) {
	g.cfg.Floor, g.cfg.Max, g.cfg.WarmUp = floor, highest, warmUp
	g.ramp.resize(g.cfg)
}
