// Package demo runs the whole path in one process on loopback, with stand-ins,
// and counts what callers received and endpoints saw.
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

// Options of one run.
type Options struct {
	Calls int
	Seed  uint64
}

// ErrWrong means that a caller was not served as promised.
var ErrWrong = errors.New("demo: something was wrong, see the lines above")

const (
	home        = "galway-a"
	away        = "mayo-a"
	concurrency = 8
	callTimeout = 60 * time.Second
	settle      = 3 * time.Second // within which a drain is in force everywhere
)

// Centres are the demo's two data centres.
func Centres() []spec.DataCentre {
	return []spec.DataCentre{{Name: home, Region: "west"}, {Name: away, Region: "north"}}
}

// count is what happened to the calls so far.
type count struct {
	mu       sync.Mutex
	outcomes map[client.Outcome]int
	faults   []string
	calls    int
	bookings map[string]client.Outcome // by mark
}

// tour is one run.
type tour struct {
	rig   *local.Rig
	out   io.Writer
	count count
	users []*client.Client
}

// Run makes the calls, takes a data centre out and brings it back, narrates to
// out and returns ErrWrong if a promise was broken.
func Run(ctx context.Context, o Options, out io.Writer) error {
	say(out, "starting two data centres, %s and %s, each with 2 entries, 3 engines and 2 depot workers", home, away)
	r, err := local.New(local.Options{Centres: Centres(), Entries: 2, Engines: 3, Plains: 2, Seed: o.Seed})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer r.Close()
	t := &tour{rig: r, out: out, users: []*client.Client{client.New(local.Key), client.New(local.OtherKey)}}
	t.count.outcomes = map[client.Outcome]int{}
	t.count.bookings = map[string]client.Outcome{}
	rng := rand.New(rand.NewPCG(o.Seed, 1))

	third := o.Calls / 3
	say(out, "%d calls through all entries: streamed plans and checks, stock look-ups, bookings that must not repeat", third)
	t.burst(ctx, rng, third)
	if err := t.takeOut(ctx, rng, third); err != nil {
		return err
	}
	say(out, "bringing %s back: its endpoints begin at their floor", away)
	if err := t.publishOut(false); err != nil {
		return err
	}
	t.burst(ctx, rng, o.Calls-2*third)
	return t.verdict(o.Calls)
}

func say(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}

// takeOut drains a data centre while calls go on, and checks that it gets no
// new work once the change has settled.
func (t *tour) takeOut(ctx context.Context, rng *rand.Rand, calls int) error {
	say(t.out, "taking %s out of service while %d more calls arrive", away, calls)
	var busy sync.WaitGroup
	first := rand.New(rand.NewPCG(rng.Uint64(), 2))
	busy.Go(func() { t.burst(ctx, first, calls/2) })
	if err := t.publishOut(true); err != nil {
		return err
	}
	busy.Wait()
	before := t.seenAway()
	t.burst(ctx, rng, calls-calls/2)
	if after := t.seenAway(); after != before {
		t.wrong("%d calls reached %s after it was out of service", after-before, away)
	}
	say(t.out, "%s: no new work since", away)
	return nil
}

func (t *tour) publishOut(out bool) error {
	if err := t.rig.SetOut(away, out); err != nil {
		return err
	}
	took, err := t.rig.WaitVersion(t.rig.Version(), settle)
	if err != nil {
		return err
	}
	say(t.out, "version %d is in force on every process after %d ms", t.rig.Version(), took.Milliseconds())
	return nil
}

// seenAway counts the calls that endpoints of the drained data centre saw.
func (t *tour) seenAway() int {
	n := 0
	for _, a := range t.rig.Agents() {
		if a.Row.DataCentre != away {
			continue
		}
		if a.Engine != nil {
			n += len(a.Engine.Seen())
		} else {
			n += len(a.Plain.Runs())
		}
	}
	return n
}

