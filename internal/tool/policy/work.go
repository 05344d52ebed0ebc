package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/stand/model"
)

// call is one generation of the work.
type call struct {
	req     admit.Request
	seq     *model.Seq
	at      time.Duration // arrival
	first   time.Duration // of the first token
	last    time.Duration // of the latest token
	gaps    []time.Duration
	done    bool
	refused bool
	worker  int
}

// workload describes seeded work.
type workload struct {
	seed       uint64
	rate       float64 // calls a second
	span       time.Duration
	workspaces int
	heavy      int     // index of a workspace that sends more, -1 for none
	heavyTimes float64 // times its share
	bursts     bool
}

const (
	checkShare    = 0.45 // of the calls
	checkLimit    = 64
	planMu        = 5.6 // log of the median plan length, in tokens
	planSigma     = 0.9
	longestPlan   = 12_000
	prefixes      = 40
	sharedTokens  = 400
	burstEvery    = 30 * time.Second
	burstSpan     = 3 * time.Second
	burstTimes    = 3.0
	checkQueue    = 1500 * time.Millisecond
	planQueue     = 10 * time.Second
	classCheck    = "check"
	classPlan     = "plan"
	checkPriority = 0
	planPriority  = 10
)

// calls makes the work: supply plans of heavy-tailed length and short checks,
// with shared prompt prefixes, from a few large workspaces and many small.
func (w workload) calls() []*call {
	rng := rand.New(rand.NewPCG(w.seed, 11))
	var out []*call
	for at := time.Duration(0); at < w.span; {
		rate := w.rate
		if w.bursts && at%burstEvery < burstSpan {
			rate *= burstTimes
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		out = append(out, w.call(rng, len(out), at, w.pick(rng)))
	}
	if w.heavy >= 0 {
		share := w.rate * w.share(w.heavy)
		for at := w.span / 3; at < w.span; {
			at += time.Duration(rng.ExpFloat64() / (share * (w.heavyTimes - 1)) * float64(time.Second))
			out = append(out, w.call(rng, len(out), at, w.heavy))
		}
		slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.at, b.at) })
	}
	return out
}

// share is the part of the calls that a workspace sends: the first two are
// large.
func (w workload) share(i int) float64 { return w.weight(i) / (float64(w.workspaces) + 7) }

func (w workload) weight(i int) float64 {
	switch i {
	case 0:
		return 5
	case 1:
		return 4
	default:
		return 1
	}
}

func (w workload) pick(rng *rand.Rand) int {
	x := rng.Float64()
	for i := range w.workspaces {
		if x -= w.share(i); x < 0 {
			return i
		}
	}
	return w.workspaces - 1
}

func (w workload) call(rng *rand.Rand, number int, at time.Duration, workspace int) *call {
	prefix := uint64(1 + rng.IntN(prefixes))
	c := &call{at: at, req: admit.Request{
		ID: fmt.Sprint(number), Workspace: fmt.Sprintf("w%d", workspace), Weight: int(w.weight(workspace)),
		Prompt: sharedTokens + 20 + rng.IntN(400),
	}}
	length := 1 + rng.IntN(8)
	if rng.Float64() < checkShare {
		c.req.Class, c.req.Limit, c.req.Priority, c.req.Queue = classCheck, checkLimit, checkPriority, checkQueue
	} else {
		c.req.Class, c.req.Priority, c.req.Queue = classPlan, planPriority, planQueue
		length = min(longestPlan, 1+int(math.Exp(planMu+planSigma*rng.NormFloat64())))
	}
	c.seq = &model.Seq{ID: c.req.ID, Prompt: c.req.Prompt, Prefix: prefix, Shared: sharedTokens, Priority: c.req.Priority, Length: length}
	return c
}

// fresh returns a copy of the work that nothing has touched.
func fresh(calls []*call) []*call {
	out := make([]*call, len(calls))
	for i, c := range calls {
		seq := *c.seq
		out[i] = &call{req: c.req, seq: &seq, at: c.at}
	}
	return out
}
