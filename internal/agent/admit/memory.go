package admit

import (
	"math"
	"time"
)

const (
	// overflowSigmas is the number of standard deviations kept free above the
	// mean of the forecast. A call that only just fits then overflows the cache in
	// about 1 of 18 cases.
	overflowSigmas = 1.6
	// memoryReserve is the share of the cache kept free for what the forecast
	// does not include, such as rounding to blocks.
	memoryReserve  = 0.01
	marginStep     = 0.02 // added to the margin after a preemption
	maxMargin      = 0.3
	marginDecay    = 0.999 // factor per report without a preemption
	forecastMaxAge = 50 * time.Millisecond
)

// horizons are the points of the forecast: how many more tokens each running call
// has produced by then.
var horizons = [...]int{0, 32, 64, 128, 192, 256, 304, 360, 430, 512, 610, 724, 1024, 1448, 2048, 4096, 8192}

// memory holds the state of the engine's KV cache as it was last reported, in
// tokens, and a forecast of the cache that the running calls will hold.
type memory struct {
	capacity    int // 0 until reported
	used        int
	preemptions int
	margin      float64 // share of the cache kept free because of recent preemptions

	// Sums over the running calls at each horizon, in tokens.
	mean       [len(horizons)]float64
	variance   [len(horizons)]float64
	computedAt time.Time
	stale      bool // the running calls changed since computedAt
}

// report stores the engine's figures. preemptions counts from the engine's start;
// a rise means that the forecast was too low, and raises the margin.
func (m *memory) report(capacity, used, preemptions int) {
	if preemptions > m.preemptions && m.capacity > 0 {
		m.margin = min(maxMargin, m.margin+marginStep)
	} else {
		m.margin *= marginDecay
	}
	m.capacity, m.used, m.preemptions = capacity, used, preemptions
}

// fits reports whether the engine's memory is expected to suffice at every
// horizon with one more call, apart from the accepted chance of overflow.
func (ctl *Controller) fits(now time.Time, r Request) bool {
	if ctl.memory.capacity == 0 {
		return true // not yet reported; the concurrency limit bounds the risk
	}
	room := ctl.memory.usable()
	if !ctl.urgent(r) {
		room -= float64(ctl.reserved(now)) * ctl.demand.footprint
	}
	ctl.forecast(now)
	for i, ahead := range horizons {
		mean, variance := ctl.footprint(r, 0, ahead)
		mean += ctl.memory.mean[i]
		variance += ctl.memory.variance[i]
		if mean+overflowSigmas*math.Sqrt(variance) > room {
			return false
		}
	}
	return true
}

// usable returns the number of cache tokens up to which calls are admitted.
func (m *memory) usable() float64 { return float64(m.capacity) * (1 - memoryReserve - m.margin) }

// EstimateFreeSlots returns an estimate of how many more calls of the recent mean size
// could start.
func (ctl *Controller) EstimateFreeSlots(now time.Time) int {
	slots := max(0, ctl.ramp.limit()-len(ctl.running))
	if !ctl.cfg.IsEngine || ctl.memory.capacity == 0 || ctl.meanFootprint == 0 {
		return slots
	}
	ctl.forecast(now)
	free := math.Inf(1) // at the horizon with the least
	for i := range horizons {
		free = min(free, ctl.memory.usable()-ctl.memory.mean[i]-overflowSigmas*math.Sqrt(ctl.memory.variance[i]))
	}
	return min(slots, max(0, int(free/ctl.meanFootprint)))
}

// urgent reports whether a call is at least as urgent as all calls seen so far.
func (ctl *Controller) urgent(r Request) bool { return r.Priority <= ctl.minPriority }

// forecast recomputes the sums over the running calls if a call was added or
// removed, or if they are older than forecastMaxAge. They change little within
// that time.
func (ctl *Controller) forecast(now time.Time) {
	m := &ctl.memory
	if !m.stale && now.Sub(m.computedAt) < forecastMaxAge {
		return
	}
	m.computedAt, m.stale = now, false
	for i, ahead := range horizons {
		m.mean[i], m.variance[i] = 0, 0
		for _, run := range ctl.running {
			mean, variance := ctl.footprint(run.req, run.produced, ahead)
			m.mean[i] += mean
			m.variance[i] += variance
		}
	}
}

// footprint returns the mean and variance of the KV cache tokens that a call holds
// after ahead more tokens. It holds none if it has ended by then.
func (ctl *Controller) footprint(r Request, produced, ahead int) (mean, variance float64) {
	p := ctl.curve(r.Class).Survival(produced, ahead, r.MaxTokens)
	held := float64(r.PromptTokens + produced + ahead)
	return p * held, p * (1 - p) * held * held
}
