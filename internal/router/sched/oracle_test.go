package sched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// One region of the platform's large deployment.
const (
	largeProcesses = 34
	largeEngines   = 38
	largeRate      = 50.0 // generations a second, two in five of them plans
	reportDelay    = 45 * time.Millisecond
	otherDelay     = 320 * time.Millisecond // of reports other than a new call
	largeTime      = 24 * time.Second
	warmUp         = 8 * time.Second // of the simulation, not counted
)

// pattern is a load of the heaviest days.
type pattern struct {
	name      string
	planRate  func(at time.Duration) float64
	checkRate func(at time.Duration) float64
	listed    func(at time.Duration, engine int) bool
	hot       bool // a tenth of the processes get half of the calls
}

func always(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func during(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if between(at, from, to) {
			return inside
		}
		return outside
	}
}

func patterns() []pattern {
	plans, checks := 0.4*largeRate, 0.6*largeRate
	from, to := 12*time.Second, 18*time.Second
	return []pattern{
		{"steady", always(plans), always(checks), alwaysListed, false},
		{"one workspace at 7.5 times its rate", during(from, to, 1.4*plans, plans), during(from, to, 1.4*checks, checks), alwaysListed, true},
		{"burst of short checks", always(plans), during(from, to, 2.5*checks, checks), alwaysListed, false},
		{"terminations in series", always(plans), always(checks), func(at time.Duration, e int) bool {
			return e%6 != int(at/(3300*time.Millisecond))%6
		}, false},
		{"evacuation", always(plans), always(checks), func(at time.Duration, e int) bool { return !between(at, from, to) || e%2 == 0 }, false},
	}
}

// knowledge is what the processes know of each other's load.
type knowledge struct {
	name   string
	oracle bool // all placements, at once
	homes  int  // each engine's load is known to this number of processes, 0 for all
}

// TestKnowledgeOfLoad compares what the processes of a region know of each other's load
// with a choice that knows everything at once, on the same calls: the 95th percentile of
// the time to the first token. docs/POLICY.md has the figures.
func TestKnowledgeOfLoad(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("known red, entry 8 of KNOWN-RED.txt")
	}
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			full := playPattern(p, knowledge{})
			oracle := playPattern(p, knowledge{oracle: true})
			four := playPattern(p, knowledge{homes: 4})
			t.Logf("first token, 95th percentile: %v knowing the load of the cell, %v with four homes for each engine, %v knowing all at once", full, four, oracle)
			if full > four {
				t.Errorf("%v knowing the load of the cell is above %v with four homes for each engine", full, four)
			}
			if full > 2*oracle {
				t.Errorf("%v knowing the load of the cell is above twice the %v of knowing all at once", full, oracle)
			}
		})
	}
}

// report is a process's load on its way to the others.
type report struct {
	at    time.Duration
	from  int
	loads map[Key]Load
}

