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
	"github.com/mimosalock/mimosalock/internal/agent/length"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
)

// Config holds the fixed settings of one endpoint.
type Config struct {
	Floor      int  // concurrency limit of a cold endpoint
	Max        int  // concurrency limit of a warm endpoint
	WarmUpWork int  // output tokens, or calls of a plain service, until an endpoint is warm
	IsEngine   bool // the endpoint is a model engine with a KV cache, not a plain service
	StartWarm  bool // skip the warm-up and start at Max
	MaxQueue   int  // maximum number of waiting calls, 0 for the default
}

// Request describes a call to the admission control.
type Request struct {
	ID           string
	Workspace    string
	Weight       int
	Class        string        // calls of a class have a common distribution of output lengths
	Priority     int           // lower runs first
	PromptTokens int           // prompt length in tokens
	MaxTokens    int           // max_tokens of the call, 0 for none
	MaxWait      time.Duration // maximum time in the queue
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

// Controller is the admission state of one endpoint. It is not safe for concurrent
// use.
type Controller struct {
	cfg          Config
	ramp         ramp
	memory       memory
	curves       map[string]*length.Curve
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

// New returns the Controller of an endpoint that has just started.
func New(cfg Config) *Controller {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	return &Controller{
		cfg: cfg, ramp: newRamp(cfg), curves: map[string]*length.Curve{}, running: map[string]*running{},
		queue: fair.New[Request](), waiting: map[string]*fair.Item[Request]{}, meanDuration: time.Second, minPriority: math.MaxInt, maxPriority: math.MinInt,
	}
}

// Offer decides on a call. A later call of StartNext returns a queued call when it
// may start.
func (ctl *Controller) Offer(now time.Time, r Request) Decision {
	if d, ok := ctl.refuseAlways(r); ok {
		return d
	}
	ctl.minPriority = min(ctl.minPriority, r.Priority)
	ctl.maxPriority = max(ctl.maxPriority, r.Priority)
	if ctl.canStart(now, r) {
		ctl.queue.Charge(r.Workspace, r.Weight, ctl.cost(r))
		ctl.start(now, r)
		return Decision{Verdict: VerdictStart}
	}
	wait := ctl.expectedWait(r)
	if wait > r.MaxWait || ctl.queue.Len() >= ctl.cfg.MaxQueue {
		return Decision{Verdict: VerdictRefuse, Reason: "busy", Wait: max(minRetryAfter, wait-r.MaxWait)}
	}
	it := &fair.Item[Request]{
		Value: r, Workspace: r.Workspace, Weight: r.Weight, Priority: r.Priority, Cost: ctl.cost(r), Arrived: now, MaxWait: r.MaxWait,
	}
	ctl.queue.Push(it)
	ctl.waiting[r.ID] = it
	return Decision{Verdict: VerdictWait, Reason: "queued", Wait: wait}
}

// Probe returns the decision that Offer would make, without changing anything.
func (ctl *Controller) Probe(now time.Time, r Request) Decision {
	if d, ok := ctl.refuseAlways(r); ok {
		return d
	}
	if ctl.canStart(now, r) {
		return Decision{Verdict: VerdictStart}
	}
	wait := ctl.expectedWait(r)
	if wait > r.MaxWait || ctl.queue.Len() >= ctl.cfg.MaxQueue {
		return Decision{Verdict: VerdictRefuse, Reason: "busy", Wait: max(minRetryAfter, wait-r.MaxWait)}
	}
	return Decision{Verdict: VerdictWait, Reason: "queued", Wait: wait}
}

// refuseAlways refuses a call that could not start however long it waited.
func (ctl *Controller) refuseAlways(r Request) (Decision, bool) {
	if ctl.draining {
		return Decision{Verdict: VerdictRefuse, Reason: "leaving", Wait: minRetryAfter}, true
	}
	if ctl.cfg.IsEngine && ctl.memory.capacity > 0 && r.PromptTokens+1 > ctl.memory.capacity {
		return Decision{Verdict: VerdictRefuse, Reason: fmt.Sprintf("prompt of %d tokens exceeds the engine's %d", r.PromptTokens, ctl.memory.capacity)}, true
	}
	return Decision{}, false
}

// StartNext starts the first queued call, if it may start now, and returns it.
func (ctl *Controller) StartNext(now time.Time) (Request, bool) {
	if ctl.draining {
		return Request{}, false
	}
	it := ctl.queue.Next(now)
	if it == nil || !ctl.hasRoom(now, it.Value) {
		return Request{}, false
	}
	ctl.queue.Take(it)
	delete(ctl.waiting, it.Value.ID)
	ctl.start(now, it.Value)
	return it.Value, true
}

// RemoveExpired removes and returns the queued calls whose time in the queue is over.
func (ctl *Controller) RemoveExpired(now time.Time) []Request {
	var out []Request
	for _, it := range ctl.queue.RemoveExpired(now) {
		delete(ctl.waiting, it.Value.ID)
		out = append(out, it.Value)
	}
	return out
}

// Withdraw removes a call from the queue and reports whether it was queued.
func (ctl *Controller) Withdraw(id string) bool {
	it, ok := ctl.waiting[id]
	if !ok {
		return false
	}
	delete(ctl.waiting, id)
	return ctl.queue.Remove(it)
}

// Drain refuses new calls from now on. It empties the queue and returns the calls
// that were in it.
func (ctl *Controller) Drain() []Request {
	ctl.draining = true
	var out []Request
	for id, it := range ctl.waiting {
		out = append(out, it.Value)
		ctl.queue.Remove(it)
		delete(ctl.waiting, id)
	}
	return out
}

// Reopen accepts new calls again after Drain, with the limit at the floor.
func (ctl *Controller) Reopen() {
	ctl.draining = false
	ctl.ramp.reset()
}

// Draining reports whether new calls are refused because of Drain.
func (ctl *Controller) Draining() bool { return ctl.draining }

// Adopt counts a call that an earlier agent process started.
func (ctl *Controller) Adopt(now time.Time, r Request, produced int) {
	if _, ok := ctl.running[r.ID]; ok {
		return
	}
	ctl.running[r.ID] = &running{req: r, produced: produced, started: now}
	ctl.memory.stale = true
}

// RecordTokens records that a running call has produced count tokens. The gap between
// tokens is averaged over several tokens, since the gaps within a burst would
// look too short. While the engine processes the prompt of another call, gaps
// are longer even if it is warm, so such measurements are marked.
func (ctl *Controller) RecordTokens(now time.Time, id string, count int) {
	run := ctl.running[id]
	if run == nil {
		return
	}
	ctl.recordProgress(run, count)
	if run.gapStart.IsZero() {
		ctl.ramp.addWork(prefillCost / 2 * float64(run.req.PromptTokens)) // counts half, as a part of the prompt may have come from the prefix cache
	}
	run.withPrefill = run.withPrefill || ctl.anyPrefilling()
	work := count - run.gapStartTokens
	switch {
	case run.gapStart.IsZero():
	case work <= 0:
		return
	default:
		gap := now.Sub(run.gapStart) / time.Duration(work)
		coldSample := work >= coldGapSampleTokens && ctl.ramp.isColdGap(gap, len(ctl.running), true)
		if work < gapSampleTokens && !coldSample {
			return
		}
		ctl.ramp.recordGap(gap, len(ctl.running), work, run.withPrefill)
	}
	run.gapStart, run.gapStartTokens, run.withPrefill = now, count, false
}

// recordProgress counts the output tokens of a call up to count.
func (ctl *Controller) recordProgress(run *running, count int) {
	curve := ctl.curve(run.req.Class)
	for run.produced < count {
		run.produced++
		curve.RecordToken(run.produced)
	}
}

// RecordFinished records that a call completed after count tokens.
func (ctl *Controller) RecordFinished(now time.Time, id string, count int) {
	run := ctl.running[id]
	if run == nil {
		return
	}
	ctl.recordProgress(run, count)
	if ctl.cfg.IsEngine {
		ctl.curve(run.req.Class).RecordEnd(count)
		ctl.meanFootprint += meanSmoothing * (float64(run.req.PromptTokens+count) - ctl.meanFootprint)
		ctl.demand.recordEnd(run.req, count, ctl.minPriority)
	}
	delete(ctl.running, id)
	ctl.memory.stale = true
	ctl.updateDemand(now)
	took := float64(now.Sub(run.started))
	ctl.meanDuration += time.Duration(meanSmoothing * (took - float64(ctl.meanDuration)))
	if ctl.cfg.IsEngine {
		ctl.curve(run.req.Class).RecordEnd(run.produced)
		return
	}
	ctl.ramp.recordGap(now.Sub(run.started), len(ctl.running)+1, 1, false)
}

// RecordIncomplete records that a call ended before its response was complete. Its
// length is not learned, as the full length is unknown.
func (ctl *Controller) RecordIncomplete(id string) {
	delete(ctl.running, id)
	ctl.memory.stale = true
}

// RecordMemory stores the KV cache figures from the engine's load report: capacity and
// use in tokens, and preemptions since the engine's start. The figures lag.
func (ctl *Controller) RecordMemory(capacity, used, preemptions int) {
	ctl.memory.report(capacity, used, preemptions)
}

// ResetLimit sets the concurrency limit back to the floor, for example after a
// restart of the endpoint.
func (ctl *Controller) ResetLimit() { ctl.ramp.reset() }

// Running returns the number of started calls.
func (ctl *Controller) Running() int { return len(ctl.running) }

// Waiting returns the number of queued calls.
func (ctl *Controller) Waiting() int { return ctl.queue.Len() }

// Limit returns the current concurrency limit.
func (ctl *Controller) Limit() int { return ctl.ramp.limit() }

// LimitResets returns how often the limit was set back to the floor.
func (ctl *Controller) LimitResets() int { return ctl.ramp.resets }

func (ctl *Controller) start(now time.Time, r Request) {
	ctl.running[r.ID] = &running{req: r, started: now}
	ctl.memory.stale = true
	ctl.updateDemand(now)
	invar.Check(len(ctl.running) <= max(ctl.cfg.Max, ctl.cfg.Floor)+adoptedSlack, "endpoint_not_overloaded",
		"%d calls running, maximum %d", len(ctl.running), ctl.cfg.Max)
}

// adoptedSlack allows for adopted calls, which are counted without a check of the
// limit.
const adoptedSlack = 4096

// canStart reports whether a new call may start without queueing: no queued call
// has precedence, and there is room.
func (ctl *Controller) canStart(now time.Time, r Request) bool {
	return ctl.queue.Ahead(r.Workspace, r.Priority) == 0 && ctl.hasRoom(now, r)
}

// hasRoom reports whether the concurrency limit, less the slots reserved for
// urgent calls, and the engine's memory allow one more call. An idle engine may
// always start one.
func (ctl *Controller) hasRoom(now time.Time, r Request) bool {
	slots := ctl.ramp.limit()
	if !ctl.urgent(r) {
		slots = max(ctl.ramp.floor, slots-ctl.reserved(now))
	}
	if len(ctl.running) >= slots {
		return false
	}
	return !ctl.cfg.IsEngine || len(ctl.running) == 0 || ctl.fits(now, r)
}

// anyPrefilling reports whether a running call has not produced a token yet, so
// that its prompt may be in processing.
func (ctl *Controller) anyPrefilling() bool {
	for _, run := range ctl.running {
		if run.produced == 0 {
			return true
		}
	}
	return false
}

// curve returns the length distribution of a class.
func (ctl *Controller) curve(class string) *length.Curve {
	c := ctl.curves[class]
	if c == nil {
		c = length.New()
		ctl.curves[class] = c
	}
	return c
}

// cost returns the expected work of a call in output tokens, or 1 for a plain
// service.
func (ctl *Controller) cost(r Request) float64 {
	if !ctl.cfg.IsEngine {
		return 1
	}
	return ctl.curve(r.Class).MeanLength(0, r.MaxTokens) + prefillCost*float64(r.PromptTokens)
}

// expectedWait estimates the time in the queue from the number of calls ahead and
// the rate at which running calls end.
func (ctl *Controller) expectedWait(r Request) time.Duration {
	ahead := 1 + ctl.queue.Ahead(r.Workspace, r.Priority)
	slots := max(1, min(len(ctl.running), ctl.ramp.limit()))
	return time.Duration(float64(ctl.meanDuration) * float64(ahead) / float64(slots))
}

// SetLimits applies changed settings of the service.
func (ctl *Controller) SetLimits(floor, maximum, warmUpWork int) {
	ctl.cfg.Floor, ctl.cfg.Max, ctl.cfg.WarmUpWork = floor, maximum, warmUpWork
	ctl.ramp.configure(ctl.cfg)
}
