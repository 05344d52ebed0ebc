package relay

import (
	"cmp"
	"strings"
	"time"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const defaultRetryAfter = time.Second

// refusals records why agents refused a call, and when it may be made again.
type refusals struct {
	last          string        // reason of the last one
	minRetryAfter time.Duration // the shortest retry-after time received
}

// note records a refusal.
func (r *refusals) note(reason string, retryAfterMs uint32) {
	r.last = reason
	r.noteRetryAfter(retryAfterMs)
}

// noteReply records the reply to a probe.
func (r *refusals) noteReply(reply *peerpb.ProbeReply) {
	r.noteRetryAfter(reply.RetryAfterMs)
	if !reply.Admits {
		r.last = reply.Reason
	}
}

func (r *refusals) noteRetryAfter(ms uint32) {
	retryAfter := time.Duration(ms) * time.Millisecond
	if retryAfter > 0 && (r.minRetryAfter == 0 || retryAfter < r.minRetryAfter) {
		r.minRetryAfter = retryAfter
	}
}

// noAgent returns the reason of a call that ends because no agent admits it.
func (r *refusals) noAgent() string {
	return strings.TrimSuffix("no endpoint admits the call: "+r.last, ": ")
}

// retryAfter returns when a call that did not run may be made again, not before least.
func (r *refusals) retryAfter(least time.Duration) time.Duration {
	return cmp.Or(max(least, r.minRetryAfter), defaultRetryAfter)
}
