package runner

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/agent/invoke"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Run is one attempt at a call that was not refused at once: queued, started or
// ended.
type Run struct {
	Offer   *peerpb.Offer
	Buffer  *buffer.Buffer
	decided chan struct{}   // closed when the run started or was refused
	refused *peerpb.Refused // set before decided is closed
	started bool
	release func() // frees the memory of the offer's body, nil once that was dropped
	adopted bool   // started by an earlier agent process and resumed by this one
	bootID  uint64 // of the engine that it was sent to
}

func newRun(o *peerpb.Offer, b *buffer.Buffer) *Run {
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
func (r *Runner) start(run *Run) {
	invar.Check(!run.started, "starts_once", "attempt %s started a second time", run.Offer.Attempt)
	invar.Check(r.drainReason == "" || run.adopted, "no_new_work_when_closed", "attempt %s started while draining: %s", run.Offer.Attempt, r.drainReason)
	run.started, run.bootID = true, r.health.bootID
	run.decide(nil)
	r.Trail.Record(audit.Event{Kind: audit.KindStarted, Subject: run.Offer.Attempt, Reason: "admitted", Version: r.Store.View().Version()})
	r.Metrics.RunsRunning.Inc()
	go r.execute(run, r.service)
}

// execute runs a call on the endpoint until it ends, fails, is abandoned or
// exceeds the service's deadline.
func (r *Runner) execute(run *Run, service spec.Service) {
	ctx, stop := context.WithTimeoutCause(r.Context, service.Deadline(), errors.New("deadline of the service"))
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
	job := invoke.Job{
		Offer: run.Offer, Endpoint: r.Settings.Endpoint, Buffer: run.Buffer, Adopted: run.adopted,
		OnFrame:  func(count uint64, gap time.Duration) { r.recordTokens(run, count, gap) },
		OnClosed: func(wait time.Duration) { r.closeFor(run, wait) }, Bodies: r.bodies,
	}
	var end *peerpb.End
	if service.Kind == spec.KindModel {
		end = invoke.RunModel(ctx, job)
	} else {
		end = invoke.RunPlain(ctx, job)
	}
	if r.Context.Err() != nil {
		return // the next agent process resumes the engine's running streams
	}
	if end.Outcome != peerpb.Outcome_OUTCOME_COMPLETE && service.Kind == spec.KindModel {
		r.cancelInEngine(&uncancelled{streamID: invoke.StreamID(run.Offer.Attempt, run.Offer.Workspace), boot: run.bootID, begun: run.Buffer.HasHead()})
	}
	r.finishRun(run, end)
}

// recordTokens records that a frame of a stream arrived. Each frame counts as one
// output token. count is the number of frames so far, and gap the time since the
// previous frame or the response headers.
func (r *Runner) recordTokens(run *Run, count uint64, gap time.Duration) {
	r.Metrics.FramesReceived.Inc()
	if count <= 1 {
		r.Metrics.FirstToken.Observe(gap.Seconds())
	} else {
		r.Metrics.TokenGap.Observe(gap.Seconds())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.RecordTokens(time.Now(), run.Offer.Attempt, int(count))
}

// finishRun records the outcome of a run, finishes its response and starts
// waiting calls in its place.
func (r *Runner) finishRun(run *Run, end *peerpb.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	attempt := run.Offer.Attempt
	end.Boot = run.bootID
	r.Metrics.RunsRunning.Dec()
	r.Metrics.RunsEnded.WithLabelValues(end.Outcome.String()).Inc()
	switch end.Outcome {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		r.admission.RecordFinished(now, attempt, int(run.Buffer.Count()))
		r.ledger.ExtendKey(now, attempt, keyOf(run.Offer), r.retention())
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		r.admission.RecordIncomplete(attempt)
		r.ledger.Undo(now, attempt, keyOf(run.Offer), r.retention())
		r.health.recordFailure()
	default:
		r.admission.RecordIncomplete(attempt)
	}
	r.Trail.Record(audit.Event{
		Kind: audit.KindEnded, Subject: attempt, Reason: end.Outcome.String() + " " + end.Reason, Version: r.Store.View().Version(),
	})
	run.dropBody()
	run.Buffer.Finish(end)
	r.startWaiting(now)
}

// startWaiting starts queued calls while the admission control allows it. The
// caller holds the lock.
func (r *Runner) startWaiting(now time.Time) {
	if r.admission == nil || r.unavailable(r.Settings.Service) != "" {
		return
	}
	r.detectPause(now)
	for {
		req, ok := r.admission.StartNext(now)
		if !ok {
			return
		}
		r.start(r.runs[req.ID])
	}
}

// Abandon cancels a run whose caller no longer waits for the response. A queued
// run is refused. A started call that must run at most once goes on, so that its
// outcome is known when its idempotency key is used again.
func (r *Runner) Abandon(run *Run, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.started {
		if !run.Offer.NoRepeat {
			run.Buffer.Abandon(reason)
		}
		return
	}
	if r.admission.Withdraw(run.Offer.Attempt) {
		r.dropWaiting(run, reason)
	}
}
