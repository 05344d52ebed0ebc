// Package order decides which calls go first when capacity is short: how calls that wait are
// ordered, how long they may be passed over, how long they are expected to wait, and how much
// room long calls leave for shorter ones. It knows which calls came lately and what they
// used. It does no I/O and has no clock.
package order

import "time"

// ShortRatio is how many times as long as a short call another one runs. Beyond it, what a
// short call gains by going first is a small part of what the long one loses: it starts at
// most a quarter of its own run later.
const ShortRatio = 4

// Work is what the order knows of a call.
type Work struct {
	Service   string
	Route     string
	Workspace string        // empty if unknown
	Priority  int           // lower is more urgent
	Tokens    int           // KV cache that it will use, 0 on plain endpoints
	Run       time.Duration // expected time at an endpoint, 0 if unknown
}

// IsShortBeside reports whether the call is short compared with one of a run time. It is not
// if either is unknown.
func (w Work) IsShortBeside(run time.Duration) bool {
	return w.Run > 0 && ShortRatio*w.Run <= run
}
