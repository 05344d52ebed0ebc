// Package engsrv is a stand-in (fake) model engine with an HTTP API: OpenAI-compatible
// completions plus load reports, cache events, cancel, resume and model orders.
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

	"github.com/mimosalock/mimosalock/internal/stand/engsim"
)

const (
	finishedRetention   = 30 * time.Second     // a finished stream can be resumed for this long
	idlePoll            = 2 * time.Millisecond // wait between steps of an idle engine
	promptBytesPerToken = 4
)

// Config describes one stand-in engine.
type Config struct {
	Model         string
	Engine        engsim.Config
	Seed          uint64        // of the output lengths
	LoadLag       time.Duration // age of the figures that /v1/load reports
	IgnoreFencing bool          // accept model orders with an outdated fencing number
	UnreadTimeout time.Duration // an unfinished stream without a reader is cancelled after this; 0 means 10 s
	Warm          bool          // start warm
	CrashMarker   string        // the engine crashes when it begins to answer a prompt that contains this; empty for never
	CrashDowntime time.Duration // from a crash until the engine listens again
}

// Server is one stand-in engine. It is safe for concurrent use.
type Server struct {
	cfg          Config
	mu           sync.Mutex
	changed      *sync.Cond // signals new events, ended streams and Close
	engine       *engsim.Engine
	streams      map[string]*stream
	loadHistory  []loadSample
	cacheEvents  []cacheEvent
	fence        uint64 // fencing number of the latest model order
	loadedModels []string
	submissions  map[string]int // by stream ID
	spans        []*Span
	marked       int // submissions whose prompts contain the crash marker
	crashes      int
	down         bool // crashed and not listening
	conns        map[net.Conn]struct{}
	stalled      bool
	busy         busy
	closed       bool
	boot         uint64 // random ID of this start of the engine
	http         *fasthttp.Server
	listener     net.Listener
	addr         string
}

type stream struct {
	id           string
	seq          *engsim.Seq
	chat         bool
	nonStreaming bool // answered by one response body
	includeUsage bool
	events       [][]byte // encoded SSE events, or the one response body
	text         strings.Builder
	done         bool
	canceled     bool
	doneAt       time.Time
	span         *Span // with an end of zero until it is done
	crashes      bool  // the engine crashes when it begins to answer
	readers      int
	lastRead     time.Time
}

// Span is the time for which the engine worked on a stream: until now, if it still does.
type Span struct {
	ID         string
	Start, End time.Time
}

type loadSample struct {
	at   time.Time
	load Load
}

// Load is the load report of the engine. It is older than the actual state by
// Config.LoadLag.
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
		cfg: cfg, engine: engsim.New(cfg.Engine), streams: map[string]*stream{},
		submissions: map[string]int{}, listener: ln, addr: ln.Addr().String(), boot: rand.Uint64(), loadedModels: []string{cfg.Model},
		conns: map[net.Conn]struct{}{},
	}
	if cfg.Warm {
		s.engine.SetWarm()
	}
	s.changed = sync.NewCond(&s.mu)
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0), ConnState: s.trackConn}
	go func() { _ = s.http.Serve(ln) }()
	go s.runSteps()
	return s, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.addr }

// Close stops the engine at once, as a crash does: unfinished responses break off.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.endSpans()
	s.changed.Broadcast()
	_ = s.listener.Close()
	s.mu.Unlock()
}

// SetStalled pauses or continues the step loop.
func (s *Server) SetStalled(on bool) {
	s.mu.Lock()
	s.stalled = on
	s.mu.Unlock()
}

// SetCold makes the engine cold. Its load report does not show this.
func (s *Server) SetCold() {
	s.mu.Lock()
	s.engine.SetCold()
	s.mu.Unlock()
}

// Submissions returns the number of submissions by stream ID.
func (s *Server) Submissions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.submissions))
	for id, n := range s.submissions {
		out[id] = n
	}
	return out
}

