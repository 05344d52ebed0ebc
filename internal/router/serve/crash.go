package serve

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/blame"
)

// provenAfter is how long a stream goes on after its first event until its prompt counts
// as answered. An engine may crash shortly after it begins.
const provenAfter = time.Second

// maxCrashesPerCall is how many endpoints may crash under one call until it is not sent to
// another. Calls that were only under way at a crash rarely meet a second one.
const maxCrashesPerCall = 2

// answerInterval is how often a stream that goes on is recorded as an answer, which clears
// its prompt of the crashes before.
const answerInterval = time.Second

// wholeOf returns the call itself as a part, for the calls that are sent again.
func wholeOf(call *desc.Call) []blame.Part { return []blame.Part{blame.Part(call.Fingerprint)} }

// partsOf returns the prompt parts that the call shares with others.
func partsOf(call *desc.Call) []blame.Part {
	return lo.Map(call.PromptParts, func(id string, _ int) blame.Part { return blame.KeyOf(id) })
}

// checkTimeout bounds how long a lost send waits to learn what became of its endpoint. It is
// a few round trips between regions.
const checkTimeout = 150 * time.Millisecond

// checkCrash reports whether an endpoint that broke off a call serves nobody any more, and
// records the crash. Calls that break off together ask once. sent is when the endpoint was sent
// the call.
func (s *Server) checkCrash(ctx context.Context, call *desc.Call, endpoint endpt.Endpoint, sent time.Time, cause error) bool {
	if ctx.Err() != nil || !httpc.IsBroken(cause) && !httpc.IsInvalid(cause) {
		return false
	}
	began := time.Now()
	v, _, _ := s.checks.Do(endpoint.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		return s.Upstream.Closed(ctx, endpoint), nil
	})
	down := v.(bool)
	state := "up"
	if down {
		state = "down"
	}
	s.Metrics.LostSends.WithLabelValues(state).Inc()
	s.Log.Info("endpoint_checked", zap.String("id", call.ID), zap.String("endpoint", endpoint.ID), zap.String("address", endpoint.Address),
		zap.Int64("started_ms", endpoint.StartedMs), zap.String("found", state), zap.Duration("took", time.Since(began)), zap.Duration("ran", began.Sub(sent)), fingerprintField(call))
	if down && call.Fingerprint != 0 {
		s.Blame.RecordCrash(began, began.Sub(sent), endpoint.ID, endpoint.StartedMs, wholeOf(call))
	}
	return down
}

// fingerprintField returns the log field that is the same for all sends of one request.
func fingerprintField(call *desc.Call) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(call.Fingerprint, 16))
}

// recordCrash records that an engine broke off a call's response after its head and
// before its first event. sent is when the engine was sent the call.
func (s *Server) recordCrash(call *desc.Call, engine endpt.Endpoint, sent time.Time) {
	if len(call.PromptParts) == 0 {
		return
	}
	now := time.Now()
	s.Metrics.EarlyBreaks.Inc()
	s.Log.Warn("response_broken_at_start", zap.String("id", call.ID), zap.String("endpoint", engine.ID), zap.Strings("prompt_parts", call.PromptParts), zap.Duration("ran", now.Sub(sent)))
	s.Blame.RecordCrash(now, now.Sub(sent), engine.ID, engine.StartedMs, partsOf(call))
}

// recordAnswer records that an engine has answered a call.
func (s *Server) recordAnswer(call *desc.Call) {
	if len(call.PromptParts) > 0 {
		s.Blame.RecordAnswer(time.Now(), partsOf(call))
	}
	s.recordRun(call)
}

// recordRun records that an endpoint has run a call and has not crashed.
func (s *Server) recordRun(call *desc.Call) {
	if call.Fingerprint != 0 {
		s.Blame.RecordAnswer(time.Now(), wholeOf(call))
	}
}

// blocked returns why the call must not be sent: endpoints crash under it or under a part of
// its prompt.
func (s *Server) blocked(call *desc.Call) Reason {
	switch {
	case s.callBlocked(call):
		return ReasonCallBlocked
	case s.promptBlocked(call):
		return ReasonPromptBlocked
	}
	return ReasonNone
}

func (s *Server) callBlocked(call *desc.Call) bool {
	if call.Fingerprint == 0 {
		return false
	}
	_, blocked := s.Blame.Blocked(time.Now(), wholeOf(call))
	if blocked {
		s.Metrics.CallsBlocked.Inc()
		s.Log.Info("call_blocked", zap.String("id", call.ID), zap.String("service", call.Service), zap.String("workspace", call.Workspace), fingerprintField(call))
	}
	return blocked
}

func (s *Server) promptBlocked(call *desc.Call) bool {
	if len(call.PromptParts) == 0 {
		return false
	}
	culprits, blocked := s.Blame.Blocked(time.Now(), partsOf(call))
	if blocked {
		s.Metrics.PromptsBlocked.Inc()
		s.Log.Info("prompt_blocked", zap.String("id", call.ID), zap.String("service", call.Service),
			zap.Strings("culprits", lo.Filter(call.PromptParts, func(id string, _ int) bool { return slices.Contains(culprits, blame.KeyOf(id)) })))
	}
	return blocked
}
