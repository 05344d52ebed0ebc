package book

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// The model of an engine: prompts are read one after another, then tokens are
// made at a pace of their own. Figures are those of the platform's engines.
const (
	readPerMs     = 7.5 // prompt tokens, with steps of running calls between
	tokenTime     = 9 * time.Millisecond
	engineTokens  = 34_206
	entryCount    = 4
	engineCount   = 12
	exchangeEvery = 25 * time.Millisecond // the spacing of news and the way
	dayLength     = 30 * time.Second
)

// pattern is a load that comes on heavy days.
type pattern struct {
	name string
	rate func(at time.Duration) float64 // calls a second
	// present tells which engines take new calls. An engine that comes back is a new
	// incarnation.
	present func(at time.Duration, engine int) bool
}

func steady(time.Duration) float64            { return 11 }
func always(time.Duration, int) bool          { return true }
func between(at, from, to time.Duration) bool { return at >= from && at < to }

func patterns() []pattern {
	return []pattern{
		{"surge", func(at time.Duration) float64 {
			if between(at, 8*time.Second, 12*time.Second) {
				return 22
			}
			return 11
		}, always},
		{"evacuation", steady, func(at time.Duration, e int) bool { return !between(at, 8*time.Second, 18*time.Second) || e%3 != 0 }},
		{"cold return", steady, func(at time.Duration, e int) bool { return !between(at, 8*time.Second, 10*time.Second) || e%3 != 0 }},
		{"spot notices in series", steady, func(at time.Duration, e int) bool {
			round := int(at / (3300 * time.Millisecond))
			return e/2 != round%(engineCount/2)
		}},
	}
}

// policy chooses an engine for a call at an entry, and false if it has to wait.
type policy struct {
	name   string
	shares bool // entries tell each other their load
	rotate bool // engines in turn, whatever their load
}

// TestHeavyLoads compares the time to the first token under each pattern with
// that of entries which do not tell each other their load, and of engines taken in
// turn, on the same calls.
func TestHeavyLoads(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			shared := play(p, policy{name: "shared", shares: true})
			for _, baseline := range []policy{{name: "alone"}, {name: "in turn", rotate: true}} {
				if other := play(p, baseline); shared > other {
					t.Errorf("first token, 95th: %v with shared load, %v %s", shared, other, baseline.name)
				} else {
					t.Logf("first token, 95th: %v with shared load, %v %s", shared, other, baseline.name)
				}
			}
		})
	}
}

type simCall struct {
	arrived time.Duration
	entry   int
	prompt  int
	output  int
}

// simRun is a call at an engine.
type simRun struct {
	lease       *Lease
	read, ended time.Duration
	started     bool
}

// play runs a day of a pattern and returns the 95th percentile of the time to the
// first token.
func play(p pattern, by policy) time.Duration {
	rng := rand.New(rand.NewPCG(1, 2))
	epoch := time.Unix(0, 0)
	books := make([]*Book, entryCount)
	for i := range books {
		books[i] = New(Config{DataCentre: "a1", Region: "a", Name: fmt.Sprint(i), Entries: func() int { return entryCount }, Draw: rng.Int64})
	}
	var waiting []simCall
	var runs []*simRun
	var firsts []time.Duration
	var free [engineCount]time.Duration
	var born [engineCount]int64
	var turns [entryCount]int // each entry takes the engines in turn for itself
	for at := time.Duration(0); at < dayLength; at += time.Millisecond {
		now := epoch.Add(at)
		for e := range engineCount {
			list(books, now, p, at, e, &born, &free)
		}
		if by.shares && at%exchangeEvery == 0 {
			exchange(books, now)
		}
		if rng.Float64() < p.rate(at)/1000 {
			waiting = append(waiting, newCall(rng, at))
		}
		runs = advance(runs, now, at)
		waiting = slices.DeleteFunc(waiting, func(c simCall) bool {
			n := Need{Service: "s", Tokens: c.prompt + c.output*6/10, Prompt: c.prompt, Memory: engineTokens}
			if by.rotate {
				turns[c.entry]++
				n.Exclude = allBut((turns[c.entry] + 3*c.entry) % engineCount)
			}
			l, ok := books[c.entry].Take(now, n)
			if !ok {
				return false
			}
			e := engineNumber(l.Endpoint.ID)
			free[e] = max(free[e], at) + time.Duration(float64(c.prompt)/readPerMs*float64(time.Millisecond))
			runs = append(runs, &simRun{lease: l, read: free[e], ended: free[e] + time.Duration(c.output)*tokenTime})
			firsts = append(firsts, free[e]-c.arrived)
			return true
		})
	}
	slices.SortFunc(firsts, cmp.Compare[time.Duration])
	return firsts[len(firsts)*95/100].Round(time.Millisecond)
}

