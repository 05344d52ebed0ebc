// Package recov measures what callers feel: how long a stream stalls for each
// kind of death, and the service while a data centre leaves and returns.
package recov

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/model"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	tokenGap    = 5 * time.Millisecond
	length      = 300
	faultAt     = 60 // tokens
	callTimeout = time.Minute
	moveCallers = 12
	moveSpan    = 21 * time.Second
	away        = "mayo-a"
	stallLimit  = 250 * time.Millisecond
)

// Stall is one kind of death.
type Stall struct {
	Kind     string         `json:"kind"`
	Outcome  client.Outcome `json:"outcome"`
	Longest  time.Duration  `json:"longest_gap"` // between two tokens at the caller
	Returned int            `json:"tokens"`
}

// Move is one phase of taking a data centre out and bringing it back.
type Move struct {
	Phase    string        `json:"phase"`
	Calls    int           `json:"calls"`
	Complete int           `json:"complete"`
	Gap99    time.Duration `json:"gap_p99"`
	Stalled  time.Duration `json:"stalled"` // all gaps above 250 ms together
}

// Spread is how long a change takes to be in force on the last process.
type Spread struct {
	Processes int           `json:"processes"`
	Dead      int           `json:"dead"`
	Worst     time.Duration `json:"worst"` // of spreadChanges
	Calls     int           `json:"config_calls"`
}

const (
	spreadChanges = 10
	spreadLimit   = 30 * time.Second
	spreadPause   = 300 * time.Millisecond
)

// Spreads measures changes in a fleet of the size, whole and with a tenth of
// its agents dead but still listed.
func Spreads(processes int) ([]Spread, error) {
	var centres []spec.DataCentre
	for i := range 4 {
		centres = append(centres, spec.DataCentre{Name: fmt.Sprintf("centre-%d", i), Region: "west"})
	}
	r, err := local.New(local.Options{Centres: centres, Entries: 2, Plains: processes/4 - 2})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	whole, err := spread(r, 0)
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
	hurt, err := spread(r, dead)
	return []Spread{whole, hurt}, err
}

func spread(r *local.Rig, dead int) (Spread, error) {
	s := Spread{Processes: len(r.Agents()) + len(r.Entries()), Dead: dead}
	calls := r.Platform.Calls()
	for range spreadChanges {
		if err := r.Publish(func(f *spec.File) { f.Workspaces = slices.Clone(f.Workspaces); f.Workspaces[0].Weight++ }); err != nil {
			return s, err
		}
		took, err := r.WaitVersion(r.Version(), spreadLimit)
		if err != nil {
			return s, err
		}
		s.Worst = max(s.Worst, took)
		time.Sleep(spreadPause)
	}
	s.Calls = r.Platform.Calls() - calls
	return s, nil
}

func steady() model.Config {
	c := local.QuickEngine()
	c.StepBase, c.StepPerSeq = tokenGap, 0
	return c
}

// Stalls measures each kind of death once.
func Stalls() ([]Stall, error) {
	kinds := []struct {
		name  string
		fault func(r *local.Rig, n *local.Node)
	}{
		{"none", func(*local.Rig, *local.Node) {}},
		{"link cut", func(_ *local.Rig, n *local.Node) { n.Link.Cut() }},
		{"link silent", func(_ *local.Rig, n *local.Node) { n.Link.Silence() }},
		{"engine link cut", func(_ *local.Rig, n *local.Node) { n.Endpoint.Cut() }},
		{"engine link silent", func(_ *local.Rig, n *local.Node) { n.Endpoint.Silence() }},
		{"agent restart", func(r *local.Rig, n *local.Node) {
			r.KillAgent(n)
			_ = r.StartAgent(n) // a failure shows as an interrupted stream
		}},
		{"entry death", func(r *local.Rig, _ *local.Node) { r.KillEntry(r.Entries()[0]) }},
		{"engine death", func(_ *local.Rig, n *local.Node) { n.Engine.Close() }},
	}
	var out []Stall
	for _, k := range kinds {
		s, err := stall(k.fault)
		if err != nil {
			return nil, fmt.Errorf("recovery from %s: %w", k.name, err)
		}
		s.Kind = k.name
		out = append(out, s)
	}
	return out, nil
}

func stall(fault func(r *local.Rig, n *local.Node)) (Stall, error) {
	r, err := local.New(local.Options{Entries: 2, Engines: 2, Engine: steady(), Links: true})
	if err != nil {
		return Stall{}, err
	}
	defer r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	user := client.New(local.Key)
	last, longest := time.Now(), time.Duration(0)
	var once sync.Once
	user.OnToken = func(n int) {
		if n > 1 {
			longest = max(longest, time.Since(last))
		}
		last = time.Now()
		if n >= faultAt {
			once.Do(func() { go fault(r, busy(r)) })
		}
	}
	res := user.Generate(ctx, r.Entries()[0].Callers, local.ModelName, fmt.Sprintf("len=%d", length), 0)
	if res.Outcome == client.OutcomeBroken {
		res = user.Resume(ctx, r.Entries()[1].Callers, res)
	}
	return Stall{Outcome: res.Outcome, Longest: longest, Returned: res.Tokens}, res.Fault
}

// busy returns the node whose engine runs a stream.
func busy(r *local.Rig) *local.Node {
	for _, n := range r.Engines() {
		if _, _, running := n.Engine.Stats(); running > 0 {
			return n
		}
	}
	return r.Engines()[0]
}

// Moves measures the service before, while and after a data centre is out.
func Moves() ([]Move, error) {
	centres := []spec.DataCentre{{Name: "galway-a", Region: "west"}, {Name: away, Region: "west"}}
	r, err := local.New(local.Options{Centres: centres, Entries: 1, Engines: 2, Engine: steady()})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	phases := []string{"before", "out", "back"}
	var mu sync.Mutex
	results := map[string][]client.Result{}
	phase := phases[0]
	ctx, stop := context.WithTimeout(context.Background(), moveSpan)
	defer stop()
	var all sync.WaitGroup
	for i := range moveCallers {
		all.Go(func() {
			user := client.New(local.Key)
			for ctx.Err() == nil {
				entries := r.Entries()
				res := user.Generate(context.Background(), entries[i%len(entries)].Callers, local.ModelName, "len=100", 0)
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
			if err := r.SetOut(away, p == "out"); err != nil {
				return nil, err
			}
		}
		time.Sleep(moveSpan / time.Duration(len(phases)))
	}
	all.Wait()
	var out []Move
	for _, p := range phases {
		out = append(out, summary(p, results[p]))
	}
	return out, nil
}

func summary(phase string, results []client.Result) Move {
	m := Move{Phase: phase, Calls: len(results)}
	var gaps []time.Duration
	for _, r := range results {
		if r.Outcome == client.OutcomeComplete {
			m.Complete++
		}
		for _, g := range r.Gaps {
			gaps = append(gaps, g)
			if g > stallLimit {
				m.Stalled += g
			}
		}
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		m.Gap99 = gaps[len(gaps)*99/100]
	}
	return m
}
