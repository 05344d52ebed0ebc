// Package recov measures recovery as callers see it: the longest gap in a stream
// for each kind of fault, the calls while a data centre is out of service, and the
// time until a configuration change is in force everywhere.
package recov

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/engsim"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	tokenInterval     = 5 * time.Millisecond
	streamTokens      = 300
	faultAtToken      = 60 // the fault is injected when this many tokens have arrived
	callTimeout       = time.Minute
	drainCallers      = 12               // concurrent callers in MeasureDrain
	drainTestDuration = 21 * time.Second // of all phases of MeasureDrain
	drainedCentre     = "mayo-a"
	stallThreshold    = 250 * time.Millisecond // longer gaps count as stalled
)

// Stall is the result for one kind of fault.
type Stall struct {
	Kind    string         `json:"kind"`
	Outcome client.Outcome `json:"outcome"`
	Longest time.Duration  `json:"longest_gap"` // between two tokens at the caller
	Tokens  int            `json:"tokens"`
}

// DrainPhase is the result for one phase of taking a data centre out of service and
// bringing it back.
type DrainPhase struct {
	Phase    string        `json:"phase"`
	Calls    int           `json:"calls"`
	Complete int           `json:"complete"`
	GapP99   time.Duration `json:"gap_p99"`
	Stalled  time.Duration `json:"stalled"` // sum of all gaps above stallThreshold
}

// Rollout is the time until a configuration change is in force on every process.
type Rollout struct {
	Processes int           `json:"processes"`
	Dead      int           `json:"dead"`         // agents killed but still listed
	Worst     time.Duration `json:"worst"`        // of rolloutCount changes
	Calls     int           `json:"config_calls"` // to the configuration service, for all changes
}

const (
	rolloutCount   = 10
	rolloutTimeout = 30 * time.Second
	rolloutPause   = 300 * time.Millisecond
)

// MeasureRollouts measures configuration changes in a fleet of this many processes: first
// with all agents running, then with a tenth of them dead but still listed.
func MeasureRollouts(processes int) ([]Rollout, error) {
	var centres []spec.DataCentre
	for i := range 4 {
		centres = append(centres, spec.DataCentre{Name: fmt.Sprintf("centre-%d", i), Region: "west"})
	}
	r, err := local.New(local.Options{DataCentres: centres, Entries: 2, PlainWorkers: processes/4 - 2})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	healthy, err := measureChanges(r, 0)
	if err != nil {
		return nil, err
	}
	dead := 0
	for i, n := range r.Agents() {
		if i%10 == 0 {
			r.KillAgent(n)
			dead++
		}
	}
	degraded, err := measureChanges(r, dead)
	return []Rollout{healthy, degraded}, err
}

// measureChanges publishes rolloutCount changes one after another.
func measureChanges(r *local.Fleet, dead int) (Rollout, error) {
	s := Rollout{Processes: len(r.Agents()) + len(r.Entries()), Dead: dead}
	calls := r.Platform.ConfigRequests()
	for range rolloutCount {
		if err := r.Publish(func(f *spec.File) { f.Workspaces = slices.Clone(f.Workspaces); f.Workspaces[0].Weight++ }); err != nil {
			return s, err
		}
		took, err := r.WaitVersion(r.Version(), rolloutTimeout)
		if err != nil {
			return s, err
		}
		s.Worst = max(s.Worst, took)
		time.Sleep(rolloutPause)
	}
	s.Calls = r.Platform.ConfigRequests() - calls
	return s, nil
}

// steadyEngine returns an engine that produces a token every tokenInterval,
// however many generations run.
func steadyEngine() engsim.Config {
	c := local.QuickEngine()
	c.StepBase, c.StepPerSeq = tokenInterval, 0
	return c
}

