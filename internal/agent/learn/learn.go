// Package learn estimates how much longer a generation will run, given what it
// has produced so far. It keeps a discrete hazard over quarter-octave buckets of
// output length (the product-limit estimate of Kaplan and Meier), so that
// running and cancelled generations bias nothing, and forgets slowly, so that
// a shift of the workload is learned.
package learn

import (
	"math"
	"math/bits"
)

const (
	bucketCount = 4 * 17 // quarter octaves up to 2^17 tokens
	priorWeight = 2.0    // pseudo generations behind the prior of each bucket
	priorHazard = 0.06   // a heavy tail, safe for an unknown service
	decay       = 0.9985 // per finished generation: a memory of about 650
)

// bucketStart holds the first count of each bucket.
var bucketStart = func() (out [bucketCount + 1]int) {
	for b := range out {
		out[b] = int(math.Ceil(math.Exp2(float64(b)/4) - 1e-9))
	}
	return out
}()

// Curve is the length distribution of one class of work. It is not safe for
// concurrent use.
type Curve struct {
	reached       [bucketCount]float64 // generations that came through or ended in a bucket
	ended         [bucketCount]float64
	logSurvivalAt [bucketCount + 1]float64 // log of the chance to reach a bucket's first count
	stale         bool
}

// New returns the prior.
func New() *Curve { return &Curve{stale: true} }

// RecordToken records that a generation produced its count-th token, which matters
// only where it leaves a bucket.
func (c *Curve) RecordToken(count int) {
	if count < 2 {
		return
	}
	if b, before := bucket(count), bucket(count-1); b > before {
		c.reached[before]++
		c.stale = true
	}
}

// RecordEnd records that a generation ended by itself after count tokens.
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

// Survival returns the chance that a generation which has produced so many
// tokens produces at least ahead more. limit is its max_tokens, 0 for none.
func (c *Curve) Survival(produced, ahead, limit int) float64 {
	if limit > 0 && produced+ahead > limit {
		return 0
	}
	if ahead == 0 {
		return 1
	}
	return math.Exp(c.logSurvival(produced+ahead) - c.logSurvival(produced))
}

// MeanLength returns the expected total length of a generation that has produced so
// many tokens.
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

// logSurvival is the log of the chance to reach a count.
func (c *Curve) logSurvival(count int) float64 {
	if c.stale {
		c.recompute()
	}
	count = max(1, count)
	b := bucket(count)
	part := float64(count-bucketStart[b]) / float64(max(1, bucketStart[b+1]-bucketStart[b]))
	return c.logSurvivalAt[b] + part*(c.logSurvivalAt[b+1]-c.logSurvivalAt[b])
}

func (c *Curve) recompute() {
	for b := range bucketCount {
		c.logSurvivalAt[b+1] = c.logSurvivalAt[b]
		if bucketStart[b+1] > bucketStart[b] { // an empty bucket ends nothing
			c.logSurvivalAt[b+1] += math.Log1p(-c.hazard(b))
		}
	}
	c.stale = false
}

// hazard is the chance to end within a bucket, given that it is reached.
func (c *Curve) hazard(b int) float64 {
	h := (c.ended[b] + priorWeight*priorHazard) / (c.reached[b] + priorWeight)
	return min(h, 0.999)
}

// bucket returns the quarter octave that holds a count of at least 1. Small
// counts have several with the same first count; the last of them counts.
func bucket(count int) int {
	b := 4 * (bits.Len(uint(count)) - 1)
	for b+1 < bucketCount && count >= bucketStart[b+1] {
		b++
	}
	return min(bucketCount-1, b)
}
