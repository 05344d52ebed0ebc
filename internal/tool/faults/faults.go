// Package faults makes calls to a small fleet while it injects faults: it cuts,
// stalls, delays and silences connections, and kills and replaces processes. It
// checks what callers were told against the runs that the stand-ins counted, and that
// an engine does not go on with a call that another one has begun.
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
	callerCount    = 12
	faultInterval  = 700 * time.Millisecond
	callTimeout    = 40 * time.Second
	drainTimeout   = 3 * time.Second // after this a data centre out of service must get no new work; it is then watched for the same time
	keyHorizonSecs = 5               // short, since a restarted agent runs unseen keys only after the horizon
	maxRetryRatio  = 0.10            // retries per first attempt
	initialRetries = 3               // allowed to each entry in addition to maxRetryRatio
	maxResumes     = 20              // of one stream
	maxWholeLength = 6000            // tokens of a completion that is not streamed: runs outlast contactTime
)

// Options configure one run.
type Options struct {
	Seed      uint64
	Seconds   int
	PrintLine func(format string, args ...any) // prints a line: a fault or a violation
}

// Result holds the counts of a run and the violations found.
type Result struct {
	Faults        int
	Calls         int
	Outcomes      map[client.Outcome]int
	Violations    []string
	FirstAttempts int // first attempts of calls, by all entries
	Retries       int
	RepeatedRuns  int // of generations, whose call had another run before
}

type run struct {
	Options
	fleet           *local.Fleet
	rng             *rand.Rand // used by injectFaults only; callers have their own
	mu              sync.Mutex
	res             Result
	bookingOutcomes map[string]client.Outcome // by call label
	pendingEnds     sync.WaitGroup            // faults that are still in effect
	draining        atomic.Bool
	disturbances    map[string][]disturbance // by host
}

// Run makes calls and injects faults for the given time, then checks the results.
func Run(o Options) (Result, error) {
	r, err := local.New(local.Options{
		DataCentres: []spec.DataCentre{{Name: "galway-a", Region: "west"}, {Name: "mayo-a", Region: "north"}, {Name: "clare-a", Region: "south"}},
		Entries:     1, Engines: 2, PlainWorkers: 1, Seed: o.Seed, FaultLinks: true,
		AdjustSettings: func(s *setup.Settings) { s.HostWatchMs, s.OrphanMs = 300, 8000 },
		AdjustConfig:   func(f *spec.File) { f.Services[1].KeyHorizonSecs = keyHorizonSecs },
	})
	if err != nil {
		return Result{}, err
	}
	defer r.Close()
	f := &run{Options: o, fleet: r, rng: rand.New(rand.NewPCG(o.Seed, 3)), bookingOutcomes: map[string]client.Outcome{}, disturbances: map[string][]disturbance{}}
	f.res.Outcomes = map[client.Outcome]int{}
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(o.Seconds)*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { f.runCaller(ctx, rand.New(rand.NewPCG(o.Seed, uint64(100+i))), i) })
	}
	f.injectFaults(ctx)
	wg.Wait()
	f.pendingEnds.Wait()
	f.checkResults()
	f.checkOverlaps()
	return f.res, nil
}

// injectFaults injects a fault at random intervals, in one of three cases two at
// once, until the context ends.
func (f *run) injectFaults(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(faultInterval/2 + time.Duration(f.rng.Int64N(int64(faultInterval)))):
		}
		for range 1 + f.rng.IntN(3)/2 {
			name := f.injectFault(kinds[f.rng.IntN(len(kinds))])
			f.mu.Lock()
			f.res.Faults++
			f.mu.Unlock()
			f.PrintLine("fault: %s", name)
		}
	}
}

func (f *run) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	f.res.Violations = append(f.res.Violations, text)
	f.PrintLine("violation, seed %d: %s", f.Seed, text)
}

// runCaller makes calls one after another until the context ends.
func (f *run) runCaller(ctx context.Context, rng *rand.Rand, number int) {
	caller := client.New(local.Key)
	for n := 0; ctx.Err() == nil; n++ {
		entries := f.fleet.Entries()
		addr := entries[rng.IntN(len(entries))].CallerAddr
		label := fmt.Sprintf("call-%d-%d", number, n)
		switch kind := rng.IntN(10); {
		case kind < 3:
			f.callModel(caller, rng, label)
		case kind < 6:
			f.callModelWhole(caller, rng, addr, label)
		case kind < 7:
			f.record(f.callPlain(caller, addr, "GET", "/stock/"+label, "", label))
		case kind < 8:
			f.recordBooking(label, f.callPlain(caller, addr, "POST", "/bookings/"+label, "", label))
		default:
			f.callWithKey(caller, rng, label)
		}
	}
}

