package policy

import (
	"runtime"
	"sync"
	"time"
)

const (
	mainDuration         = 120 * time.Second
	scenarioDuration     = 60 * time.Second
	smallFleetWorkers    = 12
	largeFleetWorkers    = 160
	heavyWorkspaceFactor = 10
)

// Options holds the settings of a comparison.
type Options struct {
	Seed      uint64
	Seeds     int                              // number of seeds in the main table, starting with Seed
	Large     bool                             // also run the large fleet
	PrintLine func(format string, args ...any) // prints a progress line
}

// Report holds the results of all scenarios.
type Report struct {
	Seed     uint64              `json:"seed"`
	Seeds    int                 `json:"seeds"`
	Capacity float64             `json:"oracle_tokens_per_second"`
	Main     map[string]*Summary `json:"main"`
	Large    []Figures           `json:"large,omitempty"`
	Cold     ColdFigures         `json:"cold"`
	Fair     FairFigures         `json:"fair"`
	Overload []OverloadFigures   `json:"overload"`
}

// Summary holds the mean and the worst of a policy's figures over the seeds. In both,
// Calls, Complete, Refused and OverloadedSteps are not means: Mean holds their sums, and
// Worst the values of the first added run.
type Summary struct {
	Mean  Figures `json:"mean"`
	Worst Figures `json:"worst"` // the worst of each figure, not the worst run
	Seeds int     `json:"seeds"`
}

// Run runs all scenarios.
func Run(o Options) (Report, error) {
	rep := Report{Seed: o.Seed, Seeds: o.Seeds, Main: map[string]*Summary{}}
	small := setup{workers: smallFleetWorkers, engine: memoryBoundEngine(), seed: o.Seed}
	tokensPS, callsPS, err := measureCapacity(small, o.Seed)
	if err != nil {
		return rep, err
	}
	rep.Capacity = tokensPS
	o.PrintLine("capacity: the oracle generates %.0f tokens/s on %d workers; the main workload is 90%% of that", tokensPS, smallFleetWorkers)
	if err := rep.runMain(o, callsPS); err != nil {
		return rep, err
	}
	if rep.Cold, err = coldStartScenario(o.Seed); err != nil {
		return rep, err
	}
	if rep.Fair, err = fairnessScenario(small, callsPS, o.Seed); err != nil {
		return rep, err
	}
	if rep.Overload, err = overloadScenario(small, callsPS, o.Seed); err != nil {
		return rep, err
	}
	if o.Large {
		rep.Large, err = largeFleetScenario(callsPS, o.Seed)
	}
	return rep, err
}

// runMain simulates every policy on the same workload for each seed, in parallel on all
// processors.
func (rep *Report) runMain(o Options, callsPS float64) error {
	type job struct {
		seed uint64
		name string
	}
	jobs := make(chan job)
	results := make(chan simulationResult)
	var runners sync.WaitGroup
	for range runtime.NumCPU() {
		runners.Go(func() {
			for j := range jobs {
				s := setup{workers: smallFleetWorkers, engine: memoryBoundEngine(), seed: j.seed}
				work := workload{seed: j.seed, callsPS: callsPS, duration: mainDuration, workspaces: 10, heavyWorkspace: -1, bursts: false}.generate()
				f, _, _, err := s.simulate(j.name, work)
				results <- simulationResult{figures: f, err: err}
			}
		})
	}
	go func() {
		for i := range o.Seeds {
			for _, name := range Names() {
				jobs <- job{seed: o.Seed + uint64(i), name: name}
			}
		}
		close(jobs)
		runners.Wait()
		close(results)
	}()
	var firstErr error
	for r := range results {
		if r.err != nil && firstErr == nil {
			firstErr = r.err
		}
		rep.addRun(r.figures)
	}
	return firstErr
}

type simulationResult struct {
	figures Figures
	err     error
}

