package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/stand/engsim"
)

// call is one generation request and its result.
type call struct {
	req        admit.Request
	seq        *engsim.Seq
	arrival    time.Duration   // like the other times, since the start of the run
	firstToken time.Duration   // 0 if there was none
	lastToken  time.Duration   // the latest so far
	gaps       []time.Duration // between successive tokens
	done       bool
	refused    bool
	worker     int // index
}

// workload describes a generated sequence of calls. The same workload always gives the
// same calls.
type workload struct {
	seed           uint64
	callsPS        float64 // mean arrival rate, without the heavy workspace's additional calls
	duration       time.Duration
	workspaces     int
	heavyWorkspace int     // index of a workspace that sends more from a third of the duration on, -1 for none
	heavyFactor    float64 // multiple of its usual rate
	bursts         bool    // multiply the rate by burstFactor for burstDuration in each burstInterval
}

const (
	checkShare        = 0.45 // of all calls
	checkMaxTokens    = 64
	planLogMean       = 5.6 // of the log-normal plan length in tokens; its median is exp(planLogMean)
	planLogStdDev     = 0.9
	planMaxTokens     = 12_000
	prefixCount       = 40
	prefixTokens      = 400
	burstInterval     = 30 * time.Second
	burstDuration     = 3 * time.Second
	burstFactor       = 3.0
	checkQueueTimeout = 1500 * time.Millisecond
	planQueueTimeout  = 10 * time.Second
	classCheck        = "check"
	classPlan         = "plan"
	checkPriority     = 0
	planPriority      = 10
)

// generate returns the calls in order of arrival: supply plans with heavy-tailed
// (log-normal) lengths and short checks, with shared prompt prefixes, from two large
// workspaces and many small ones.
func (w workload) generate() []*call {
	rng := rand.New(rand.NewPCG(w.seed, 11))
	var out []*call
	for at := time.Duration(0); at < w.duration; {
		callsPS := w.callsPS
		if w.bursts && at%burstInterval < burstDuration {
			callsPS *= burstFactor
		}
		at += time.Duration(rng.ExpFloat64() / callsPS * float64(time.Second))
		out = append(out, w.newCall(rng, len(out), at, w.pickWorkspace(rng)))
	}
	if w.heavyWorkspace >= 0 {
		usualPS := w.callsPS * w.share(w.heavyWorkspace)
		for at := w.duration / 3; at < w.duration; {
			at += time.Duration(rng.ExpFloat64() / (usualPS * (w.heavyFactor - 1)) * float64(time.Second))
			out = append(out, w.newCall(rng, len(out), at, w.heavyWorkspace))
		}
		slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.arrival, b.arrival) })
	}
	return out
}

// share returns the fraction of the calls that a workspace sends. The weights add up to
// the number of workspaces plus 7.
func (w workload) share(i int) float64 { return w.weight(i) / (float64(w.workspaces) + 7) }

// weight is larger for the first two workspaces.
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

// pickWorkspace selects a workspace at random, in proportion to its share.
func (w workload) pickWorkspace(rng *rand.Rand) int {
	x := rng.Float64()
	for i := range w.workspaces {
		if x -= w.share(i); x < 0 {
			return i
		}
	}
	return w.workspaces - 1
}

func (w workload) newCall(rng *rand.Rand, number int, at time.Duration, workspace int) *call {
	prefix := uint64(1 + rng.IntN(prefixCount))
	c := &call{arrival: at, req: admit.Request{
		ID: fmt.Sprint(number), Workspace: fmt.Sprintf("w%d", workspace), Weight: int(w.weight(workspace)),
		PromptTokens: prefixTokens + 20 + rng.IntN(400),
	}}
	length := 1 + rng.IntN(8)
	if rng.Float64() < checkShare {
		c.req.Class, c.req.MaxTokens, c.req.Priority, c.req.MaxWait = classCheck, checkMaxTokens, checkPriority, checkQueueTimeout
	} else {
		c.req.Class, c.req.Priority, c.req.MaxWait = classPlan, planPriority, planQueueTimeout
		length = min(planMaxTokens, 1+int(math.Exp(planLogMean+planLogStdDev*rng.NormFloat64())))
	}
	c.seq = &engsim.Seq{ID: c.req.ID, Prompt: c.req.PromptTokens, Prefix: prefix, PrefixTokens: prefixTokens, Priority: c.req.Priority, Length: length}
	return c
}

// cloneCalls copies the calls without their results.
func cloneCalls(calls []*call) []*call {
	out := make([]*call, len(calls))
	for i, c := range calls {
		seq := *c.seq
		out[i] = &call{req: c.req, seq: &seq, arrival: c.arrival}
	}
	return out
}
