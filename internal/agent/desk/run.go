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

// Run is one call that the desk took: waiting, started or ended.
type Run struct {
	Offer   *peerpb.Offer
	Buffer  *answer.Buffer
	decided chan struct{} // closed when the run started or was refused
	refused *peerpb.Refused
	started bool
	adopted bool
}

func newRun(o *peerpb.Offer, b *answer.Buffer) *Run {
	return &Run{Offer: o, Buffer: b, decided: make(chan struct{})}
}

// Decided returns a channel that is closed once the run started or was refused.
func (r *Run) Decided() <-chan struct{} { return r.decided }

// Refusal returns the refusal of a decided run, nil if it started.
func (r *Run) Refusal() *peerpb.Refused { return r.refused }

func (r *Run) decide(refused *peerpb.Refused) {
	r.refused = refused
	close(r.decided)
}

func (r *Run) isStarted() bool { return r.started }

// start begins the work of a run that the gate let in. The caller holds the
// lock.
func (d *Desk) start(run *Run) {
	invar.Check(!run.started, "starts_once", "attempt %s starts twice", run.Offer.Attempt)
	invar.Check(d.reason == "" || run.adopted, "no_new_work_when_closed", "attempt %s starts while %s", run.Offer.Attempt, d.reason)
	run.started = true
	run.decide(nil)
	d.Trail.Record(audit.Event{Kind: audit.KindStarted, Subject: run.Offer.Attempt, Reason: "admitted", Version: d.Store.View().Version()})
	d.Meter.RunsRunning.Inc()
	go d.work(run, d.service)
}

func (d *Desk) work(run *Run, service spec.Service) {
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
		OnToken: func(count uint64, gap time.Duration) { d.token(run, count, gap) },
	}
	var end *peerpb.End
	if service.Kind == spec.KindModel {
		end = frame.Model(ctx, job)
	} else {
		end = frame.Plain(ctx, job)
	}
	if d.Life.Err() != nil {
		return // a successor takes the engine's streams up again
	}
	if end.Outcome != peerpb.Outcome_OUTCOME_COMPLETE && service.Kind == spec.KindModel {
		d.freeEngine(run)
	}
	d.ended(run, end)
}

// freeEngine makes the engine drop a generation that will not be read.
func (d *Desk) freeEngine(run *Run) {
	id := frame.StreamID(run.Offer.Attempt, run.Offer.Workspace)
	if err := d.engine.Cancel(id); err != nil {
		d.Log.Debug("engine_cancel_failed")
	}
}

func (d *Desk) token(run *Run, count uint64, gap time.Duration) {
	d.Meter.FramesReceived.Inc()
	if count <= 1 {
		d.Meter.FirstToken.Observe(gap.Seconds())
	} else {
		d.Meter.TokenGap.Observe(gap.Seconds())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.Token(time.Now(), run.Offer.Attempt, int(count))
}

// ended settles a run whose work is over.
func (d *Desk) ended(run *Run, end *peerpb.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	attempt := run.Offer.Attempt
	d.Meter.RunsRunning.Dec()
	d.Meter.RunsEnded.WithLabelValues(end.Outcome.String()).Inc()
	switch end.Outcome {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		d.gate.Finished(now, attempt, int(run.Buffer.Count()))
		d.ledger.Touch(now, attempt, keyOf(run.Offer), d.keep())
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		d.gate.Cancelled(attempt)
		d.ledger.Undo(now, attempt, keyOf(run.Offer), d.keep())
		d.health.failed()
	default:
		d.gate.Cancelled(attempt)
	}
	d.Trail.Record(audit.Event{
		Kind: audit.KindEnded, Subject: attempt, Reason: end.Outcome.String() + " " + end.Reason, Version: d.Store.View().Version(),
	})
	run.Buffer.Finish(end)
	d.pump(now)
}

// pump starts waiting calls while there is room. The caller holds the lock.
func (d *Desk) pump(now time.Time) {
	if d.gate == nil || d.closedFor(d.Settings.Service) != "" {
		return
	}
	d.awake(now)
	for {
		req, ok := d.gate.Next(now)
		if !ok {
			return
		}
		d.start(d.runs[req.ID])
	}
}

// Abandon ends the interest of a relay's caller in a run. A waiting run is
// dropped; a call that must not repeat goes on, so that its key can tell.
func (d *Desk) Abandon(run *Run, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.started {
		if !run.Offer.NoRepeat {
			run.Buffer.Abandon(why)
		}
		return
	}
	if d.gate.Withdraw(run.Offer.Attempt) {
		d.drop(run, why)
	}
}