// burst makes calls, a few at a time.
func (t *tour) burst(ctx context.Context, rng *rand.Rand, calls int) {
	slots := make(chan struct{}, concurrency)
	var all sync.WaitGroup
	for range calls {
		kind, length, user, at := rng.IntN(10), 5+rng.IntN(200), rng.IntN(len(t.users)), rng.IntN(len(t.rig.Entries()))
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			t.call(ctx, kind, length, user, at)
		})
	}
	all.Wait()
}

// call makes one call; kind is 0 to 9.
func (t *tour) call(ctx context.Context, kind, length, user, at int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addr := t.rig.Entries()[at].Callers
	t.count.mu.Lock()
	t.count.calls++
	number := t.count.calls
	t.count.mu.Unlock()
	u := t.users[user]
	switch {
	case kind < 3:
		t.streamed(u.Generate(ctx, addr, local.ModelName, fmt.Sprintf("check certificate %d len=%d", number, 1+length%8), 16), 1+length%8)
	case kind < 7:
		t.streamed(u.Generate(ctx, addr, local.ModelName, fmt.Sprintf("plan %d len=%d", number, length), 0), length)
	case kind < 8:
		t.note(u.Call(ctx, addr, "GET", "/services/"+local.PlainService+"/stock/grit", "", fmt.Sprintf("look-up-%d", number), nil))
	default:
		mark := fmt.Sprintf("booking-%d", number)
		res := u.Call(ctx, addr, "POST", "/services/"+local.PlainService+"/bookings/new", "", mark, []byte(`{"tonnes":4}`))
		t.note(res)
		t.count.mu.Lock()
		t.count.bookings[mark] = res.Outcome
		t.count.mu.Unlock()
	}
}

func (t *tour) streamed(res client.Result, length int) {
	if res.Outcome == client.OutcomeComplete && res.Tokens != length {
		t.wrong("call %s is complete with %d of %d tokens", res.CallID, res.Tokens, length)
	}
	t.note(res)
}

func (t *tour) note(res client.Result) {
	if res.Fault != nil {
		t.wrong("call %s: %v", res.CallID, res.Fault)
	}
	t.count.mu.Lock()
	defer t.count.mu.Unlock()
	t.count.outcomes[res.Outcome]++
}

func (t *tour) wrong(format string, args ...any) {
	t.count.mu.Lock()
	defer t.count.mu.Unlock()
	t.count.faults = append(t.count.faults, fmt.Sprintf(format, args...))
}

// verdict compares what callers were told with what endpoints saw, and prints
// the last line.
func (t *tour) verdict(calls int) error {
	runs := map[string]int{}
	for _, a := range t.rig.Plains() {
		for mark, n := range a.Plain.Runs() {
			runs[mark] += n
		}
	}
	duplicated := 0
	for mark, outcome := range t.count.bookings {
		if runs[mark] > 1 {
			duplicated++
			t.wrong("%s ran %d times", mark, runs[mark])
		}
		if outcome == client.OutcomeNotRun && runs[mark] > 0 {
			t.wrong("%s ran although its caller was told that it did not", mark)
		}
		if outcome == client.OutcomeComplete && runs[mark] == 0 {
			t.wrong("%s is complete but never ran", mark)
		}
	}
	o := t.count.outcomes
	if o[client.OutcomeBroken] > 0 {
		t.wrong("%d answers ended without a last word", o[client.OutcomeBroken])
	}
	for _, f := range t.count.faults {
		say(t.out, "wrong: %s", f)
	}
	say(t.out, "calls=%d complete=%d not_run=%d unknown=%d interrupted=%d duplicated=%d", calls,
		o[client.OutcomeComplete], o[client.OutcomeNotRun], o[client.OutcomeUnknown], o[client.OutcomeInterrupted], duplicated)
	if len(t.count.faults) > 0 || o[client.OutcomeComplete] != calls {
		return ErrWrong
	}
	return nil
}
