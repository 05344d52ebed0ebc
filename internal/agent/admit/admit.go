// Package admit decides which calls an endpoint may start: a concurrency limit
// that begins at a floor and grows only on evidence, a forecast of the
// engine's memory from learned output lengths, and a fair, short queue. It is
// pure: time is passed in and nothing is sent.
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
	Floor    int  // concurrency when cold
	Max      int  // concurrency when warm
	WarmUp   int  // work until warm: output tokens, or calls of a plain service
	Model    bool // a model engine with cache memory; else a plain service
	Warm     bool // begin at Max
	MaxQueue int  // waiting calls, 0 for the default
}

// Request is what the decision needs to know of a call.
type Request struct {
	ID        string
	Workspace string
	Weight    int
	Class     string
	Priority  int
	Prompt    int // tokens
	Limit     int // max_tokens, 0 for none
	Queue     time.Duration
}

// Verdict is the answer to an offer.
type Verdict uint8

// The verdicts.
const (
	VerdictStart Verdict = iota
	VerdictWait
	VerdictRefuse
)

// Decision is a verdict with its reason. Wait is the expected wait of a call
// that waits, or when a refused caller should come again.
type Decision struct {
	Verdict Verdict
	Reason  string
	Wait    time.Duration
}

const (
	defaultMaxQueue     = 256
	minRetryAfter       = 200 * time.Millisecond
	meanSmoothing       = 0.1      // weight of the newest call in the mean duration
	gapSampleTokens     = 8        // tokens of one gap measurement
	coldGapSampleTokens = 2        // the same where the gap is far too long
	prefillCost         = 1.0 / 16 // work of a prompt token in output tokens
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
	meanDuration time.Duration // of a finished call
	demand       demand        // of the most urgent class

	meanFootprint float64 // tokens that a recent call holds at its end
	minPriority   int     // the lowest value seen, which runs first
	maxPriority   int     // the highest value seen
}

type running struct {
	req            Request
	produced       int
	started        time.Time
	gapStart       time.Time // when the gap measurement under way began, zero for none
	gapStartTokens int       // output tokens at that time
	withPrefill    bool      // another call's prompt work fell into it
}

// New returns the gate of an endpoint that has just started.
func New(cfg Config) *Gate {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	return &Gate{
		cfg: cfg, ramp: newRamp(cfg), curves: map[string]*learn.Curve{}, running: map[string]*running{},
		queue: fair.New[Request](), waiting: map[string]*fair.Item[Request]{}, meanDuration: time.Second, minPriority: math.MaxInt, maxPriority: math.MinInt,
	}
}

// Offer decides on a call. A call that waits is started by a later Next.
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

// Probe tells what Offer would decide, without effect.
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

// refuseAlways refuses what no wait would cure.
func (g *Gate) refuseAlways(r Request) (Decision, bool) {
	if g.draining {
		return Decision{Verdict: VerdictRefuse, Reason: "leaving", Wait: minRetryAfter}, true
	}
	if g.cfg.Model && g.memory.capacity > 0 && r.Prompt+1 > g.memory.capacity {
		return Decision{Verdict: VerdictRefuse, Reason: fmt.Sprintf("prompt of %d tokens exceeds the engine's %d", r.Prompt, g.memory.capacity)}, true
	}
	return Decision{}, false
}

// Next takes a waiting call that may start now.
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

// Expired takes the waiting calls whose time is over.
func (g *Gate) Expired(now time.Time) []Request {
	var out []Request
	for _, it := range g.queue.Expired(now) {
		delete(g.waiting, it.Value.ID)
		out = append(out, it.Value)
	}
	return out
}

// Withdraw removes a waiting call. It reports whether the call was waiting.
func (g *Gate) Withdraw(id string) bool {
	it, ok := g.waiting[id]
	if !ok {
		return false
	}
	delete(g.waiting, id)
	return g.queue.Remove(it)
}

// Drain refuses new work from now on and returns the waiting calls, which will
// not run.
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

// Reopen takes new work again after Leave, from the floor.
func (g *Gate) Reopen() {
	g.draining = false
	g.ramp.reset()
}

// Draining reports whether Leave is in force.
func (g *Gate) Draining() bool { return g.draining }

// Adopt counts a call that a predecessor of this process started.
func (g *Gate) Adopt(now time.Time, r Request, produced int) {
	if _, ok := g.running[r.ID]; ok {
		return
	}
	g.running[r.ID] = &running{req: r, produced: produced, started: now}
	g.memory.stale = true
}

