// Package runner is the agent's core. An entry, the process that takes callers'
// requests, offers a call; the agent decides whether it starts, runs it on the
// endpoint beside it, buffers the response and reports the fate of each attempt
// to the entry. All of these decisions are made under one lock.
package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/agent/engine"
	"github.com/mimosalock/mimosalock/internal/agent/ledger"
	"github.com/mimosalock/mimosalock/internal/agent/models"
	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
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

// Deps are the dependencies of a Runner.
type Deps struct {
	Settings         setup.Settings
	Clock            *clock.Clock
	Store            *active.Store
	Roster           *roster.Roster
	Pool             *link.Pool
	Trail            *audit.Trail
	Metrics          *metric.Set
	Context          context.Context       // ends when the process stops without draining
	RefreshFromPeers func(context.Context) // fetches from peers what changed while the process was paused
	Requests         *memlim.Budget        // memory for the bodies of calls until they end
	Log              *zap.Logger
}

// Runner runs the calls of one endpoint. It is safe for concurrent use.
type Runner struct {
	Deps
	engine *engine.Client
	bodies *memlim.Budget // for responses that are read as a whole

	mu             sync.Mutex
	admission      *admit.Controller
	ledger         *ledger.Ledger
	runs           map[string]*Run
	service        spec.Service
	configured     bool // the configuration contains the service
	health         health
	modelOrders    *models.Controller
	stopping       bool
	leaving        bool // by the last host list that contained this host
	lastPauseCheck time.Time
	refreshing     bool // the process was paused and has not yet refreshed its state from peers
	bodyRefusals   refusalLog
	drainReason    string // why the agent is draining, empty if it is not
	uncancelled    []*uncancelled
	closedUntil    time.Time // the endpoint wants no calls before; apart from health, which each check replaces
}

// New returns the Runner of one endpoint. It accepts no calls before Run.
func New(d Deps) *Runner {
	d.Settings.BufferBytes = d.Settings.BufferLimit()
	return &Runner{
		Deps: d, engine: engine.New(d.Settings.Endpoint), bodies: memlim.New(int64(d.Settings.BufferBytes)), ledger: ledger.New(), runs: map[string]*Run{}, modelOrders: models.New(),
	}
}

// Probe returns the expected decision on an offer, without reserving anything.
func (r *Runner) Probe(req *peerpb.ProbeRequest) *peerpb.ProbeReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &peerpb.ProbeReply{
		Incarnation: r.Clock.Incarnation(), Beat: r.Clock.Beat(), ConfigVersion: r.Store.View().Version(),
	}
	if reason := r.unavailableForModel(req.Service, req.Model); reason != "" {
		reply.Reason = reason
		reply.RetryAfterMs = uint32(r.retryAfter(time.Second).Milliseconds())
		return reply
	}
	dec := r.admission.Probe(time.Now(), admit.Request{
		Workspace: req.Workspace, Weight: int(req.Weight), Class: req.Class, PromptTokens: int(req.PromptTokens),
		MaxTokens: int(req.MaxTokens), MaxWait: ms(req.QueueMs), Priority: int(req.Priority),
	})
	reply.Reason = dec.Reason
	reply.Admits = dec.Verdict != admit.VerdictRefuse
	reply.FreeSlots = uint32(r.admission.EstimateFreeSlots(time.Now()))
	if reply.Admits {
		reply.WaitMs = uint32(dec.Wait.Milliseconds())
	} else {
		reply.RetryAfterMs = uint32(dec.Wait.Milliseconds())
	}
	return reply
}

// unavailableForModel is like unavailable, and also checks that the engine's
// current order contains the model. model is empty for a call without one.
func (r *Runner) unavailableForModel(service, model string) string {
	reason := r.unavailable(service)
	if reason == "" && model != "" && !r.modelOrders.Holds(model) {
		return "the engine does not hold the model"
	}
	return reason
}

// EndpointUnreachable is the reason of replies while the endpoint does not answer health checks.
const EndpointUnreachable = "endpoint unreachable"

