package blame

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	lossTime    = 20 * time.Second // of a simulation
	lossAt      = 5 * time.Second
	noticeDelay = 40 * time.Millisecond // at most, until a process has noticed that a call broke off
	restartTime = 4 * time.Second
	settleTime  = 4 * time.Second // after the last loss or crash, until no sound call is blocked
	// maxLateSends is how many deadly calls may be sent later than simSettled after the fifth crash.
	maxLateSends = 3
)

// load is calls of one kind that arrive at random processes.
type load struct {
	rate    float64       // a second
	copies  int           // that arrive at the same moment, 0 for one
	engines int           // that serve them, the first ones of the fleet
	takes   time.Duration // until the first event, between half and one and a half of it
	parts   []Part
	deadly  bool
	from    time.Duration
}

// loss takes engines down at the same moment, or one after the other.
type loss struct {
	at      time.Duration
	engines int // the first ones of the fleet
	gap     time.Duration
}

type lossCase struct {
	name    string
	engines int
	loads   []load
	losses  []loss
}

type flight struct {
	load           *load
	process, sends int
	sent           time.Time
}

// lossSim is a fleet of ledgers whose engines crash by themselves too. All calls under way at
// an engine that crashes break off at once.
type lossSim struct {
	*fleetSim
	lossCase
	flights   []map[*flight]bool // by engine
	soundSent int
	refused   []time.Time // sound calls that were blocked
	downUntil time.Time   // the end of the last loss
}

func newLossSim(c lossCase, processes int, seed uint64) *lossSim {
	s := &lossSim{lossCase: c, fleetSim: &fleetSim{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, states: make([]uint64, processes)}}
	for i := range processes {
		s.ledgers = append(s.ledgers, New())
		s.after(s.uniform(time.Second), func() { s.reportRegularly(i) })
	}
	for range c.engines {
		s.flights = append(s.flights, map[*flight]bool{})
	}
	s.loads = slices.Clone(c.loads)
	for i := range s.loads {
		l := &s.loads[i]
		s.after(l.from, func() {
			s.arrive(l.rate, func() {
				for range max(1, l.copies) {
					s.place(&flight{load: l, process: s.rng.IntN(processes), sends: simSends})
				}
			})
		})
	}
	for _, l := range c.losses {
		for e := range l.engines {
			s.after(l.at+time.Duration(e)*l.gap, func() {
				s.downUntil = s.now.Add(restartTime)
				s.end(e)
			})
		}
	}
	return s
}

