package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	// answerInterval is how often a stream that goes on counts as an answer, which clears its
	// prompt of the crashes before: an engine may crash shortly after it begins.
	answerInterval = time.Second
	// promptBlockedRetryAfter is long: the prompt is blocked until engines no longer crash
	// under it.
	promptBlockedRetryAfter = time.Minute
)

// recordCrash records that the engine broke off the call at its start, if it did.
func (s *Session) recordCrash(now time.Time, e *peerpb.End) {
	if !e.BrokeAtStart || len(s.call.PromptParts) == 0 {
		return
	}
	s.Metrics.EarlyBreaks.Inc()
	s.Log.Warn("response_broken_at_start", zap.String("attempt", s.subject()), zap.String("host", s.agent.Host),
		zap.Uint64("boot", e.Boot), zap.Int("prompt_parts", len(s.call.PromptParts)))
	s.Blame.RecordCrash(now, s.agent.Host, int64(e.Boot), s.call.PromptParts)
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

// recordAnswer records that an engine has answered the call.
func (s *Session) recordAnswer(now time.Time) {
	s.lastAnswer = now
	if len(s.call.PromptParts) > 0 {
		s.Blame.RecordAnswer(now, s.call.PromptParts)
	}
}

// promptBlocked reports whether engines crash under a part of the call's prompt.
func (s *Session) promptBlocked(now time.Time) bool {
	if len(s.call.PromptParts) == 0 {
		return false
	}
	culprits, blocked := s.Blame.Blocked(now, s.call.PromptParts)
	if blocked {
		s.Metrics.PromptsBlocked.Inc()
		s.Log.Info("prompt_blocked", zap.String("call", s.subject()), zap.String("service", s.call.Service.Name), zap.Int("culprits", len(culprits)))
	}
	return blocked
}
