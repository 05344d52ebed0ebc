package admit

import (
	"math"
	"time"
)

const (
	demandWindow       = 20 * time.Second // over which the mean is taken
	demandSigmas       = 3.0              // of a Poisson number of calls
	initialDemand      = 1.0
	footprintSmoothing = 0.1
)

// demand is how much of the most urgent class runs at once. Room for it is kept
// free of other classes, so that short checks need not wait until a long plan
// ends.
type demand struct {
	mean      float64 // calls at once
	footprint float64 // tokens that one holds
	running   int
	updatedAt time.Time
}

// observe moves the mean to a time at which so many calls run.
func (d *demand) observe(now time.Time, calls int) {
	if d.updatedAt.IsZero() {
		d.mean, d.updatedAt = initialDemand, now
	}
	part := 1 - math.Exp(-float64(now.Sub(d.updatedAt))/float64(demandWindow))
	d.mean += part * (float64(d.running) - d.mean)
	d.running, d.updatedAt = calls, now
}

// recordEnd learns what a call of the urgent class holds.
func (d *demand) recordEnd(r Request, produced, topPriority int) {
	if r.Priority == topPriority {
		d.footprint += footprintSmoothing * (float64(r.Prompt+produced) - d.footprint)
	}
}

// need is the number of calls for which there should be room.
func (d *demand) need() int { return int(math.Ceil(d.mean + demandSigmas*math.Sqrt(d.mean))) }

// updateDemand counts the running calls of the urgent class.
func (g *Gate) updateDemand(now time.Time) { g.demand.observe(now, g.urgentRunning()) }

func (g *Gate) urgentRunning() int {
	n := 0
	for _, run := range g.running {
		if g.urgent(run.req) {
			n++
		}
	}
	return n
}

// reserved is the number of places that other classes leave free.
func (g *Gate) reserved(now time.Time) int {
	if !g.hasPriorities() {
		return 0
	}
	g.demand.observe(now, g.demand.running)
	return max(0, g.demand.need()-g.demand.running)
}

// hasPriorities reports whether calls of more than one priority were seen.
func (g *Gate) hasPriorities() bool { return g.maxPriority > g.minPriority }