func (s *lossSim) run() {
	for s.now.Before(epoch.Add(lossTime)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// place sends a call to a random engine that runs, unless it is blocked.
func (s *lossSim) place(f *flight) {
	if _, blocked := s.ledgers[f.process].Blocked(s.now, f.load.parts); blocked {
		if f.load.deadly {
			s.culpritsBlocked++
		} else {
			s.refused = append(s.refused, s.now)
		}
		return
	}
	var up []int
	for e := range f.load.engines {
		if !s.started[e].After(s.now) {
			up = append(up, e)
		}
	}
	if f.sends == 0 || len(up) == 0 {
		return
	}
	if f.load.deadly {
		s.sends = append(s.sends, s.now)
	} else {
		s.soundSent++
	}
	f.sends--
	f.sent = s.now
	engine := up[s.rng.IntN(len(up))]
	s.flights[engine][f] = true
	s.after(f.load.takes/2+s.uniform(f.load.takes), func() {
		switch {
		case !s.flights[engine][f]:
		case f.load.deadly:
			s.crashes = append(s.crashes, s.now)
			s.end(engine)
		default:
			delete(s.flights[engine], f)
			s.ledgers[f.process].RecordAnswer(s.now, f.load.parts)
			s.push(f.process)
		}
	})
}

// end takes an engine down for a while. The processes of the calls on it notice that soon after,
// and send them once more.
func (s *lossSim) end(engine int) {
	started := s.started[engine]
	s.started[engine] = s.now.Add(restartTime)
	for f := range s.flights[engine] {
		delete(s.flights[engine], f)
		s.after(s.uniform(noticeDelay), func() {
			s.crash(simCall{process: f.process, parts: f.load.parts}, engine, started, f.sent)
			s.place(f)
		})
	}
}

var (
	checkParts  = parts("system", "check")
	lookupParts = parts("call lookup")
)

// zoneLoad is the sound load of an allowed region: calls that share their prompt's first part, and
// one lookup that is asked again and again.
func zoneLoad(engines int) []load {
	return []load{
		{rate: 8, engines: engines, takes: 250 * time.Millisecond, parts: checkParts},
		{rate: 12, engines: engines, takes: 60 * time.Millisecond, parts: lookupParts},
	}
}

func soundLosses() []lossCase {
	slow := []load{{rate: 3, engines: 4, takes: 2 * time.Second, parts: checkParts}}
	return []lossCase{
		{"a zone is lost", 20, zoneLoad(8), []loss{{at: lossAt, engines: 8}}},
		{"a zone is lost, few calls", 20, slow, []loss{{at: lossAt, engines: 4}}},
		{"a zone is lost over 100 ms", 20, zoneLoad(8), []loss{{at: lossAt, engines: 8, gap: 14 * time.Millisecond}}},
		{"a zone is lost twice", 20, zoneLoad(8), []loss{{at: lossAt, engines: 8}, {at: lossAt + restartTime + time.Second, engines: 8}}},
		{"a zone is lost twice, few calls", 20, slow, []loss{{at: lossAt, engines: 4}, {at: lossAt + restartTime + time.Second, engines: 4}}},
		{"a machine with three workers", 12, zoneLoad(12), []loss{{at: lossAt, engines: 3}}},
		{"three workers in all", 3, zoneLoad(3), []loss{{at: lossAt, engines: 3}}},
		{"three workers in all, few calls", 3, []load{{rate: 3, engines: 3, takes: 2 * time.Second, parts: checkParts}}, []loss{{at: lossAt, engines: 3}}},
		{"a rolling restart, 1 s apart", 8, zoneLoad(8), []loss{{at: lossAt, engines: 8, gap: time.Second}}},
		{"a rolling restart, 300 ms apart", 8, zoneLoad(8), []loss{{at: lossAt, engines: 8, gap: 300 * time.Millisecond}}},
	}
}

func deadlyCalls() []lossCase {
	deadly := func(rate float64, copies, engines int, takes, from time.Duration) load {
		return load{rate: rate, copies: copies, engines: engines, takes: takes, parts: parts("deadly"), deadly: true, from: from}
	}
	return []lossCase{
		{"one after the other", 20, append(zoneLoad(20), deadly(3, 1, 20, 300*time.Millisecond, 0)), nil},
		{"fast", 20, append(zoneLoad(20), deadly(6, 1, 20, 30*time.Millisecond, 0)), nil},
		{"four at once", 20, append(zoneLoad(20), deadly(1, 4, 20, 300*time.Millisecond, 0)), nil},
		{"three workers in all", 3, append(zoneLoad(3), deadly(3, 1, 3, 60*time.Millisecond, 0)), nil},
		{"three workers in all, two at once", 3, append(zoneLoad(3), deadly(2, 2, 3, 60*time.Millisecond, 0)), nil},
		{"during the loss of a zone", 20, append(zoneLoad(20), deadly(3, 1, 20, 300*time.Millisecond, lossAt-500*time.Millisecond)), []loss{{at: lossAt, engines: 8}}},
		{"seldom", 20, append(zoneLoad(20), deadly(0.3, 1, 20, 300*time.Millisecond, 0)), nil},
	}
}

// fleetSeeds is how many seeds of each case are played, by the number of processes.
var fleetSeeds = map[int]int{4: 3, 103: 1}

// Guards against calls that are refused for ten minutes as they were under way when a host, a data
// centre or all endpoints of a service were lost.
func TestLossBlocksNoSoundCalls(t *testing.T) {
	playLosses(t, soundLosses(), func(t *testing.T, s *lossSim) {
		late := 0
		for _, at := range s.refused {
			if at.After(s.downUntil.Add(settleTime)) {
				late++
			}
		}
		if late > 0 || s.soundSent == 0 {
			t.Errorf("%d of %d sound calls were blocked later than %v after the loss, want none", late, s.soundSent+len(s.refused), settleTime)
		}
	})
}

// Guards against calls that crash endpoints and go on to do so, as their crashes pass for a common
// loss: some at once, few endpoints, or a loss beside them.
func TestDeadlyCallsStopAmongLosses(t *testing.T) {
	playLosses(t, deadlyCalls(), func(t *testing.T, s *lossSim) {
		if len(s.crashes) < minCrashes {
			t.Fatalf("%d crashes: the simulation shows nothing", len(s.crashes))
		}
		if late := s.lateSends(); late > maxLateSends {
			t.Errorf("%d deadly calls were sent later than %v after the fifth crash, want at most %d", late, simSettled, maxLateSends)
		}
		t.Logf("%d crashes, %d sends", len(s.crashes), len(s.sends))
	})
}

func playLosses(t *testing.T, cases []lossCase, check func(*testing.T, *lossSim)) {
	for _, c := range cases {
		for processes, seeds := range fleetSeeds {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint(c.name, ", ", processes, " processes, seed ", seed), func(t *testing.T) {
					t.Parallel()
					s := newLossSim(c, processes, seed)
					s.run()
					check(t, s)
				})
			}
		}
	}
	t.Run(fmt.Sprint(cases[0].name, ", 390 processes"), func(t *testing.T) {
		t.Parallel()
		s := newLossSim(cases[0], 390, 0)
		s.run()
		check(t, s)
	})
}

// lateSends counts the deadly calls that were sent too late after the fifth crash, or the last
// if there are fewer.
func (s *lossSim) lateSends() (late int) {
	if len(s.crashes) == 0 {
		return 0
	}
	fifth := s.crashes[min(5, len(s.crashes))-1]
	for _, at := range s.sends {
		if at.After(fifth.Add(simSettled)) {
			late++
		}
	}
	return late
}
