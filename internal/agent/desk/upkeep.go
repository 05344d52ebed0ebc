package desk

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

const (
	upkeepInterval = 50 * time.Millisecond
	healthInterval = 250 * time.Millisecond
	healthTimeout  = time.Second
	downAfter      = 4 // failed health checks
	pauseLimit     = 1500 * time.Millisecond
	refreshLimit   = 2 * time.Second
)

// Run keeps the desk until the context ends: configuration, queue, orphans,
// memory and the endpoint's health.
func (d *Desk) Run(ctx context.Context) {
	go d.watchEndpoint(ctx)
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	for {
		// The channel is taken before the version is read: a version applied
		// between the two closes it.
		changed := d.Store.Changed()
		d.configure()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-tick.C:
				d.upkeep()
			}
		}
	}
}

// configure takes over the configuration version in force.
func (d *Desk) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	service, ok := d.Store.View().Service(d.Settings.Service)
	if !ok {
		d.known = false
		return
	}
	d.service, d.known = service, true
	if d.gate == nil {
		d.gate = admit.New(admit.Config{
			Floor: service.FloorOrDefault(), Max: service.ConcurrencyOrDefault(), WarmUp: service.WarmUp(),
			Model: service.Kind == spec.KindModel, Warm: d.Settings.TrustWarmRestart,
		})
	}
	d.gate.Resize(service.FloorOrDefault(), service.ConcurrencyOrDefault(), service.WarmUp())
	d.reopen()
}

// reopen decides whether new work may start: not while this process stops, its
// host leaves or its data centre is out of service.
func (d *Desk) reopen() {
	if d.gate == nil {
		return
	}
	why := d.closingReason()
	if why == d.reason {
		return
	}
	was := d.reason
	d.reason = why
	version := d.Store.View().Version()
	if why == "" {
		d.gate.Return()
		d.Trail.Record(audit.Event{Kind: audit.KindReopened, Subject: d.Settings.Host, Reason: "was " + was, Version: version})
		return
	}
	d.Trail.Record(audit.Event{Kind: audit.KindDrained, Subject: d.Settings.Host, Reason: why, Version: version})
	for _, req := range d.gate.Leave() {
		d.drop(d.runs[req.ID], why)
	}
}

func (d *Desk) closingReason() string {
	m, listed := d.Roster.Find(d.Settings.Host)
	switch {
	case d.stopping:
		return "agent is stopping"
	case listed && m.Leaving:
		return "host is leaving"
	case !d.Store.View().InService(d.Settings.DataCentre):
		return "data centre is out of service"
	}
	return ""
}

// upkeep does what time alone brings about.
func (d *Desk) upkeep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gate == nil {
		return
	}
	now := time.Now()
	d.awake(now)
	d.reopen()
	for _, req := range d.gate.Expired(now) {
		d.drop(d.runs[req.ID], "waited too long")
	}
	d.pump(now)
	d.sweep(now)
	d.Meter.ConcurrencyLimit.Set(float64(d.gate.Limit()))
	d.Meter.RunsWaiting.Set(float64(d.gate.Waiting()))
}

// awake notices that this process was paused. What waited was offered before
// the pause, and the data centre may have been taken out since, so none of it
// starts, and nothing new until peers were asked. Callers hold the lock, and
// call it before anything starts.
func (d *Desk) awake(now time.Time) {
	paused := !d.lastTick.IsZero() && now.Sub(d.lastTick) > pauseLimit
	d.lastTick = now
	if !paused {
		return
	}
	for _, run := range d.runs {
		if !run.started && d.gate.Withdraw(run.Offer.Attempt) {
			d.drop(run, "agent was paused")
		}
	}
	if !d.woken {
		d.woken = true
		go d.refresh()
	}
}

// refresh asks peers what changed during a pause. If none answers, this part
// of a cut network goes on with what it knows.
func (d *Desk) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshLimit)
	defer cancel()
	d.Refresh(ctx)
	d.configure()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.woken = false
}

// sweep forgets old answers, ends generations that nobody reads, and bounds
// the memory of all answers.
func (d *Desk) sweep(now time.Time) {
	total := 0
	var finished, running []*Run
	for attempt, run := range d.runs {
		end, at := run.Buffer.Ended()
		switch {
		case end != nil && now.Sub(at) > d.Settings.FinishedRetention():
			delete(d.runs, attempt)
			continue
		case end != nil:
			finished = append(finished, run)
		case run.started:
			running = append(running, run)
			if run.Buffer.Unread() > d.Settings.OrphanTimeout() && !run.Offer.NoRepeat {
				run.Buffer.Abandon("nobody reads the answer")
			}
		}
		total += run.Buffer.Bytes()
	}
	d.Meter.BufferedBytes.Set(float64(total))
	if total > d.Settings.BufferBytes {
		d.shrink(total, finished, running)
	}
}

// shrink drops finished answers, oldest first, then ends the largest running
// one, until the bound holds.
func (d *Desk) shrink(total int, finished, running []*Run) {
	slices.SortFunc(finished, func(a, b *Run) int {
		_, x := a.Buffer.Ended()
		_, y := b.Buffer.Ended()
		return x.Compare(y)
	})
	for _, run := range finished {
		if total <= d.Settings.BufferBytes {
			return
		}
		total -= run.Buffer.Bytes()
		delete(d.runs, run.Offer.Attempt)
	}
	slices.SortFunc(running, func(a, b *Run) int { return cmp.Compare(b.Buffer.Bytes(), a.Buffer.Bytes()) })
	for _, run := range running {
		if total <= d.Settings.BufferBytes {
			return
		}
		total -= run.Buffer.Bytes()
		run.Buffer.Abandon("answer memory is full")
	}
}
