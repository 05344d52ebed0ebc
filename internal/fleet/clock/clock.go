// Package clock identifies each start of a process by an incarnation and measures its
// uptime in beats, a counter that rises with the monotonic clock. An entry that
// offers a call to an agent echoes the newest beat that it received from the agent.
// The agent rejects an offer whose echo is too old, since its sender was paused, cut
// off or otherwise out of date. Clocks of different hosts are never compared.
package clock

import (
	"math/rand/v2"
	"time"
)

const (
	// Interval is the time between two beats.
	Interval = 250 * time.Millisecond
	// maxEchoAge is the greatest age of an accepted echo, in beats: 2.5 s.
	maxEchoAge = 10
)

// Clock counts the beats since a process start. It is immutable and safe for
// concurrent use.
type Clock struct {
	start       time.Time
	incarnation uint64
}

// New returns a Clock with a random incarnation. It is random because a restarted
// process may have lost all state and must not reuse an earlier incarnation.
func New() *Clock {
	return &Clock{start: time.Now(), incarnation: rand.Uint64() | 1}
}

// Incarnation returns the identifier of this process start. It is never 0.
func (c *Clock) Incarnation() uint64 { return c.incarnation }

// Beat returns the current beat. The first one is 1.
func (c *Clock) Beat() uint64 { return 1 + uint64(time.Since(c.start)/Interval) }

// Age returns the time since the process start.
func (c *Clock) Age() time.Duration { return time.Since(c.start) }

// IsFresh reports whether an echoed beat is recent enough to act on.
func (c *Clock) IsFresh(echo uint64) bool {
	now := c.Beat()
	return echo <= now && now-echo <= maxEchoAge
}

// Since returns the time since the given beat was current.
func (c *Clock) Since(beat uint64) time.Duration {
	now := c.Beat()
	if beat >= now {
		return 0
	}
	return time.Duration(now-beat) * Interval
}