// Spans returns when the engine has worked on each stream that was submitted.
func (s *Server) Spans() []Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Span, 0, len(s.spans))
	for _, span := range s.spans {
		out = append(out, Span{ID: span.ID, Start: span.Start, End: span.End})
		if span.End.IsZero() {
			out[len(out)-1].End = time.Now()
		}
	}
	return out
}

// endSpans ends the work on all streams.
func (s *Server) endSpans() {
	for _, span := range s.spans {
		if span.End.IsZero() {
			span.End = time.Now()
		}
	}
}

// Stats returns the preemptions, the overloaded steps and the number of sequences
// that run or wait in the engine.
func (s *Server) Stats() (preemptions, overloadedSteps, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Preemptions, s.engine.OverloadedSteps, s.engine.Running() + s.engine.Waiting()
}

// runSteps runs engine steps in real time until Close.
func (s *Server) runSteps() {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		wait := idlePoll
		if !s.stalled {
			events, duration := s.engine.Step()
			s.applyEvents(events)
			if duration > 0 {
				wait = duration
			}
			s.sampleLoad(wait)
		}
		s.reapStreams(time.Now())
		s.mu.Unlock()
		time.Sleep(wait)
	}
}

func (s *Server) applyEvents(events []engsim.Event) {
	for _, ev := range events {
		st := s.streams[ev.Seq.ID]
		if st == nil {
			continue
		}
		if st.crashes {
			if ev.Seq.Produced > 1 || ev.Kind == engsim.EventFinished { // one step after the response headers
				s.crash()
				return
			}
			continue
		}
		switch ev.Kind {
		case engsim.EventToken:
			s.appendToken(st, ev.Seq.Produced-1)
		case engsim.EventFinished:
			s.finish(st)
		case engsim.EventPreempted:
		}
	}
	if len(events) > 0 {
		s.changed.Broadcast()
	}
}

// appendToken appends one token. Its text holds the generation ID and the token index,
// so that a test client detects lost, repeated or mixed-up tokens.
func (s *Server) appendToken(st *stream, index int) {
	token := fmt.Sprintf("%s:%d ", generationID(st.id, s.boot), index)
	st.text.WriteString(token)
	if st.nonStreaming {
		return
	}
	st.events = append(st.events, s.chunk(st, token, "", index == 0))
}

// generationID identifies one run of a stream on one start of the engine.
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
	st.span.End = st.doneAt
	if st.seq.Prefix != 0 && rand.IntN(10) > 0 { // drop one event in ten, as an unreliable event feed does
		s.cacheEvents = append(s.cacheEvents, cacheEvent{Number: uint64(len(s.cacheEvents) + 1), Prefix: st.seq.Prefix})
	}
}

// sampleLoad records the load at most every 20 ms and drops samples that are older
// than the reported one.
func (s *Server) sampleLoad(step time.Duration) {
	now := time.Now()
	if n := len(s.loadHistory); n > 0 && now.Sub(s.loadHistory[n-1].at) < 20*time.Millisecond {
		return
	}
	s.loadHistory = append(s.loadHistory, loadSample{at: now, load: Load{
		Boot: s.boot, Running: s.engine.Running(), Waiting: s.engine.Waiting(),
		CacheTokens: s.cfg.Engine.CacheTokens, CacheUsed: s.engine.CacheUsed(), MaxBatch: s.cfg.Engine.MaxBatch,
		Preemptions: s.engine.Preemptions, StepMillis: float64(step) / float64(time.Millisecond),
	}})
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) > s.cfg.LoadLag {
		s.loadHistory = s.loadHistory[1:]
	}
}

// reapStreams cancels streams without readers and deletes finished streams whose
// retention is over.
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
	st.span.End = st.doneAt
	s.changed.Broadcast()
}

// outputLength draws a log-normal output length in tokens, with a median near 25.
// Experiments set the length by "len=N" in the prompt.
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