// MeasureStalls measures each kind of fault once.
func MeasureStalls() ([]Stall, error) {
	kinds := []struct {
		name  string
		fault func(r *local.Fleet, n *local.Node)
	}{
		{"none", func(*local.Fleet, *local.Node) {}},
		{"link cut", func(_ *local.Fleet, n *local.Node) { n.Link.Cut() }},
		{"link silent", func(_ *local.Fleet, n *local.Node) { n.Link.Silence() }},
		{"engine link cut", func(_ *local.Fleet, n *local.Node) { n.EndpointLink.Cut() }},
		{"engine link silent", func(_ *local.Fleet, n *local.Node) { n.EndpointLink.Silence() }},
		{"agent restart", func(r *local.Fleet, n *local.Node) {
			r.KillAgent(n)
			_ = r.StartAgent(n) // a failure shows as an interrupted stream
		}},
		{"entry death", func(r *local.Fleet, _ *local.Node) { r.KillEntry(r.Entries()[0]) }},
		{"engine death", func(_ *local.Fleet, n *local.Node) { n.Engine.Close() }},
	}
	var out []Stall
	for _, k := range kinds {
		s, err := measureStall(k.fault)
		if err != nil {
			return nil, fmt.Errorf("recovery from %s: %w", k.name, err)
		}
		s.Kind = k.name
		out = append(out, s)
	}
	return out, nil
}

// measureStall streams a completion, injects the fault in the middle and resumes the
// stream at another entry if its connection breaks.
func measureStall(fault func(r *local.Fleet, n *local.Node)) (Stall, error) {
	r, err := local.New(local.Options{Entries: 2, Engines: 2, Engine: steadyEngine(), FaultLinks: true})
	if err != nil {
		return Stall{}, err
	}
	defer r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	caller := client.New(local.Key)
	last, longest := time.Now(), time.Duration(0)
	var once sync.Once
	caller.OnToken = func(n int) {
		if n > 1 {
			longest = max(longest, time.Since(last))
		}
		last = time.Now()
		if n >= faultAtToken {
			once.Do(func() { go fault(r, runningNode(r)) })
		}
	}
	res := caller.Generate(ctx, r.Entries()[0].CallerAddr, local.ModelName, fmt.Sprintf("len=%d", streamTokens), 0)
	if res.Outcome == client.OutcomeBroken {
		res = caller.Resume(ctx, r.Entries()[1].CallerAddr, res)
	}
	return Stall{Outcome: res.Outcome, Longest: longest, Tokens: res.Tokens}, res.ResponseErr
}

// runningNode returns a node whose engine runs a generation, else the first one.
func runningNode(r *local.Fleet) *local.Node {
	for _, n := range r.Engines() {
		if _, _, running := n.Engine.Stats(); running > 0 {
			return n
		}
	}
	return r.Engines()[0]
}

// MeasureDrain measures calls before, during and after the time that a data centre is
// out of service.
func MeasureDrain() ([]DrainPhase, error) {
	centres := []spec.DataCentre{{Name: "galway-a", Region: "west"}, {Name: drainedCentre, Region: "west"}}
	r, err := local.New(local.Options{DataCentres: centres, Entries: 1, Engines: 2, Engine: steadyEngine()})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	phases := []string{"before", "out", "back"}
	var mu sync.Mutex
	results := map[string][]client.Result{}
	phase := phases[0]
	ctx, stop := context.WithTimeout(context.Background(), drainTestDuration)
	defer stop()
	var wg sync.WaitGroup
	for i := range drainCallers {
		wg.Go(func() {
			caller := client.New(local.Key)
			for ctx.Err() == nil {
				entries := r.Entries()
				res := caller.Generate(context.Background(), entries[i%len(entries)].CallerAddr, local.ModelName, "len=100", 0)
				mu.Lock()
				results[phase] = append(results[phase], res)
				mu.Unlock()
			}
		})
	}
	for i, p := range phases {
		mu.Lock()
		phase = p
		mu.Unlock()
		if i > 0 {
			if err := r.SetOutOfService(drainedCentre, p == "out"); err != nil {
				return nil, err
			}
		}
		time.Sleep(drainTestDuration / time.Duration(len(phases)))
	}
	wg.Wait()
	var out []DrainPhase
	for _, p := range phases {
		out = append(out, summarize(p, results[p]))
	}
	return out, nil
}

func summarize(phase string, results []client.Result) DrainPhase {
	m := DrainPhase{Phase: phase, Calls: len(results)}
	var gaps []time.Duration
	for _, r := range results {
		if r.Outcome == client.OutcomeComplete {
			m.Complete++
		}
		for _, g := range r.Gaps {
			gaps = append(gaps, g)
			if g > stallThreshold {
				m.Stalled += g
			}
		}
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		m.GapP99 = gaps[len(gaps)*99/100]
	}
	return m
}
