package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine adds to a worker the streams of a model worker and the moves of their memory.
type Engine struct {
	Events int           // in each stream, with increasing ids from 1
	Pause  time.Duration // before each event
	// CopyTime is how long a copy of a stream's whole memory takes, if no other one is under way.
	CopyTime time.Duration
	Find     func(address string) *Engine // finds the engine at an address
	Record   *Record
	ID       string

	copying sync.Mutex // transfers run one after another
	mu      sync.Mutex
	running map[string]*stream // by attempt ID
	copies  map[string]int     // events made, by handle of a copy that was moved here
	last    *Engine            // the target of the last move that was asked for
}

// stream is one running stream.
type stream struct {
	made    int
	copied  bool // it was copied once, so that a further copy is short
	stopped chan struct{}
	stop    sync.Once // closes stopped
	ended   chan struct{}
}

// Attach makes the worker an engine.
func (e *Engine) Attach(w *Worker) *Worker {
	e.ID, e.running, e.copies = w.ID, map[string]*stream{}, map[string]int{}
	w.Engine, w.Answer, w.Other, w.Refuse = true, e.answer, e.other, e.refuse
	return w
}

// Target returns the engine that the last move was to go to, nil if there was none.
func (e *Engine) Target() *Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// Running returns the number of running streams.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// handleOf returns the handle that a request goes on from, empty if it begins anew.
func handleOf(r *http.Request) string {
	_, handle, _ := strings.Cut(r.Header.Get("Kv-From"), "/")
	return handle
}

// refuse reports whether a request names a copy that is not here.
func (e *Engine) refuse(r *http.Request) bool {
	handle := handleOf(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.copies[handle]
	return handle != "" && !known
}

func (e *Engine) answer(out http.ResponseWriter, r *http.Request, id string) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s := &stream{made: last, stopped: make(chan struct{}), ended: make(chan struct{})}
	e.mu.Lock()
	delete(e.copies, handleOf(r))
	e.running[id] = s
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.running[id] == s {
			delete(e.running, id)
		}
		e.mu.Unlock()
		close(s.ended)
	}()
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	for n := last + 1; n <= e.Events; n++ {
		select {
		case <-time.After(e.Pause):
		case <-s.stopped:
			panic(http.ErrAbortHandler) // the stream is closed without its end
		case <-r.Context().Done():
			return true
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", n, id, n, e.Events)
		_ = controller.Flush()
		e.mu.Lock()
		s.made = n
		e.mu.Unlock()
	}
	return true
}

// other serves the calls for moves.
func (e *Engine) other(out http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.URL.Path == "/kv-move":
		e.move(out, r)
		return true
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.mu.Lock()
		delete(e.copies, strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
		e.mu.Unlock()
		return true
	}
	return false
}

func (e *Engine) move(out http.ResponseWriter, r *http.Request) {
	var m struct {
		ID    string `json:"id"`
		To    string `json:"to"`
		Final bool   `json:"final"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	target := e.Find(m.To)
	e.mu.Lock()
	s := e.running[m.ID]
	e.last = target
	e.mu.Unlock()
	switch {
	case s == nil:
		out.WriteHeader(http.StatusNotFound)
		return
	case target == nil:
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if m.Final {
		s.stop.Do(func() { close(s.stopped) })
		<-s.ended
	}
	e.copying.Lock()
	took := e.CopyTime
	if s.copied {
		took /= 100
	}
	time.Sleep(took)
	s.copied = true
	e.copying.Unlock()
	e.mu.Lock()
	made := s.made
	e.mu.Unlock()
	handle := "h-" + m.ID
	target.mu.Lock()
	target.copies[handle] = made
	target.mu.Unlock()
	e.Record.Printf("%s copies the memory of %s to %s, final %v, after event %d", e.ID, m.ID, target.ID, m.Final, made)
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"kv_handle": handle, "created": made})
}
