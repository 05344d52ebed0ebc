package runner

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/agent/invoke"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// adoptRunning counts the generations that an earlier agent process started
// towards the concurrency limit, so that the engine is not overloaded, and
// cancels those that no entry resumes within the orphan timeout.
func (r *Runner) adoptRunning() {
	streams, err := r.engine.Streams()
	if err != nil {
		r.Log.Warn("adopt_failed", zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		attempt := invoke.AttemptOf(s.ID)
		if r.runs[attempt] != nil {
			continue
		}
		r.admission.Adopt(time.Now(), admit.Request{ID: attempt, Class: adoptedClass, PromptTokens: s.PromptTokens}, s.ProducedTokens)
		time.AfterFunc(r.Settings.OrphanTimeout(), func() { r.cancelUnresumed(s.ID, attempt) })
	}
}

// adoptedClass is the class of adopted calls, whose own class is not known.
const adoptedClass = "adopted"

// cancelUnresumed cancels an adopted generation unless an entry has resumed it.
func (r *Runner) cancelUnresumed(streamID, attempt string) {
	r.mu.Lock()
	resumed, boot := r.runs[attempt] != nil, r.health.bootID
	if !resumed {
		r.admission.RecordIncomplete(attempt)
	}
	r.mu.Unlock()
	if resumed {
		return
	}
	r.cancelInEngine(&uncancelled{streamID: streamID, boot: boot})
}

// RevokeLeft is Revoke for an attempt that nobody waits for. A generation that an earlier agent
// process started ends too. ErrNotReady is returned as Resume does.
func (r *Runner) RevokeLeft(req *peerpb.RevokeRequest) (peerpb.Fate, error) {
	fate := r.Revoke(req)
	if fate != peerpb.Fate_FATE_UNKNOWN {
		return fate, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.admission == nil:
		return fate, ErrNotReady
	case r.service.Kind != spec.KindModel: // a plain call ended with its connection
	case !r.health.up:
		return fate, ErrNotReady
	default:
		go r.cancelUnresumed(invoke.StreamID(req.Attempt, req.Workspace), req.Attempt)
	}
	return fate, nil
}

// Resume returns the run of an attempt, or nil if its response is not held. The
// response of an attempt that an earlier agent process started is resumed from
// the engine at the frame with index req.Next. ErrNotReady is returned while this
// process has no configuration or has not reached the endpoint yet.
func (r *Runner) Resume(req *peerpb.Resume) (*Run, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[r.ledger.RunOf(req.Attempt)]; run != nil {
		if run.Offer.Workspace != req.Workspace {
			return nil, nil
		}
		return run, nil
	}
	if r.ledger.HasAttempt(req.Attempt) {
		return nil, nil // it ran here and its response was removed, or it never will run
	}
	if r.admission == nil || !r.health.up {
		return nil, ErrNotReady
	}
	if r.service.Kind != spec.KindModel {
		return nil, nil
	}
	o := &peerpb.Offer{
		Attempt: req.Attempt, Service: req.Service, Workspace: req.Workspace, Stream: req.Stream,
		Class: adoptedClass, DeadlineMs: uint32(r.service.Deadline().Milliseconds()),
	}
	run := newRun(o, buffer.New(req.Workspace, req.Next))
	run.adopted = true
	r.runs[req.Attempt] = run
	r.admission.Adopt(time.Now(), admissionRequest(o), int(req.Next))
	r.Trail.Record(audit.Event{Kind: audit.KindResumed, Subject: req.Attempt, Reason: "taken up from the engine", Version: r.Store.View().Version()})
	r.start(run)
	return run, nil
}

// ErrNotReady means that this process has just started. The request should be
// repeated. The text is sent to entries and keeps this package's former name, desk.
var ErrNotReady = errors.New("desk: not ready")
