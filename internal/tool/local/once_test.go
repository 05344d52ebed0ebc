package local_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/cutter"
	"github.com/mimosalock/mimosalock/internal/stand/plain"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const bookingPath = "/services/" + local.PlainService + "/bookings/new"

// runs counts how often a call ran on all workers.
func runs(r *local.Rig, mark string) int {
	n := 0
	for _, p := range r.Plains() {
		n += p.Plain.Runs()[mark]
	}
	return n
}

// expectHonest compares what the caller was told with what the workers saw.
func expectHonest(t *testing.T, r *local.Rig, mark string, res client.Result) {
	t.Helper()
	ran := runs(r, mark)
	switch {
	case ran > 1:
		t.Fatalf("%s ran %d times", mark, ran)
	case res.Outcome == client.OutcomeNotRun && ran > 0:
		t.Fatalf("%s ran but its caller was told not_run: %s", mark, res.Body)
	case res.Outcome == client.OutcomeComplete && ran == 0 && res.Status == 200:
		t.Fatalf("%s is complete but never ran", mark)
	case res.Fault != nil:
		t.Fatalf("%s: %v", mark, res.Fault)
	}
}

func TestNoRepeatUnderEveryCut(t *testing.T) {
	links := []struct {
		name string
		pick func(r *local.Rig) []*cutter.Link
	}{
		{"caller to entry", func(r *local.Rig) []*cutter.Link { return []*cutter.Link{r.Entries()[0].Link} }},
		{"entry to agent", func(r *local.Rig) []*cutter.Link { return []*cutter.Link{r.Plains()[0].Link, r.Plains()[1].Link} }},
		{"agent to endpoint", func(r *local.Rig) []*cutter.Link {
			return []*cutter.Link{r.Plains()[0].Endpoint, r.Plains()[1].Endpoint}
		}},
	}
	for _, l := range links {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 1, Plains: 2, Links: true})
			sweep(t, r, l.pick(r))
		})
	}
}

// sweep cuts the links at rising numbers of bytes, in each direction.
func sweep(t *testing.T, r *local.Rig, links []*cutter.Link) {
	ctx := testContext(t)
	outcomes := map[client.Outcome]int{}
	for size := 1; size < 1200; size += 37 {
		for _, up := range []bool{true, false} {
			for _, l := range links {
				if up {
					l.CutAfter(0, size)
				} else {
					l.CutAfter(size, 0)
				}
			}
			mark := fmt.Sprintf("cut-%v-%d", up, size)
			res := client.New(local.Key).Call(ctx, r.Entries()[0].Callers, "POST", bookingPath, "", mark, []byte("{}"))
			expectHonest(t, r, mark, res)
			outcomes[res.Outcome]++
		}
	}
	for _, l := range links {
		l.CutAfter(0, 0)
	}
	t.Logf("outcomes: %v", outcomes)
}

func TestNoRepeatWhenTheEndpointBreaks(t *testing.T) {
	cases := []struct {
		name string
		at   plain.BreakPoint
		want client.Outcome
	}{
		{"before it runs", plain.BreakBeforeRun, client.OutcomeUnknown},
		{"after it ran", plain.BreakAfterRun, client.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 1, Plains: 2})
			for _, p := range r.Plains() {
				p.Plain.Break(c.at)
			}
			res := client.New(local.Key).Call(testContext(t), r.Entries()[0].Callers, "POST", bookingPath, "", "b", nil)
			expectOutcome(t, res, c.want)
			expectHonest(t, r, "b", res)
		})
	}
	t.Run("not listening", func(t *testing.T) {
		t.Parallel()
		r := start(t, local.Options{Entries: 1, Plains: 1})
		r.Plains()[0].Plain.Close()
		res := client.New(local.Key).Call(testContext(t), r.Entries()[0].Callers, "POST", bookingPath, "", "b", nil)
		expectOutcome(t, res, client.OutcomeNotRun)
		if res.RetryAfter == 0 {
			t.Fatal("a refusal without a time to come again")
		}
	})
}

// shortHorizon lets keys run soon after the start of a fleet.
func shortHorizon(f *spec.File) { f.Services[1].KeyHorizonSecs = 2 }

// quickHosts confirms the host list well within a short horizon.
func quickHosts(s *setup.Settings) { s.HostWatchMs = 200 }

// settled waits until agents may run keys that they have not seen.
func settled(r *local.Rig) {
	for _, p := range r.Plains() {
		time.Sleep(2*time.Second - p.Agent.Base().Clock.Age())
	}
}

