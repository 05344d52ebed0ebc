package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { scenes["zone"] = zoneReturns }

// Times of the scene zone.
const (
	zoneDown   = 4500 * time.Millisecond // the longest cold_return on the sheets
	settle     = 6 * time.Second         // from the zone's return until the steady state; contact_ms is 4 s
	observe    = 15 * time.Second
	addedLeast = 20 // requests on the added routes, as the rule says
	addedShare = 0.25
)

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": "shop.example", "path_prefix": prefix, "route_type": kind, "backend": service,
		"timeout_ms": 2500, "target_latency_ms": 250, "gap_target_ms": 180, "max_attempts": 2, "priority": 1,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

func limitsOfRequests() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 8000}
}

// outcome is what became of one request of a route.
type outcome struct {
	route string
	answer
}

// zoneReturns crashes all workers of a zone at the same moment and starts them again. Two routes
// that were added later, a streaming one and one of lookups, use these workers only.
func zoneReturns(b *bed) bool {
	engine := workerPlan{Events: 3, Gap: 30 * time.Millisecond, Prefill: 250 * time.Millisecond, Slots: 24}
	app := workerPlan{Work: 60 * time.Millisecond, Slots: 6}
	var zone []*worker
	for i := range 4 {
		engine.ID, app.ID = fmt.Sprintf("i-engine-east-%d", i), fmt.Sprintf("i-app-east-%d", i)
		zone = append(zone, b.startWorker("pool", "east-a", engine), b.startWorker("stock", "east-a", app))
		engine.ID, app.ID = fmt.Sprintf("i-engine-west-%d", i), fmt.Sprintf("i-app-west-%d", i)
		b.startWorker("pool", "west-a", engine)
		b.startWorker("shop", "west-a", app)
	}
	first := []any{
		route("plan", "/plan/", "streaming", "pool", map[string]any{"timeout_ms": 6000, "target_latency_ms": 1500, "session_affinity": true, "allowed_regions": []string{"west"}}),
		route("items", "/items/", "idempotent", "shop", nil),
	}
	config := map[string]any{
		"version": 3, "routes": first, "limits": limitsOfRequests(),
		"backends": []any{
			map[string]any{"name": "shop", "max_connections": 100},
			map[string]any{"name": "stock", "max_connections": 100},
			map[string]any{"name": "pool", "max_connections": 222, "engine": map[string]any{"batch_slots": 24, "kv_capacity": 34206, "kv_bytes": 163840, "bandwidth_mbps": 24000, "moves": false}},
		},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}}, map[string]any{"name": "zeta", "api_keys": []string{"k-zeta"}}},
	}
	b.store.put("op/config", config)
	gates := b.startGateways("east-a", "east-a", "west-a")
	config["version"], config["routes"] = 9, append(first,
		route("check", "/check/", "streaming", "pool", map[string]any{"timeout_ms": 6000, "target_latency_ms": 1500, "session_affinity": true, "stream_resume": true, "allowed_regions": []string{"east"}}),
		route("stock", "/stock/", "idempotent", "stock", map[string]any{"allowed_regions": []string{"east"}}))
	b.store.put("op/config", config)
	b.note("version 9, which adds the routes check and stock, is acknowledged")
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var all []outcome
	stop := make(chan struct{})
	var callers sync.WaitGroup
	requester := func(name string, ask func() ask) {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(100)) * time.Millisecond):
				}
				q := ask()
				a := b.send(gates[rand.IntN(len(gates))].frontend, q)
				mu.Lock()
				all = append(all, outcome{name, a})
				mu.Unlock()
				if wait, err := strconv.ParseFloat(a.retryAfter, 64); err == nil { // honoured up to a third of the time left
					time.Sleep(min(time.Duration(wait*float64(time.Second)), (q.deadline-a.took)/3))
				}
			}
		})
	}
	prompt := func(path, system string) func() ask {
		return func() ask {
			return ask{
				method: "POST", host: "shop.example", target: path + "1", key: "k-acme", deadline: 6 * time.Second, body: "prompt " + newID(),
				headers: []string{"Model-Id: m", "Token-Count: 2200,12", "Prefix-Hash: " + system + ":350," + newID()[:8] + ":1850"},
			}
		}
	}
	plain := func(target string) func() ask {
		return func() ask {
			return ask{method: "GET", host: "shop.example", target: target, key: "k-acme", deadline: 2500 * time.Millisecond}
		}
	}
	for range 16 {
		requester("check", prompt("/check/", "5c1e07a2"))
		requester("plan", prompt("/plan/", "77aa10b3"))
	}
	for range 12 {
		requester("stock", plain("/stock/today"))
		requester("items", plain("/items/today"))
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		for _, w := range zone {
			w.signal(9)
		}
		b.note("all %d workers of the zone east-a are killed", len(zone))
	}
	time.Sleep(zoneDown)
	if b.trouble {
		for _, w := range zone {
			b.comeBack(w)
		}
		b.note("the workers of the zone are back and registered")
	}
	time.Sleep(settle)
	from := time.Now()
	time.Sleep(observe)
	until := time.Now()
	close(stop)
	callers.Wait()
	return b.judgeAdded(all, from, until)
}

// judgeAdded applies CONFIG: requests on routes that were added later against those on the first.
func (b *bed) judgeAdded(all []outcome, from, until time.Time) bool {
	type count struct{ asked, served int }
	counts, before, refusals := map[string]*count{}, map[string]*count{}, map[string]int{}
	for _, o := range all {
		in := counts
		switch {
		case o.sent.Before(from):
			in = before
		case o.sent.After(until):
			continue
		}
		if in[o.route] == nil {
			in[o.route] = &count{}
		}
		in[o.route].asked++
		if o.served() {
			in[o.route].served++
		} else if o.sent.After(from) {
			refusals[fmt.Sprintf("%s: status %d, Retry-After %q, body %q, error %v", o.route, o.status, o.retryAfter, o.body, o.err)]++
		}
	}
	ran := 0
	b.mu.Lock()
	for _, r := range b.runs {
		if !r.Done && r.At.After(from) && r.At.Before(until) && (r.Target == "/check/1" || r.Target == "/stock/today") {
			ran++
		}
	}
	b.mu.Unlock()
	for _, name := range []string{"plan", "items", "check", "stock"} {
		b.note("%s: before and during the disruption %+v, in the steady state after it %+v", name, *before[name], *counts[name])
	}
	for text, n := range refusals {
		b.note("%d times %s", n, text)
	}
	b.note("in the steady state the zone's workers ran %d requests", ran)
	firstShare := float64(counts["plan"].served+counts["items"].served) / float64(counts["plan"].asked+counts["items"].asked)
	broken := false
	for _, name := range []string{"check", "stock"} {
		c := counts[name]
		share := float64(c.served) / float64(c.asked)
		b.note("route %s, added later: %d asked, share served %.3f; the first routes: %.3f", name, c.asked, share, firstShare)
		broken = broken || c.asked >= addedLeast && share < addedShare*firstShare
	}
	return broken
}
