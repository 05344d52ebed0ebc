package desk

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/agent/answer"
	"github.com/mimosalock/mimosalock/internal/agent/frame"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// adoptRunning counts the generations that an earlier agent process started
// towards the concurrency limit, so that the engine is not overloaded, and
// cancels those that no entry resumes within the orphan time-out.
func (d *Desk) adoptRunning() {
	streams, err := d.engine.Streams()
	if err != nil {
		d.Log.Warn("adopt_failed", zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range streams {
		attempt := frame.AttemptOf(s.ID)
		if d.runs[attempt] != nil {
			continue
		}
		d.admission.Adopt(time.Now(), admit.Request{ID: attempt, Class: adoptedClass, Prompt: s.PromptTokens}, s.ProducedTokens)
		time.AfterFunc(d.Settings.OrphanTimeout(), func() { d.cancelUnresumed(s.ID, attempt) })
	}
}

// adoptedClass is the class of adopted calls, whose own class is not known.
const adoptedClass = "adopted"

// cancelUnresumed cancels an adopted generation unless an entry has resumed it.
func (d *Desk) cancelUnresumed(streamID, attempt string) {
	d.mu.Lock()
	resumed := d.runs[attempt] != nil
	if !resumed {
		d.admission.Cancelled(attempt)
	}
	d.mu.Unlock()
	if resumed {
		return
	}
	if err := d.engine.Cancel(streamID); err != nil {
		d.Log.Debug("engine_cancel_failed", zap.Error(err))
	}
}

// Resume returns the run of an attempt, or nil if its response is not held. The
// response of an attempt that an earlier agent process started is resumed from
// the engine at the frame with index req.Next. ErrNotReady is returned while this
// process has no configuration or has not reached the endpoint yet.
func (d *Desk) Resume(req *peerpb.Resume) (*Run, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run := d.runs[req.Attempt]; run != nil {
		if run.Offer.Workspace != req.Workspace {
			return nil, nil
		}
		return run, nil
	}
	if d.ledger.HasAttempt(req.Attempt) {
		return nil, nil // it ran here and its response was removed, or it never will run
	}
	if d.admission == nil || !d.health.up {
		return nil, ErrNotReady
	}
	if d.service.Kind != spec.KindModel {
		return nil, nil
	}
	o := &peerpb.Offer{
		Attempt: req.Attempt, Service: req.Service, Workspace: req.Workspace, Stream: req.Stream,
		Class: adoptedClass, DeadlineMs: uint32(d.service.Deadline().Milliseconds()),
	}
	run := newRun(o, answer.New(req.Workspace, req.Next))
	run.adopted = true
	d.runs[req.Attempt] = run
	d.admission.Adopt(time.Now(), admissionRequest(o), int(req.Next))
	d.Trail.Record(audit.Event{Kind: audit.KindResumed, Subject: req.Attempt, Reason: "taken up from the engine", Version: d.Store.View().Version()})
	d.start(run)
	return run, nil
}

// ErrNotReady means that this process has just started. The request should be
// repeated.
var ErrNotReady = errors.New("desk: not ready")
