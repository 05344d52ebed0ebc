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

// adoptRunning counts the generations that a predecessor started, so that this
// process does not overfill the engine, and ends those that no entry resumes.
func (d *Desk) adoptRunning() {
	streams, err := d.engine.Streams()
	if err != nil {
		d.Log.Warn("adopt_failed", zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range streams {
		attempt := frame.SplitID(s.ID)
		if d.runs[attempt] != nil {
			continue
		}
		d.gate.Adopt(time.Now(), admit.Request{ID: attempt, Class: adoptedClass, Prompt: s.Prompt}, s.Produced)
		time.AfterFunc(d.Settings.OrphanTimeout(), func() { d.endUnclaimed(s.ID, attempt) })
	}
}

const adoptedClass = "adopted"

func (d *Desk) endUnclaimed(streamID, attempt string) {
	d.mu.Lock()
	claimed := d.runs[attempt] != nil
	if !claimed {
		d.gate.Cancelled(attempt)
	}
	d.mu.Unlock()
	if claimed {
		return
	}
	if err := d.engine.Cancel(streamID); err != nil {
		d.Log.Debug("engine_cancel_failed", zap.Error(err))
	}
}

// Resume returns the run of an attempt, nil if its answer is not held. One that
// a predecessor of this process started is taken up from the engine at the
// index, which fails with ErrNotReady while this process knows too little.
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
		return nil, nil // it ran here and its answer is gone
	}
	if d.gate == nil || !d.health.up {
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
	d.gate.Adopt(time.Now(), requestOf(o), int(req.Next))
	d.Trail.Record(audit.Event{Kind: audit.KindResumed, Subject: req.Attempt, Reason: "taken up from the engine", Version: d.Store.View().Version()})
	d.start(run)
	return run, nil
}

// ErrNotReady means that this process has just started and should be asked
// again.
var ErrNotReady = errors.New("desk: not ready")
