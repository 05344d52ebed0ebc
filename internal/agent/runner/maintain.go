package runner

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
func (r *Runner) Run(ctx context.Context) {
	go r.watchEndpoint(ctx)
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		// The channel is taken before applyConfig reads the configuration, so
		// that a version stored between the two is not missed: it closes the
		// channel.
		changed := r.Store.Changed()
		r.applyConfig()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-tick.C:
				r.maintain()
			}
		}
	}
}

// applyConfig applies the active configuration version.
func (r *Runner) applyConfig() {
	r.mu.Lock()
	defer r.mu.Unlock()
	service, ok := r.Store.View().Service(r.Settings.Service)
	if !ok {
		r.configured = false
		return
	}
	r.service, r.configured = service, true
	if r.admission == nil {
		r.admission = admit.New(admit.Config{
			Floor: service.FloorOrDefault(), Max: service.ConcurrencyOrDefault(), WarmUpWork: service.WarmUp(),
			IsEngine: service.Kind == spec.KindModel, StartWarm: r.Settings.TrustWarmRestart,
		})
	}
	r.admission.SetLimits(service.FloorOrDefault(), service.ConcurrencyOrDefault(), service.WarmUp())
	r.updateDrain()
}

// updateDrain starts draining when this process stops, its host leaves or its
// data centre is out of service, and accepts calls again when none of these
// holds any longer. The caller holds the lock.
func (r *Runner) updateDrain() {
	if r.admission == nil {
		return
	}
	reason := r.findDrainReason()
	if reason == r.drainReason {
		return
	}
	previous := r.drainReason
	r.drainReason = reason
	version := r.Store.View().Version()
	if reason == "" {
		r.admission.Reopen()
		r.Trail.Record(audit.Event{Kind: audit.KindReopened, Subject: r.Settings.Host, Reason: "was " + previous, Version: version})
		return
	}
	r.Trail.Record(audit.Event{Kind: audit.KindDrained, Subject: r.Settings.Host, Reason: reason, Version: version})
	for _, req := range r.admission.Drain() {
		r.dropWaiting(r.runs[req.ID], reason)
	}
}

func (r *Runner) findDrainReason() string {
	if m, listed := r.Roster.Find(r.Settings.Host); listed { // a host whose entry has lapsed has not come back
		r.leaving = m.Leaving
	}
	switch {
	case r.stopping:
		return "agent is stopping"
	case r.leaving:
		return "host is leaving"
	case !r.Store.View().InService(r.Settings.DataCentre):
		return "data centre is out of service"
	}
	return ""
}

// maintain does the periodic work: pause detection, queue timeouts, starts of
// queued calls, and removal of old runs.
func (r *Runner) maintain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.admission == nil {
		return
	}
	now := time.Now()
	r.detectPause(now)
	r.updateDrain()
	for _, req := range r.admission.RemoveExpired(now) {
		r.dropWaiting(r.runs[req.ID], "waited too long")
	}
	r.startWaiting(now)
	r.sweepRuns(now)
	r.Metrics.ConcurrencyLimit.Set(float64(r.admission.Limit()))
	r.Metrics.RunsWaiting.Set(float64(r.admission.Waiting()))
}

// detectPause detects that this process was paused. Calls queued before the
// pause are then refused, since the data centre may have been taken out of
// service in the meantime, and no new call starts until refresh has asked the
// peers. It is called with the lock held, before any call starts.
func (r *Runner) detectPause(now time.Time) {
	paused := !r.lastPauseCheck.IsZero() && now.Sub(r.lastPauseCheck) > pauseThreshold
	r.lastPauseCheck = now
	if !paused {
		return
	}
	for _, run := range r.runs {
		if !run.started && r.admission.Withdraw(run.Offer.Attempt) {
			r.dropWaiting(run, "agent was paused")
		}
	}
	if !r.refreshing {
		r.refreshing = true
		go r.refresh()
	}
}

// refresh fetches from peers what changed during a pause. If no peer answers,
// for example in a network partition, the agent goes on with what it knows.
func (r *Runner) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	r.RefreshFromPeers(ctx)
	r.applyConfig()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshing = false
}

// sweepRuns removes finished runs after their retention time, cancels
// generations that nobody reads, and bounds the memory of all responses.
func (r *Runner) sweepRuns(now time.Time) {
	total := 0
	var finished, running []*Run
	for attempt, run := range r.runs {
		end, at := run.Buffer.Ended()
		switch {
		case end != nil && now.Sub(at) > r.Settings.FinishedRetention():
			delete(r.runs, attempt)
			continue
		case end != nil:
			finished = append(finished, run)
		case run.started:
			running = append(running, run)
			if run.Buffer.UnreadFor() > r.Settings.OrphanTimeout() && !run.Offer.NoRepeat {
				run.Buffer.Abandon("nobody reads the answer")
			}
		}
		total += run.Buffer.Bytes()
	}
	r.Metrics.BufferedBytes.Set(float64(total))
	if total > r.Settings.BufferBytes {
		r.freeBuffers(total, finished, running)
	}
}

// freeBuffers removes finished responses, oldest first, and then cancels running
// ones, largest first, until total is within the limit.
func (r *Runner) freeBuffers(total int, finished, running []*Run) {
	slices.SortFunc(finished, func(a, b *Run) int {
		_, x := a.Buffer.Ended()
		_, y := b.Buffer.Ended()
		return x.Compare(y)
	})
	for _, run := range finished {
		if total <= r.Settings.BufferBytes {
			return
		}
		total -= run.Buffer.Bytes()
		delete(r.runs, run.Offer.Attempt)
	}
	slices.SortFunc(running, func(a, b *Run) int { return cmp.Compare(b.Buffer.Bytes(), a.Buffer.Bytes()) })
	for _, run := range running {
		if total <= r.Settings.BufferBytes {
			return
		}
		total -= run.Buffer.Bytes()
		run.Buffer.Abandon("answer memory is full")
	}
}
