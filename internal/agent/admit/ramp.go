package admit

import "time"

const (
	gapSmoothing      = 0.25            // weight of the newest gap
	coldFactor        = 1.6             // a gap this much above the best one of its load is cold
	prefillColdFactor = 2.5             // the same where prompt work of other calls may explain a part
	maxColdGaps       = 3               // consecutive cold gaps that prove it
	loadBuckets       = 16              // load levels whose best gap is kept
	bestGapDrift      = 1.0005          // lets the best gap follow a real change
	stallGap          = 2 * time.Second // a gap above this is a stall, never good
)

// ramp is the concurrency limit. It begins at the floor and grows in
// proportion to the work done with good gaps between tokens (or completion
// times of a plain service), until the work that the service's operators give
// as an endpoint's warm-up.
type ramp struct {
	floor, max int
	warmUpWork float64
	doneWork   float64 // good work since the last cold start
	coldGaps   int
	bestGaps   [loadBuckets]time.Duration
	resets     int
}

func newRamp(cfg Config) ramp {
	var r ramp
	r.resize(cfg)
	if cfg.Warm {
		r.doneWork = r.warmUpWork
	}
	return r
}

func (r *ramp) resize(cfg Config) {
	r.floor, r.max = max(1, cfg.Floor), max(1, cfg.Floor, cfg.Max)
	r.warmUpWork = float64(max(1, cfg.WarmUp))
}

func (r *ramp) limit() int {
	share := min(1, r.doneWork/r.warmUpWork)
	return r.floor + int(share*float64(r.max-r.floor))
}

// reset returns to the floor. What was learned of good gaps stays: it tells
// the cold from the warm.
func (r *ramp) reset() {
	if r.limit() > r.floor {
		r.resets++
	}
	r.doneWork, r.coldGaps = 0, 0
}

// recordGap takes the mean gap of some work at a load. mixed tells that prompt
// work of other calls fell into it.
func (r *ramp) recordGap(gap time.Duration, load, work int, mixed bool) {
	if gap <= 0 {
		return
	}
	if r.isWarm() && r.isColdGap(gap, load, mixed) {
		r.coldGaps++
		if r.coldGaps >= maxColdGaps {
			r.reset()
		}
		return
	}
	r.coldGaps = 0
	if !mixed {
		r.updateBestGap(gap, load)
	}
	if gap <= stallGap {
		r.doneWork = min(r.warmUpWork, r.doneWork+float64(work))
	}
}

// addWork counts work that shows no gap.
func (r *ramp) addWork(work float64) {
	if !r.isWarm() {
		r.doneWork = min(r.warmUpWork, r.doneWork+work)
	}
}

// isWarm reports whether the endpoint should show its best gaps. While it warms
// up, longer ones are expected.
func (r *ramp) isWarm() bool { return r.doneWork >= r.warmUpWork }

// isColdGap reports whether a warm endpoint would not show the gap.
func (r *ramp) isColdGap(gap time.Duration, load int, mixed bool) bool {
	factor := coldFactor
	if mixed {
		factor = prefillColdFactor
	}
	best := r.referenceGap(load)
	return gap > stallGap || (best > 0 && float64(gap) > factor*float64(best))
}

// referenceGap is the best gap known at this load or the next higher one, 0 for
// none. A lower load's would not do: a full batch is slow without being cold.
func (r *ramp) referenceGap(load int) time.Duration {
	for b := r.bucket(load); b < loadBuckets; b++ {
		if r.bestGaps[b] > 0 {
			return r.bestGaps[b]
		}
	}
	return 0
}

// updateBestGap follows the best gap of a load: quickly down, slowly up.
func (r *ramp) updateBestGap(gap time.Duration, load int) {
	b := r.bucket(load)
	switch {
	case r.bestGaps[b] == 0:
		r.bestGaps[b] = gap
	case gap < r.bestGaps[b]:
		r.bestGaps[b] += time.Duration(gapSmoothing * float64(gap-r.bestGaps[b]))
	default:
		r.bestGaps[b] = time.Duration(float64(r.bestGaps[b]) * bestGapDrift)
	}
}

func (r *ramp) bucket(load int) int {
	return min(loadBuckets-1, max(0, load-1)*loadBuckets/r.max)
}
