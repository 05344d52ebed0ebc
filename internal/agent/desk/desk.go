// Package desk is the agent's core: it decides which offered calls start, runs
// them, keeps their answers and answers for their fate. Everything the agent
// promises is decided here under one lock.
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

// shortestKeep is how long attempts and tombstones are remembered at least. It
// exceeds the age at which an offer is refused as stale, so a late copy of a
// revoked offer always finds its tombstone or is too old.
const shortestKeep = 15 * time.Second

// Deps are what a desk works with.
type Deps struct {
	Settings setup.Settings
	Clock    *clock.Clock
	Store    *active.Store
	Roster   *roster.Roster
	Pool     *link.Pool
	Trail    *audit.Trail
	Meter    *metric.Set
	Life     context.Context       // ends when the process stops at once
	Refresh  func(context.Context) // learns from peers what changed during a pause
	Log      *zap.Logger
}

// Desk is safe for concurrent use.
type Desk struct {
	Deps
	engine *engine.Client

	mu       sync.Mutex
	gate     *admit.Gate
	ledger   *ledger.Ledger
	runs     map[string]*Run
	service  spec.Service
	known    bool // the configuration has the service
	health   health
	orders   *order.Keeper
	stopping bool
	lastTick time.Time
	woken    bool   // was paused and has not yet heard from peers
	reason   string // why no new work is taken, or nothing
}

// New returns the desk of one endpoint, which takes no work before Run.
func New(d Deps) *Desk {
	return &Desk{
		Deps: d, engine: engine.New(d.Settings.Endpoint), ledger: ledger.New(), runs: map[string]*Run{}, orders: order.New(),
	}
}

// Probe tells what an offer would meet. It commits to nothing.
func (d *Desk) Probe(req *peerpb.ProbeRequest) *peerpb.ProbeReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := &peerpb.ProbeReply{
		Incarnation: d.Clock.Incarnation(), Beat: d.Clock.Beat(), ConfigVersion: d.Store.View().Version(),
	}
	if why := d.closedTo(req.Service, req.Model); why != "" {
		reply.Reason = why
		reply.RetryAfterMs = 1000
		return reply
	}
	dec := d.gate.Probe(time.Now(), admit.Request{
		Workspace: req.Workspace, Weight: int(req.Weight), Class: req.Class, Prompt: int(req.PromptTokens),
		Limit: int(req.MaxTokens), Queue: ms(req.QueueMs), Priority: int(req.Priority),
	})
	reply.Reason = dec.Reason
	reply.Admits = dec.Verdict != admit.VerdictRefuse
	reply.FreeSlots = uint32(d.gate.Fitting(time.Now()))
	if reply.Admits {
		reply.WaitMs = uint32(dec.Wait.Milliseconds())
	} else {
		reply.RetryAfterMs = uint32(dec.Wait.Milliseconds())
	}
	return reply
}

// closedTo is closedFor with the model of a generation, which the engine may
// not hold yet.
func (d *Desk) closedTo(service, model string) string {
	why := d.closedFor(service)
	if why == "" && model != "" && !d.orders.Holds(model) {
		return "the engine does not hold the model"
	}
	return why
}

// closedFor returns why no new work for the service may start here, or nothing.
func (d *Desk) closedFor(service string) string {
	if d.gate != nil {
		d.awake(time.Now())
	}
	switch {
	case service != d.Settings.Service:
		return fmt.Sprintf("serves %s", d.Settings.Service)
	case !d.known || d.gate == nil:
		return "no configuration"
	case d.reason != "":
		return d.reason
	case d.woken:
		return "agent was paused"
	case !d.health.up:
		return "endpoint unreachable"
	}
	return ""
}

// Offer decides on a call. It returns a run, which may still be waiting, or a
// refusal.
func (d *Desk) Offer(ctx context.Context, o *peerpb.Offer) (*Run, *peerpb.Refused) {
	if why := d.stale(o); why != "" {
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, why, time.Second)
	}
	keyed := o.NoRepeat && o.IdempotencyKey != ""
	if keyed {
		if refused := d.mayRunKey(ctx, o); refused != nil {
			return nil, refused
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if why := d.stale(o); why != "" { // asking others about the key took time
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, why, time.Second)
	}
	if why := d.closedTo(o.Service, o.Model); why != "" && !d.seenKey(o) {
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, why, time.Second)
	}
	return d.begin(o)
}

// stale refuses an offer whose sender acts on old knowledge: of an earlier
// process on this host, or from before it was paused or cut off.
func (d *Desk) stale(o *peerpb.Offer) string {
	switch {
	case o.Incarnation != d.Clock.Incarnation():
		return "offer is for an earlier incarnation"
	case !d.Clock.IsFresh(o.Beat):
		return "offer is stale"
	}
	return ""
}

