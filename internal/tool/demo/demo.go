// Package demo runs a fleet with stand-ins in one process on loopback, makes calls
// to it and compares what callers were told with what the endpoints ran.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Options configure one run.
type Options struct {
	Calls int
	Seed  uint64
}

// ErrFailed means that a check failed or that a call did not complete.
var ErrFailed = errors.New("demo: not every call was completed correctly, see the lines above")

const (
	keptCentre     = "galway-a"
	drainedCentre  = "mayo-a"
	concurrency    = 8
	callTimeout    = 60 * time.Second
	inForceTimeout = 3 * time.Second // limit until a configuration version is in force everywhere
)

// Centres are the demo's two data centres.
func Centres() []spec.DataCentre {
	return []spec.DataCentre{{Name: keptCentre, Region: "west"}, {Name: drainedCentre, Region: "north"}}
}

// callResults holds the results of the calls so far.
type callResults struct {
	mu       sync.Mutex
	outcomes map[client.Outcome]int
	problems []string
	calls    int
	bookings map[string]client.Outcome // by label
}

// demoRun is the state of one run.
type demoRun struct {
	fleet   *local.Fleet
	out     io.Writer
	results callResults
	clients []*client.Client
}

// Run makes the calls, takes a data centre out of service in between and brings it
// back. It prints its progress to out and returns ErrFailed if a check fails or a
// call does not complete.
func Run(ctx context.Context, o Options, out io.Writer) error {
	printLine(out, "starting two data centres, %s and %s, each with 2 entries, 3 engines and 2 depot workers", keptCentre, drainedCentre)
	r, err := local.New(local.Options{DataCentres: Centres(), Entries: 2, Engines: 3, PlainWorkers: 2, Seed: o.Seed})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer r.Close()
	d := &demoRun{fleet: r, out: out, clients: []*client.Client{client.New(local.Key), client.New(local.OtherKey)}}
	d.results.outcomes = map[client.Outcome]int{}
	d.results.bookings = map[string]client.Outcome{}
	rng := rand.New(rand.NewPCG(o.Seed, 1))

	third := o.Calls / 3
	printLine(out, "%d calls through all entries: streamed plans and checks, stock look-ups, bookings that must not repeat", third)
	d.makeCalls(ctx, rng, third)
	if err := d.drainDataCentre(ctx, rng, third); err != nil {
		return err
	}
	printLine(out, "bringing %s back into service: its endpoints start with the concurrency limit of a cold endpoint", drainedCentre)
	if err := d.setOutOfService(false); err != nil {
		return err
	}
	d.makeCalls(ctx, rng, o.Calls-2*third)
	return d.checkResults(o.Calls)
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

// drainDataCentre takes a data centre out of service while calls are made, and checks
// that it gets no new calls once the change is in force.
func (d *demoRun) drainDataCentre(ctx context.Context, rng *rand.Rand, calls int) error {
	printLine(d.out, "taking %s out of service while %d more calls arrive", drainedCentre, calls)
	var background sync.WaitGroup
	backgroundRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
	background.Go(func() { d.makeCalls(ctx, backgroundRNG, calls/2) })
	if err := d.setOutOfService(true); err != nil {
		return err
	}
	background.Wait()
	before := d.callsInDrained()
	d.makeCalls(ctx, rng, calls-calls/2)
	if after := d.callsInDrained(); after != before {
		d.addProblem("%d calls reached %s after it was out of service", after-before, drainedCentre)
	}
	printLine(d.out, "checked %s for calls that arrived after it was out of service", drainedCentre)
	return nil
}

// setOutOfService publishes whether drainedCentre is out of service and waits until
// every process applies it.
func (d *demoRun) setOutOfService(out bool) error {
	if err := d.fleet.SetOutOfService(drainedCentre, out); err != nil {
		return err
	}
	took, err := d.fleet.WaitVersion(d.fleet.Version(), inForceTimeout)
	if err != nil {
		return err
	}
	printLine(d.out, "version %d is in force on every process after %d ms", d.fleet.Version(), took.Milliseconds())
	return nil
}

// callsInDrained returns the number of calls that reached the endpoints of
// drainedCentre so far.
func (d *demoRun) callsInDrained() int {
	n := 0
	for _, a := range d.fleet.Agents() {
		if a.HostRow.DataCentre != drainedCentre {
			continue
		}
		if a.Engine != nil {
			n += len(a.Engine.Submissions())
		} else {
			n += len(a.Plain.RunCounts())
		}
	}
	return n
}

// makeCalls makes calls, at most concurrency at a time.
func (d *demoRun) makeCalls(ctx context.Context, rng *rand.Rand, calls int) {
	slots := make(chan struct{}, concurrency)
	var wg sync.WaitGroup
	for range calls {
		kind, length, callerIndex, entry := rng.IntN(10), 5+rng.IntN(200), rng.IntN(len(d.clients)), rng.IntN(len(d.fleet.Entries()))
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			d.makeCall(ctx, kind, length, callerIndex, entry)
		})
	}
	wg.Wait()
}

