// Package engsrv serves the stand-in model engine over HTTP: an
// OpenAI-compatible surface plus load, cache events, cancel, resume and orders.
// docs/PLATFORM.md describes the protocol.
package engsrv

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/stand/model"
)

const (
	finishedRetention = 30 * time.Second // how long a finished stream can be resumed
	idlePoll          = 2 * time.Millisecond
	charsPerToken     = 4
)

// Config describes one stand-in engine.
type Config struct {
	Model         string
	Engine        model.Config
	Seed          uint64
	LoadLag       time.Duration // age of the figures that /v1/load reports
	IgnoreFencing bool          // accept orders with an old fencing number
	UnreadTimeout time.Duration // a stream that nobody reads is aborted after this
	Warm          bool          // start warm
}

// Server is one stand-in engine. Every exported method is safe for concurrent
// use.
type Server struct {
	cfg          Config
	mu           sync.Mutex
	changed      *sync.Cond
	engine       *model.Engine
	streams      map[string]*stream
	loadHistory  []loadSample
	cacheEvents  []cacheEvent
	fence        uint64
	loadedModels []string
	submissions  map[string]int
	stalled      bool
	closed       bool
	boot         uint64
	http         *fasthttp.Server
	listener     net.Listener
}

type stream struct {
	id           string
	seq          *model.Seq
	chat         bool
	nonStreaming bool
	includeUsage bool
	events       [][]byte
	text         strings.Builder
	done         bool
	canceled     bool
	doneAt       time.Time
	readers      int
	lastRead     time.Time
}

type loadSample struct {
	at   time.Time
	load Load
}

// Load is the report that the engine publishes, late.
type Load struct {
	Boot        uint64  `json:"boot"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	CacheTokens int     `json:"cache_tokens"`
	CacheUsed   int     `json:"cache_used"`
	MaxBatch    int     `json:"max_batch"`
	Preemptions int     `json:"preemptions"`
	StepMillis  float64 `json:"step_ms"`
}

type cacheEvent struct {
	Number uint64 `json:"number"`
	Prefix uint64 `json:"prefix"`
}

// New starts a stand-in engine on the address.
func New(addr string, cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in engine: listen on %s: %w", addr, err)
	}
	if cfg.UnreadTimeout == 0 {
		cfg.UnreadTimeout = 10 * time.Second
	}
	s := &Server{
		cfg: cfg, engine: model.New(cfg.Engine), streams: map[string]*stream{},
		submissions: map[string]int{}, listener: ln, boot: rand.Uint64(), loadedModels: []string{cfg.Model},
	}
	if cfg.Warm {
		s.engine.WarmUp()
	}
	s.changed = sync.NewCond(&s.mu)
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0)}
	go func() { _ = s.http.Serve(ln) }()
	go s.runSteps()
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the engine at once, as a crash does: every connection breaks.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.mu.Unlock()
	_ = s.listener.Close()
}

// Stall stops or restarts the step loop.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	s.stalled = on
	s.mu.Unlock()
}

// Chill makes the engine cold without any report of it.
func (s *Server) Chill() {
	s.mu.Lock()
	s.engine.Chill()
	s.mu.Unlock()
}

// Seen returns how often each stream ID was submitted.
func (s *Server) Seen() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.submissions))
	for id, n := range s.submissions {
		out[id] = n
	}
	return out
}

// Stats returns the engine's preemptions, overloaded steps and running count.
func (s *Server) Stats() (preemptions, overloads, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Preemptions, s.engine.Overloads, s.engine.Running() + s.engine.Waiting()
}

func (s *Server) runSteps() {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		wait := idlePoll
		if !s.stalled {
			events, dur := s.engine.Step()
			s.applyEvents(events)
			if dur > 0 {
				wait = dur
			}
			s.sampleLoad(wait)
		}
		s.reapStreams(time.Now())
		s.mu.Unlock()
		time.Sleep(wait)
	}
}

func (s *Server) applyEvents(events []model.Event) {
	for _, ev := range events {
		st := s.streams[ev.Seq.ID]
		if st == nil {
			continue
		}
		switch ev.Kind {
		case model.EventToken:
			s.appendToken(st, ev.Seq.Produced-1)
		case model.EventFinished:
			s.finish(st)
		case model.EventPreempted:
		}
	}
	if len(events) > 0 {
		s.changed.Broadcast()
	}
}

// appendToken appends one token. Its text names the generation and the index, so that
// a caller can prove that nothing was lost, repeated or spliced.
func (s *Server) appendToken(st *stream, index int) {
	token := fmt.Sprintf("%s:%d ", generationID(st.id, s.boot), index)
	st.text.WriteString(token)
	if st.nonStreaming {
		return
	}
	st.events = append(st.events, s.chunk(st, token, "", index == 0))
}

// generationID names one run of one stream on one engine process.
func generationID(id string, boot uint64) string {
	return fmt.Sprintf("g%08x", uint32(xxhash.Sum64String(fmt.Sprintf("%s/%d", id, boot))))
}

func (s *Server) finish(st *stream) {
	if st.nonStreaming {
		st.events = append(st.events, s.responseBody(st))
	} else {
		st.events = append(st.events, s.chunk(st, "", "stop", false))
		if st.includeUsage {
			st.events = append(st.events, s.usageChunk(st))
		}
	}
	st.done = true
	st.doneAt = time.Now()
	if st.seq.Prefix != 0 && rand.IntN(10) > 0 { // one event in ten is lost
		s.cacheEvents = append(s.cacheEvents, cacheEvent{Number: uint64(len(s.cacheEvents) + 1), Prefix: st.seq.Prefix})
	}
}

func (s *Server) sampleLoad(step time.Duration) {
	now := time.Now()
	if n := len(s.loadHistory); n > 0 && now.Sub(s.loadHistory[n-1].at) < 20*time.Millisecond {
		return
	}
	s.loadHistory = append(s.loadHistory, loadSample{at: now, load: Load{
		Boot: s.boot, Running: s.engine.Running(), Waiting: s.engine.Waiting(),
		CacheTokens: s.cfg.Engine.CacheTokens, CacheUsed: s.engine.Used(), MaxBatch: s.cfg.Engine.MaxBatch,
		Preemptions: s.engine.Preemptions, StepMillis: float64(step) / float64(time.Millisecond),
	}})
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) > s.cfg.LoadLag {
		s.loadHistory = s.loadHistory[1:]
	}
}

// reapStreams aborts streams that nobody reads and forgets old finished ones.
func (s *Server) reapStreams(now time.Time) {
	for id, st := range s.streams {
		idle := st.readers == 0
		switch {
		case st.done && now.Sub(st.doneAt) > finishedRetention:
			delete(s.streams, id)
		case !st.done && idle && now.Sub(st.lastRead) > s.cfg.UnreadTimeout:
			s.cancel(st)
		}
	}
}

func (s *Server) cancel(st *stream) {
	if st.done {
		return
	}
	s.engine.Remove(st.seq)
	st.done = true
	st.canceled = true
	st.doneAt = time.Now()
	s.changed.Broadcast()
}

// outputLength draws a heavy-tailed output length. A prompt that holds
// "len=N" fixes it, which lets experiments choose.
func outputLength(prompt string, seed uint64) int {
	if _, after, ok := strings.Cut(prompt, "len="); ok {
		n := 0
		if _, err := fmt.Sscanf(after, "%d", &n); err == nil && n > 0 {
			return n
		}
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt)))
	return 1 + int(math.Exp(rng.NormFloat64()*1.1+3.2))
}

func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("stand-in engine: encode %T: %v", v, err))
	}
	return b
}