// addRun adds the figures of one run to the policy's summary.
func (rep *Report) addRun(f Figures) {
	s := rep.Main[f.Policy]
	if s == nil {
		s = &Summary{Mean: Figures{Policy: f.Policy}, Worst: f}
		rep.Main[f.Policy] = s
	}
	n := float64(s.Seeds)
	mean := func(old, v float64) float64 { return (old*n + v) / (n + 1) }
	s.Mean.Calls += f.Calls
	s.Mean.Complete += f.Complete
	s.Mean.Refused += f.Refused
	s.Mean.OverloadedSteps += f.OverloadedSteps
	s.Mean.PreemptionsPerGeneration = mean(s.Mean.PreemptionsPerGeneration, f.PreemptionsPerGeneration)
	s.Mean.UsefulTokensPS = mean(s.Mean.UsefulTokensPS, f.UsefulTokensPS)
	s.Mean.GapP95Ms = mean(s.Mean.GapP95Ms, f.GapP95Ms)
	s.Mean.GapP99Ms = mean(s.Mean.GapP99Ms, f.GapP99Ms)
	s.Mean.CheckFirstTokenP99Ms = mean(s.Mean.CheckFirstTokenP99Ms, f.CheckFirstTokenP99Ms)
	s.Mean.FirstTokenP99Ms = mean(s.Mean.FirstTokenP99Ms, f.FirstTokenP99Ms)
	s.Mean.StallSecondsPerGeneration = mean(s.Mean.StallSecondsPerGeneration, f.StallSecondsPerGeneration)
	s.Worst.PreemptionsPerGeneration = max(s.Worst.PreemptionsPerGeneration, f.PreemptionsPerGeneration)
	s.Worst.UsefulTokensPS = min(s.Worst.UsefulTokensPS, f.UsefulTokensPS)
	s.Worst.GapP95Ms = max(s.Worst.GapP95Ms, f.GapP95Ms)
	s.Worst.GapP99Ms = max(s.Worst.GapP99Ms, f.GapP99Ms)
	s.Worst.CheckFirstTokenP99Ms = max(s.Worst.CheckFirstTokenP99Ms, f.CheckFirstTokenP99Ms)
	s.Worst.FirstTokenP99Ms = max(s.Worst.FirstTokenP99Ms, f.FirstTokenP99Ms)
	s.Worst.StallSecondsPerGeneration = max(s.Worst.StallSecondsPerGeneration, f.StallSecondsPerGeneration)
	s.Seeds++
}

// ColdFigures holds the results of coldStartScenario. An overloaded step is one in which
// an engine ran more sequences than its warmth allows. A collapse is a drop of the
// admission's limit to the floor. A reset makes a warm engine cold.
type ColdFigures struct {
	OverloadedSteps           int     `json:"overloaded_steps"`
	WarmUpSecs                float64 `json:"seconds_to_warm"`
	OracleWarmUpSecs          float64 `json:"oracle_seconds_to_warm"`
	CallsOnReset              int     `json:"overloaded_steps_after_cold_again"` // calls counted by resetObserver
	CollapsesAfterReset       int     `json:"collapses_after_cold_again"`
	RoundRobinOverloadedSteps int     `json:"round_robin_overloaded_steps"`
	UnlimitedOverloadedSteps  int     `json:"no_limit_overloaded_steps"`
	FalseCollapses            int     `json:"false_collapses"`                   // before the reset, while the engine is warm
	ResetDetectionSecs        float64 `json:"seconds_until_cold_again_was_seen"` // from the reset to the first collapse
}

// coldStartScenario overloads one engine that starts cold, with several policies. Then it
// runs the production policy on a warm engine that is reset to cold after 30 s.
func coldStartScenario(seed uint64) (ColdFigures, error) {
	var out ColdFigures
	work := workload{seed: seed, callsPS: 8, duration: scenarioDuration, workspaces: 10, heavyWorkspace: -1}.generate()
	warmAt := map[string]float64{}
	for _, name := range []string{NameMimosalock, NameOracle, NameRoundRobin, NameUnlimited} {
		s := setup{workers: 1, engine: memoryBoundEngine(), cold: true, seed: seed}
		warmUp := &warmUpObserver{}
		f, err := s.simulateObserved(name, work, warmUp.observe)
		if err != nil {
			return out, err
		}
		warmAt[name] = warmUp.warmAt.Seconds()
		switch name {
		case NameMimosalock:
			out.OverloadedSteps = f.OverloadedSteps
		case NameRoundRobin:
			out.RoundRobinOverloadedSteps = f.OverloadedSteps
		case NameUnlimited:
			out.UnlimitedOverloadedSteps = f.OverloadedSteps
		}
	}
	out.WarmUpSecs, out.OracleWarmUpSecs = warmAt[NameMimosalock], warmAt[NameOracle]
	reset := &resetObserver{resetAt: 30 * time.Second}
	s := setup{workers: 1, engine: memoryBoundEngine(), seed: seed}
	if _, err := s.simulateObserved(NameMimosalock, work, reset.observe); err != nil {
		return out, err
	}
	out.CollapsesAfterReset, out.ResetDetectionSecs, out.CallsOnReset = reset.collapses, reset.detectionDelay.Seconds(), reset.overloadingCalls
	out.FalseCollapses = reset.falseCollapses
	return out, nil
}

// warmUpObserver records when the first engine became fully warm.
type warmUpObserver struct{ warmAt time.Duration }

func (w *warmUpObserver) observe(sim *simulation) {
	if w.warmAt == 0 && sim.workers[0].engine.Warmth() >= 1 {
		w.warmAt = sim.now
	}
}

// resetObserver resets the first engine to cold once. It measures how soon the
// admission's limit collapses, and counts the calls that the
// engine receives after the reset while it holds more than it can run at its warmth.
// Calls that it held before the reset are not counted.
type resetObserver struct {
	resetAt          time.Duration
	wasReset         bool
	detectionDelay   time.Duration // from the reset to the first collapse
	falseCollapses   int           // collapses before the reset
	collapses        int
	overloadingCalls int
	lastHeld         int
}

