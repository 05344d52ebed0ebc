package desk

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/answer"
	"github.com/mimosalock/mimosalock/internal/agent/frame"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Run is one attempt at a call that was not refused at once: queued, started or
// ended.
type Run struct {
	Offer   *peerpb.Offer
	Buffer  *answer.Buffer
	decided chan struct{}   // closed when the run started or was refused
	refused *peerpb.Refused // set before decided is closed
	started bool
	adopted bool // started by an earlier agent process and resumed by this one
}

func newRun(o *peerpb.Offer, b *answer.Buffer) *Run {
	return &Run{Offer: o, Buffer: b, decided: make(chan struct{})}
}

// Decided returns a channel that is closed once the run started or was refused.
func (r *Run) Decided() <-chan struct{} { return r.decided }

// Refusal returns the refusal of a decided run, or nil if it started.
func (r *Run) Refusal() *peerpb.Refused { return r.refused }

func (r *Run) decide(refused *peerpb.Refused) {
	r.refused = refused
	close(r.decided)
}

func (r *Run) isStarted() bool { return r.started }

// start executes an admitted run in a new goroutine. The caller holds the lock.
func (d *Desk) start(run *Run) {
	invar.Check(!run.started, "starts_once", "attempt %s started a second time", run.Offer.Attempt)
	invar.Check(d.drainReason == "" || run.adopted, "no_new_work_when_closed", "attempt %s started while draining: %s", run.Offer.Attempt, d.drainReason)
	run.started = true
	run.decide(nil)
	d.Trail.Record(audit.Event{Kind: audit.KindStarted, Subject: run.Offer.Attempt, Reason: "admitted", Version: d.Store.View().Version()})
	d.Meter.RunsRunning.Inc()
	go d.execute(run, d.service)
}

// execute runs a call on the endpoint until it ends, fails, is abandoned or
// exceeds the service's deadline.
func (d *Desk) execute(run *Run, service spec.Service) {
	ctx, stop := context.WithTimeoutCause(d.Life, service.Deadline(), errors.New("deadline of the service"))
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-run.Buffer.Abandoned():
			cancel(errors.New(run.Buffer.AbandonReason()))
		case <-ctx.Done():
		}
	}()
	job := frame.Job{
		Offer: run.Offer, Endpoint: d.Settings.Endpoint, Buffer: run.Buffer, Adopted: run.adopted,
		OnToken: func(count uint64, gap time.Duration) { d.recordTokens(run, count, gap) },
	}
	var end *peerpb.End
	if service.Kind == spec.KindModel {
		end = frame.RunModel(ctx, job)
	} else {
		end = frame.RunPlain(ctx, job)
	}
	if d.Life.Err() != nil {
		return // the next agent process resumes the engine's running streams
	}
	if end.Outcome != peerpb.Outcome_OUTCOME_COMPLETE && service.Kind == spec.KindModel {
		d.cancelInEngine(run)
	}
	d.finishRun(run, end)
}

// cancelInEngine cancels a generation whose output will not be read.
func (d *Desk) cancelInEngine(run *Run) {
	id := frame.StreamID(run.Offer.Attempt, run.Offer.Workspace)
	if err := d.engine.Cancel(id); err != nil {
		d.Log.Debug("engine_cancel_failed")
	}
}

// recordTokens records that a frame arrived. count is the number of frames so
// far, and gap the time since the previous frame or the response headers.
func (d *Desk) recordTokens(run *Run, count uint64, gap time.Duration) {
	d.Meter.FramesReceived.Inc()
	if count <= 1 {
		d.Meter.FirstToken.Observe(gap.Seconds())
	} else {
		d.Meter.TokenGap.Observe(gap.Seconds())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Token(time.Now(), run.Offer.Attempt, int(count))
}

// finishRun records the outcome of a run, finishes its response and starts
// waiting calls in its place.
func (d *Desk) finishRun(run *Run, end *peerpb.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	attempt := run.Offer.Attempt
	d.Meter.RunsRunning.Dec()
	d.Meter.RunsEnded.WithLabelValues(end.Outcome.String()).Inc()
	switch end.Outcome {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		d.admission.Finished(now, attempt, int(run.Buffer.Count()))
		d.ledger.ExtendKey(now, attempt, keyOf(run.Offer), d.retention())
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		d.admission.Cancelled(attempt)
		d.ledger.Undo(now, attempt, keyOf(run.Offer), d.retention())
		d.health.recordFailure()
	default:
		d.admission.Cancelled(attempt)
	}
	d.Trail.Record(audit.Event{
		Kind: audit.KindEnded, Subject: attempt, Reason: end.Outcome.String() + " " + end.Reason, Version: d.Store.View().Version(),
	})
	run.Buffer.Finish(end)
	d.startWaiting(now)
}

// startWaiting starts queued calls while the admission control allows it. The
// caller holds the lock.
func (d *Desk) startWaiting(now time.Time) {
	if d.admission == nil || d.unavailable(d.Settings.Service) != "" {
		return
	}
	d.detectPause(now)
	for {
		req, ok := d.admission.Next(now)
		if !ok {
			return
		}
		d.start(d.runs[req.ID])
	}
}

// Abandon cancels a run whose caller no longer waits for the response. A queued
// run is refused. A started call that must run at most once goes on, so that its
// outcome is known when its idempotency key is used again.
func (d *Desk) Abandon(run *Run, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.started {
		if !run.Offer.NoRepeat {
			run.Buffer.Abandon(reason)
		}
		return
	}
	if d.admission.Withdraw(run.Offer.Attempt) {
		d.dropWaiting(run, reason)
	}
}
