package engsrv

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// busy is the state of an engine that refuses completions and resumes.
type busy struct {
	on         bool
	retryAfter time.Duration
	refused    []time.Time
}

// SetBusy makes the engine refuse completions and resumes with status 503, or accept them
// again. The refusals carry a Retry-After header unless retryAfter is 0.
func (s *Server) SetBusy(on bool, retryAfter time.Duration) {
	s.mu.Lock()
	s.busy.on, s.busy.retryAfter = on, retryAfter
	s.mu.Unlock()
}

// Refused returns when the engine refused requests because it was busy.
func (s *Server) Refused() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.busy.refused...)
}

// refuseIfBusy refuses a request if the engine is busy, and reports whether it did.
func (s *Server) refuseIfBusy(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy.on {
		return false
	}
	s.busy.refused = append(s.busy.refused, time.Now())
	if s.busy.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(s.busy.retryAfter.Seconds())))
	}
	fail(ctx, fasthttp.StatusServiceUnavailable, "overloaded", "the engine is busy")
	return true
}
