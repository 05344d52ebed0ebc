package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
)

const (
	// restoreTime is how long after the beginning of an epoch a change may only be due to the
	// registry's older copy. Whoever wrote what is lost writes it again within that time, and
	// entries of endpoints that have left expire.
	restoreTime = 6 * time.Second
	// maxEvacuationHold bounds how long a data centre stays out of service though the registry
	// does not list it as evacuated.
	maxEvacuationHold = 15 * time.Second
)

// beginEpoch takes note that the registry came back from an older copy. The routing table in
// force, evacuated data centres and endpoints that have left are known better than by that
// copy; endpoints that it lacks get time to register again.
func (w *Watcher) beginEpoch(now time.Time, before, p mirror.Position) {
	w.epochAt = now
	w.Scheduler.BeginEpoch(now, restoreTime)
	w.mu.Lock()
	if until := now.Add(graceAfterOutage); until.After(w.graceUntil) {
		w.graceUntil = until
	}
	w.mu.Unlock()
	w.Log.Warn("registry_rewound", zap.Uint64("epoch", p.Epoch), zap.Uint64("revision", p.Cursor),
		zap.Uint64("previous_epoch", before.Epoch), zap.Uint64("previous_revision", before.Cursor), zap.String("reader", p.Reader))
}

// holdsEvacuation reports whether the event is ignored for now, because it puts a data
// centre back into service that the older copy does not list as evacuated.
func (w *Watcher) holdsEvacuation(now time.Time, e DataCentreChanged) bool {
	if e.OutOfService || w.epochAt.IsZero() || now.Sub(w.epochAt) >= restoreTime {
		delete(w.heldEvacuations, e.DataCentre)
		return false
	}
	w.heldEvacuations[e.DataCentre] = now.Add(maxEvacuationHold)
	w.Log.Info("evacuation_held", zap.String("data_centre", e.DataCentre), zap.Duration("at_most", maxEvacuationHold))
	return true
}

// endHeldEvacuations puts data centres back into service that nobody has evacuated again.
func (w *Watcher) endHeldEvacuations(now time.Time) {
	w.applying.Lock()
	defer w.applying.Unlock()
	for dataCentre, until := range w.heldEvacuations {
		if now.After(until) {
			delete(w.heldEvacuations, dataCentre)
			w.applyEvent(DataCentreChanged{DataCentre: dataCentre})
		}
	}
}