func (f *run) callPlain(caller *client.Client, addr, method, path, key, label string) client.Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return caller.Call(ctx, addr, method, "/services/"+local.PlainService+path, key, label, []byte("{}"))
}

// callModel streams a completion, resumes it at a random entry whenever its
// connection breaks, and checks the tokens received.
func (f *run) callModel(caller *client.Client, rng *rand.Rand, label string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	length := 1 + rng.IntN(400)
	entries := f.fleet.Entries()
	res := caller.Generate(ctx, entries[rng.IntN(len(entries))].CallerAddr, local.ModelName, fmt.Sprintf("%s len=%d", label, length), 0)
	for tries := 0; res.Outcome == client.OutcomeBroken && res.LastEventID != "" && tries < maxResumes; tries++ {
		resumed := caller.Resume(ctx, entries[rng.IntN(len(entries))].CallerAddr, res)
		if resumed.Status != 0 && resumed.Status != 200 {
			break // the entry refused to resume, which is permitted
		}
		res = resumed
	}
	if res.ResponseErr != nil {
		f.violation("%s (%s): %v", label, res.CallID, res.ResponseErr)
	}
	if res.Outcome == client.OutcomeComplete && res.Tokens != length {
		f.violation("%s (%s): complete with %d of %d tokens", label, res.CallID, res.Tokens, length)
	}
	f.record(res)
}

// callModelWhole requests a completion that is not streamed. It may begin again until it is whole.
func (f *run) callModelWhole(caller *client.Client, rng *rand.Rand, addr, label string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	length := 1 + rng.IntN(800)
	if rng.IntN(3) == 0 {
		length = 1 + rng.IntN(maxWholeLength)
	}
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"%s len=%d"}]}`, local.ModelName, label, length)
	f.record(caller.Call(ctx, addr, "POST", "/v1/chat/completions", "", label, []byte(body)))
}

// callWithKey sends the same call three times, through random entries, with an
// idempotency key or a ticket. It may run only once.
func (f *run) callWithKey(caller *client.Client, rng *rand.Rand, label string) {
	entries := f.fleet.Entries()
	key := label
	if rng.IntN(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		t, err := caller.Ticket(ctx, entries[rng.IntN(len(entries))].CallerAddr, local.PlainService)
		cancel()
		if err != nil {
			return
		}
		key = t
	}
	outcomes := map[client.Outcome]bool{}
	for range 3 {
		res := f.callPlain(caller, entries[rng.IntN(len(entries))].CallerAddr, "POST", "/bookings/keyed", key, label)
		f.record(res)
		if res.Outcome == client.OutcomeNotRun && outcomes[client.OutcomeComplete] {
			f.violation("%s is complete, and not_run when it was sent again: %s", label, res.Body)
		}
		outcomes[res.Outcome] = true
	}
	if !outcomes[client.OutcomeComplete] && !outcomes[client.OutcomeUnknown] && !outcomes[client.OutcomeBroken] {
		f.recordBooking(label, client.Result{Outcome: client.OutcomeNotRun})
		return
	}
	f.recordBooking(label, client.Result{Outcome: client.OutcomeUnknown})
}

// recordBooking counts a call and keeps its outcome for checkResults.
func (f *run) recordBooking(label string, res client.Result) {
	f.record(res)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bookingOutcomes[label] = res.Outcome
}

func (f *run) record(res client.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.res.Calls++
	f.res.Outcomes[res.Outcome]++
}

// checkResults compares the outcomes of bookings with the runs that the workers
// counted, and checks the number of retries and the run-time invariants.
func (f *run) checkResults() {
	runs := map[string]int{}
	for _, p := range f.fleet.PlainAgents() {
		for label, n := range p.Plain.RunCounts() {
			runs[label] += n
		}
	}
	for label, outcome := range f.bookingOutcomes {
		switch {
		case runs[label] > 1:
			f.violation("%s ran %d times", label, runs[label])
		case outcome == client.OutcomeNotRun && runs[label] > 0:
			f.violation("%s ran although its caller was told not_run", label)
		case outcome == client.OutcomeComplete && runs[label] == 0:
			f.violation("%s never ran although its caller was told complete", label)
		}
	}
	entries := f.fleet.Entries()
	for _, e := range entries {
		firsts, retries := e.Entry.RetryCounts()
		f.res.FirstAttempts += firsts
		f.res.Retries += retries
	}
	allowed := maxRetryRatio*float64(f.res.FirstAttempts) + float64(initialRetries*len(entries))
	if float64(f.res.Retries) > allowed {
		f.violation("%d retries for %d first attempts", f.res.Retries, f.res.FirstAttempts)
	}
	if n := invar.Violations(); n > 0 {
		f.violation("%d run-time invariants were violated", n)
	}
}
