package runner

import (
	"time"

	"go.uber.org/zap"
)

const closedReason = "endpoint wants no calls for a while"

// closedFor returns for how long the endpoint wants no calls. The caller holds the lock.
func (r *Runner) closedFor(now time.Time) time.Duration { return max(0, r.closedUntil.Sub(now)) }

// closeFor refuses calls, waiting ones included, until the time at which the endpoint has
// said that it wants calls again. A word of an engine that has restarted since means nothing.
func (r *Runner) closeFor(run *Run, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if run.bootID != r.health.bootID || !now.Add(wait).After(r.closedUntil) {
		return
	}
	if r.closedFor(now) == 0 {
		r.Log.Info("endpoint_closed", zap.String("attempt", run.Offer.Attempt), zap.Duration("closed_for", wait))
	}
	r.closedUntil = now.Add(wait)
	for _, queued := range r.runs {
		if !queued.started && r.admission.Withdraw(queued.Offer.Attempt) {
			r.dropWaiting(queued, closedReason)
		}
	}
}

// retryAfter returns when a refused call may be made again: when the endpoint wants calls
// again, or else after the given time. The caller holds the lock.
func (r *Runner) retryAfter(otherwise time.Duration) time.Duration {
	if wait := r.closedFor(time.Now()); wait > 0 {
		return wait
	}
	return otherwise
}
