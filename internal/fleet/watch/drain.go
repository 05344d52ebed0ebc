package watch

import (
	"context"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

const (
	// drainingPollInterval is how often engines that run generations of this process are
	// asked whether they are draining while the copy of the registry is old. Endpoints
	// announce draining at least 1.5 s ahead.
	drainingPollInterval = 300 * time.Millisecond
	drainingPollTimeout  = 300 * time.Millisecond
	// The copy is old at minDrainingPollAge, and later in a large fleet, where reports
	// that it is current take longer to arrive.
	minDrainingPollAge        = 500 * time.Millisecond
	drainingPollAgePerProcess = 20 * time.Millisecond
)

// pollDraining asks the engines that run generations of this process whether they are
// draining, while the copy of the registry is old.
func (w *Watcher) pollDraining(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, drainingPollInterval)
		now := time.Now()
		if now.Sub(w.mirror.Position().AsOf) <= w.drainingPollAge(now) {
			continue
		}
		for _, e := range w.Scheduler.BusyEngines() {
			go w.checkDraining(ctx, e)
		}
	}
}

func (w *Watcher) drainingPollAge(now time.Time) time.Duration {
	age := minDrainingPollAge
	if w.peers != nil {
		age += time.Duration(w.peers.Processes(now)) * drainingPollAgePerProcess
	}
	return min(age, w.StaleAfter)
}

func (w *Watcher) checkDraining(ctx context.Context, e endpt.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, drainingPollTimeout)
	defer cancel()
	draining, err := w.Source.IsDraining(ctx, e)
	if err != nil || !draining {
		return // an endpoint that is down is detected by its failing calls
	}
	w.HearLeaving(e)
}

// HearLeaving takes note that an endpoint has said itself that it leaves.
func (w *Watcher) HearLeaving(e endpt.Endpoint) {
	w.reportChange(w.Scheduler.HearLeaving(time.Now(), e))
}