func playPattern(p pattern, k knowledge) time.Duration {
	rng := rand.New(rand.NewPCG(3, 4))
	epoch := time.Unix(0, 0)
	schedulers := make([]*Scheduler, largeProcesses)
	for i := range schedulers {
		cfg := Config{DataCentre: "a1", Region: "a", Name: fmt.Sprint(i), Processes: func() int { return largeProcesses }, Random: rng.Int64}
		if k.homes > 0 {
			cfg.KnowsLoad = func(id string) bool { return isHome(i, engineNumber(id), k.homes) }
		}
		schedulers[i] = New(cfg)
		if k.oracle && i > 0 {
			schedulers[i] = schedulers[0]
		}
	}
	all := schedulers
	if k.oracle {
		all = schedulers[:1]
	}
	incarnations, prefillFree := make([]int64, largeEngines), make([]time.Duration, largeEngines)
	var waiting []simCall
	var runs []*simRun
	var reports []report
	var firstTokens []time.Duration
	last := make([]map[Key]Load, largeProcesses)
	lastOther := make([]time.Duration, largeProcesses)
	for at := time.Duration(0); at < largeTime; at += time.Millisecond {
		now := epoch.Add(at)
		for e := range largeEngines {
			relist(all, now, p, at, e, incarnations, prefillFree)
		}
		for _, plan := range []bool{true, false} {
			rate := p.checkRate(at)
			if plan {
				rate = p.planRate(at)
			}
			if rng.Float64() < rate/1000 {
				waiting = append(waiting, patternCall(rng, at, plan, p.hot && between(at, 12*time.Second, 18*time.Second)))
			}
		}
		runs = advance(runs, now, at)
		waiting = slices.DeleteFunc(waiting, func(c simCall) bool {
			req := Request{Service: "s", MemoryTokens: c.prompt + c.output*6/10, PromptTokens: c.prompt, EngineTokens: 33_592}
			l, ok := schedulers[c.process].TryPlace(now, req)
			if !ok {
				return false
			}
			e := engineNumber(l.Endpoint.ID)
			prefillFree[e] = max(prefillFree[e], at) + time.Duration(float64(c.prompt)/prefillTokensPerMs*float64(time.Millisecond))
			runs = append(runs, &simRun{lease: l, prefillEnd: prefillFree[e], outputEnd: prefillFree[e] + time.Duration(c.output)*timePerOutputToken})
			if c.arrived >= warmUp {
				firstTokens = append(firstTokens, prefillFree[e]-c.arrived)
			}
			return true
		})
		if k.oracle || at%(20*time.Millisecond) != 0 {
			continue
		}
		for i, s := range schedulers {
			loads := s.Loads()
			if !hasNewCall(last[i], loads) && at-lastOther[i] < otherDelay-reportDelay {
				continue
			}
			last[i], lastOther[i] = loads, at
			reports = append(reports, report{at + reportDelay, i, loads})
		}
		reports = slices.DeleteFunc(reports, func(r report) bool {
			if r.at > at {
				return false
			}
			for j, s := range schedulers {
				if j != r.from {
					s.SetPeerLoad(now, fmt.Sprint(r.from), knownLoads(r.loads, j, k.homes))
				}
			}
			return true
		})
	}
	slices.SortFunc(firstTokens, cmp.Compare[time.Duration])
	return firstTokens[len(firstTokens)*95/100].Round(time.Millisecond)
}

// isHome spreads the homes of the engines evenly over the processes.
func isHome(process, engine, homes int) bool {
	return (process+largeProcesses-engine*homes%largeProcesses)%largeProcesses < homes
}

// knownLoads returns the loads that reach a process.
func knownLoads(loads map[Key]Load, process, homes int) map[Key]Load {
	out := make(map[Key]Load, len(loads))
	for e := range largeEngines {
		key := KeyOf(engineID(e))
		if l, ok := loads[key]; ok && (homes == 0 || isHome(process, e, homes)) {
			out[key] = l
		}
	}
	return out
}

func hasNewCall(before, after map[Key]Load) bool {
	for key, l := range after {
		if l.Calls > before[key].Calls {
			return true
		}
	}
	return false
}

func patternCall(rng *rand.Rand, at time.Duration, plan, hot bool) simCall {
	c := simCall{arrived: at, process: rng.IntN(largeProcesses), prompt: 1000 + rng.IntN(2400), output: 10}
	if hot && rng.IntN(2) == 0 {
		c.process = rng.IntN(largeProcesses / 10)
	}
	if plan {
		c.prompt, c.output = 2000+rng.IntN(2000), 100+rng.IntN(700)
	}
	return c
}

func relist(schedulers []*Scheduler, now time.Time, p pattern, at time.Duration, e int, incarnations []int64, prefillFree []time.Duration) {
	listed := p.listed(at, e)
	switch {
	case listed && incarnations[e] <= 0:
		incarnations[e] = 1 - incarnations[e]
		prefillFree[e] = at
		for _, s := range schedulers {
			s.Put(now, endpt.Endpoint{ID: engineID(e), StartedMs: incarnations[e], Service: "s", DataCentre: "a1", Region: "a", Slots: 24})
		}
	case !listed && incarnations[e] > 0:
		incarnations[e] = -incarnations[e]
		for _, s := range schedulers {
			s.Remove(now, engineID(e), time.Time{})
		}
	}
}