// unavailable returns why no new call to the service may start here, or an
// empty string if it may. It first calls detectPause, which may refuse queued
// calls. The caller holds the lock.
func (r *Runner) unavailable(service string) string {
	if r.admission != nil {
		r.detectPause(time.Now())
	}
	switch {
	case service != r.Settings.Service:
		return fmt.Sprintf("serves %s", r.Settings.Service)
	case !r.configured || r.admission == nil:
		return "no configuration"
	case r.drainReason != "":
		return r.drainReason
	case r.refreshing:
		return "agent was paused"
	case !r.health.up:
		return EndpointUnreachable
	case r.closedFor(time.Now()) > 0:
		return closedReason
	case r.service.Kind == spec.KindModel && !r.modelOrders.Known():
		return "the engine has not reported its models yet"
	}
	return ""
}

// Offer decides on an offered call. It returns a Run, which may still be queued,
// or a refusal.
func (r *Runner) Offer(ctx context.Context, o *peerpb.Offer) (*Run, *peerpb.Refused) {
	if reason := r.staleReason(o); reason != "" {
		r.mu.Lock()
		defer r.mu.Unlock()
		return nil, r.refuseStale(o, reason)
	}
	keyed := o.NoRepeat && o.IdempotencyKey != ""
	if keyed {
		if refused := r.checkKey(ctx, o); refused != nil {
			return nil, refused
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.staleReason(o); reason != "" { // checkKey may have waited for other agents
		return nil, r.refuseStale(o, reason)
	}
	if reason := r.unavailableForModel(o.Service, o.Model); reason != "" && !r.seenKey(o) {
		return nil, r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, reason, r.retryAfter(time.Second))
	}
	return r.begin(o)
}

// staleReason returns why an offer is based on outdated information, or an empty
// string. The sender may mean an earlier process on this host, or may have been
// paused or cut off since it received the beat (see package clock) that the offer
// echoes.
func (r *Runner) staleReason(o *peerpb.Offer) string {
	switch {
	case o.Incarnation != r.Clock.Incarnation():
		return "offer is for an earlier incarnation"
	case !r.Clock.IsFresh(o.Beat):
		return "offer is stale"
	}
	return ""
}

// refuseStale refuses an outdated offer. It does not say that a call with an idempotency key has not
// run if one with that key may have. The caller holds the lock.
func (r *Runner) refuseStale(o *peerpb.Offer, reason string) *peerpb.Refused {
	kind := peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN
	if keyOf(o) != (ledger.Key{}) && (r.seenKey(o) || r.otherMayHaveRun(o)) {
		kind = peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN
	}
	return r.refuse(o, kind, reason, time.Second)
}

// begin records the attempt in the ledger and admits a new one. For an attempt
// or key that ran before, it returns the existing run. The caller holds the lock.
func (r *Runner) begin(o *peerpb.Offer) (*Run, *peerpb.Refused) {
	verdict, attempt := r.ledger.Begin(time.Now(), o.Attempt, keyOf(o), fingerprint(o), r.retention())
	switch verdict {
	case ledger.VerdictForbidden:
		kind := peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN
		if r.seenKey(o) { // another attempt has run, or the key was claimed by its new owner
			kind = peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN
		}
		return nil, r.refuse(o, kind, "revoked", 0)
	case ledger.VerdictConflict:
		return nil, r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "idempotency key was used with another request", 0)
	case ledger.VerdictRepeatedAttempt, ledger.VerdictRepeatedKey:
		if verdict == ledger.VerdictRepeatedKey {
			r.ledger.Join(time.Now(), o.Attempt, attempt, r.retention())
		}
		run := r.runs[attempt]
		if run == nil {
			return nil, r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "ran before; the answer is no longer held", 0)
		}
		return run, nil
	case ledger.VerdictStart:
	}
	return r.admit(o)
}

