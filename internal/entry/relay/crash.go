package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	// answerInterval is how often a stream that goes on counts as an answer, which clears its
	// prompt of the crashes before: an engine may crash shortly after it begins.
	answerInterval = time.Second
	// blockedRetryAfter is long: a call is blocked until endpoints no longer crash under it.
	blockedRetryAfter = time.Minute
	// maxCrashesPerCall is how many endpoints may crash under one call until it is not offered
	// to another.
	maxCrashesPerCall = 2
)

// recordCrash records that the endpoint broke off the call at its start, if it did.
func (s *Session) recordCrash(now time.Time, e *peerpb.End) {
	if !e.BrokeAtStart {
		return
	}
	s.crashes++
	s.Metrics.EarlyBreaks.Inc()
	s.Log.Warn("response_broken_at_start", zap.String("attempt", s.subject()), zap.String("host", s.agent.Host),
		zap.Uint64("boot", e.Boot), zap.Int("prompt_parts", len(s.call.PromptParts)), zap.Uint64("fingerprint", uint64(s.call.Fingerprint)))
	start := int64(e.Boot)
	if start == 0 { // a plain service's start is unknown, and this one has ended
		start = now.Unix()
	}
	for _, parts := range s.blamable() {
		s.Blame.RecordCrash(now, now.Sub(s.offeredAt), s.agent.Host, start, parts)
	}
}

// blamable returns the parts of the prompt, and apart from them the call itself, as far as
// they are known. A crash counts for both, since either may have caused it.
func (s *Session) blamable() (sets [][]blame.Part) {
	if len(s.call.PromptParts) > 0 {
		sets = append(sets, s.call.PromptParts)
	}
	if s.call.Fingerprint != 0 {
		sets = append(sets, []blame.Part{s.call.Fingerprint})
	}
	return sets
}

// recordProgress records an answer now and then while a stream goes on.
func (s *Session) recordProgress(now time.Time) {
	if s.lastAnswer.IsZero() { // the first frame
		s.lastAnswer = now
	}
	if now.Sub(s.lastAnswer) >= answerInterval {
		s.recordAnswer(now)
	}
}

// recordAnswer records that an endpoint has answered the call.
func (s *Session) recordAnswer(now time.Time) {
	s.lastAnswer = now
	for _, parts := range s.blamable() {
		s.Blame.RecordAnswer(now, parts)
	}
}

// blocked returns why the call must not be sent, as endpoints crash under it or under a part
// of its prompt; empty if it may be.
func (s *Session) blocked(now time.Time) string {
	for _, parts := range s.blamable() {
		culprits, blocked := s.Blame.Blocked(now, parts)
		switch {
		case !blocked:
		case slices.Contains(culprits, s.call.Fingerprint):
			s.Metrics.CallsBlocked.Inc()
			s.Log.Info("call_blocked", zap.String("call", s.subject()), zap.String("service", s.call.Service.Name), zap.Uint64("fingerprint", uint64(s.call.Fingerprint)))
			return "endpoints crash under this call"
		default:
			s.Metrics.PromptsBlocked.Inc()
			s.Log.Info("prompt_blocked", zap.String("call", s.subject()), zap.String("service", s.call.Service.Name), zap.Int("culprits", len(culprits)))
			return "engines crash under a part of the prompt"
		}
	}
	return ""
}
