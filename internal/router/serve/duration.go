package serve

import (
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/desc"
)

const (
	durationEWMAWeight = 0.1 // weight of the newest call in the moving averages
	highDeviations     = 4   // mean deviations above the mean of the high estimate, which about 1 in 100 calls exceeds
)

const (
	// A run time is learned from the time from the send to the end, which under load includes
	// the engine's queue. Shorter runs weigh more, as they show the work without the delay.
	shorterRunWeight = 0.2
	longerRunWeight  = 0.04
	// sizeWeight is the weight of the newest call in the mean size of a route's calls.
	sizeWeight = 0.1
	// promptTokenWork is the work of reading a prompt token, in generated tokens.
	promptTokenWork = 1.0 / 16
	// maxSizeRatio bounds by how much a call's run time differs from its route's: the callers'
	// estimates of the output are often far off.
	maxSizeRatio = 4.0
)

// runTimes tracks how long calls of each route run at an endpoint, and how large they are.
type runTimes struct {
	mu     sync.Mutex
	routes map[string]runTime
}

type runTime struct {
	run  time.Duration
	size float64 // work of a call by its tokens, see sizeOf; 0 if it has none
}

func newRunTimes() *runTimes { return &runTimes{routes: map[string]runTime{}} }

func (r *runTimes) record(call *desc.Call, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := sizeOf(call)
	t, known := r.routes[call.Route]
	if !known {
		r.routes[call.Route] = runTime{took, size}
		return
	}
	weight := longerRunWeight
	if took < t.run {
		weight = shorterRunWeight
	}
	t.run += time.Duration(weight * float64(took-t.run))
	t.size += sizeWeight * (size - t.size)
	r.routes[call.Route] = t
}

// expected returns the expected run time of a route's calls, 0 before the first has completed.
func (r *runTimes) expected(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routes[route].run
}

// expectedOf returns the expected run time of a call by its own size, 0 before the first of its
// route has completed.
func (r *runTimes) expectedOf(call *desc.Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, size := r.routes[call.Route], sizeOf(call)
	if size <= 0 || t.size <= 0 {
		return t.run
	}
	ratio := min(max(size/t.size, 1/maxSizeRatio), maxSizeRatio)
	return time.Duration(ratio * float64(t.run))
}

// sizeOf returns the expected work of a call in generated tokens, 0 for one of a plain service.
func sizeOf(call *desc.Call) float64 {
	return promptTokenWork*float64(call.PromptTokens) + float64(call.EstimatedTokens()-call.PromptTokens)
}

// durationStats tracks how long the calls of each route take.
type durationStats struct {
	mu     sync.Mutex
	routes map[string]durationStat
}

// durationStat holds moving averages of a route's call duration and of its
// absolute deviation.
type durationStat struct {
	mean, deviation time.Duration
}

func newDurationStats() *durationStats { return &durationStats{routes: map[string]durationStat{}} }

func (d *durationStats) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.routes[route]
	if !known {
		d.routes[route] = durationStat{mean: took, deviation: took / 2}
		return
	}
	diff := took - s.mean
	s.mean += time.Duration(durationEWMAWeight * float64(diff))
	s.deviation += time.Duration(durationEWMAWeight * float64(diff.Abs()-s.deviation))
	d.routes[route] = s
}

// estimate returns the mean duration of a route's calls and a high estimate that
// about 1 in 100 calls exceeds. known is false before the route's first call.
func (d *durationStats) estimate(route string) (mean, high time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.routes[route]
	return s.mean, s.mean + time.Duration(highDeviations*float64(s.deviation)), known
}
