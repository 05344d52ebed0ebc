package serve

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// mayRepeat reports whether a call that the next endpoint fails may be sent to another one,
// given the number of endpoints that were tried before.
func (s *Server) mayRepeat(call *desc.Call, tried int) bool {
	return call.Kind.Repeatable() && tried+1 < call.MaxAttempts && s.Retries.CanRetry(time.Now(), call.Service)
}

// noteSuspect counts and logs that a call is placed at an endpoint that fails more often
// than others.
func (s *Server) noteSuspect(call *desc.Call, at endpt.Endpoint, tried int) {
	f := s.Scheduler.Failures(time.Now(), at)
	if !f.Suspect {
		return
	}
	repeatable := s.mayRepeat(call, tried)
	s.Metrics.SuspectCalls.WithLabelValues(strconv.FormatBool(repeatable)).Inc()
	s.Log.Info("suspect_endpoint_used", zap.String("id", call.ID), zap.String("endpoint", at.ID), zap.Bool("repeatable", repeatable),
		zap.Float64("rate", f.Rate), zap.Float64("usual_rate", f.Usual), zap.Float64("excess", f.Excess), zap.Bool("recovering", f.Recovering),
		zap.Float64("own_failures", f.Own.Failures), zap.Float64("told_failures", f.Told.Failures), zap.Duration("age", f.Age))
}
