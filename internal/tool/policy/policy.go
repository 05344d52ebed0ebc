package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/stand/model"
)

// Names of the policies.
const (
	NameOurs      = "mimosalock"
	NameOracle    = "oracle"
	NameRobin     = "round_robin"
	NameLeast     = "least_in_flight"
	NameTwo       = "two_choices"
	NameFixed16   = "fixed_16"
	NameFixed32   = "fixed_32"
	NameUnlimited = "no_limit"
)

// Names lists the policies in the order of the table.
func Names() []string {
	return []string{NameOracle, NameOurs, NameRobin, NameLeast, NameTwo, NameFixed16, NameFixed32, NameUnlimited}
}

// Figures are the measures of one policy on one work.
type Figures struct {
	Policy       string  `json:"policy"`
	Calls        int     `json:"calls"`
	Complete     int     `json:"complete"`
	Refused      int     `json:"refused"`
	Preemptions  float64 `json:"preemptions_per_generation"`
	UsefulPS     float64 `json:"useful_tokens_per_second"`
	Gap95        float64 `json:"gap_p95_ms"`
	Gap99        float64 `json:"gap_p99_ms"`
	CheckFirst99 float64 `json:"check_first_token_p99_ms"`
	First99      float64 `json:"first_token_p99_ms"`
	Stall        float64 `json:"stall_seconds_per_generation"` // gaps above 250 ms
	Overloads    int     `json:"overloaded_cold_steps"`
}

const stallLimit = 250 * time.Millisecond

// scene is the fleet of one run.
type scene struct {
	workers int
	engine  model.Config
	cold    bool // all engines begin cold
	seed    uint64
}

// play runs one policy on a copy of the calls.
func (s scene) play(name string, work []*call) (Figures, []*call, *world, error) {
	w, calls, err := s.world(name, work)
	if err != nil {
		return Figures{}, nil, nil, err
	}
	w.run(calls)
	return measure(name, calls, w), calls, w, nil
}

// world builds the fleet with the policy and a copy of the calls.
func (s scene) world(name string, work []*call) (*world, []*call, error) {
	w := &world{rng: rand.New(rand.NewPCG(s.seed, 7)), byID: map[string]*call{}}
	policy, err := s.chooser(name)
	if err != nil {
		return nil, nil, err
	}
	w.policy = policy
	for i := range s.workers {
		k := &worker{index: i, engine: model.New(s.engine), door: s.door(name)}
		if !s.cold {
			k.engine.WarmUp()
		}
		w.workers = append(w.workers, k)
	}
	return w, fresh(work), nil
}

func (s scene) chooser(name string) (chooser, error) {
	switch name {
	case NameOurs:
		return newProbing(s.workers)
	case NameOracle:
		return bestKnown{}, nil
	case NameLeast:
		return leastInFlight{}, nil
	case NameTwo:
		return twoChoices{}, nil
	default:
		return &roundRobin{}, nil
	}
}

func (s scene) door(name string) door {
	switch name {
	case NameOurs:
		cfg := admit.Config{Floor: s.engine.ColdBatch, Max: s.engine.MaxBatch, WarmUp: s.engine.WarmTokens, Model: true, Warm: !s.cold}
		return &gated{gate: admit.New(cfg)}
	case NameOracle:
		return &knowing{}
	case NameFixed16:
		return &fixed{limit: 16}
	case NameFixed32, NameRobin, NameLeast, NameTwo:
		return &fixed{limit: 32}
	default:
		return open{}
	}
}

func measure(name string, calls []*call, w *world) Figures {
	f := Figures{Policy: name, Calls: len(calls)}
	var gaps, checks, firsts []float64
	useful := 0
	span := calls[len(calls)-1].at // tokens that come later are not counted
	stall := time.Duration(0)
	for _, c := range calls {
		switch {
		case c.refused:
			f.Refused++
		case c.done:
			f.Complete++
			if c.last <= span {
				useful += c.seq.Produced
			}
		}
		if c.first > 0 {
			first := millis(c.first - c.at)
			firsts = append(firsts, first)
			if c.req.Class == classCheck {
				checks = append(checks, first)
			}
		}
		for _, g := range c.gaps {
			gaps = append(gaps, millis(g))
			if g > stallLimit {
				stall += g
			}
		}
	}
	for _, k := range w.workers {
		f.Preemptions += float64(k.engine.Preemptions)
		f.Overloads += k.engine.Overloads
	}
	generations := float64(max(1, f.Complete))
	f.Preemptions /= generations
	f.Stall = stall.Seconds() / generations
	f.UsefulPS = float64(useful) / span.Seconds()
	f.Gap95, f.Gap99 = quantile(gaps, 0.95), quantile(gaps, 0.99)
	f.CheckFirst99, f.First99 = quantile(checks, 0.99), quantile(firsts, 0.99)
	return f
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return stat.Quantile(p, stat.Empirical, values, nil)
}

// crowded is an engine whose memory, not its batch, is the bound.
func crowded() model.Config {
	c := model.Default()
	c.CacheTokens = 40_000
	c.WarmTokens = 20_000
	return c
}

// capacity finds the tokens a second that the oracle makes in the steady state
// under more work than it can do, and the calls a second that make 90% of it.
func capacity(s scene, seed uint64) (tokensPS, rate float64, err error) {
	const perWorker = 30.0 // calls a second, far above capacity
	const from, to = 30 * time.Second, 60 * time.Second
	work := workload{seed: seed, rate: perWorker * float64(s.workers), span: to, workspaces: 10, heavy: -1}.calls()
	made := [2]float64{}
	look := func(w *world) {
		switch {
		case w.now <= from:
			made[0] = float64(w.produced())
		case w.now <= to:
			made[1] = float64(w.produced())
		}
	}
	if _, err := s.playWatched(NameOracle, work, look); err != nil {
		return 0, 0, err
	}
	tokens := 0
	for _, c := range work {
		tokens += c.seq.Length
	}
	tokensPS = (made[1] - made[0]) / (to - from).Seconds()
	if tokensPS <= 0 {
		return 0, 0, fmt.Errorf("policy: the oracle completed nothing")
	}
	return tokensPS, 0.9 * tokensPS * float64(len(work)) / float64(tokens), nil
}

// produced is the number of tokens that all engines made.
func (w *world) produced() int {
	n := 0
	for _, k := range w.workers {
		n += k.tokens
	}
	return n
}
