package engsrv

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/stand/engsim"
)

// prefixBytes is the length in bytes of the part of a prompt that is treated as its
// shared prefix.
const prefixBytes = 256

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions" || path == "/v1/completions":
		s.serveCompletion(ctx, path == "/v1/chat/completions")
	case path == "/v1/models":
		reply(ctx, 200, map[string]any{"object": "list", "data": []map[string]any{{"id": s.cfg.Model, "object": "model"}}})
	case path == "/v1/load":
		s.serveLoad(ctx)
	case path == "/v1/cache_events":
		s.serveCacheEvents(ctx)
	case path == "/v1/orders":
		s.serveOrder(ctx)
	case path == "/v1/streams":
		s.serveStreamList(ctx)
	case strings.HasPrefix(path, "/v1/streams/"):
		s.serveStream(ctx, strings.TrimPrefix(path, "/v1/streams/"))
	default:
		fail(ctx, 404, "not_found", "no such path: "+path)
	}
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(marshal(v))
}

func fail(ctx *fasthttp.RequestCtx, status int, kind, msg string) {
	var e apiError
	e.Error.Type, e.Error.Message = kind, msg
	reply(ctx, status, e)
}

func (s *Server) serveCompletion(ctx *fasthttp.RequestCtx, chat bool) {
	if s.refuseIfBusy(ctx) {
		return
	}
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		fail(ctx, 400, "invalid_request_error", err.Error())
		return
	}
	s.mu.Lock()
	loaded := slices.Contains(s.loadedModels, req.Model)
	s.mu.Unlock()
	if !loaded {
		fail(ctx, 404, "invalid_request_error", fmt.Sprintf("model %q is not loaded", req.Model))
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if id == "" {
		id = strconv.FormatUint(uint64(time.Now().UnixNano()), 36)
	}
	st := s.submit(id, &req, chat)
	if req.Stream {
		s.sendStream(ctx, st, 0)
		return
	}
	s.sendResponse(ctx, st)
}

// submit queues a generation in the engine.
func (s *Server) submit(id string, req *completionRequest, chat bool) *stream {
	text := req.promptText()
	shared := min(len(text), prefixBytes)
	seq := &engsim.Seq{
		ID: id, Prompt: 1 + len(text)/promptBytesPerToken, Priority: req.Priority,
		Prefix: xxhash.Sum64String(text[:shared]), PrefixTokens: shared / promptBytesPerToken,
		Length: req.limitLength(outputLength(text, s.cfg.Seed)),
	}
	st := &stream{id: id, seq: seq, chat: chat, nonStreaming: !req.Stream, includeUsage: req.StreamOptions.IncludeUsage, lastRead: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submissions[id]++
	if s.cfg.CrashMarker != "" && strings.Contains(text, s.cfg.CrashMarker) {
		s.marked++
		st.crashes = true
	}
	st.span = &Span{ID: id, Start: time.Now()}
	if s.closed { // a connection that was accepted before
		st.span.End = st.span.Start
	}
	s.spans = append(s.spans, st.span)
	s.streams[id] = st
	s.engine.Add(seq)
	return st
}

// nextEvent waits for event i of the stream. It returns nil and true after the last
// event of a complete stream, and nil and false if the stream was cancelled or the
// engine closed.
func (s *Server) nextEvent(st *stream, i int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(st.events) <= i && !st.done && !s.closed {
		s.changed.Wait()
	}
	if len(st.events) > i && !s.closed {
		return st.events[i], true
	}
	return nil, st.done && !st.canceled && !s.closed
}

// addReaders changes the number of readers of a stream by delta.
func (s *Server) addReaders(st *stream, delta int) {
	s.mu.Lock()
	st.readers += delta
	st.lastRead = time.Now()
	s.mu.Unlock()
}

// sendStream sends the events of a stream, beginning with event from, as SSE.
func (s *Server) sendStream(ctx *fasthttp.RequestCtx, st *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	s.addReaders(st, 1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.addReaders(st, -1)
		for i := from; ; i++ {
			ev, ok := s.nextEvent(st, i)
			if !ok {
				_ = conn.Close() // without the final chunk, so a crash or cancel is not taken for a complete response
				return
			}
			if ev == nil {
				_, _ = w.WriteString("data: [DONE]\n\n")
				_ = w.Flush()
				return
			}
			_, _ = w.WriteString("data: ")
			_, _ = w.Write(ev)
			_, _ = w.WriteString("\n\n")
			if w.Flush() != nil {
				return
			}
		}
	})
}

// sendResponse waits for the body of a non-streaming response and sends it.
func (s *Server) sendResponse(ctx *fasthttp.RequestCtx, st *stream) {
	s.addReaders(st, 1)
	defer s.addReaders(st, -1)
	body, ok := s.nextEvent(st, 0)
	if !ok || body == nil {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loadHistory) == 0 {
		reply(ctx, 200, Load{Boot: s.boot, CacheTokens: s.cfg.Engine.CacheTokens, MaxBatch: s.cfg.Engine.MaxBatch})
		return
	}
	reply(ctx, 200, s.loadHistory[0].load)
}

func (s *Server) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []cacheEvent{}
	for _, ev := range s.cacheEvents {
		if ev.Number > after {
			out = append(out, ev)
		}
	}
	reply(ctx, 200, out)
}

// Order is a model order: it tells the engine which models to load. An order with a
// lower fencing number than the latest one is rejected.
type Order struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
}

func (s *Server) serveOrder(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsGet() {
		reply(ctx, 200, Order{Fence: s.fence, Models: s.loadedModels})
		return
	}
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		fail(ctx, 400, "invalid_request_error", err.Error())
		return
	}
	if o.Fence < s.fence && !s.cfg.IgnoreFencing {
		fail(ctx, 409, "stale_fence", fmt.Sprintf("fence %d is below %d", o.Fence, s.fence))
		return
	}
	s.fence, s.loadedModels = o.Fence, o.Models
	reply(ctx, 200, o)
}

// RunningStream is one entry of the list of unfinished streams.
type RunningStream struct {
	ID       string `json:"id"`
	Prompt   int    `json:"prompt_tokens"`
	Produced int    `json:"produced_tokens"`
}

func (s *Server) serveStreamList(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []RunningStream{}
	for id, st := range s.streams {
		if !st.done {
			out = append(out, RunningStream{ID: id, Prompt: st.seq.Prompt, Produced: st.seq.Produced})
		}
	}
	reply(ctx, 200, out)
}

// serveStream serves GET ID?from=N, which resumes a stream at event N, and POST
// ID/cancel.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, rest string) {
	id, cancel := strings.CutSuffix(rest, "/cancel")
	s.mu.Lock()
	st := s.streams[id]
	if st != nil && cancel {
		s.cancel(st)
	}
	s.mu.Unlock()
	switch {
	case st == nil:
		fail(ctx, 404, "not_found", "no such stream")
	case cancel:
		ctx.SetStatusCode(204)
	case s.refuseIfBusy(ctx):
	case st.nonStreaming:
		s.sendResponse(ctx, st)
	default:
		s.sendStream(ctx, st, ctx.QueryArgs().GetUintOrZero("from"))
	}
}
