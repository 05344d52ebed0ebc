package admit

import (
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/mimosalock/mimosalock/internal/agent/length"
)

// op is one step of a random history.
type op struct {
	Kind     uint8 // offer, token, finish, cancel, expire and start, withdraw, drain, reopen
	Call     uint8 // selects a call or workspace
	Priority uint8
	Millis   uint16 // since the previous step
}

const (
	stateWaiting = "waiting"
	stateRunning = "running"
	stateEnded   = "over"
)

// checkHistory applies a history and checks that each call starts and ends at
// most once, that none starts while draining, and that no more run than the limit
// allows.
func checkHistory(history []op) bool {
	ctl := New(Config{Floor: 2, Max: 6, WarmUpWork: 40, IsEngine: true})
	ctl.RecordMemory(2000, 0, 0)
	now := time.Unix(0, 0)
	state := map[string]string{}
	draining := false
	offered := 0
	started := func(id string) bool {
		ok := !draining && state[id] != stateEnded && state[id] != stateRunning
		state[id] = stateRunning
		return ok && ctl.Running() <= ctl.Limit()
	}
	pick := func(n uint8, want string) string {
		for i := range offered {
			id := fmt.Sprint((i + int(n)) % offered)
			if state[id] == want {
				return id
			}
		}
		return ""
	}
	for _, s := range history {
		now = now.Add(time.Duration(s.Millis) * time.Millisecond)
		switch s.Kind {
		case 0:
			id := fmt.Sprint(offered)
			offered++
			r := Request{ID: id, Workspace: fmt.Sprint(s.Call % 3), Weight: 1, Class: "c", Priority: int(s.Priority), PromptTokens: 50, MaxWait: time.Second}
			switch ctl.Offer(now, r).Verdict {
			case VerdictStart:
				if !started(id) {
					return false
				}
			case VerdictWait:
				state[id] = stateWaiting
			case VerdictRefuse:
				state[id] = stateEnded
			}
		case 1:
			if id := pick(s.Call, stateRunning); id != "" {
				ctl.RecordTokens(now, id, 1+int(s.Millis%50))
			}
		case 2:
			if id := pick(s.Call, stateRunning); id != "" {
				ctl.RecordFinished(now, id, 60)
				state[id] = stateEnded
			}
		case 3:
			if id := pick(s.Call, stateRunning); id != "" {
				ctl.RecordIncomplete(id)
				state[id] = stateEnded
			}
		case 4:
			for _, r := range ctl.RemoveExpired(now) {
				if state[r.ID] != stateWaiting {
					return false
				}
				state[r.ID] = stateEnded
			}
			for {
				r, ok := ctl.StartNext(now)
				if !ok {
					break
				}
				if state[r.ID] != stateWaiting || !started(r.ID) {
					return false
				}
			}
		case 5:
			if id := pick(s.Call, stateWaiting); id != "" {
				if !ctl.Withdraw(id) {
					return false
				}
				state[id] = stateEnded
			}
		case 6:
			draining = true
			for _, r := range ctl.Drain() {
				if state[r.ID] != stateWaiting {
					return false
				}
				state[r.ID] = stateEnded
			}
		case 7:
			draining = false
			ctl.Reopen()
		}
		if ctl.Waiting() != count(state, stateWaiting) || ctl.Running() != count(state, stateRunning) {
			return false
		}
	}
	return true
}

func count(state map[string]string, want string) int {
	n := 0
	for _, s := range state {
		if s == want {
			n++
		}
	}
	return n
}

func TestCallsStartAndEndAtMostOnce(t *testing.T) {
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
	properties.Property("calls start and end at most once", prop.ForAll(checkHistory, ops))
	properties.TestingRun(t)
}

func request(id string) Request {
	return Request{ID: id, Workspace: "w", Weight: 1, Class: "c", PromptTokens: 100, MaxWait: time.Second}
}

// runCall runs one call of the given number of tokens with the given gap between
// them. It returns the time of the last token.
func runCall(ctl *Controller, now time.Time, tokens int, gap time.Duration) time.Time {
	if ctl.Offer(now, request("call")).Verdict != VerdictStart {
		return now
	}
	for i := 1; i <= tokens; i++ {
		now = now.Add(gap)
		ctl.RecordTokens(now, "call", i)
	}
	ctl.RecordFinished(now, "call", tokens)
	return now
}

func TestRamp(t *testing.T) {
	const warm, cold = 10 * time.Millisecond, 40 * time.Millisecond
	cases := []struct {
		name  string
		gaps  []time.Duration // of calls of 100 tokens each
		limit int
	}{
		{"starts at the floor", nil, 2},
		{"rises with work", []time.Duration{warm, warm}, 11},
		{"reaches the maximum", []time.Duration{warm, warm, warm, warm, warm}, 20},
		// The first 7 of the 100 cold tokens reset the limit: 3 gaps over 2 tokens
		// each. The others count as warm-up work again.
		{"returns to the floor when cold", []time.Duration{warm, warm, warm, warm, warm, cold}, 6},
		{"rises again", []time.Duration{warm, warm, warm, warm, warm, cold, warm, warm}, 15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctl := New(Config{Floor: 2, Max: 20, WarmUpWork: 400, IsEngine: true})
			now := time.Unix(0, 0)
			for _, gap := range c.gaps {
				now = runCall(ctl, now, 100, gap)
			}
			if diff := ctl.Limit() - c.limit; diff < -2 || diff > 2 {
				t.Fatalf("limit %d, want about %d", ctl.Limit(), c.limit)
			}
		})
	}
}

// startedAtOnce learns output lengths near 400 tokens and returns how many calls
// of 500 tokens, prompt included, start at once in a KV cache of 10,000 tokens.
func startedAtOnce() int {
	ctl := New(Config{Floor: 100, Max: 100, IsEngine: true, StartWarm: true})
	ctl.RecordMemory(10_000, 0, 0)
	now := time.Unix(0, 0)
	for range 500 {
		ctl.Offer(now, request("x"))
		ctl.RecordFinished(now, "x", 400)
	}
	started := 0
	for i := range 100 {
		r := request(fmt.Sprint(i))
		r.MaxWait = 0
		if ctl.Offer(now, r).Verdict == VerdictStart {
			started++
		}
	}
	return started
}

func TestMemoryForecastBoundsAdmission(t *testing.T) {
	if n := startedAtOnce(); n < 10 || n > 20 {
		t.Fatalf("%d calls of 500 tokens started in a cache of 10,000 tokens, want 10 to 20", n)
	}
}

// Each end of a call counts once: the chance to end at a length is the share of the
// calls that reached it and ended there.
func TestEndsCountOnce(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("known red, entry 7 of KNOWN-RED.txt")
	}
	ctl, now := New(Config{Floor: 100, Max: 100, IsEngine: true, StartWarm: true}), time.Unix(0, 0)
	want := length.New()
	for i := range 20 {
		tokens := 50 + 20*(i%2)
		now = runCall(ctl, now, tokens, time.Millisecond)
		for n := 1; n <= tokens; n++ {
			want.RecordToken(n)
		}
		want.RecordEnd(tokens)
	}
	if got := ctl.curve(request("call").Class).MeanLength(0, 1000); got != want.MeanLength(0, 1000) {
		t.Fatalf("mean length %v, want %v", got, want.MeanLength(0, 1000))
	}
}
