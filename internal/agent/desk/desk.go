// Package desk is the agent's core. An entry, the process that takes callers'
// requests, offers a call; the agent decides whether it starts, runs it on the
// endpoint beside it, buffers the response and answers what became of each
// attempt. All of these decisions are made under one lock.
package desk

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/agent/answer"
	"github.com/mimosalock/mimosalock/internal/agent/engine"
	"github.com/mimosalock/mimosalock/internal/agent/ledger"
	"github.com/mimosalock/mimosalock/internal/agent/order"
	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/conf/active"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/fleet/clock"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// minRetention is the minimum time for which attempts and tombstones are
// remembered. A tombstone records that an attempt or key never ran and never
// will. The time exceeds the age at which an offer is refused as stale, so a
// delayed copy of a revoked offer is refused in any case.
const minRetention = 15 * time.Second

// Deps are the dependencies of a Desk.
type Deps struct {
	Settings setup.Settings
	Clock    *clock.Clock
	Store    *active.Store
	Roster   *roster.Roster
	Pool     *link.Pool
	Trail    *audit.Trail
	Meter    *metric.Set
	Life     context.Context       // ends when the process stops without draining
	Refresh  func(context.Context) // fetches from peers what changed while the process was paused
	Log      *zap.Logger
}

// Desk runs the calls of one endpoint. It is safe for concurrent use.
type Desk struct {
	Deps
	engine *engine.Client

	mu             sync.Mutex
	admission      *admit.Gate
	ledger         *ledger.Ledger
	runs           map[string]*Run
	service        spec.Service
	configured     bool // the configuration contains the service
	health         health
	modelOrders    *order.Controller
	stopping       bool
	lastPauseCheck time.Time
	refreshing     bool   // the process was paused and has not yet refreshed its state from peers
	drainReason    string // why the agent is draining, empty if it is not
}

// New returns the Desk of one endpoint. It accepts no calls before Run.
func New(d Deps) *Desk {
	return &Desk{
		Deps: d, engine: engine.New(d.Settings.Endpoint), ledger: ledger.New(), runs: map[string]*Run{}, modelOrders: order.New(),
	}
}

// Probe returns the expected decision on an offer, without reserving anything.
func (d *Desk) Probe(req *peerpb.ProbeRequest) *peerpb.ProbeReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := &peerpb.ProbeReply{
		Incarnation: d.Clock.Incarnation(), Beat: d.Clock.Beat(), ConfigVersion: d.Store.View().Version(),
	}
	if reason := d.unavailableForModel(req.Service, req.Model); reason != "" {
		reply.Reason = reason
		reply.RetryAfterMs = 1000
		return reply
	}
	dec := d.admission.Probe(time.Now(), admit.Request{
		Workspace: req.Workspace, Weight: int(req.Weight), Class: req.Class, Prompt: int(req.PromptTokens),
		Limit: int(req.MaxTokens), Queue: ms(req.QueueMs), Priority: int(req.Priority),
	})
	reply.Reason = dec.Reason
	reply.Admits = dec.Verdict != admit.VerdictRefuse
	reply.FreeSlots = uint32(d.admission.Fitting(time.Now()))
	if reply.Admits {
		reply.WaitMs = uint32(dec.Wait.Milliseconds())
	} else {
		reply.RetryAfterMs = uint32(dec.Wait.Milliseconds())
	}
	return reply
}

// unavailableForModel is like unavailable, and also checks that the engine's
// current order contains the model. model is empty for a call without one.
func (d *Desk) unavailableForModel(service, model string) string {
	reason := d.unavailable(service)
	if reason == "" && model != "" && !d.modelOrders.Holds(model) {
		return "the engine does not hold the model"
	}
	return reason
}

// unavailable returns why no new call to the service may start here, or an
// empty string if it may. The caller holds the lock.
func (d *Desk) unavailable(service string) string {
	if d.admission != nil {
		d.detectPause(time.Now())
	}
	switch {
	case service != d.Settings.Service:
		return fmt.Sprintf("serves %s", d.Settings.Service)
	case !d.configured || d.admission == nil:
		return "no configuration"
	case d.drainReason != "":
		return d.drainReason
	case d.refreshing:
		return "agent was paused"
	case !d.health.up:
		return "endpoint unreachable"
	}
	return ""
}

