package desk

import (
	"context"
	"net"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

// health is the result of the recent health checks of the endpoint.
type health struct {
	up       bool
	failures int    // consecutive
	bootID   uint64 // differs after each restart of an engine, 0 for a plain service
}

// recordFailure counts a failed health check, or a call that could not connect,
// which counts as much because the endpoint is not listening.
func (h *health) recordFailure() {
	h.failures++
	if h.failures >= maxHealthFailures {
		h.up = false
	}
}

// watchEndpoint checks the endpoint's health and load until the context ends.
func (d *Desk) watchEndpoint(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		d.checkEndpoint()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (d *Desk) checkEndpoint() {
	d.mu.Lock()
	known, model := d.configured, d.service.Kind == spec.KindModel
	d.mu.Unlock()
	switch {
	case !known:
	case model:
		d.checkEngine()
	default:
		d.checkPlainEndpoint()
	}
}

func (d *Desk) checkPlainEndpoint() {
	conn, err := net.DialTimeout("tcp", d.Settings.Endpoint, healthTimeout)
	if err == nil {
		_ = conn.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordHealth(err == nil, 0)
}

func (d *Desk) checkEngine() {
	load, err := d.engine.Load()
	var first bool
	d.mu.Lock()
	if err == nil {
		first = d.health.bootID == 0
		d.admission.Report(load.CacheTokens, load.CacheUsed, load.Preemptions)
	}
	d.recordHealth(err == nil, load.Boot)
	d.mu.Unlock()
	if first && err == nil {
		d.adoptRunning()
	}
	if err == nil {
		d.updateModels()
	}
}

// recordHealth records the result of one check. An endpoint that restarted or
// became reachable again counts as cold, so its concurrency limit returns to the
// floor. The caller holds the lock.
func (d *Desk) recordHealth(ok bool, boot uint64) {
	if !ok {
		d.health.recordFailure()
		return
	}
	restarted := d.health.bootID != 0 && boot != d.health.bootID
	returned := !d.health.up && d.health.failures > 0
	if restarted || returned {
		d.admission.ResetLimit()
		d.Trail.Record(audit.Event{Kind: audit.KindLimitReset, Subject: d.Settings.Host, Reason: "endpoint restarted", Version: d.Store.View().Version()})
	}
	d.health = health{up: true, bootID: boot}
}