// newCall is a plan or a check, as on the platform's sheets.
func newCall(rng *rand.Rand, at time.Duration) simCall {
	c := simCall{arrived: at, entry: rng.IntN(entryCount), prompt: 1000 + rng.IntN(2400), output: 10}
	if rng.Float64() < 0.42 {
		c.prompt, c.output = 2000+rng.IntN(2000), 300+rng.IntN(1200)
	}
	return c
}

// list tells all entries whether an engine takes calls.
func list(books []*Book, now time.Time, p pattern, at time.Duration, e int, born *[engineCount]int64, free *[engineCount]time.Duration) {
	present := p.present(at, e)
	switch {
	case present && born[e] <= 0:
		born[e] = 1 - born[e]
		free[e] = at
		for _, b := range books {
			b.Put(now, endpt.Endpoint{ID: engineID(e), Born: born[e], Service: "s", DataCentre: "a1", Region: "a", Slots: 24})
		}
	case !present && born[e] > 0:
		born[e] = -born[e]
		for _, b := range books {
			b.Remove(now, engineID(e), time.Time{})
		}
	}
}

func exchange(books []*Book, now time.Time) {
	for i, from := range books {
		loads := from.Loads()
		for j, to := range books {
			if i != j {
				to.SetPeerLoad(now, fmt.Sprint(i), loads)
			}
		}
	}
}

// advance ends what is over and notes prompts that were read.
func advance(runs []*simRun, now time.Time, at time.Duration) []*simRun {
	return slices.DeleteFunc(runs, func(r *simRun) bool {
		if at >= r.read && !r.started {
			r.lease.Started()
			r.started = true
		}
		if at < r.ended {
			return false
		}
		r.lease.Release(now, OutcomeGood)
		return true
	})
}

func engineID(e int) string { return fmt.Sprintf("e%02d", e) }

func engineNumber(id string) int {
	var e int
	_, _ = fmt.Sscanf(id, "e%02d", &e)
	return e
}

func allBut(keep int) []string {
	var out []string
	for e := range engineCount {
		if e != keep {
			out = append(out, engineID(e))
		}
	}
	return out
}

// BenchmarkTake places calls in a fleet of the target's size.
func BenchmarkTake(bench *testing.B) {
	const endpoints, peers, each = 1600, 389, 16
	b := newBook(peers + 1)
	for i := range endpoints {
		e := engine(fmt.Sprint("e", i), "a1")
		e.Slots = 24
		b.Put(time.Now(), e)
	}
	for p := range peers {
		loads := map[string]Load{}
		for i := range each {
			loads[fmt.Sprint("e", (p*each+i)%endpoints)] = Load{Calls: 1, Tokens: 1000}
		}
		b.SetPeerLoad(time.Now(), fmt.Sprint("p", p), loads)
	}
	for bench.Loop() {
		if l, ok := b.Take(time.Now(), need(1000)); ok {
			l.Release(time.Now(), OutcomeNone)
		}
	}
}
