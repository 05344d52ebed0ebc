package order

import (
	"slices"
	"time"
)

const (
	// minFlowTime is how long a queue must exist before its speed counts.
	minFlowTime = 3 * time.Second
	// bestFactor times the most placements in a second of the window is the assumed upper
	// limit. A call is refused early only if it could not start even so: room may come in a
	// shorter burst than was seen.
	bestFactor = 2
)

// flow is the speed of a queue since it last was empty.
type flow struct {
	since  time.Time
	placed slots
}

// Forecast is how long a call is expected to wait.
type Forecast struct {
	Ahead    int           // calls before it
	Known    bool          // false for a queue that is new, or of which no call was placed
	Expected time.Duration // until it is placed
	Least    time.Duration // in the best case that its queue has shown, doubled
	Age      time.Duration // time that the speed of the queue was observed for
}

// QueueBegins records that a call waits for a service.
func (b *Book) QueueBegins(now time.Time, service string) {
	if b.flows[service] == nil {
		b.flows[service] = &flow{since: now}
	}
}

// QueueEnds records that no call waits for a service.
func (b *Book) QueueEnds(service string) { delete(b.flows, service) }

// Placed records that a waiting call was placed.
func (b *Book) Placed(now time.Time, service string) {
	if f := b.flows[service]; f != nil {
		f.placed.add(now, 0)
	}
}

// Forecast returns how long a call is expected to wait with other calls before it.
func (b *Book) Forecast(now time.Time, e Entry, ahead []Entry) Forecast {
	c := Forecast{Ahead: len(ahead)}
	f := b.flows[e.Service]
	if f == nil {
		return c
	}
	c.Age = now.Sub(f.since)
	placed, _, most := f.placed.sum(now)
	if c.Age < minFlowTime || placed == 0 {
		return c
	}
	c.Known = true
	c.Expected = time.Duration(float64(len(ahead)+1) * float64(min(c.Age, rateWindow)) / float64(placed))
	c.Least = leastWait(now, e, ahead, slotLength/time.Duration(bestFactor*most))
	return c
}

// leastWait returns how long a call waits if one is placed in each interval. It may pass calls
// that need more room, and does not wait for those that give up before.
func leastWait(now time.Time, e Entry, ahead []Entry, interval time.Duration) time.Duration {
	var ends []time.Duration // of the waits of the others
	for _, o := range ahead {
		if e.NeedsAsMuch(o) {
			ends = append(ends, o.Deadline.Sub(now))
		}
	}
	slices.Sort(ends)
	for i, end := range ends {
		if placed := time.Duration(len(ends)-i) * interval; placed <= end {
			if i > 0 {
				return max(placed, ends[i-1])
			}
			return placed
		}
	}
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1]
}
