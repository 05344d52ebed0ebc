package blame

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simTime        = 15 * time.Second
	simSettled     = 4 * time.Second // from the fifth crash until no culprit call is sent
	simEngines     = 20
	simRestart     = 5 * time.Second
	simDelay       = 30 * time.Millisecond // of a report
	simFanOut      = 4
	simFirstEvent  = 300 * time.Millisecond // after a call is sent
	simSends       = 2                      // of a call
	culpritsPerSec = 3
	soundPerSec    = 10
	minSoundShare  = 0.99
	headShare      = 0.1 // of the calls that wait on a crashing engine, which have the response's head
)

// fleetSim is a fleet of ledgers and engines in virtual time.
type fleetSim struct {
	simCase
	rng             *rand.Rand
	now             time.Time
	events          eventQueue
	ledgers         []*Ledger
	states          []uint64              // last pushed
	started         [simEngines]time.Time // of the running or next start
	crashes         []time.Time           // of engines
	sends           []time.Time           // of culprit calls
	sound           struct{ sent, blocked int }
	calls           int
	reports         int // delivered
	breaks          int
	culpritsBlocked int
}

type simCall struct {
	process int
	parts   []Part
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// A culprit must not go on to end engines from processes that have seen none of its
// crashes, and the sound calls that share its caller must go on.
func TestCulpritStopsInFleet(t *testing.T) {
	for _, c := range []simCase{
		{name: "first calls of all", processes: 12},
		{name: "first calls of all", processes: 400},
		{name: "traffic with broken connections", processes: 12, culpritsFrom: 3 * time.Second, breakShare: 0.05},
		{name: "traffic with broken connections", processes: 400, culpritsFrom: 3 * time.Second, breakShare: 0.05},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(c.name, ", ", c.processes, " processes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				expectCulpritStops(t, c, seed)
			})
		}
	}
}

type simCase struct {
	name         string
	processes    int
	culpritsFrom time.Duration
	breakShare   float64 // of sound calls, whose connection breaks before the first event
}

func expectCulpritStops(t *testing.T, c simCase, seed uint64) {
	t.Helper()
	s := &fleetSim{simCase: c, rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, states: make([]uint64, c.processes)}
	for i := range c.processes {
		s.ledgers = append(s.ledgers, New())
		s.after(s.uniform(time.Second), func() { s.reportRegularly(i) })
	}
	s.after(c.culpritsFrom, func() {
		s.arrive(culpritsPerSec, func() { s.send(s.newCall("culprit"), true, simSends) })
	})
	s.arrive(soundPerSec, func() { s.send(s.newCall("sound"), false, simSends) })
	for s.now.Before(epoch.Add(simTime)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	if len(s.crashes) < minCrashes || s.culpritsBlocked == 0 {
		t.Fatalf("%d crashes, %d culprit calls blocked: the simulation shows nothing", len(s.crashes), s.culpritsBlocked)
	}
	fifth := s.crashes[min(5, len(s.crashes))-1] // the last if the block came earlier
	last := s.sends[len(s.sends)-1]
	if last.After(fifth.Add(simSettled)) {
		t.Errorf("culprit call sent %v after the fifth crash, want none after %v", last.Sub(fifth), simSettled)
	}
	if share := 1 - float64(s.sound.blocked)/float64(s.sound.sent+s.sound.blocked); share < minSoundShare {
		t.Errorf("%.3f of the sound calls were sent, want at least %.3f", share, minSoundShare)
	}
	after := 0
	for _, at := range s.sends {
		if at.After(fifth) {
			after++
		}
	}
	t.Logf("%d crashes; culprit calls: %d sends after the fifth, last %v after it, %d blocked; sound calls: %d sent, %d blocked, %d broken off; %d reports",
		len(s.crashes), after, last.Sub(fifth), s.culpritsBlocked, s.sound.sent, s.sound.blocked, s.breaks, s.reports)
}

func (s *fleetSim) after(d time.Duration, do func()) {
	s.calls++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.calls, do})
}

func (s *fleetSim) uniform(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// arrive does something at random times, at a rate per second.
func (s *fleetSim) arrive(rate float64, do func()) {
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		do()
		s.arrive(rate, do)
	})
}

func (s *fleetSim) newCall(kind string) simCall {
	return simCall{s.rng.IntN(len(s.ledgers)), parts("first", "caller", kind+fmt.Sprint(s.rng.IntN(3)), kind, fmt.Sprint("own", s.calls))}
}

// send sends a call to a random engine that runs. Engines crash after the head of a
// response to a culprit call, under all calls that wait there.
func (s *fleetSim) send(c simCall, isCulprit bool, sends int) {
	l := s.ledgers[c.process]
	if sends == 0 {
		return
	}
	if _, blocked := l.Blocked(s.now, c.parts); blocked {
		if isCulprit {
			s.culpritsBlocked++
		} else {
			s.sound.blocked++
		}
		return
	}
	engine := s.rng.IntN(simEngines)
	for s.started[engine].After(s.now) {
		engine = s.rng.IntN(simEngines)
	}
	started, sent := s.started[engine], s.now
	if isCulprit {
		s.sends = append(s.sends, s.now)
	} else if sends == simSends {
		s.sound.sent++
	}
	s.after(simFirstEvent/2+s.uniform(simFirstEvent), func() {
		switch {
		case s.started[engine] != started:
			if s.rng.Float64() < headShare {
				s.breaks++
				s.crash(c, engine, started, sent)
			}
			s.send(c, isCulprit, sends-1)
		case isCulprit:
			s.started[engine] = s.now.Add(simRestart)
			s.crashes = append(s.crashes, s.now)
			s.crash(c, engine, started, sent)
			s.send(c, isCulprit, sends-1)
		case s.rng.Float64() < s.breakShare:
			s.breaks++
			s.crash(c, engine, started, sent)
			s.send(c, isCulprit, sends-1)
		default:
			s.after(time.Second, func() {
				l.RecordAnswer(s.now, c.parts)
				s.push(c.process)
			})
		}
	})
}

func (s *fleetSim) crash(c simCall, engine int, started, sent time.Time) {
	s.ledgers[c.process].RecordCrash(s.now, s.now.Sub(sent), fmt.Sprint("e", engine), started.UnixMilli(), c.parts)
	s.push(c.process)
}

// push reports to some others if the state has risen.
func (s *fleetSim) push(process int) {
	if s.ledgers[process].state == s.states[process] {
		return // saves the time to make a report
	}
	r, state := s.ledgers[process].Report(s.now)
	s.states[process] = state
	for range simFanOut {
		s.deliver(r)
	}
}

func (s *fleetSim) reportRegularly(process int) {
	r, _ := s.ledgers[process].Report(s.now)
	s.deliver(r)
	s.after(time.Second, func() { s.reportRegularly(process) })
}

func (s *fleetSim) deliver(r Report) {
	to := s.rng.IntN(len(s.ledgers))
	s.after(simDelay, func() {
		s.reports++
		s.ledgers[to].Merge(s.now, r)
		s.push(to)
	})
}
