package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/stand/engsim"
)

// Names of the policies as they appear in reports.
const (
	NameMimosalock    = "mimosalock"
	NameOracle        = "oracle"
	NameRoundRobin    = "round_robin"
	NameLeastInFlight = "least_in_flight"
	NameTwoChoices    = "two_choices"
	NameFixed16       = "fixed_16"
	NameFixed32       = "fixed_32"
	NameUnlimited     = "no_limit"
)

// Names returns the policies in the order of the printed table.
func Names() []string {
	return []string{NameOracle, NameMimosalock, NameRoundRobin, NameLeastInFlight, NameTwoChoices, NameFixed16, NameFixed32, NameUnlimited}
}

// Figures are the results of one policy on one workload. Times are in
// milliseconds unless the name of the field says otherwise.
type Figures struct {
	Policy                    string  `json:"policy"`
	Calls                     int     `json:"calls"`
	Complete                  int     `json:"complete"`
	Refused                   int     `json:"refused"`
	PreemptionsPerGeneration  float64 `json:"preemptions_per_generation"`
	UsefulTokensPS            float64 `json:"useful_tokens_per_second"`
	GapP95Ms                  float64 `json:"gap_p95_ms"`
	GapP99Ms                  float64 `json:"gap_p99_ms"`
	CheckFirstTokenP99Ms      float64 `json:"check_first_token_p99_ms"`
	FirstTokenP99Ms           float64 `json:"first_token_p99_ms"`
	StallSecondsPerGeneration float64 `json:"stall_seconds_per_generation"` // total of the gaps above stallThreshold
	OverloadedSteps           int     `json:"overloaded_cold_steps"`        // steps in which an engine ran more sequences than its warmth allows
}

// stallThreshold is the gap between two tokens above which a stream counts as stalled.
const stallThreshold = 250 * time.Millisecond

// setup describes the simulated fleet of one run.
type setup struct {
	workers int
	engine  engsim.Config
	cold    bool // engines start cold instead of warmed up
	seed    uint64
}

// simulate runs one policy on a copy of the calls. It returns the figures, the calls
// with their results, and the simulation in its final state.
func (s setup) simulate(name string, calls []*call) (Figures, []*call, *simulation, error) {
	sim, copies, err := s.newSimulation(name, calls)
	if err != nil {
		return Figures{}, nil, nil, err
	}
	sim.run(copies)
	return measure(name, copies, sim), copies, sim, nil
}

// newSimulation builds the fleet for a policy and copies the calls.
func (s setup) newSimulation(name string, calls []*call) (*simulation, []*call, error) {
	sim := &simulation{rng: rand.New(rand.NewPCG(s.seed, 7)), byID: map[string]*call{}}
	r, err := s.newRouter(name)
	if err != nil {
		return nil, nil, err
	}
	sim.router = r
	for i := range s.workers {
		k := &worker{index: i, engine: engsim.New(s.engine), admission: s.newAdmission(name)}
		if !s.cold {
			k.engine.SetWarm()
		}
		sim.workers = append(sim.workers, k)
	}
	return sim, cloneCalls(calls), nil
}

func (s setup) newRouter(name string) (router, error) {
	switch name {
	case NameMimosalock:
		return newProbeRouter(s.workers)
	case NameOracle:
		return oracleRouter{}, nil
	case NameLeastInFlight:
		return leastInFlight{}, nil
	case NameTwoChoices:
		return twoChoices{}, nil
	default:
		return &roundRobin{}, nil
	}
}

func (s setup) newAdmission(name string) admission {
	switch name {
	case NameMimosalock:
		cfg := admit.Config{Floor: s.engine.ColdBatch, Max: s.engine.MaxBatch, WarmUpWork: s.engine.WarmTokens, IsEngine: true, StartWarm: !s.cold}
		return &agentAdmission{controller: admit.New(cfg)}
	case NameOracle:
		return &oracleAdmission{}
	case NameFixed16:
		return &fixedLimit{limit: 16}
	case NameFixed32, NameRoundRobin, NameLeastInFlight, NameTwoChoices:
		return &fixedLimit{limit: 32}
	default:
		return unlimited{}
	}
}

