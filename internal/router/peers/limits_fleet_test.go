package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/limit"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// The platform's bound: from limitContact after an endpoint first named its limit, it
	// gets at most limitFactor times what that allows in limitWindow, and limitSlack calls.
	limitContact = 4 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	minLimitUse  = 0.8 // of a limit, where there is demand

	limitedService = "l"
	limitPatience  = 400 * time.Millisecond // of a call that waits for a permit

	// promptRefusal is how long a refused call may wait: for an answer from the home of each of
	// three endpoints. The target for the share of those that wait no longer is known red, entry
	// 15 of KNOWN-RED.txt: minPromptShare is checked without KNOWN_RED=1.
	promptRefusal     = 200 * time.Millisecond
	minPromptShare    = 0.5
	targetPromptShare = 0.9
)

// limitedEndpoint is an endpoint that may name a limit.
type limitedEndpoint struct {
	endpt.Endpoint
	mu       sync.Mutex
	says     limit.Statement
	arrivals []limitArrival
}

type limitArrival struct {
	at   time.Time
	from string // address of the process
}

// limitFleet is a fleet that sends calls to endpoints that may name limits.
type limitFleet struct {
	*crashFleet
	endpoints []*limitedEndpoint
	demand    float64 // calls a second of all processes together
	deaf      map[string]bool
	frozen    map[string]bool
	calls     sync.WaitGroup
	bytes     int // of words and permits

	mu              sync.Mutex
	served, refused int
	refusedAfter    []time.Duration // how long each refused call waited
}

func newLimitFleet(t *testing.T, processes, endpoints int) *limitFleet {
	t.Helper()
	f := &limitFleet{crashFleet: newMetFleet(processes, 1), deaf: map[string]bool{}, frozen: map[string]bool{}}
	for i := range endpoints {
		e := &limitedEndpoint{Endpoint: endpt.Endpoint{ID: fmt.Sprintf("l-%d", i), StartedMs: 1, Service: limitedService, DataCentre: "a1", Region: "a", Slots: 64}}
		f.endpoints = append(f.endpoints, e)
		for _, s := range f.schedulers {
			s.Put(time.Now(), e.Endpoint)
		}
	}
	t.Cleanup(f.calls.Wait)
	f.play(t, time.Second) // without calls
	return f
}

// say makes endpoints say something of their limits from now on.
func (f *limitFleet) say(s limit.Statement, endpoints ...*limitedEndpoint) time.Time {
	for _, e := range endpoints {
		e.mu.Lock()
		e.says = s
		e.mu.Unlock()
	}
	return time.Now()
}

func named(rate float64) limit.Statement { return limit.Statement{Named: true, Rate: rate} }

// play runs the fleet with its demand for a time. Processes that are frozen or deaf get no
// messages; frozen ones send none.
func (f *limitFleet) play(t *testing.T, d time.Duration) {
	t.Helper()
	tick := crashTick
	if len(f.groups) > 200 {
		tick = 2 * crashTick // saves time; messages are under way for longer than in a real fleet
	}
	for range d / tick {
		for address := range f.groups {
			if f.frozen[address] {
				continue
			}
			s, ledger := f.schedulers[address], f.ledgers[address] // processes may be added while calls run
			for due := f.demand * tick.Seconds() / float64(len(f.groups)); due > rand.Float64(); due-- {
				f.calls.Go(func() { f.call(address, s, ledger) })
			}
		}
		arrived := f.underway
		f.underway = nil
		for _, p := range arrived {
			p.To = slices.DeleteFunc(slices.Clone(p.To), func(to string) bool { return f.deaf[to] || f.frozen[to] || rand.Float64() < f.loss })
			var m message
			if err := msgpack.Unmarshal(p.Raw, &m); err != nil {
				t.Fatal(err)
			}
			if m.Limits != nil || m.Permits != nil {
				f.bytes += len(p.Raw) * len(p.To)
			}
			f.deliver(t, p.from, p.Packet)
		}
		for from, g := range f.groups {
			if f.frozen[from] {
				continue
			}
			packets, err := g.Outgoing(time.Now())
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range packets {
				f.underway = append(f.underway, flight{from, p})
			}
		}
		time.Sleep(tick)
	}
}

