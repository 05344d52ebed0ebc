package admit

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

type op struct {
	Kind     uint8 // offer, token, finish, cancel, tick, withdraw, leave, return
	Call     uint8
	Priority uint8
	Millis   uint16
}

const (
	stateWaiting = "waiting"
	stateRunning = "running"
	stateEnded   = "over"
)

// checkHistory plays a history and checks that each call has one fate, that nothing
// starts while leaving, and that no more runs than the limit allows.
func checkHistory(history []op) bool {
	g := New(Config{Floor: 2, Max: 6, WarmUp: 40, Model: true})
	g.Report(2000, 0, 0)
	now := time.Unix(0, 0)
	fate := map[string]string{}
	leaving := false
	made := 0
	started := func(id string) bool {
		ok := !leaving && fate[id] != stateEnded && fate[id] != stateRunning
		fate[id] = stateRunning
		return ok && g.Running() <= g.Limit()
	}
	pick := func(n uint8, want string) string {
		for i := range made {
			id := fmt.Sprint((i + int(n)) % made)
			if fate[id] == want {
				return id
			}
		}
		return ""
	}
	for _, s := range history {
		now = now.Add(time.Duration(s.Millis) * time.Millisecond)
		switch s.Kind {
		case 0:
			id := fmt.Sprint(made)
			made++
			r := Request{ID: id, Workspace: fmt.Sprint(s.Call % 3), Weight: 1, Class: "c", Priority: int(s.Priority), Prompt: 50, Queue: time.Second}
			switch g.Offer(now, r).Verdict {
			case VerdictStart:
				if !started(id) {
					return false
				}
			case VerdictWait:
				fate[id] = stateWaiting
			case VerdictRefuse:
				fate[id] = stateEnded
			}
		case 1:
			if id := pick(s.Call, stateRunning); id != "" {
				g.Token(now, id, 1+int(s.Millis%50))
			}
		case 2:
			if id := pick(s.Call, stateRunning); id != "" {
				g.Finished(now, id, 60)
				fate[id] = stateEnded
			}
		case 3:
			if id := pick(s.Call, stateRunning); id != "" {
				g.Cancelled(id)
				fate[id] = stateEnded
			}
		case 4:
			for _, r := range g.Expired(now) {
				if fate[r.ID] != stateWaiting {
					return false
				}
				fate[r.ID] = stateEnded
			}
			for {
				r, ok := g.Next(now)
				if !ok {
					break
				}
				if fate[r.ID] != stateWaiting || !started(r.ID) {
					return false
				}
			}
		case 5:
			if id := pick(s.Call, stateWaiting); id != "" {
				if !g.Withdraw(id) {
					return false
				}
				fate[id] = stateEnded
			}
		case 6:
			leaving = true
			for _, r := range g.Drain() {
				if fate[r.ID] != stateWaiting {
					return false
				}
				fate[r.ID] = stateEnded
			}
		case 7:
			leaving = false
			g.Reopen()
		}
		if g.Waiting() != count(fate, stateWaiting) || g.Running() != count(fate, stateRunning) {
			return false
		}
	}
	return true
}

func count(fate map[string]string, want string) int {
	n := 0
	for _, f := range fate {
		if f == want {
			n++
		}
	}
	return n
}

func TestEachCallStartsOrEndsOnce(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.Rng.Seed(3)
	params.MinSuccessfulTests = 1000
	params.MaxSize = 120
	properties := gopter.NewProperties(params)
	ops := gen.SliceOf(gen.Struct(reflect.TypeOf(op{}), map[string]gopter.Gen{
		"Kind":     gen.Weighted([]gen.WeightedGen{{Weight: 10, Gen: gen.UInt8Range(0, 4)}, {Weight: 1, Gen: gen.UInt8Range(5, 7)}}),
		"Call":     gen.UInt8(),
		"Priority": gen.UInt8Range(0, 1), "Millis": gen.UInt16Range(0, 300),
	}))
	properties.Property("fates are lawful", prop.ForAll(checkHistory, ops))
	properties.TestingRun(t)
}

func request(id string) Request {
	return Request{ID: id, Workspace: "w", Weight: 1, Class: "c", Prompt: 100, Queue: time.Second}
}

// runCall runs one call for so many tokens with the gap.
func runCall(g *Gate, now time.Time, tokens int, gap time.Duration) time.Time {
	if g.Offer(now, request("fed")).Verdict != VerdictStart {
		return now
	}
	for i := 1; i <= tokens; i++ {
		now = now.Add(gap)
		g.Token(now, "fed", i)
	}
	g.Finished(now, "fed", tokens)
	return now
}

func TestRamp(t *testing.T) {
	const good, cold = 10 * time.Millisecond, 40 * time.Millisecond
	cases := []struct {
		name  string
		feed  []time.Duration // gap of 100 tokens each
		limit int
	}{
		{"starts at the floor", nil, 2},
		{"grows with work", []time.Duration{good, good}, 11},
		{"reaches the maximum", []time.Duration{good, good, good, good, good}, 20},
		// Of the 100 cold tokens, 24 prove the cold; the rest warm it up again.
		{"falls to the floor when cold", []time.Duration{good, good, good, good, good, cold}, 6},
		{"grows again", []time.Duration{good, good, good, good, good, cold, good, good}, 15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := New(Config{Floor: 2, Max: 20, WarmUp: 400, Model: true})
			now := time.Unix(0, 0)
			for _, gap := range c.feed {
				now = runCall(g, now, 100, gap)
			}
			if diff := g.Limit() - c.limit; diff < -2 || diff > 2 {
				t.Fatalf("limit %d, want about %d", g.Limit(), c.limit)
			}
		})
	}
}

// startedAtOnce learns lengths near 400 and returns how many calls of 500 tokens
// start at once in a cache of 10,000.
func startedAtOnce() int {
	g := New(Config{Floor: 100, Max: 100, Model: true, Warm: true})
	g.Report(10_000, 0, 0)
	now := time.Unix(0, 0)
	for range 500 { // lengths near 400 are learned
		g.Offer(now, request("x"))
		g.Finished(now, "x", 400)
	}
	started := 0
	for i := range 100 {
		r := request(fmt.Sprint(i))
		r.Queue = 0
		if g.Offer(now, r).Verdict == VerdictStart {
			started++
		}
	}
	return started
}

func TestMemoryForecastBoundsAdmission(t *testing.T) {
	if n := startedAtOnce(); n < 10 || n > 20 {
		t.Fatalf("%d calls of 500 tokens started in a cache of 10,000", n)
	}
}