func (c *resetObserver) observe(sim *simulation) {
	k := sim.workers[0]
	controller := k.admission.(*agentAdmission).controller
	if !c.wasReset && sim.now >= c.resetAt {
		c.wasReset, c.falseCollapses = true, controller.LimitResets()
		k.engine.SetCold()
	}
	if c.wasReset && c.collapses == 0 && controller.LimitResets() > c.falseCollapses {
		c.collapses, c.detectionDelay = controller.LimitResets()-c.falseCollapses, sim.now-c.resetAt
	}
	held := k.engine.Running() + k.engine.Waiting()
	if c.wasReset && held > c.lastHeld && held > k.engine.SafeBatch() {
		c.overloadingCalls += held - c.lastHeld
	}
	c.lastHeld = held
}

// FairFigures holds the results of fairnessScenario. Before and during refer to the time
// when the heavy workspace starts to send more.
type FairFigures struct {
	OthersCheckP99BeforeMs float64 `json:"others_check_first_token_p99_before_ms"`
	OthersCheckP99DuringMs float64 `json:"others_check_first_token_p99_during_ms"`
	OthersRefusedShare     float64 `json:"others_refused_share_during"` // fraction of their calls
	HeavyRefusedShare      float64 `json:"heavy_refused_share"`         // over the whole run
}

// fairnessScenario measures the effect on the other workspaces when one sends
// heavyWorkspaceFactor times its usual rate from a third of the run on.
func fairnessScenario(s setup, callsPS float64, seed uint64) (FairFigures, error) {
	w := workload{seed: seed, callsPS: 0.6 * callsPS, duration: mainDuration, workspaces: 10, heavyWorkspace: 0, heavyFactor: heavyWorkspaceFactor}
	_, calls, _, err := s.simulate(NameMimosalock, w.generate())
	if err != nil {
		return FairFigures{}, err
	}
	var before, during []float64
	var others, othersRefused, heavy, heavyRefused float64
	for _, c := range calls {
		duringSurge := c.arrival > mainDuration/3
		if c.req.Workspace == "w0" {
			heavy++
			if c.refused {
				heavyRefused++
			}
			continue
		}
		if duringSurge {
			others++
			if c.refused {
				othersRefused++
			}
		}
		if c.req.Class == classCheck && c.firstToken > 0 {
			if duringSurge {
				during = append(during, millis(c.firstToken-c.arrival))
			} else {
				before = append(before, millis(c.firstToken-c.arrival))
			}
		}
	}
	return FairFigures{
		OthersCheckP99BeforeMs: quantile(before, 0.99), OthersCheckP99DuringMs: quantile(during, 0.99),
		OthersRefusedShare: othersRefused / max(1, others), HeavyRefusedShare: heavyRefused / max(1, heavy),
	}, nil
}

// OverloadFigures holds the results of one policy at a multiple of the fleet's capacity.
type OverloadFigures struct {
	CapacityFactor       float64 `json:"times_capacity"`
	Policy               string  `json:"policy"`
	UsefulTokensPS       float64 `json:"useful_tokens_per_second"`
	CheckFirstTokenP99Ms float64 `json:"check_first_token_p99_ms"`
	RefusedShare         float64 `json:"refused_share"`
}

// overloadScenario runs several policies at 1, 2 and 10 times the capacity. callsPS is
// 90% of the capacity.
func overloadScenario(s setup, callsPS float64, seed uint64) ([]OverloadFigures, error) {
	var out []OverloadFigures
	for _, times := range []float64{1, 2, 10} {
		work := workload{seed: seed, callsPS: times * callsPS / 0.9, duration: scenarioDuration, workspaces: 10, heavyWorkspace: -1}.generate()
		for _, name := range []string{NameMimosalock, NameLeastInFlight, NameUnlimited} {
			f, _, _, err := s.simulate(name, work)
			if err != nil {
				return nil, err
			}
			out = append(out, OverloadFigures{
				CapacityFactor: times, Policy: name, UsefulTokensPS: f.UsefulTokensPS, CheckFirstTokenP99Ms: f.CheckFirstTokenP99Ms, RefusedShare: float64(f.Refused) / float64(f.Calls),
			})
		}
	}
	return out, nil
}

// largeFleetScenario runs the main workload, scaled up, on largeFleetWorkers workers.
func largeFleetScenario(callsPS float64, seed uint64) ([]Figures, error) {
	s := setup{workers: largeFleetWorkers, engine: memoryBoundEngine(), seed: seed}
	work := workload{seed: seed, callsPS: callsPS * largeFleetWorkers / smallFleetWorkers, duration: scenarioDuration / 2, workspaces: 200, heavyWorkspace: -1}.generate()
	var out []Figures
	for _, name := range []string{NameOracle, NameMimosalock, NameRoundRobin, NameTwoChoices} {
		f, _, _, err := s.simulate(name, work)
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

// simulateObserved is like simulate, but calls observe after each event.
func (s setup) simulateObserved(name string, calls []*call, observe func(*simulation)) (Figures, error) {
	sim, copies, err := s.newSimulation(name, calls)
	if err != nil {
		return Figures{}, err
	}
	sim.onEvent = observe
	sim.run(copies)
	return measure(name, copies, sim), nil
}
