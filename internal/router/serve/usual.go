package serve

import (
	"sync"
	"time"
)

const (
	durationWeight = 0.1 // of the newest call in mean and deviation
	deviations     = 4   // above the mean; about 1 in 100 calls takes longer
)

// durations learns how long the calls of each route take.
type durations struct {
	mu     sync.Mutex
	routes map[string]spread
}

// spread is the mean duration of a route's calls and their mean deviation.
type spread struct {
	mean, deviation time.Duration
}

func newDurations() *durations { return &durations{routes: map[string]spread{}} }

func (d *durations) note(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.routes[route]
	if !known {
		d.routes[route] = spread{mean: took, deviation: took / 2}
		return
	}
	off := took - s.mean
	s.mean += time.Duration(durationWeight * float64(off))
	s.deviation += time.Duration(durationWeight * float64(off.Abs()-s.deviation))
	d.routes[route] = s
}

// of returns the mean duration of a route's calls and one that few exceed.
func (d *durations) of(route string) (usual, longest time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.routes[route]
	return s.mean, s.mean + time.Duration(deviations*float64(s.deviation)), known
}