// admit starts, queues or refuses a new attempt. The caller holds the lock.
func (r *Runner) admit(o *peerpb.Offer) (*Run, *peerpb.Refused) {
	run := newRun(o, buffer.New(o.Workspace, 0))
	if refused := r.holdBody(run); refused != nil {
		return nil, refused
	}
	dec := r.admission.Offer(time.Now(), admissionRequest(o))
	r.Metrics.AdmissionDecisions.WithLabelValues(verdictName(dec.Verdict)).Inc()
	switch dec.Verdict {
	case admit.VerdictRefuse:
		run.dropBody()
		r.ledger.Undo(time.Now(), o.Attempt, keyOf(o), r.retention())
		return nil, r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, dec.Reason, dec.Wait)
	case admit.VerdictWait:
		r.runs[o.Attempt] = run
		if r.waitingBytes() > r.Settings.BufferBytes {
			r.admission.Withdraw(o.Attempt)
			r.dropWaiting(run, "the memory of waiting requests is full")
			return nil, run.Refusal()
		}
	case admit.VerdictStart:
		r.runs[o.Attempt] = run
		r.start(run)
	}
	return run, nil
}

// waitingBytes returns the total size of the bodies of queued requests.
func (r *Runner) waitingBytes() int {
	total := 0
	for _, run := range r.runs {
		if !run.started {
			total += len(run.Offer.Body)
		}
	}
	return total
}

// refuse records a refusal in the audit trail and the metrics and returns it.
func (r *Runner) refuse(o *peerpb.Offer, kind peerpb.RefusalKind, reason string, retryAfter time.Duration) *peerpb.Refused {
	version := r.Store.View().Version()
	r.Trail.Record(audit.Event{Kind: audit.KindRefused, Subject: o.Attempt, Reason: reason, Version: version})
	r.Metrics.Refusals.WithLabelValues(kind.String()).Inc()
	return &peerpb.Refused{Kind: kind, Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds()), ConfigVersion: version}
}

// Revoke returns the fate of an attempt, and prevents it from ever starting if
// it has not started yet. The fate is unknown if the attempt was offered to an
// earlier process on this host, or if its record may have expired.
func (r *Runner) Revoke(req *peerpb.RevokeRequest) peerpb.Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[req.Attempt]
	if run != nil && run.Offer.Workspace != req.Workspace {
		return peerpb.Fate_FATE_UNKNOWN
	}
	if run != nil && r.admission.Withdraw(req.Attempt) {
		r.dropWaiting(run, "revoked")
		return peerpb.Fate_FATE_NEVER
	}
	if run != nil && req.Abandon && !run.Offer.NoRepeat {
		run.Buffer.Abandon("cancelled by its caller")
	}
	if !r.ledger.HasAttempt(req.Attempt) && r.mayHaveForgotten(req) {
		return peerpb.Fate_FATE_UNKNOWN
	}
	fate := r.ledger.Revoke(time.Now(), req.Attempt, r.retention())
	r.Trail.Record(audit.Event{Kind: audit.KindRevoked, Subject: req.Attempt, Reason: "asked by an entry", Version: r.Store.View().Version()})
	if fate == ledger.FateForbidden {
		return peerpb.Fate_FATE_NEVER
	}
	return peerpb.Fate_FATE_STARTED
}

// mayHaveForgotten reports whether the attempt was offered to an earlier process
// on this host, or so long ago that its record may have expired.
func (r *Runner) mayHaveForgotten(req *peerpb.RevokeRequest) bool {
	id, err := callid.Parse(req.Attempt)
	return err != nil || id.Incarnation != r.Clock.Incarnation() || r.Clock.Since(req.Beat) > minRetention/2
}

// dropWaiting refuses a run that was queued. It must be out of the admission
// queue already. The caller holds the lock.
func (r *Runner) dropWaiting(run *Run, reason string) {
	invar.Check(!run.isStarted(), "not_run_never_started", "attempt %s refused as not run after it had started", run.Offer.Attempt)
	r.ledger.Undo(time.Now(), run.Offer.Attempt, keyOf(run.Offer), r.retention())
	delete(r.runs, run.Offer.Attempt)
	run.dropBody()
	run.decide(r.refuse(run.Offer, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, reason, r.retryAfter(500*time.Millisecond)))
}

// retention returns how long attempts and idempotency keys are remembered.
func (r *Runner) retention() time.Duration { return max(minRetention, r.service.KeyHorizon()) }

func (r *Runner) seenKey(o *peerpb.Offer) bool {
	return o.NoRepeat && r.ledger.HasKey(keyOf(o))
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
		PromptTokens: int(o.PromptTokens), MaxTokens: int(o.MaxTokens), MaxWait: ms(o.QueueMs),
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