// Offer decides on an offered call. It returns a Run, which may still be queued,
// or a refusal.
func (d *Desk) Offer(ctx context.Context, o *peerpb.Offer) (*Run, *peerpb.Refused) {
	if reason := d.staleReason(o); reason != "" {
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, reason, time.Second)
	}
	keyed := o.NoRepeat && o.IdempotencyKey != ""
	if keyed {
		if refused := d.checkKey(ctx, o); refused != nil {
			return nil, refused
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason := d.staleReason(o); reason != "" { // checkKey may have waited for other agents
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, reason, time.Second)
	}
	if reason := d.unavailableForModel(o.Service, o.Model); reason != "" && !d.seenKey(o) {
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, reason, time.Second)
	}
	return d.begin(o)
}

// staleReason returns why an offer is based on outdated information, or an empty
// string. The sender may mean an earlier process on this host, or may have been
// paused or cut off since it last received this process's beat.
func (d *Desk) staleReason(o *peerpb.Offer) string {
	switch {
	case o.Incarnation != d.Clock.Incarnation():
		return "offer is for an earlier incarnation"
	case !d.Clock.IsFresh(o.Beat):
		return "offer is stale"
	}
	return ""
}

// begin records the attempt in the ledger and admits a new one. For an attempt
// or key that ran before, it returns the existing run. The caller holds the lock.
func (d *Desk) begin(o *peerpb.Offer) (*Run, *peerpb.Refused) {
	verdict, attempt := d.ledger.Begin(time.Now(), o.Attempt, keyOf(o), fingerprint(o), d.retention())
	switch verdict {
	case ledger.VerdictForbidden:
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "revoked", 0)
	case ledger.VerdictConflict:
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "idempotency key was used with another request", 0)
	case ledger.VerdictRepeatedAttempt, ledger.VerdictRepeatedKey:
		run := d.runs[attempt]
		if run == nil {
			return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "ran before; the answer is no longer held", 0)
		}
		return run, nil
	case ledger.VerdictStart:
	}
	return d.admit(o)
}

// admit starts, queues or refuses a new attempt. The caller holds the lock.
func (d *Desk) admit(o *peerpb.Offer) (*Run, *peerpb.Refused) {
	run := newRun(o, answer.New(o.Workspace, 0))
	dec := d.admission.Offer(time.Now(), admissionRequest(o))
	d.Meter.AdmissionDecisions.WithLabelValues(verdictName(dec.Verdict)).Inc()
	switch dec.Verdict {
	case admit.VerdictRefuse:
		d.ledger.Undo(time.Now(), o.Attempt, keyOf(o), d.retention())
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, dec.Reason, dec.Wait)
	case admit.VerdictWait:
		d.runs[o.Attempt] = run
		if d.waitingBytes() > d.Settings.BufferBytes {
			d.admission.Withdraw(o.Attempt)
			d.dropWaiting(run, "the memory of waiting requests is full")
			return nil, run.Refusal()
		}
	case admit.VerdictStart:
		d.runs[o.Attempt] = run
		d.start(run)
	}
	return run, nil
}

// waitingBytes returns the total size of the bodies of queued requests.
func (d *Desk) waitingBytes() int {
	total := 0
	for _, run := range d.runs {
		if !run.started {
			total += len(run.Offer.Body)
		}
	}
	return total
}

// refuse records a refusal in the audit trail and the metrics and returns it.
func (d *Desk) refuse(o *peerpb.Offer, kind peerpb.RefusalKind, reason string, retryAfter time.Duration) *peerpb.Refused {
	version := d.Store.View().Version()
	d.Trail.Record(audit.Event{Kind: audit.KindRefused, Subject: o.Attempt, Reason: reason, Version: version})
	d.Meter.Refusals.WithLabelValues(kind.String()).Inc()
	return &peerpb.Refused{Kind: kind, Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds()), ConfigVersion: version}
}

