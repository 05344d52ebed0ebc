package pace

import (
	"math"
	"time"
)

// figures summarizes figures of one endpoint. The zero value has none.
type figures struct {
	mean, low, high float64
	count           int
}

func (f figures) plus(o figures) figures {
	switch {
	case f.count == 0:
		return o
	case o.count == 0:
		return f
	}
	count := f.count + o.count
	return figures{
		mean: (f.mean*float64(f.count) + o.mean*float64(o.count)) / float64(count),
		low:  min(f.low, o.low), high: max(f.high, o.high), count: count,
	}
}

const (
	// The window holds the figures of the last 8 to 10 s in slices of sliceTime.
	windowSlices = 5
	sliceTime    = 2 * time.Second
)

// window holds the figures of the last seconds, by slice of time.
type window [windowSlices]struct {
	figures
	number int64 // of the slice
}

func (w *window) add(at time.Time, f figures) {
	number := at.UnixNano() / int64(sliceTime)
	s := &w[number%windowSlices]
	switch {
	case s.number > number:
		return
	case s.number < number:
		s.figures, s.number = figures{}, number
	}
	s.figures = s.plus(f)
}

func (w *window) total(now time.Time) (sum figures) {
	number := now.UnixNano() / int64(sliceTime)
	for _, s := range w {
		if number-s.number < windowSlices {
			sum = sum.plus(s.figures)
		}
	}
	return sum
}

// high returns the highest figure, 0 if there is none.
func (w *window) high(now time.Time) (high float64) {
	number := now.UnixNano() / int64(sliceTime)
	for i := range w {
		if s := &w[i]; number-s.number < windowSlices && s.high > high {
			high = s.high
		}
	}
	return high
}

// record is what is known of one incarnation.
type record struct {
	at          time.Time // of the newest figure
	sum, weight float64   // of the figures, each with a weight that decays with its age
	last        float64
	low         float64 // lowest figure of the window, as of the newest figure
	window      window

	pending figures // own ones that peers were not told yet
	told    figures // told last
	toldAt  time.Time

	logged   float64 // mean, 0 if none was
	loggedAt time.Time
}

// add records figures of a time.
func (r *record) add(at time.Time, f figures) {
	f.count = min(f.count, maxCount)
	r.window.add(at, f)
	weight := float64(f.count)
	if at.Before(r.at) {
		weight *= math.Exp(-r.at.Sub(at).Seconds() / meanTime.Seconds())
	} else {
		decay := math.Exp(-at.Sub(r.at).Seconds() / meanTime.Seconds())
		r.sum, r.weight, r.at, r.last = r.sum*decay, r.weight*decay, at, f.mean
	}
	r.sum, r.weight = r.sum+weight*f.mean, r.weight+weight
	if w := r.window.total(r.at); w.count > 0 {
		r.low = w.low
	}
}

// mean returns the moving average as of the newest figure.
func (r *record) mean() float64 { return r.sum / r.weight }

// estimate returns what to expect. noise is the usual ratio of the highest to the lowest
// figure, 0 if unknown.
func (r *record) estimate(now time.Time, noise float64) Estimate {
	age := max(0, now.Sub(r.at))
	trust := min(1, max(0, (forgottenTime-age).Seconds()/(forgottenTime-trustedTime).Seconds()))
	mean := 1 + trust*(r.mean()-1)
	low := 1 + trust*(r.low-1)
	current := mean
	if age < momentsForgotten*momentTime {
		current += (r.last - r.mean()) * math.Exp(-age.Seconds()/momentTime.Seconds())
	}
	return Estimate{Known: true, Age: age, Mean: mean, Now: current, Peak: max(mean, r.window.high(now), low*noise)}
}

// momentsForgotten times momentTime is the age at which the last figure says nothing beyond
// the mean.
const momentsForgotten = 8
