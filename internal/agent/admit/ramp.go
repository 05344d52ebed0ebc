package admit

import "time"

const (
	gapSmoothing      = 0.25            // weight of a new, shorter gap in the best gap
	coldFactor        = 1.6             // a gap longer than the best one at this load by this factor is cold
	prefillColdFactor = 2.5             // the same if prefill of other calls may explain a part of it
	maxColdGaps       = 3               // consecutive cold gaps that reset the limit
	loadBuckets       = 16              // load levels with a best gap of their own
	bestGapDrift      = 1.0005          // factor per longer gap, so that the best gap follows a lasting change
	stallGap          = 2 * time.Second // a longer gap is a stall and never counts as warm-up work
)

// ramp computes the concurrency limit. It starts at the floor and rises to the
// maximum in proportion to the work done, up to the warm-up work that operators
// configure for the service. When a warm endpoint becomes slow, the limit returns
// to the floor. Speed is measured by gaps: the time between output tokens, or the
// duration of a call of a plain service.
type ramp struct {
	floor, max int
	warmUpWork float64
	doneWork   float64                    // work since the last reset, without cold gaps and stalls
	coldGaps   int                        // consecutive
	bestGaps   [loadBuckets]time.Duration // by load level, 0 if not measured
	resets     int                        // returns from above the floor
}

func newRamp(cfg Config) ramp {
	var r ramp
	r.configure(cfg)
	if cfg.StartWarm {
		r.doneWork = r.warmUpWork
	}
	return r
}

func (r *ramp) configure(cfg Config) {
	r.floor, r.max = max(1, cfg.Floor), max(1, cfg.Floor, cfg.Max)
	r.warmUpWork = float64(max(1, cfg.WarmUpWork))
}

func (r *ramp) limit() int {
	share := min(1, r.doneWork/r.warmUpWork)
	return r.floor + int(share*float64(r.max-r.floor))
}

// reset sets the limit back to the floor. The best gaps are kept, since cold gaps
// are recognised by them.
func (r *ramp) reset() {
	if r.limit() > r.floor {
		r.resets++
	}
	r.doneWork, r.coldGaps = 0, 0
}

// recordGap records the mean gap over some work with load running calls.
// withPrefill says that the engine processed prompts of other calls meanwhile.
func (r *ramp) recordGap(gap time.Duration, load, work int, withPrefill bool) {
	if gap <= 0 {
		return
	}
	if r.isWarm() && r.isColdGap(gap, load, withPrefill) {
		r.coldGaps++
		if r.coldGaps >= maxColdGaps {
			r.reset()
		}
		return
	}
	r.coldGaps = 0
	if !withPrefill {
		r.updateBestGap(gap, load)
	}
	if gap <= stallGap {
		r.doneWork = min(r.warmUpWork, r.doneWork+float64(work))
	}
}

// addWork counts warm-up work without a measured gap.
func (r *ramp) addWork(work float64) {
	if !r.isWarm() {
		r.doneWork = min(r.warmUpWork, r.doneWork+work)
	}
}

// isWarm reports whether the warm-up is complete. Before, longer gaps are
// expected.
func (r *ramp) isWarm() bool { return r.doneWork >= r.warmUpWork }

// isColdGap reports whether a gap is too long for a warm endpoint at this load.
func (r *ramp) isColdGap(gap time.Duration, load int, withPrefill bool) bool {
	factor := coldFactor
	if withPrefill {
		factor = prefillColdFactor
	}
	best := r.referenceGap(load)
	return gap > stallGap || (best > 0 && float64(gap) > factor*float64(best))
}

// referenceGap returns the best gap measured at this load level or the next
// higher one that has one, or 0. Lower levels are not used: a large batch is
// slower than a small one even if the endpoint is warm.
func (r *ramp) referenceGap(load int) time.Duration {
	for b := r.bucket(load); b < loadBuckets; b++ {
		if r.bestGaps[b] > 0 {
			return r.bestGaps[b]
		}
	}
	return 0
}

// updateBestGap adjusts the best gap of a load level: quickly downwards, slowly
// upwards.
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

// bucket returns the load level for a number of running calls.
func (r *ramp) bucket(load int) int {
	return min(loadBuckets-1, max(0, load-1)*loadBuckets/r.max)
}