func TestKeyRunsOnce(t *testing.T) {
	r := start(t, local.Options{Entries: 3, Plains: 3, Config: shortHorizon, Adjust: quickHosts})
	settled(r)
	ctx := testContext(t)
	for _, p := range r.Plains() {
		p.Plain.Delay(50 * time.Millisecond)
	}
	for k := range 10 {
		key := fmt.Sprintf("order-%d", k)
		var all sync.WaitGroup
		for _, e := range r.Entries() {
			all.Go(func() {
				res := client.New(local.Key).Call(ctx, e.Callers, "POST", bookingPath, key, key, []byte("{}"))
				if res.Outcome != client.OutcomeComplete || res.Status != 200 {
					t.Errorf("%s: %s %s", key, res.Outcome, res.Body)
				}
			})
		}
		all.Wait()
		if n := runs(r, key); n != 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	other := client.New(local.Key).Call(ctx, r.Entries()[0].Callers, "POST", bookingPath, "order-0", "order-0", []byte(`{"other":1}`))
	expectOutcome(t, other, client.OutcomeUnknown)
	apart := client.New(local.OtherKey).Call(ctx, r.Entries()[0].Callers, "POST", bookingPath, "order-0", "apart", []byte("{}"))
	expectOutcome(t, apart, client.OutcomeComplete)
}

func TestKeyAfterAgentRestart(t *testing.T) {
	r := start(t, local.Options{Entries: 2, Plains: 1, Config: shortHorizon, Adjust: quickHosts})
	settled(r)
	ctx := testContext(t)
	user := client.New(local.Key)
	call := func(key string) client.Result {
		return user.Call(ctx, r.Entries()[0].Callers, "POST", bookingPath, key, key, nil)
	}
	expectOutcome(t, call("k"), client.OutcomeComplete)
	r.KillAgent(r.Plains()[0])
	if err := r.StartAgent(r.Plains()[0]); err != nil {
		t.Fatal(err)
	}
	if err := r.WaitReady(testTimeout); err != nil {
		t.Fatal(err)
	}
	expectOutcome(t, call("k"), client.OutcomeUnknown)
	if n := runs(r, "k"); n != 1 {
		t.Fatalf("the key ran %d times", n)
	}
	settled(r)
	expectOutcome(t, call("new"), client.OutcomeComplete)
}

func TestKeyAfterWorkerChange(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Plains: 2, Config: func(f *spec.File) { f.Services[1].KeyHorizonSecs = 4 }, Adjust: quickHosts})
	ctx := testContext(t)
	user := client.New(local.Key)
	call := func(key string) client.Result {
		return user.Call(ctx, r.Entries()[0].Callers, "POST", bookingPath, key, key, nil)
	}
	time.Sleep(4*time.Second - r.Plains()[0].Agent.Base().Clock.Age())
	time.Sleep(100 * time.Millisecond)
	const keys = 24
	for k := range keys {
		expectOutcome(t, call(fmt.Sprintf("k%d", k)), client.OutcomeComplete)
	}
	if err := r.AddPlain("galway-a"); err != nil {
		t.Fatal(err)
	}
	r.Relist()
	if err := r.WaitReady(testTimeout); err != nil {
		t.Fatal(err)
	}
	for k := range keys { // the third worker owns some of them now
		key := fmt.Sprintf("k%d", k)
		res := call(key)
		if n := runs(r, key); n != 1 {
			t.Fatalf("%s ran %d times, last outcome %s", key, n, res.Outcome)
		}
	}
}

func TestTicket(t *testing.T) {
	r := start(t, local.Options{Entries: 2, Plains: 2})
	ctx := testContext(t)
	user := client.New(local.Key)
	ticket, err := user.Ticket(ctx, r.Entries()[0].Callers, local.PlainService)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range r.Entries() {
		expectOutcome(t, user.Call(ctx, e.Callers, "POST", bookingPath, ticket, "t", nil), client.OutcomeComplete)
	}
	if n := runs(r, "t"); n != 1 {
		t.Fatalf("the ticket ran %d times", n)
	}
	unused, err := user.Ticket(ctx, r.Entries()[0].Callers, local.PlainService)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range r.Plains() {
		r.KillAgent(p)
		if err := r.StartAgent(p); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.WaitReady(testTimeout); err != nil {
		t.Fatal(err)
	}
	expectOutcome(t, user.Call(ctx, r.Entries()[0].Callers, "POST", bookingPath, unused, "u", nil), client.OutcomeUnknown)
	if n := runs(r, "u"); n != 0 {
		t.Fatalf("a ticket of a process that is gone ran %d times", n)
	}
}

func TestLateAnswersStayApart(t *testing.T) {
	r := start(t, local.Options{Entries: 2, Plains: 2, Links: true})
	var all sync.WaitGroup
	for _, p := range r.Plains() {
		p.Plain.Delay(20 * time.Millisecond)
	}
	stop, cancel := context.WithCancel(t.Context())
	go func() {
		for i := 0; stop.Err() == nil; i++ {
			r.Plains()[i%2].Link.Cut()
			time.Sleep(30 * time.Millisecond)
		}
	}()
	for i := range 16 {
		all.Go(func() {
			for k := range 20 {
				mark := fmt.Sprintf("late-%d-%d", i, k)
				res := client.New(local.Key).Call(t.Context(), r.Entries()[i%2].Callers, "GET", "/services/"+local.PlainService+"/stock/"+mark, "", mark, nil)
				if res.Outcome == client.OutcomeComplete && !bytes.Contains(res.Body, []byte(`"`+mark+`"`)) {
					t.Errorf("%s got the answer %s", mark, res.Body)
				}
			}
		})
	}
	all.Wait()
	cancel()
}

func TestAgentDiesWithABookingInFlight(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Plains: 2, Links: true})
	for _, p := range r.Plains() {
		p.Plain.Delay(time.Second)
	}
	go func() {
		eventually(t, "a worker sees the booking", func() bool { return runs(r, "b") > 0 })
		for _, p := range r.Plains() {
			if p.Plain.Runs()["b"] == 0 {
				continue
			}
			r.KillAgent(p)
			if err := r.StartAgent(p); err != nil {
				t.Error(err)
			}
		}
	}()
	res := client.New(local.Key).Call(testContext(t), r.Entries()[0].Callers, "POST", bookingPath, "", "b", nil)
	expectOutcome(t, res, client.OutcomeUnknown)
	expectHonest(t, r, "b", res)
}
