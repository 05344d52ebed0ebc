// Package policy compares admission and routing policies in a discrete-event
// simulation. Each policy gets the same seeded workload. One policy is the production
// code of the entry (package route) and the agent (package admit); the others are
// baselines and an oracle. Endpoints are engine models that run in virtual time, so the
// same seed gives the same figures.
package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/engsim"
)

// simulation is one run of a policy over a workload.
type simulation struct {
	now        time.Duration
	workers    []*worker
	events     eventQueue
	rng        *rand.Rand
	router     router
	eventCount uint64            // events scheduled so far
	byID       map[string]*call  // keyed by request ID
	onEvent    func(*simulation) // if set, called after each event
}

// worker is one engine and its admission.
type worker struct {
	index           int
	engine          *engsim.Engine
	admission       admission
	stepRunning     bool
	stepEvents      []engsim.Event // of the running step, handled when it ends
	visibleLoad     loadReport     // what routers and admission see; one reportInterval old
	sampledLoad     loadReport     // the latest sample, becomes visible with the next report
	generatedTokens int
}

// loadReport is one sample of a worker's load.
type loadReport struct {
	inFlight, usedTokens, preemptions int
}

// event is an entry of the event queue.
type event struct {
	at     time.Duration
	order  uint64 // scheduling order, breaks ties between events at the same time
	kind   eventKind
	worker int   // index, unused for eventArrival
	call   *call // only for eventArrival
}

type eventKind uint8

const (
	eventArrival eventKind = iota
	eventStepEnd
	eventReport
	eventTick
)

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	reportInterval = 250 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	drainDuration  = 120 * time.Second // after the last arrival, for calls in flight
)

// clockBase is the wall-clock time of virtual time 0; package admit takes a time.Time.
var clockBase = time.Unix(1_000_000, 0)

func (sim *simulation) clock() time.Time { return clockBase.Add(sim.now) }

func (sim *simulation) schedule(at time.Duration, kind eventKind, workerIndex int, c *call) {
	sim.eventCount++
	heap.Push(&sim.events, event{at: at, order: sim.eventCount, kind: kind, worker: workerIndex, call: c})
}

// run simulates the calls until drainDuration after the last arrival.
func (sim *simulation) run(calls []*call) {
	for _, c := range calls {
		sim.byID[c.req.ID] = c
		sim.schedule(c.arrival, eventArrival, 0, c)
	}
	end := calls[len(calls)-1].arrival + drainDuration
	for i := range sim.workers {
		sim.schedule(0, eventReport, i, nil)
		sim.schedule(0, eventTick, i, nil)
	}
	for sim.events.Len() > 0 {
		ev := heap.Pop(&sim.events).(event)
		if ev.at > end {
			return
		}
		sim.now = ev.at
		sim.handle(ev)
		if sim.onEvent != nil {
			sim.onEvent(sim)
		}
	}
}

func (sim *simulation) handle(ev event) {
	switch ev.kind {
	case eventArrival:
		sim.router.route(sim, ev.call)
	case eventStepEnd:
		sim.finishStep(sim.workers[ev.worker])
	case eventReport:
		k := sim.workers[ev.worker]
		k.visibleLoad = k.sampledLoad
		k.sampledLoad = loadReport{inFlight: k.engine.Running() + k.engine.Waiting(), usedTokens: k.engine.CacheUsed(), preemptions: k.engine.Preemptions}
		k.admission.report(k, k.visibleLoad)
		sim.schedule(sim.now+reportInterval, eventReport, ev.worker, nil)
	case eventTick:
		k := sim.workers[ev.worker]
		k.admission.tick(sim, k)
		sim.schedule(sim.now+tickInterval, eventTick, ev.worker, nil)
	}
}

// start passes an admitted call to the worker's engine.
func (sim *simulation) start(k *worker, c *call) {
	c.worker = k.index
	k.engine.Add(c.seq)
	sim.startStep(k)
}

// startStep starts an engine step unless one is running or the engine is idle.
func (sim *simulation) startStep(k *worker) {
	if k.stepRunning {
		return
	}
	events, duration := k.engine.Step()
	if duration == 0 {
		return
	}
	k.stepRunning = true
	k.stepEvents = events
	sim.schedule(sim.now+duration, eventStepEnd, k.index, nil)
}

// finishStep handles the events of a step at the time when the step ends.
func (sim *simulation) finishStep(k *worker) {
	k.stepRunning = false
	for _, ev := range k.stepEvents {
		c := sim.byID[ev.Seq.ID]
		switch ev.Kind {
		case engsim.EventToken:
			sim.token(k, c)
		case engsim.EventFinished:
			c.done = true
			k.admission.finished(sim, k, c)
		case engsim.EventPreempted:
		}
	}
	k.admission.tick(sim, k)
	sim.startStep(k)
}

// token records the times of a generated token.
func (sim *simulation) token(k *worker, c *call) {
	k.generatedTokens++
	if c.firstToken == 0 {
		c.firstToken = sim.now
	} else {
		c.gaps = append(c.gaps, sim.now-c.lastToken)
	}
	c.lastToken = sim.now
	k.admission.token(sim, k, c)
}
