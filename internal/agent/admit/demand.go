package admit

import (
	"math"
	"time"
)

const (
	demandWindow       = 20 * time.Second // time constant of the moving average
	demandSigmas       = 3.0              // standard deviations above the mean, for a Poisson distribution
	initialDemand      = 1.0              // running calls
	footprintSmoothing = 0.1
)

// demand estimates how many calls of the most urgent priority run concurrently.
// Slots and memory for them are reserved, so that short urgent calls do not wait
// for long calls of lower priority.
type demand struct {
	mean      float64 // moving average of running
	footprint float64 // moving average of the KV cache tokens that a call holds at its end
	running   int     // urgent calls at updatedAt
	updatedAt time.Time
}

// observe brings the mean up to now and records the number of urgent calls that
// run from now on.
func (d *demand) observe(now time.Time, calls int) {
	if d.updatedAt.IsZero() {
		d.mean, d.updatedAt = initialDemand, now
	}
	part := 1 - math.Exp(-float64(now.Sub(d.updatedAt))/float64(demandWindow))
	d.mean += part * (float64(d.running) - d.mean)
	d.running, d.updatedAt = calls, now
}

// recordEnd updates the footprint with a completed call, if it was urgent.
func (d *demand) recordEnd(r Request, produced, topPriority int) {
	if r.Priority == topPriority {
		d.footprint += footprintSmoothing * (float64(r.PromptTokens+produced) - d.footprint)
	}
}

// need returns the number of concurrent urgent calls to provide for.
func (d *demand) need() int { return int(math.Ceil(d.mean + demandSigmas*math.Sqrt(d.mean))) }

// updateDemand records the current number of running urgent calls.
func (ctl *Controller) updateDemand(now time.Time) { ctl.demand.observe(now, ctl.urgentRunning()) }

func (ctl *Controller) urgentRunning() int {
	n := 0
	for _, run := range ctl.running {
		if ctl.urgent(run.req) {
			n++
		}
	}
	return n
}

// reserved returns the number of slots that calls of other priorities must leave
// free.
func (ctl *Controller) reserved(now time.Time) int {
	if !ctl.hasPriorities() {
		return 0
	}
	ctl.demand.observe(now, ctl.demand.running)
	return max(0, ctl.demand.need()-ctl.demand.running)
}

// hasPriorities reports whether calls of more than one priority were seen.
func (ctl *Controller) hasPriorities() bool { return ctl.maxPriority > ctl.minPriority }
