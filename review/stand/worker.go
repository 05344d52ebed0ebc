package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a worker's entry, heartbeat_ms in the settings.
const heartbeat = 1200 * time.Millisecond

// Worker is a stand-in of a worker. It keeps to the worker's part of the protocol, and
// deviates from that of a sound worker only by Answer.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Engine  bool          // it answers with a stream of events
	Events  int           // in each stream, with increasing ids from 1
	Pause   time.Duration // before each event, or before the answer of a plain worker
	// Answer may answer a request that runs in another way. It returns false if it did not.
	Answer func(w http.ResponseWriter, r *http.Request, id string) bool
	// Other may serve a request that is no caller's. It returns false if it did not.
	Other func(w http.ResponseWriter, r *http.Request) bool
	// Refuse reports whether a request is not run, nil for none.
	Refuse func(r *http.Request) bool

	Record  *Record
	Store   *Store
	Address string

	mu      sync.Mutex
	born    int64
	state   string
	stopped chan struct{}
	closing sync.Once
	server  *http.Server
	runs    []Run
	beats   uint64
}

// Run is a request that a worker began to work on.
type Run struct {
	ID     string
	Worker string
	At     time.Time
	Tenant string
}

// Start listens on a free port of 127.0.0.1 and registers the worker in the store.
func (w *Worker) Start() error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.Address, w.born, w.state, w.stopped = ln.Addr().String(), time.Now().UnixMilli(), "ready", make(chan struct{})
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(ln) }()
	w.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.beat()
			case <-w.stopped:
				return
			}
		}
	}()
	return nil
}

// beat writes the worker's entry.
func (w *Worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stopped:
		return
	default:
	}
	w.beats++
	w.Store.Put("servers/"+w.ID, map[string]any{
		"backend": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "batch_slots": w.Slots,
		"state": w.state, "cold_remaining_ms": 0, "sequence": w.beats, "born": w.born,
	})
}

// Drain makes the worker report that it is draining. It goes on serving.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.beat()
}

// Runs returns the requests that ran, oldest first.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Close ends the worker at once, as a crash does. Further calls have no effect.
func (w *Worker) Close() {
	w.closing.Do(func() {
		close(w.stopped)
		_ = w.server.Close()
	})
}

// ServeHTTP serves one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(out, `{"phase":"unified","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":34206,"kv_handles":0}`)
		return
	}
	if w.Other != nil && w.Other(out, r) {
		return
	}
	id := r.Header.Get("Attempt-Id")
	_, err := io.Copy(io.Discard, r.Body)
	h := out.Header()
	h.Set("Instance-Id", w.ID)
	h.Set("Keep-Alive", "timeout=10")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case id == "" || err != nil:
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != w.ID:
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case w.Refuse != nil && w.Refuse(r):
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := Run{ID: id, Worker: w.ID, At: time.Now(), Tenant: r.Header.Get("Tenant-Id")}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.Record.Printf("worker %s runs %s (%s %s)", w.ID, id, r.Method, r.URL.Path)
	h.Set("Server-Stamp", "stamp."+w.ID+"."+id)
	switch {
	case w.Answer != nil && w.Answer(out, r, id):
	case w.Engine:
		w.stream(r.Context(), out, id)
	default:
		select {
		case <-time.After(w.Pause):
			_, _ = fmt.Fprintf(out, "answer of %s to %s\n", w.ID, id)
		case <-r.Context().Done():
		}
	}
}

func (w *Worker) stream(ctx context.Context, out http.ResponseWriter, id string) {
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	for n := 1; n <= w.Events; n++ {
		select {
		case <-time.After(w.Pause):
		case <-ctx.Done():
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", n, id, n, w.Events)
		_ = controller.Flush()
	}
}
