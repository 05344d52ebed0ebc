package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	bodyLogInterval = time.Second // between two log lines about refused bodies
	envelopeBytes   = 64 << 10    // the most that an offer holds beside its body
	bodyRetryAfter  = time.Second // the time of an ordinary call, whose end frees its body
)

// refusalLog limits the log lines about refused bodies.
type refusalLog struct {
	last time.Time
	more int // refusals since
}

// holdBody counts the body of a new run until dropBody, or refuses the run, which has not been
// admitted. The caller holds the lock.
func (r *Runner) holdBody(run *Run) *peerpb.Refused {
	o := run.Offer
	release, err := r.Requests.ReserveAfter(len(o.Body), len(o.Body)+envelopeBytes)
	if err == nil {
		run.release = release
		return nil
	}
	now := time.Now()
	r.Metrics.TurnedAway.WithLabelValues("peers", "request_memory").Inc()
	if r.bodyRefusals.more++; now.Sub(r.bodyRefusals.last) >= bodyLogInterval {
		r.Log.Warn("request_turned_away", zap.String("why", "request_memory"), zap.String("workspace", o.Workspace), zap.Int("count", r.bodyRefusals.more),
			zap.Int("body_bytes", len(o.Body)), zap.Int64("request_memory", r.Requests.Used()))
		r.bodyRefusals = refusalLog{last: now}
	}
	r.ledger.Undo(now, o.Attempt, keyOf(o), r.retention())
	return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "the memory for requests is in use", bodyRetryAfter)
}

// dropBody frees the body of a run that has ended or will not start. The runner's lock is held.
func (r *Run) dropBody() {
	if r.release == nil {
		return
	}
	r.release()
	r.Offer.Body, r.release = nil, nil
}