// Revoke returns the fate of an attempt, and prevents it from ever starting if
// it has not started yet. The fate is unknown if the attempt was offered to an
// earlier process on this host, or if its record may have expired.
func (d *Desk) Revoke(req *peerpb.RevokeRequest) peerpb.Fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := d.runs[req.Attempt]
	if run != nil && run.Offer.Workspace != req.Workspace {
		return peerpb.Fate_FATE_UNKNOWN
	}
	if run != nil && d.admission.Withdraw(req.Attempt) {
		d.dropWaiting(run, "revoked")
		return peerpb.Fate_FATE_NEVER
	}
	if run != nil && req.Abandon && !run.Offer.NoRepeat {
		run.Buffer.Abandon("cancelled by its caller")
	}
	if !d.ledger.HasAttempt(req.Attempt) && d.mayHaveForgotten(req) {
		return peerpb.Fate_FATE_UNKNOWN
	}
	fate := d.ledger.Revoke(time.Now(), req.Attempt, d.retention())
	d.Trail.Record(audit.Event{Kind: audit.KindRevoked, Subject: req.Attempt, Reason: "asked by an entry", Version: d.Store.View().Version()})
	if fate == ledger.FateForbidden {
		return peerpb.Fate_FATE_NEVER
	}
	return peerpb.Fate_FATE_STARTED
}

// mayHaveForgotten reports whether the attempt was offered to an earlier process
// on this host, or so long ago that its record may have expired.
func (d *Desk) mayHaveForgotten(req *peerpb.RevokeRequest) bool {
	id, err := callid.Parse(req.Attempt)
	return err != nil || id.Incarnation != d.Clock.Incarnation() || d.Clock.Since(req.Beat) > minRetention/2
}

// dropWaiting refuses a run that was queued. It must be out of the admission
// queue already. The caller holds the lock.
func (d *Desk) dropWaiting(run *Run, reason string) {
	invar.Check(!run.isStarted(), "not_run_never_started", "attempt %s refused as not run after it had started", run.Offer.Attempt)
	d.ledger.Undo(time.Now(), run.Offer.Attempt, keyOf(run.Offer), d.retention())
	delete(d.runs, run.Offer.Attempt)
	run.decide(d.refuse(run.Offer, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, reason, 500*time.Millisecond))
}

// retention returns how long attempts and idempotency keys are remembered.
func (d *Desk) retention() time.Duration { return max(minRetention, d.service.KeyHorizon()) }

func (d *Desk) seenKey(o *peerpb.Offer) bool {
	return o.NoRepeat && d.ledger.HasKey(keyOf(o))
}

// keyOf returns the ledger key of an offer, zero for a call that may run more
// than once or has no idempotency key.
func keyOf(o *peerpb.Offer) ledger.Key {
	if !o.NoRepeat || o.IdempotencyKey == "" {
		return ledger.Key{}
	}
	return ledger.Key{Workspace: o.Workspace, Text: o.IdempotencyKey}
}

// fingerprint returns a hash of the request. Two requests with the same
// idempotency key must have the same fingerprint.
func fingerprint(o *peerpb.Offer) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(o.Method)
	_, _ = h.WriteString(" " + o.Target + "\n")
	_, _ = h.Write(o.Body)
	return h.Sum64()
}

func admissionRequest(o *peerpb.Offer) admit.Request {
	return admit.Request{
		ID: o.Attempt, Workspace: o.Workspace, Weight: int(o.Weight), Class: o.Class, Priority: int(o.Priority),
		Prompt: int(o.PromptTokens), Limit: int(o.MaxTokens), Queue: ms(o.QueueMs),
	}
}

func verdictName(v admit.Verdict) string {
	switch v {
	case admit.VerdictStart:
		return "start"
	case admit.VerdictWait:
		return "wait"
	default:
		return "refuse"
	}
}

func ms(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }
