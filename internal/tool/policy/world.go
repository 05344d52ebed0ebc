// Package policy compares admission and routing on the same seeded work. The
// policies are the program's own decision core and baselines; the endpoints are
// small engine models stepped in virtual time. The same seed gives the same
// figures.
package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/model"
)

// world is one run: workers, a clock and a policy.
type world struct {
	now     time.Duration
	workers []*worker
	events  queue
	rng     *rand.Rand
	policy  chooser
	order   uint64
	byID    map[string]*call
	look    func(*world) // if set, called after each event
}

// worker is one engine and its admission.
type worker struct {
	index   int
	engine  *model.Engine
	door    door
	step    bool // a step is under way
	pending []model.Event
	past    figures // the report that others see, one interval old
	present figures
	tokens  int
}

// figures is a load report.
type figures struct {
	inFlight, used, preemptions int
}

// event is something due.
type event struct {
	at    time.Duration
	order uint64
	kind  eventKind
	index int
	call  *call
}

type eventKind uint8

const (
	eventArrival eventKind = iota
	eventStep
	eventReport
	eventTick
)

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	reportInterval = 250 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	drainSpan      = 120 * time.Second // for calls in flight after the last arrival
)

// epoch turns virtual time into the time that the decision core takes.
var epoch = time.Unix(1_000_000, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) due(at time.Duration, kind eventKind, index int, c *call) {
	w.order++
	heap.Push(&w.events, event{at: at, order: w.order, kind: kind, index: index, call: c})
}

// run plays the calls to their end.
func (w *world) run(calls []*call) {
	for _, c := range calls {
		w.byID[c.req.ID] = c
		w.due(c.at, eventArrival, 0, c)
	}
	limit := calls[len(calls)-1].at + drainSpan
	for i := range w.workers {
		w.due(0, eventReport, i, nil)
		w.due(0, eventTick, i, nil)
	}
	for w.events.Len() > 0 {
		ev := heap.Pop(&w.events).(event)
		if ev.at > limit {
			return
		}
		w.now = ev.at
		w.handle(ev)
		if w.look != nil {
			w.look(w)
		}
	}
}

func (w *world) handle(ev event) {
	switch ev.kind {
	case eventArrival:
		w.policy.place(w, ev.call)
	case eventStep:
		w.finishStep(w.workers[ev.index])
	case eventReport:
		k := w.workers[ev.index]
		k.past = k.present
		k.present = figures{inFlight: k.engine.Running() + k.engine.Waiting(), used: k.engine.Used(), preemptions: k.engine.Preemptions}
		k.door.report(k, k.past)
		w.due(w.now+reportInterval, eventReport, ev.index, nil)
	case eventTick:
		k := w.workers[ev.index]
		k.door.tick(w, k)
		w.due(w.now+tickInterval, eventTick, ev.index, nil)
	}
}

// start hands a call to the engine.
func (w *world) start(k *worker, c *call) {
	c.worker = k.index
	k.engine.Add(c.seq)
	w.startStep(k)
}

func (w *world) startStep(k *worker) {
	if k.step {
		return
	}
	events, took := k.engine.Step()
	if took == 0 {
		return
	}
	k.step = true
	k.pending = events
	w.due(w.now+took, eventStep, k.index, nil)
}

// finishStep makes the events of a step known at its end.
func (w *world) finishStep(k *worker) {
	k.step = false
	for _, ev := range k.pending {
		c := w.byID[ev.Seq.ID]
		switch ev.Kind {
		case model.EventToken:
			w.token(k, c)
		case model.EventFinished:
			c.done = true
			k.door.finished(w, k, c)
		case model.EventPreempted:
		}
	}
	k.door.tick(w, k)
	w.startStep(k)
}

func (w *world) token(k *worker, c *call) {
	k.tokens++
	if c.first == 0 {
		c.first = w.now
	} else {
		c.gaps = append(c.gaps, w.now-c.last)
	}
	c.last = w.now
	k.door.token(w, k, c)
}