// call makes one call at the process with an address, scheduler and ledger.
func (f *limitFleet) call(address string, s *sched.Scheduler, ledger *limit.Ledger) {
	now, req := time.Now(), sched.Request{Service: limitedService}
	lease, placed := s.TryPlace(now, req)
	if !placed {
		if s.MayQueue(now, req, 0, limitPatience) {
			lease = s.Wait(context.Background(), now, req, sched.WaitOptions{StartBy: now.Add(limitPatience), Deadline: now.Add(limitPatience)})
		}
	}
	if lease == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused++
		f.refusedAfter = append(f.refusedAfter, time.Since(now))
		return
	}
	f.mu.Lock()
	f.served++
	f.mu.Unlock()
	sent := time.Now()
	time.Sleep(10 * time.Millisecond)
	e := f.endpoints[slices.IndexFunc(f.endpoints, func(e *limitedEndpoint) bool { return e.ID == lease.Endpoint.ID })]
	e.mu.Lock()
	e.arrivals = append(e.arrivals, limitArrival{time.Now(), address})
	says := e.says
	e.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	ledger.Hear(time.Now(), e.Endpoint, sent, says)
	lease.Release(time.Now(), sched.OutcomeSuccess)
}

// refusals returns the number of refused calls.
func (f *limitFleet) refusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// expectBound checks the platform's bound between two times. Calls from excused processes
// do not count.
func (f *limitFleet) expectBound(t *testing.T, e *limitedEndpoint, rate float64, from, until time.Time, excused ...string) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	worst, allowed := 0, limitFactor*rate*limitWindow.Seconds()+limitSlack
	var times []time.Time
	for _, a := range e.arrivals {
		if !a.at.Before(from) && a.at.Before(until) && !slices.Contains(excused, a.from) {
			times = append(times, a.at)
		}
	}
	for i, at := range times {
		count := 0
		for _, other := range times[i:] {
			if other.Sub(at) < limitWindow {
				count++
			}
		}
		worst = max(worst, count)
	}
	if float64(worst) > allowed {
		t.Errorf("endpoint %s with a limit of %g got %d calls in %v, want at most %g", e.ID, rate, worst, limitWindow, allowed)
	}
}

// expectUse checks that endpoints get most of what they allow together.
func (f *limitFleet) expectUse(t *testing.T, endpoints []*limitedEndpoint, rate float64, from, until time.Time) {
	t.Helper()
	got := 0
	for _, e := range endpoints {
		e.mu.Lock()
		for _, a := range e.arrivals {
			if !a.at.Before(from) && a.at.Before(until) {
				got++
			}
		}
		e.mu.Unlock()
	}
	allowed := rate * float64(len(endpoints)) * until.Sub(from).Seconds()
	t.Logf("%d calls at %d endpoints, limits allow %.0f", got, len(endpoints), allowed)
	if float64(got) < minLimitUse*allowed {
		t.Errorf("%d endpoints with a limit of %g got %d calls in %v, want at least %.0f", len(endpoints), rate, got, until.Sub(from), minLimitUse*allowed)
	}
}

// expectPromptRefusals checks that most of the refused calls have not waited in vain.
func (f *limitFleet) expectPromptRefusals(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	share := minPromptShare
	if os.Getenv("KNOWN_RED") != "" {
		share = targetPromptShare
	}
	prompt := 0
	for _, after := range f.refusedAfter {
		if after <= promptRefusal {
			prompt++
		}
	}
	t.Logf("%d of %d refused calls waited for %v or less", prompt, f.refused, promptRefusal)
	if f.refused == 0 || float64(prompt) < share*float64(f.refused) {
		t.Errorf("%d of %d refused calls waited for %v or less, want %g of them", prompt, f.refused, promptRefusal, share)
	}
}

// homeOf returns the process that most others take for the home of an endpoint: the one
// that hands out its permits.
func (f *limitFleet) homeOf(e *limitedEndpoint) string {
	votes := map[string]int{}
	for _, l := range f.ledgers {
		votes[l.Home(sched.KeyOf(e.ID))]++
	}
	best := ""
	for address, n := range votes {
		if n > votes[best] {
			best = address
		}
	}
	return best
}
