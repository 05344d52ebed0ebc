package runner

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
func (r *Runner) watchEndpoint(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		r.checkEndpoint()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (r *Runner) checkEndpoint() {
	r.mu.Lock()
	configured, isEngine := r.configured, r.service.Kind == spec.KindModel
	r.mu.Unlock()
	switch {
	case !configured:
	case isEngine:
		r.checkEngine()
	default:
		r.checkPlainEndpoint()
	}
}

func (r *Runner) checkPlainEndpoint() {
	conn, err := net.DialTimeout("tcp", r.Settings.Endpoint, healthTimeout)
	if err == nil {
		_ = conn.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordHealth(err == nil, 0)
}

func (r *Runner) checkEngine() {
	load, err := r.engine.Load()
	var first bool
	r.mu.Lock()
	if err == nil {
		first = r.health.bootID == 0
		r.admission.RecordMemory(load.CacheTokens, load.CacheUsed, load.Preemptions)
	}
	r.recordHealth(err == nil, load.Boot)
	r.mu.Unlock()
	if first && err == nil {
		r.adoptRunning()
	}
	if err == nil {
		r.updateModels()
	}
}

// recordHealth records the result of one check. An endpoint that restarted or
// became reachable again counts as cold, so its concurrency limit returns to the
// floor. The caller holds the lock.
func (r *Runner) recordHealth(ok bool, bootID uint64) {
	if !ok {
		r.health.recordFailure()
		return
	}
	restarted := r.health.bootID != 0 && bootID != r.health.bootID
	if restarted {
		r.closedUntil = time.Time{}
		r.modelOrders.Forget()
	}
	reachableAgain := !r.health.up && r.health.failures > 0
	if restarted || reachableAgain {
		r.admission.ResetLimit()
		r.Trail.Record(audit.Event{Kind: audit.KindLimitReset, Subject: r.Settings.Host, Reason: "endpoint restarted", Version: r.Store.View().Version()})
	}
	r.health = health{up: true, bootID: bootID}
}
