package admit

import (
	"math"
	"time"
)

const (
	overflowSigmas = 1.6 // standard deviations kept free; about 1 overflow in 18 forecasts that are this tight
	// memoryReserve is the share of the cache that the forecast leaves free for
	// what the estimate does not see, such as block rounding.
	memoryReserve  = 0.01
	marginStep     = 0.02 // held back after unexpected preemptions
	maxMargin      = 0.3
	marginDecay    = 0.999 // for each report
	forecastMaxAge = 50 * time.Millisecond
)

// horizons are the looks ahead of the forecast, in tokens of each generation.
var horizons = [...]int{0, 32, 64, 128, 192, 256, 304, 360, 430, 512, 610, 724, 1024, 1448, 2048, 4096, 8192}

// memory is what the engine reported of its cache, in tokens, and the forecast
// of what running calls will hold.
type memory struct {
	capacity    int // 0 until reported
	used        int
	preemptions int
	margin      float64 // share held back after unexpected preemptions

	mean       [len(horizons)]float64
	variance   [len(horizons)]float64
	computedAt time.Time
	stale      bool
}

func (m *memory) report(capacity, used, preemptions int) {
	if preemptions > m.preemptions && m.capacity > 0 {
		m.margin = min(maxMargin, m.margin+marginStep)
	} else {
		m.margin *= marginDecay
	}
	m.capacity, m.used, m.preemptions = capacity, used, preemptions
}

// fits reports whether the engine's memory will do with one more call at every
// horizon, up to the bound on the chance of overflow.
func (g *Gate) fits(now time.Time, r Request) bool {
	if g.memory.capacity == 0 {
		return true // not yet reported: the floor bounds the risk
	}
	room := g.memory.usable()
	if !g.urgent(r) {
		room -= float64(g.reserved(now)) * g.demand.footprint
	}
	g.forecast(now)
	for i, ahead := range horizons {
		mean, variance := g.footprint(r, 0, ahead)
		mean += g.memory.mean[i]
		variance += g.memory.variance[i]
		if mean+overflowSigmas*math.Sqrt(variance) > room {
			return false
		}
	}
	return true
}

// usable is the part of the cache that may be forecast to be used.
func (m *memory) usable() float64 { return float64(m.capacity) * (1 - memoryReserve - m.margin) }

// Fitting returns about how many more calls like the recent ones could start.
func (g *Gate) Fitting(now time.Time) int {
	places := max(0, g.ramp.limit()-len(g.running))
	if !g.cfg.Model || g.memory.capacity == 0 || g.meanFootprint == 0 {
		return places
	}
	g.forecast(now)
	tightest := math.Inf(1)
	for i := range horizons {
		tightest = min(tightest, g.memory.usable()-g.memory.mean[i]-overflowSigmas*math.Sqrt(g.memory.variance[i]))
	}
	return min(places, max(0, int(tightest/g.meanFootprint)))
}

// urgent reports whether no class seen here goes before the call's.
func (g *Gate) urgent(r Request) bool { return r.Priority <= g.minPriority }

// forecast brings the sums over the running calls up to date. They change
// little between two steps, so they are kept for a few.
func (g *Gate) forecast(now time.Time) {
	m := &g.memory
	if !m.stale && now.Sub(m.computedAt) < forecastMaxAge {
		return
	}
	m.computedAt, m.stale = now, false
	for i, ahead := range horizons {
		m.mean[i], m.variance[i] = 0, 0
		for _, run := range g.running {
			mean, variance := g.footprint(run.req, run.produced, ahead)
			m.mean[i] += mean
			m.variance[i] += variance
		}
	}
}

// footprint returns mean and variance of the memory that one generation holds
// after so many more tokens.
func (g *Gate) footprint(r Request, produced, ahead int) (mean, variance float64) {
	p := g.curve(r.Class).Survival(produced, ahead, r.Limit)
	held := float64(r.Prompt + produced + ahead)
	return p * held, p * (1 - p) * held * held
}