// makeCall makes one call. The kind, 0 to 9, selects a certificate check (0 to 2), a
// plan (3 to 6), a stock look-up (7) or a booking (8 and 9). The length of a
// plan is in tokens; that of a check is derived from it, 1 to 8.
func (d *demoRun) makeCall(ctx context.Context, kind, length, callerIndex, entry int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addr := d.fleet.Entries()[entry].CallerAddr
	d.results.mu.Lock()
	d.results.calls++
	number := d.results.calls
	d.results.mu.Unlock()
	caller := d.clients[callerIndex]
	switch {
	case kind < 3:
		d.recordStream(caller.Generate(ctx, addr, local.ModelName, fmt.Sprintf("check certificate %d len=%d", number, 1+length%8), 16), 1+length%8)
	case kind < 7:
		d.recordStream(caller.Generate(ctx, addr, local.ModelName, fmt.Sprintf("plan %d len=%d", number, length), 0), length)
	case kind < 8:
		d.record(caller.Call(ctx, addr, "GET", "/services/"+local.PlainService+"/stock/grit", "", fmt.Sprintf("look-up-%d", number), nil))
	default:
		label := fmt.Sprintf("booking-%d", number)
		res := caller.Call(ctx, addr, "POST", "/services/"+local.PlainService+"/bookings/new", "", label, []byte(`{"tonnes":4}`))
		d.record(res)
		d.results.mu.Lock()
		d.results.bookings[label] = res.Outcome
		d.results.mu.Unlock()
	}
}

func (d *demoRun) recordStream(res client.Result, length int) {
	if res.Outcome == client.OutcomeComplete && res.Tokens != length {
		d.addProblem("call %s is complete with %d of %d tokens", res.CallID, res.Tokens, length)
	}
	d.record(res)
}

func (d *demoRun) record(res client.Result) {
	if res.ResponseErr != nil {
		d.addProblem("call %s: %v", res.CallID, res.ResponseErr)
	}
	d.results.mu.Lock()
	defer d.results.mu.Unlock()
	d.results.outcomes[res.Outcome]++
}

func (d *demoRun) addProblem(format string, args ...any) {
	d.results.mu.Lock()
	defer d.results.mu.Unlock()
	d.results.problems = append(d.results.problems, fmt.Sprintf(format, args...))
}

// checkResults compares what callers were told with what the endpoints ran, and
// prints the problems and the totals.
func (d *demoRun) checkResults(calls int) error {
	runs := map[string]int{}
	for _, a := range d.fleet.PlainAgents() {
		for label, n := range a.Plain.RunCounts() {
			runs[label] += n
		}
	}
	duplicated := 0
	for label, outcome := range d.results.bookings {
		if runs[label] > 1 {
			duplicated++
			d.addProblem("%s ran %d times", label, runs[label])
		}
		if outcome == client.OutcomeNotRun && runs[label] > 0 {
			d.addProblem("%s ran although its caller was told that it did not", label)
		}
		if outcome == client.OutcomeComplete && runs[label] == 0 {
			d.addProblem("%s is complete but never ran", label)
		}
	}
	o := d.results.outcomes
	if o[client.OutcomeBroken] > 0 {
		d.addProblem("%d responses ended without an outcome", o[client.OutcomeBroken])
	}
	for _, f := range d.results.problems {
		printLine(d.out, "check failed: %s", f)
	}
	printLine(d.out, "calls=%d complete=%d not_run=%d unknown=%d interrupted=%d duplicated=%d", calls,
		o[client.OutcomeComplete], o[client.OutcomeNotRun], o[client.OutcomeUnknown], o[client.OutcomeInterrupted], duplicated)
	if len(d.results.problems) > 0 || o[client.OutcomeComplete] != calls {
		return ErrFailed
	}
	return nil
}
