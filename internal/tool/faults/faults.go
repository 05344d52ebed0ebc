// Package faults runs a small fleet over links that it cuts, stalls, delays and
// silences, kills and replaces processes, and checks every call against what
// the stand-ins saw.
package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	callers      = 12
	faultEvery   = 700 * time.Millisecond
	callTimeout  = 40 * time.Second
	settleLimit  = 3 * time.Second // within which a drain must hold
	keyHorizon   = 5
	retryShare   = 0.10
	retryAtStart = 3 // of each entry's budget
	mostResumes  = 20
)

// Options of one run.
type Options struct {
	Seed    uint64
	Seconds int
	Say     func(format string, args ...any)
}

// Result is what a run found.
type Result struct {
	Faults     int
	Calls      int
	Outcomes   map[client.Outcome]int
	Violations []string
	Firsts     int // first tries
	Retries    int
}

type run struct {
	Options
	rig      *local.Rig
	rng      *rand.Rand // of the driver only
	mu       sync.Mutex
	res      Result
	told     map[string]client.Outcome // booking marks
	busy     sync.WaitGroup            // faults that end later
	draining atomic.Bool
}

// Run drives calls and faults for the given time.
func Run(o Options) (Result, error) {
	r, err := local.New(local.Options{
		Centres: []spec.DataCentre{{Name: "galway-a", Region: "west"}, {Name: "mayo-a", Region: "north"}, {Name: "clare-a", Region: "south"}},
		Entries: 1, Engines: 2, Plains: 1, Seed: o.Seed, Links: true,
		Adjust: func(s *setup.Settings) { s.HostWatchMs, s.OrphanMs = 300, 8000 },
		Config: func(f *spec.File) { f.Services[1].KeyHorizonSecs = keyHorizon },
	})
	if err != nil {
		return Result{}, err
	}
	defer r.Close()
	f := &run{Options: o, rig: r, rng: rand.New(rand.NewPCG(o.Seed, 3)), told: map[string]client.Outcome{}}
	f.res.Outcomes = map[client.Outcome]int{}
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(o.Seconds)*time.Second)
	defer stop()
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { f.caller(ctx, rand.New(rand.NewPCG(o.Seed, uint64(100+i))), i) })
	}
	f.inject(ctx)
	all.Wait()
	f.busy.Wait()
	f.settle()
	return f.res, nil
}

// inject causes faults, one in three together with another.
func (f *run) inject(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(faultEvery/2 + time.Duration(f.rng.Int64N(int64(faultEvery)))):
		}
		for range 1 + f.rng.IntN(3)/2 {
			name := f.cause(kinds[f.rng.IntN(len(kinds))])
			f.mu.Lock()
			f.res.Faults++
			f.mu.Unlock()
			f.Say("fault: %s", name)
		}
	}
}

func (f *run) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	f.res.Violations = append(f.res.Violations, text)
	f.Say("violation, seed %d: %s", f.Seed, text)
}

// caller makes calls one after another.
func (f *run) caller(ctx context.Context, rng *rand.Rand, number int) {
	user := client.New(local.Key)
	for n := 0; ctx.Err() == nil; n++ {
		entries := f.rig.Entries()
		addr := entries[rng.IntN(len(entries))].Callers
		mark := fmt.Sprintf("call-%d-%d", number, n)
		switch kind := rng.IntN(10); {
		case kind < 6:
			f.generation(user, rng, mark)
		case kind < 7:
			f.note(f.plain(user, addr, "GET", "/stock/"+mark, "", mark))
		case kind < 8:
			f.booking(mark, f.plain(user, addr, "POST", "/bookings/"+mark, "", mark))
		default:
			f.keyed(user, rng, mark)
		}
	}
}

func (f *run) plain(user *client.Client, addr, method, path, key, mark string) client.Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return user.Call(ctx, addr, method, "/services/"+local.PlainService+path, key, mark, []byte("{}"))
}

// generation streams an answer and takes it up again at other entries when
// its connection breaks.
func (f *run) generation(user *client.Client, rng *rand.Rand, mark string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	length := 1 + rng.IntN(400)
	entries := f.rig.Entries()
	res := user.Generate(ctx, entries[rng.IntN(len(entries))].Callers, local.ModelName, fmt.Sprintf("%s len=%d", mark, length), 0)
	for tries := 0; res.Outcome == client.OutcomeBroken && res.LastEvent != "" && tries < mostResumes; tries++ {
		again := user.Resume(ctx, entries[rng.IntN(len(entries))].Callers, res)
		if again.Status != 0 && again.Status != 200 {
			break // an honest refusal to go on
		}
		res = again
	}
	if res.Fault != nil {
		f.violation("%s (%s): %v", mark, res.CallID, res.Fault)
	}
	if res.Outcome == client.OutcomeComplete && res.Tokens != length {
		f.violation("%s (%s): complete with %d of %d tokens", mark, res.CallID, res.Tokens, length)
	}
	f.note(res)
}

// keyed sends a call with an idempotency key or a ticket through several
// entries.
func (f *run) keyed(user *client.Client, rng *rand.Rand, mark string) {
	entries := f.rig.Entries()
	key := mark
	if rng.IntN(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		t, err := user.Ticket(ctx, entries[rng.IntN(len(entries))].Callers, local.PlainService)
		cancel()
		if err != nil {
			return
		}
		key = t
	}
	outcomes := map[client.Outcome]bool{}
	for range 3 {
		res := f.plain(user, entries[rng.IntN(len(entries))].Callers, "POST", "/bookings/keyed", key, mark)
		f.note(res)
		outcomes[res.Outcome] = true
	}
	if !outcomes[client.OutcomeComplete] && !outcomes[client.OutcomeUnknown] && !outcomes[client.OutcomeBroken] {
		f.booking(mark, client.Result{Outcome: client.OutcomeNotRun})
		return
	}
	f.booking(mark, client.Result{Outcome: client.OutcomeUnknown})
}

func (f *run) booking(mark string, res client.Result) {
	f.note(res)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[mark] = res.Outcome
}

func (f *run) note(res client.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.res.Calls++
	f.res.Outcomes[res.Outcome]++
}

// settle compares the callers' knowledge with what the workers saw.
func (f *run) settle() {
	runs := map[string]int{}
	for _, p := range f.rig.Plains() {
		for mark, n := range p.Plain.Runs() {
			runs[mark] += n
		}
	}
	for mark, outcome := range f.told {
		switch {
		case runs[mark] > 1:
			f.violation("%s ran %d times", mark, runs[mark])
		case outcome == client.OutcomeNotRun && runs[mark] > 0:
			f.violation("%s ran although its caller was told not_run", mark)
		case outcome == client.OutcomeComplete && runs[mark] == 0:
			f.violation("%s never ran although it is complete", mark)
		}
	}
	entries := f.rig.Entries()
	for _, e := range entries {
		firsts, retries := e.Entry.Retries()
		f.res.Firsts += firsts
		f.res.Retries += retries
	}
	allowed := retryShare*float64(f.res.Firsts) + float64(retryAtStart*len(entries))
	if float64(f.res.Retries) > allowed {
		f.violation("%d retries for %d first tries", f.res.Retries, f.res.Firsts)
	}
	if n := invar.Violations(); n > 0 {
		f.violation("%d invariants were violated inside the program", n)
	}
}