// Token records that a running call has produced count tokens. The gap between
// tokens is averaged over a few, since tokens that arrive together would each
// look fast. Gaps that hold another call's prompt work are longer on a warm
// endpoint too, so they prove less.
func (g *Gate) Token(now time.Time, id string, count int) {
	run := g.running[id]
	if run == nil {
		return
	}
	g.recordProgress(run, count)
	if run.gapStart.IsZero() {
		g.ramp.addWork(prefillCost / 2 * float64(run.req.Prompt)) // a part may have come from the prefix cache
	}
	run.withPrefill = run.withPrefill || g.anyPrefilling()
	work := count - run.gapStartTokens
	switch {
	case run.gapStart.IsZero():
	case work <= 0:
		return
	default:
		gap := now.Sub(run.gapStart) / time.Duration(work)
		sudden := work >= coldGapSampleTokens && g.ramp.isColdGap(gap, len(g.running), true)
		if work < gapSampleTokens && !sudden {
			return
		}
		g.ramp.recordGap(gap, len(g.running), work, run.withPrefill)
	}
	run.gapStart, run.gapStartTokens, run.withPrefill = now, count, false
}

func (g *Gate) recordProgress(run *running, count int) {
	curve := g.curve(run.req.Class)
	for run.produced < count {
		run.produced++
		curve.RecordToken(run.produced)
	}
}

// Finished records that a call ended by itself after count tokens.
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

// Cancelled records that a call ended before its answer was complete. Its
// length says nothing of where it would have ended.
func (g *Gate) Cancelled(id string) {
	delete(g.running, id)
	g.memory.stale = true
}

// Report takes the engine's own figures, which lag.
func (g *Gate) Report(capacity, used, preemptions int) { g.memory.report(capacity, used, preemptions) }

// ResetLimit falls back to the floor at once, as when the endpoint is known to have
// restarted.
func (g *Gate) ResetLimit() { g.ramp.reset() }

// Running returns the number of started calls.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of queued calls.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Limit returns the present concurrency limit.
func (g *Gate) Limit() int { return g.ramp.limit() }

// Collapses returns how often the limit fell back to the floor.
func (g *Gate) Collapses() int { return g.ramp.resets }

func (g *Gate) start(now time.Time, r Request) {
	g.running[r.ID] = &running{req: r, started: now}
	g.memory.stale = true
	g.updateDemand(now)
	invar.Check(len(g.running) <= max(g.cfg.Max, g.cfg.Floor)+adoptedSlack, "endpoint_not_overloaded",
		"%d running above the maximum %d", len(g.running), g.cfg.Max)
}

// adoptedSlack allows for calls that were adopted from a predecessor.
const adoptedSlack = 4096

// canStart reports whether a call may start at once: nothing that goes before it
// waits, and there is room.
func (g *Gate) canStart(now time.Time, r Request) bool {
	return g.queue.Ahead(r.Workspace, r.Priority) == 0 && g.hasRoom(now, r)
}

func (g *Gate) hasRoom(now time.Time, r Request) bool {
	places := g.ramp.limit()
	if !g.urgent(r) {
		places = max(g.ramp.floor, places-g.reserved(now))
	}
	if len(g.running) >= places {
		return false
	}
	return !g.cfg.Model || len(g.running) == 0 || g.fits(now, r)
}

func (g *Gate) anyPrefilling() bool {
	for _, run := range g.running {
		if run.produced == 0 {
			return true
		}
	}
	return false
}

func (g *Gate) curve(class string) *learn.Curve {
	c := g.curves[class]
	if c == nil {
		c = learn.New()
		g.curves[class] = c
	}
	return c
}

// cost is the expected work of a call, in tokens of decoding.
func (g *Gate) cost(r Request) float64 {
	if !g.cfg.Model {
		return 1
	}
	return g.curve(r.Class).MeanLength(0, r.Limit) + prefillCost*float64(r.Prompt)
}

// expectedWait estimates the wait from the calls ahead and the pace at which
// running ones end.
func (g *Gate) expectedWait(r Request) time.Duration {
	ahead := 1 + g.queue.Ahead(r.Workspace, r.Priority)
	slots := max(1, min(len(g.running), g.ramp.limit()))
	return time.Duration(float64(g.meanDuration) * float64(ahead) / float64(slots))
}

// SetLimits takes over changed settings of the service.
func (g *Gate) SetLimits(floor, highest, warmUp int) {
	g.cfg.Floor, g.cfg.Max, g.cfg.WarmUp = floor, highest, warmUp
	g.ramp.resize(g.cfg)
}