// begin enters the attempt in the ledger and asks the gate. The caller holds
// the lock.
func (d *Desk) begin(o *peerpb.Offer) (*Run, *peerpb.Refused) {
	verdict, attempt := d.ledger.Begin(time.Now(), o.Attempt, keyOf(o), fingerprint(o), d.keep())
	switch verdict {
	case ledger.VerdictForbidden:
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "revoked", 0)
	case ledger.VerdictConflict:
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "idempotency key was used with another request", 0)
	case ledger.VerdictRepeated, ledger.VerdictReplay:
		run := d.runs[attempt]
		if run == nil {
			return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "ran before; the answer is no longer held", 0)
		}
		return run, nil
	case ledger.VerdictStart:
	}
	return d.admit(o)
}

func (d *Desk) admit(o *peerpb.Offer) (*Run, *peerpb.Refused) {
	run := newRun(o, answer.New(o.Workspace, 0))
	dec := d.gate.Offer(time.Now(), requestOf(o))
	d.Meter.AdmissionDecisions.WithLabelValues(verdictName(dec.Verdict)).Inc()
	switch dec.Verdict {
	case admit.VerdictRefuse:
		d.ledger.Undo(time.Now(), o.Attempt, keyOf(o), d.keep())
		return nil, d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, dec.Reason, dec.Wait)
	case admit.VerdictWait:
		d.runs[o.Attempt] = run
		if d.waitingBytes() > d.Settings.BufferBytes {
			d.gate.Withdraw(o.Attempt)
			d.drop(run, "the memory of waiting requests is full")
			return nil, run.Refusal()
		}
	case admit.VerdictStart:
		d.runs[o.Attempt] = run
		d.start(run)
	}
	return run, nil
}

// waitingBytes is the memory of the bodies of waiting requests.
func (d *Desk) waitingBytes() int {
	total := 0
	for _, run := range d.runs {
		if !run.started {
			total += len(run.Offer.Body)
		}
	}
	return total
}

func (d *Desk) refuse(o *peerpb.Offer, kind peerpb.RefusalKind, why string, after time.Duration) *peerpb.Refused {
	version := d.Store.View().Version()
	d.Trail.Record(audit.Event{Kind: audit.KindRefused, Subject: o.Attempt, Reason: why, Version: version})
	d.Meter.Refusals.WithLabelValues(kind.String()).Inc()
	return &peerpb.Refused{Kind: kind, Reason: why, RetryAfterMs: uint32(after.Milliseconds()), ConfigVersion: version}
}

// Revoke returns the fate of an attempt and forbids it if it has not started.
// The fate of another incarnation's attempt, or of one that may have been
// forgotten, is not known.
func (d *Desk) Revoke(req *peerpb.RevokeRequest) peerpb.Fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := d.runs[req.Attempt]
	if run != nil && run.Offer.Workspace != req.Workspace {
		return peerpb.Fate_FATE_UNKNOWN
	}
	if run != nil && d.gate.Withdraw(req.Attempt) {
		d.drop(run, "revoked")
		return peerpb.Fate_FATE_NEVER
	}
	if run != nil && req.Abandon && !run.Offer.NoRepeat {
		run.Buffer.Abandon("cancelled by its caller")
	}
	if !d.ledger.HasAttempt(req.Attempt) && d.mayHaveForgotten(req) {
		return peerpb.Fate_FATE_UNKNOWN
	}
	fate := d.ledger.Revoke(time.Now(), req.Attempt, d.keep())
	d.Trail.Record(audit.Event{Kind: audit.KindRevoked, Subject: req.Attempt, Reason: "asked by an entry", Version: d.Store.View().Version()})
	if fate == ledger.FateForbidden {
		return peerpb.Fate_FATE_NEVER
	}
	return peerpb.Fate_FATE_STARTED
}

func (d *Desk) mayHaveForgotten(req *peerpb.RevokeRequest) bool {
	id, err := callid.Parse(req.Attempt)
	return err != nil || id.Incarnation != d.Clock.Incarnation() || d.Clock.Since(req.Beat) > shortestKeep/2
}

// drop takes back a run that was waiting. The caller holds the lock.
func (d *Desk) drop(run *Run, why string) {
	invar.Check(!run.isStarted(), "not_run_never_started", "attempt %s is dropped after its start", run.Offer.Attempt)
	d.ledger.Undo(time.Now(), run.Offer.Attempt, keyOf(run.Offer), d.keep())
	delete(d.runs, run.Offer.Attempt)
	run.decide(d.refuse(run.Offer, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, why, 500*time.Millisecond))
}

// keep is how long attempts and keys are remembered.
func (d *Desk) keep() time.Duration { return max(shortestKeep, d.service.KeyHorizon()) }

func (d *Desk) seenKey(o *peerpb.Offer) bool {
	return o.NoRepeat && d.ledger.HasKey(keyOf(o))
}

func keyOf(o *peerpb.Offer) ledger.Key {
	if !o.NoRepeat || o.IdempotencyKey == "" {
		return ledger.Key{}
	}
	return ledger.Key{Workspace: o.Workspace, Text: o.IdempotencyKey}
}

// fingerprint tells whether two requests with one key are the same.
func fingerprint(o *peerpb.Offer) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(o.Method)
	_, _ = h.WriteString(" " + o.Target + "\n")
	_, _ = h.Write(o.Body)
	return h.Sum64()
}

func requestOf(o *peerpb.Offer) admit.Request {
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
