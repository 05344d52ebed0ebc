package watch

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/routes"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
)

var errUnavailable = errors.New("registry unavailable")

// Keys of the fake registry. The value of keyTable is a version, that of keyEndpoint a
// state and the number of its last heartbeat, separated by a space.
const (
	keyTable    = "table"
	keyEndpoint = "endpoint"
	keyEvacuate = "evacuate"
)

// fakeRegistry is a Source. It holds one registry and one peer's copy of it.
type fakeRegistry struct {
	mu          sync.Mutex
	epoch       uint64
	items       map[string]mirror.Item
	history     []mirror.Item
	unavailable bool
	historyGone bool // Watch fails with ErrHistoryGone until the next List
	peer        *mirror.Mirror
	draining    bool
	reads       int    // calls of List and Watch
	onWatch     func() // called while a watch waits, may be nil
	onAnswer    func() // called while a watch's answer that holds changes is under way, may be nil
}

// update changes the fields under the lock.
func (r *fakeRegistry) update(change func(r *fakeRegistry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

func (r *fakeRegistry) revision() uint64 { return uint64(len(r.history)) }

// write adds a change. An empty value deletes the key.
func (r *fakeRegistry) write(key, value string) {
	r.update(func(r *fakeRegistry) {
		it := mirror.Item{Key: key, Value: []byte(value), Revision: r.revision() + 1, Deleted: value == ""}
		r.history = append(r.history, it)
		delete(r.items, key)
		if !it.Deleted {
			r.items[key] = it
		}
	})
}

// rewind brings the registry back as it was before its newest changes.
func (r *fakeRegistry) rewind(lost int) {
	r.update(func(r *fakeRegistry) {
		r.epoch++
		r.history = r.history[:len(r.history)-lost]
		r.items = map[string]mirror.Item{}
		for _, it := range r.history {
			delete(r.items, it.Key)
			if !it.Deleted {
				r.items[it.Key] = it
			}
		}
	})
}

func (r *fakeRegistry) List(context.Context) ([]mirror.Item, uint64, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.unavailable {
		return nil, 0, 0, errUnavailable
	}
	r.historyGone = false
	var list []mirror.Item
	for _, it := range r.items {
		list = append(list, it)
	}
	return list, r.epoch, r.revision(), nil
}

func (r *fakeRegistry) Watch(ctx context.Context, epoch, after uint64) ([]mirror.Item, uint64, error) {
	if r.onWatch != nil {
		r.onWatch()
	}
	for range 10 {
		items, revision, err := r.changes(epoch, after)
		if err != nil || len(items) > 0 {
			if r.onAnswer != nil {
				r.onAnswer()
			}
			return items, revision, err
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return nil, after, nil
}

func (r *fakeRegistry) changes(epoch, after uint64) ([]mirror.Item, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	switch {
	case r.unavailable:
		return nil, 0, errUnavailable
	case r.historyGone:
		return nil, 0, ErrHistoryGone
	case epoch != r.epoch:
		return nil, 0, ErrEpochChanged
	}
	return r.history[after:], r.revision(), nil
}

func (r *fakeRegistry) History(context.Context, uint64, uint64, int) ([]mirror.Item, error) {
	return nil, ErrHistoryGone
}

func (r *fakeRegistry) FromPeer(_ context.Context, _ string, epoch, cursor uint64) (mirror.Delta, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peer.Since(epoch, cursor), nil
}

func (r *fakeRegistry) IsDraining(context.Context, endpt.Endpoint) (draining bool, err error) {
	r.update(func(r *fakeRegistry) { draining = r.draining })
	return draining, nil
}

func (r *fakeRegistry) IsRenewal(before, after mirror.Item) bool {
	return meaning(before) == meaning(after)
}

// meaning returns an item's value without the heartbeat.
func meaning(it mirror.Item) string {
	value, _, _ := strings.Cut(string(it.Value), " ")
	return value
}

func (r *fakeRegistry) Decode(it mirror.Item) Event {
	switch {
	case it.Key == keyEvacuate:
		return DataCentreChanged{DataCentre: "a1", OutOfService: !it.Deleted}
	case it.Key == keyEndpoint && it.Deleted:
		return EndpointRemoved{ID: "e", Revision: it.Revision}
	case it.Key == keyEndpoint:
		e := endpoint()
		e.Draining, e.Revision = meaning(it) == "draining", it.Revision
		return EndpointPut{Endpoint: e}
	case it.Key == keyTable:
		version, _ := strconv.ParseUint(string(it.Value), 10, 64)
		return TablePut{routes.New(routes.Parts{Version: version})}
	}
	return nil
}
