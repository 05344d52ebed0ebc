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
	maintenanceInterval = 50 * time.Millisecond
	healthInterval      = 250 * time.Millisecond
	healthTimeout       = time.Second
	maxHealthFailures   = 4                       // consecutive failures until the endpoint counts as down
	pauseThreshold      = 1500 * time.Millisecond // longer gaps between calls of detectPause mean that the process was paused
	refreshTimeout      = 2 * time.Second
)

// Run applies new configuration versions, checks the endpoint's health and does
// the periodic maintenance until the context ends.
func (d *Desk) Run(ctx context.Context) {
	go d.watchEndpoint(ctx)
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		// The channel is taken before applyConfig reads the configuration, so
		// that a version stored between the two is not missed: it closes the
		// channel.
		changed := d.Store.Changed()
		d.applyConfig()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-tick.C:
				d.maintain()
			}
		}
	}
}

// applyConfig applies the active configuration version.
func (d *Desk) applyConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	service, ok := d.Store.View().Service(d.Settings.Service)
	if !ok {
		d.configured = false
		return
	}
	d.service, d.configured = service, true
	if d.admission == nil {
		d.admission = admit.New(admit.Config{
			Floor: service.FloorOrDefault(), Max: service.ConcurrencyOrDefault(), WarmUp: service.WarmUp(),
			Model: service.Kind == spec.KindModel, Warm: d.Settings.TrustWarmRestart,
		})
	}
	d.admission.SetLimits(service.FloorOrDefault(), service.ConcurrencyOrDefault(), service.WarmUp())
	d.updateDrain()
}

// updateDrain starts draining when this process stops, its host leaves or its
// data centre is out of service, and accepts calls again when none of these
// holds any longer. The caller holds the lock.
func (d *Desk) updateDrain() {
	if d.admission == nil {
		return
	}
	reason := d.findDrainReason()
	if reason == d.drainReason {
		return
	}
	previous := d.drainReason
	d.drainReason = reason
	version := d.Store.View().Version()
	if reason == "" {
		d.admission.Reopen()
		d.Trail.Record(audit.Event{Kind: audit.KindReopened, Subject: d.Settings.Host, Reason: "was " + previous, Version: version})
		return
	}
	d.Trail.Record(audit.Event{Kind: audit.KindDrained, Subject: d.Settings.Host, Reason: reason, Version: version})
	for _, req := range d.admission.Drain() {
		d.dropWaiting(d.runs[req.ID], reason)
	}
}

func (d *Desk) findDrainReason() string {
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

// maintain does the periodic work: pause detection, queue time-outs, starts of
// queued calls, and removal of old runs.
func (d *Desk) maintain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admission == nil {
		return
	}
	now := time.Now()
	d.detectPause(now)
	d.updateDrain()
	for _, req := range d.admission.Expired(now) {
		d.dropWaiting(d.runs[req.ID], "waited too long")
	}
	d.startWaiting(now)
	d.sweepRuns(now)
	d.Meter.ConcurrencyLimit.Set(float64(d.admission.Limit()))
	d.Meter.RunsWaiting.Set(float64(d.admission.Waiting()))
}

// detectPause detects that this process was paused. Calls queued before the
// pause are then refused, since the data centre may have been taken out of
// service in the meantime, and no new call starts until refresh has asked the
// peers. It is called with the lock held, before any call starts.
func (d *Desk) detectPause(now time.Time) {
	paused := !d.lastPauseCheck.IsZero() && now.Sub(d.lastPauseCheck) > pauseThreshold
	d.lastPauseCheck = now
	if !paused {
		return
	}
	for _, run := range d.runs {
		if !run.started && d.admission.Withdraw(run.Offer.Attempt) {
			d.dropWaiting(run, "agent was paused")
		}
	}
	if !d.refreshing {
		d.refreshing = true
		go d.refresh()
	}
}

// refresh fetches from peers what changed during a pause. If no peer answers,
// for example in a network partition, the agent goes on with what it knows.
func (d *Desk) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	d.Refresh(ctx)
	d.applyConfig()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshing = false
}

// sweepRuns removes finished runs after their retention time, cancels
// generations that nobody reads, and bounds the memory of all responses.
func (d *Desk) sweepRuns(now time.Time) {
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
			if run.Buffer.UnreadFor() > d.Settings.OrphanTimeout() && !run.Offer.NoRepeat {
				run.Buffer.Abandon("nobody reads the answer")
			}
		}
		total += run.Buffer.Bytes()
	}
	d.Meter.BufferedBytes.Set(float64(total))
	if total > d.Settings.BufferBytes {
		d.freeBuffers(total, finished, running)
	}
}

// freeBuffers removes finished responses, oldest first, and then cancels running
// ones, largest first, until total is within the limit.
func (d *Desk) freeBuffers(total int, finished, running []*Run) {
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
