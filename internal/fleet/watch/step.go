package watch

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxInStepAge is the age of the copy up to which this process knows of what has begun
	// elsewhere, and the time within which a peer must have been heard if the copy is older.
	maxInStepAge = time.Second
	// pauseThreshold is the time without a tick after which this process has stood still.
	pauseThreshold = 500 * time.Millisecond
	// settleTime is how long after that what arrived meanwhile may still be taken for new.
	settleTime = 500 * time.Millisecond
)

// awake tells when this process stood still.
type awake struct {
	mu       sync.Mutex
	lastTick time.Time
	wokeAt   time.Time
}

// tick records that the process runs.
func (a *awake) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lastTick.IsZero() && now.Sub(a.lastTick) > pauseThreshold {
		a.wokeAt = now
	}
	a.lastTick = now
}

// stoodStill reports whether the process has just stood still.
func (a *awake) stoodStill(now time.Time) bool {
	a.tick(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.wokeAt.IsZero() && now.Sub(a.wokeAt) < settleTime
}

// CurrentSoftware returns the version of a service's software if there has been no other for a
// while. ok is false if there may be one that this process does not know of: it has not followed
// the registry for long, or is out of step with the others.
func (w *Watcher) CurrentSoftware(service string) (software string, ok bool) {
	now := time.Now()
	if !w.inStep(now) {
		w.Log.Info("out_of_step", zap.Duration("age", now.Sub(w.mirror.Position().AsOf)), zap.String("service", service))
		return "", false
	}
	return w.Scheduler.OnlySoftware(now, service)
}

// inStep reports whether this process knows of an endpoint by the time that others send to it. During
// an outage of the registry no process learns of one, as long as those in touch agree.
func (w *Watcher) inStep(now time.Time) bool {
	if w.awake.stoodStill(now) {
		return false
	}
	p := w.mirror.Position()
	if now.Sub(p.AsOf) <= maxInStepAge {
		return true
	}
	if w.peers == nil || !w.peers.InTouch(now, maxInStepAge) {
		return false
	}
	_, newer := w.peers.Newer(now, p.Version(), maxPeerAge)
	return !newer
}