// measure computes the figures of a finished simulation.
func measure(name string, calls []*call, sim *simulation) Figures {
	f := Figures{Policy: name, Calls: len(calls)}
	var gaps, checks, firsts []float64
	useful := 0
	lastArrival := calls[len(calls)-1].arrival // calls that end later, in the drain phase, do not count as useful
	stall := time.Duration(0)
	for _, c := range calls {
		switch {
		case c.refused:
			f.Refused++
		case c.done:
			f.Complete++
			if c.lastToken <= lastArrival {
				useful += c.seq.Produced
			}
		}
		if c.firstToken > 0 {
			first := millis(c.firstToken - c.arrival)
			firsts = append(firsts, first)
			if c.req.Class == classCheck {
				checks = append(checks, first)
			}
		}
		for _, g := range c.gaps {
			gaps = append(gaps, millis(g))
			if g > stallThreshold {
				stall += g
			}
		}
	}
	for _, k := range sim.workers {
		f.PreemptionsPerGeneration += float64(k.engine.Preemptions)
		f.OverloadedSteps += k.engine.OverloadedSteps
	}
	generations := float64(max(1, f.Complete))
	f.PreemptionsPerGeneration /= generations
	f.StallSecondsPerGeneration = stall.Seconds() / generations
	f.UsefulTokensPS = float64(useful) / lastArrival.Seconds()
	f.GapP95Ms, f.GapP99Ms = quantile(gaps, 0.95), quantile(gaps, 0.99)
	f.CheckFirstTokenP99Ms, f.FirstTokenP99Ms = quantile(checks, 0.99), quantile(firsts, 0.99)
	return f
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile sorts values in place. It returns 0 if there are none.
func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return stat.Quantile(p, stat.Empirical, values, nil)
}

// memoryBoundEngine returns an engine that runs out of cache memory before it reaches
// its maximum batch size.
func memoryBoundEngine() engsim.Config {
	c := engsim.Default()
	c.CacheTokens = 40_000
	c.WarmTokens = 20_000
	return c
}

// measureCapacity measures the fleet's capacity: the tokens per second that the oracle
// policy generates under overload, in the steady state between the times from and to.
// callsPS is the arrival rate that uses 90% of that capacity.
func measureCapacity(s setup, seed uint64) (tokensPS, callsPS float64, err error) {
	const overloadCallsPS = 30.0 // per worker, far above capacity
	const from, to = 30 * time.Second, 60 * time.Second
	work := workload{seed: seed, callsPS: overloadCallsPS * float64(s.workers), duration: to, workspaces: 10, heavyWorkspace: -1}.generate()
	generated := [2]float64{} // tokens until from, and until to
	observe := func(sim *simulation) {
		switch {
		case sim.now <= from:
			generated[0] = float64(sim.generatedTokens())
		case sim.now <= to:
			generated[1] = float64(sim.generatedTokens())
		}
	}
	if _, err := s.simulateObserved(NameOracle, work, observe); err != nil {
		return 0, 0, err
	}
	tokens := 0
	for _, c := range work {
		tokens += c.seq.Length
	}
	tokensPS = (generated[1] - generated[0]) / (to - from).Seconds()
	if tokensPS <= 0 {
		return 0, 0, fmt.Errorf("policy: the oracle generated no tokens in the measured interval")
	}
	return tokensPS, 0.9 * tokensPS * float64(len(work)) / float64(tokens), nil
}

// generatedTokens returns the number of tokens that all engines have generated.
func (sim *simulation) generatedTokens() int {
	n := 0
	for _, k := range sim.workers {
		n += k.generatedTokens
	}
	return n
}
