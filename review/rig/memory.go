package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memories are the runs of an engine that can be moved, and the copies that it holds.
type memories struct {
	copyTime time.Duration

	mu     sync.Mutex
	runs   map[string]*generation
	copies map[string]bool // by handle
	moved  map[string]bool // runs that a final move has stopped
}

// generation is a run.
type generation struct {
	stop    chan struct{}
	created atomic.Int64    // events
	moving  bool            // a call for it is in progress; guarded by memories.mu
	copied  map[string]bool // targets of earlier calls; used by the call in progress
}

func (m *memories) begin(id string) *generation {
	g := &generation{stop: make(chan struct{}), copied: map[string]bool{}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id] = g
	return g
}

func (m *memories) end(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.runs, id)
}

func (m *memories) wasMoved(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moved[id]
}

// use takes the copy that a request goes on from. It returns false if there is none.
func (m *memories) use(from string) bool {
	if from == "" {
		return true
	}
	_, handle, _ := strings.Cut(from, "/")
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.copies[handle]
	delete(m.copies, handle)
	return held
}

// copyPath is the stand-ins' own way of handing a copy over.
const copyPath = "/copied-here/"

// serve serves the calls about memory. It returns false for other requests.
func (m *memories) serve(w http.ResponseWriter, r *http.Request) bool {
	handle, isCopy := strings.CutPrefix(r.URL.Path, copyPath)
	switch {
	case isCopy:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.copies[handle] = true
	case r.URL.Path == "/kv-move":
		m.move(w, r)
	case r.Method == http.MethodDelete:
		m.use("x/" + r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	default:
		return false
	}
	return true
}

func (m *memories) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID, To string
		Final  bool
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	g := m.runs[order.ID]
	if g == nil || g.moving {
		m.mu.Unlock()
		status := http.StatusNotFound
		if g != nil {
			status = http.StatusConflict
		}
		w.WriteHeader(status)
		return
	}
	g.moving = true
	m.mu.Unlock()
	handle := "h" + order.ID
	if order.Final {
		m.mu.Lock()
		m.moved[order.ID] = true
		m.mu.Unlock()
		close(g.stop)
	} else if !g.copied[order.To] {
		g.copied[order.To] = true // later calls copy only what is new
		time.Sleep(m.copyTime)
	}
	resp, err := (&http.Client{Timeout: time.Second}).Post("http://"+order.To+copyPath+handle, "text/plain", &bytes.Buffer{})
	if err == nil {
		_ = resp.Body.Close()
	}
	m.mu.Lock()
	g.moving = false
	m.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		if order.Final {
			reply(w, map[string]any{"kv_handle": handle, "created": g.created.Load()})
		}
		return
	}
	reply(w, map[string]any{"kv_handle": handle, "created": g.created.Load()})
}
