package watch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// historyTimeout bounds the wait for the registry's history: a caller waits for it.
const historyTimeout = 500 * time.Millisecond

// historyInterval is the least time between two reads of the history, and for how long one of them
// is used.
const historyInterval = time.Second

// history is which versions of the software the registry's history holds, as last read.
type history struct {
	mu       sync.Mutex
	readAt   time.Time
	versions map[string][]string // by service; nil if it could not be read
}

// OnlySoftware returns the only version of a service that the registry lists or held until
// just now. ok is false if there were several or the history is gone. It is meant for processes
// that have just started or are out of step: others know the versions themselves.
func (w *Watcher) OnlySoftware(ctx context.Context, service string) (software string, ok bool) {
	versions := w.historicalSoftware(ctx, service)
	listed, known := w.Scheduler.OnlyListedSoftware(time.Now(), service)
	if len(versions) != 1 || !known || versions[0] != listed {
		return "", false
	}
	return listed, true
}

func (w *Watcher) historicalSoftware(ctx context.Context, service string) []string {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	if w.history.readAt.IsZero() || time.Since(w.history.readAt) >= historyInterval {
		w.history.readAt = time.Now()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), historyTimeout)
		defer cancel()
		w.history.versions = w.readHistory(ctx)
	}
	return w.history.versions[service]
}

// readHistory returns the versions in the registry's history by service, nil if it is gone.
func (w *Watcher) readHistory(ctx context.Context) map[string][]string {
	position := w.mirror.Position()
	items, err := w.Source.History(ctx, position.Epoch, position.Cursor, w.Scheduler.Listed())
	if err != nil {
		w.Log.Info("registry_history_unknown", zap.Uint64("revision", position.Cursor), zap.Error(err))
		return nil
	}
	versions := map[string][]string{}
	for _, it := range items {
		if e, isPut := w.Source.Decode(it).(EndpointPut); isPut {
			versions[e.Endpoint.Service] = appendNew(versions[e.Endpoint.Service], e.Endpoint.Software)
		}
	}
	w.Log.Info("registry_history_read", zap.Uint64("revision", position.Cursor), zap.Int("items", len(items)), zap.Any("versions", versions))
	return versions
}

func appendNew(list []string, s string) []string {
	for _, known := range list {
		if known == s {
			return list
		}
	}
	return append(list, s)
}
