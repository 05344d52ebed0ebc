package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: the calls that the pages name, and no others.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	storePage  = 500
	storeDelay = 4 * time.Millisecond // of an answer, as on the sheet
)

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value as JSON. Its return is the ack.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: raw, Revision: s.revision, Created: s.revision}
	if before, known := s.items[key]; known {
		it.Created = before.Created
	}
	s.items[key] = it
	s.tell(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.tell(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

// tell requires s.mu.
func (s *store) tell(it storeItem) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call of a gateway.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		it, known := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease_id": 0, "at": at})
	case "/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []storeItem{}
	for _, key := range keys[:min(storePage, len(keys))] {
		items = append(items, s.items[key])
	}
	reply(w, map[string]any{"items": items, "has_more": len(keys) > storePage, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events, at, changed := []storeItem{}, s.revision, s.changed
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the gateway may be gone
}
