package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the most items in one page of a range.
const pageItems = 500

// Store is a stand-in of the platform's store for readers: ranges, keys and watches.
type Store struct {
	Address string // IP:port

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	changed  chan struct{}            // closed and replaced at each change
	delay    func() time.Duration     // how long an answer that is ready takes, nil for no delay
	refuse   func(remote string) bool // whether a caller is turned away with 503, nil for none
}

// Item is a key of the store.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// NewStore returns an empty store that listens on a free port of 127.0.0.1.
func NewStore() (*Store, error) {
	s := &Store{revision: 1, items: map[string]Item{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// SetDelay sets how long each answer takes from now on, once its content is known.
func (s *Store) SetDelay(delay func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetRefuse sets which callers are turned away from now on.
func (s *Store) SetRefuse(refuse func(remote string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// Put stores a value as JSON and returns its revision.
func (s *Store) Put(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value comes from a script
	}
	return s.write(Item{Key: key, Value: raw})
}

// Delete removes a key and returns the revision of the removal.
func (s *Store) Delete(key string) uint64 { return s.write(Item{Key: key, Deleted: true}) }

func (s *Store) write(it Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, known := s.items[it.Key]; known {
		it.Created = old.Created
	}
	delete(s.items, it.Key)
	if !it.Deleted {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// ServeHTTP serves one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refused := s.refuse != nil && s.refuse(r.RemoteAddr)
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var status int
	var answer any
	switch r.URL.Path {
	case "/kv-key":
		status, answer = s.key(r.URL.Query().Get("key"))
	case "/kv-range":
		status, answer = s.page(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	case "/kv-watch":
		status, answer = s.watch(r)
	default:
		status = http.StatusNotFound
	}
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay != nil {
		time.Sleep(delay())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *Store) key(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, known := s.items[key]
	if !known {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, it
}

func (s *Store) page(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []Item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > pageItems, "at": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := s.eventsAfter(after, q.Get("path_prefix"))
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": []Item{}, "at": at}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// eventsAfter returns the changes after a revision, the store's revision, and the channel
// that the next change closes.
func (s *Store) eventsAfter(after uint64, prefix string) (events []Item, at uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, it := range s.history[i:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}
