package desk

import (
	"context"
	"net"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

// health is what the agent knows of its endpoint.
type health struct {
	up       bool
	failures int
	boot     uint64
}

// failed counts a failure. A dial that failed counts fully: the endpoint does
// not listen.
func (h *health) failed() {
	h.failures++
	if h.failures >= downAfter {
		h.up = false
	}
}

// watchEndpoint follows the endpoint's health and load.
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
	known, model := d.known, d.service.Kind == spec.KindModel
	d.mu.Unlock()
	switch {
	case !known:
	case model:
		d.checkEngine()
	default:
		d.checkPlain()
	}
}

func (d *Desk) checkPlain() {
	conn, err := net.DialTimeout("tcp", d.Settings.Endpoint, healthTimeout)
	if err == nil {
		_ = conn.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteHealth(err == nil, 0)
}

func (d *Desk) checkEngine() {
	load, err := d.engine.Load()
	var first bool
	d.mu.Lock()
	if err == nil {
		first = d.health.boot == 0
		d.gate.Report(load.CacheTokens, load.CacheUsed, load.Preemptions)
	}
	d.noteHealth(err == nil, load.Boot)
	d.mu.Unlock()
	if first && err == nil {
		d.adoptRunning()
	}
	if err == nil {
		d.keepModels()
	}
}

// noteHealth records one check. An endpoint that came back or restarted is
// cold, whatever it was before. The caller holds the lock.
func (d *Desk) noteHealth(ok bool, boot uint64) {
	if !ok {
		d.health.failed()
		return
	}
	restarted := d.health.boot != 0 && boot != d.health.boot
	returned := !d.health.up && d.health.failures > 0
	if restarted || returned {
		d.gate.Chill()
		d.Trail.Record(audit.Event{Kind: audit.KindLimitReset, Subject: d.Settings.Host, Reason: "endpoint restarted", Version: d.Store.View().Version()})
	}
	d.health = health{up: true, boot: boot}
}
