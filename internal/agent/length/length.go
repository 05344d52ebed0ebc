// Package length estimates how much longer a generation will run, given the tokens
// it has produced so far. It is the Kaplan-Meier (product-limit) estimator over
// buckets of output length, four per doubling. Running and cancelled generations
// count as censored and do not bias it. Old observations lose weight slowly, so
// that a change of the workload is learned.
package length

import (
	"math"
	"math/bits"
)

const (
	bucketCount = 4 * 17 // four per doubling, up to 2^17 tokens
	priorWeight = 2.0    // weight of the prior of each bucket, in generations
	priorHazard = 0.06   // prior chance to end within a bucket; it expects long outputs, the safe side for an unknown service
	decay       = 0.9985 // factor per finished generation, for a memory of about 650 generations
)

// bucketStart holds the lowest token count of each bucket.
var bucketStart = func() (out [bucketCount + 1]int) {
	for b := range out {
		out[b] = int(math.Ceil(math.Exp2(float64(b)/4) - 1e-9)) // 1e-9 absorbs rounding errors
	}
	return out
}()

// Curve is the survival curve of the output lengths of one class of calls. It is
// not safe for concurrent use.
type Curve struct {
	reached       [bucketCount]float64 // generations that passed or ended in a bucket, weighted
	ended         [bucketCount]float64
	logSurvivalAt [bucketCount + 1]float64 // log of the chance to reach the start of a bucket
	stale         bool                     // logSurvivalAt must be recomputed
}

// New returns a Curve that holds only the prior.
func New() *Curve { return &Curve{stale: true} }

// RecordToken records that a running generation produced its count-th token. If it
// is the first token of a bucket, the generation has passed the previous bucket.
func (c *Curve) RecordToken(count int) {
	if count < 2 {
		return
	}
	if b, before := bucket(count), bucket(count-1); b > before {
		c.reached[before]++
		c.stale = true
	}
}

// RecordEnd records that a generation completed after count tokens.
func (c *Curve) RecordEnd(count int) {
	for i := range c.reached {
		c.reached[i] *= decay
		c.ended[i] *= decay
	}
	b := bucket(max(1, count))
	c.reached[b]++
	c.ended[b]++
	c.stale = true
}

// Survival returns the chance that a generation which has produced the given
// number of tokens produces at least ahead more. limit is its max_tokens, 0 for
// none.
func (c *Curve) Survival(produced, ahead, limit int) float64 {
	if limit > 0 && produced+ahead > limit {
		return 0
	}
	if ahead == 0 {
		return 1
	}
	return math.Exp(c.logSurvival(produced+ahead) - c.logSurvival(produced))
}

// MeanLength returns the expected total length of a generation that has produced
// the given number of tokens. limit is its max_tokens, 0 for none.
func (c *Curve) MeanLength(produced, limit int) float64 {
	start := max(1, produced)
	total := float64(produced)
	for b := bucket(start); b < bucketCount-1; b++ {
		from, to := max(start, bucketStart[b]), bucketStart[b+1]
		if limit > 0 {
			to = min(to, limit)
		}
		alive := c.Survival(start, from-start, limit)
		if to <= from || alive < 1e-3 {
			break
		}
		total += float64(to-from) * (alive + c.Survival(start, to-start, 0)) / 2
	}
	return total
}

// logSurvival returns the log of the chance to reach a token count, interpolated
// within its bucket.
func (c *Curve) logSurvival(count int) float64 {
	if c.stale {
		c.recompute()
	}
	count = max(1, count)
	b := bucket(count)
	part := float64(count-bucketStart[b]) / float64(max(1, bucketStart[b+1]-bucketStart[b]))
	return c.logSurvivalAt[b] + part*(c.logSurvivalAt[b+1]-c.logSurvivalAt[b])
}

// recompute updates logSurvivalAt from the observations.
func (c *Curve) recompute() {
	for b := range bucketCount {
		c.logSurvivalAt[b+1] = c.logSurvivalAt[b]
		if bucketStart[b+1] > bucketStart[b] { // no token count falls into an empty bucket
			c.logSurvivalAt[b+1] += math.Log1p(-c.hazard(b))
		}
	}
	c.stale = false
}

// hazard returns the chance to end within a bucket that has been reached.
func (c *Curve) hazard(b int) float64 {
	h := (c.ended[b] + priorWeight*priorHazard) / (c.reached[b] + priorWeight)
	return min(h, 0.999) // below 1, so that its logarithm in recompute is finite
}

// bucket returns the bucket of a token count of at least 1. Among small counts,
// several buckets have the same start; only the last of them is not empty.
func bucket(count int) int {
	b := 4 * (bits.Len(uint(count)) - 1)
	for b+1 < bucketCount && count >= bucketStart[b+1] {
		b++
	}
	return min(bucketCount-1, b)
}
