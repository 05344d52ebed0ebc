package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenes["foreign"] = foreignEntry }

// Times of the scene foreign.
const (
	foreignWrites = 8
	foreignEvery  = 2500 * time.Millisecond
)

// foreignEntry lets another writer write to the key of a worker: an entry that names another
// service, without the fields sequence and cold_remaining_ms. The worker's next heartbeat
// writes its own entry again.
func foreignEntry(b *bed) bool {
	var shop []*worker
	for i := range 3 {
		shop = append(shop, b.startWorker("shop", "east-a", workerPlan{ID: fmt.Sprintf("i-shop-%d", i), Work: 30 * time.Millisecond, Slots: 6}))
		b.startWorker("stock", "east-a", workerPlan{ID: fmt.Sprintf("i-stock-%d", i), Work: 30 * time.Millisecond, Slots: 6})
	}
	b.store.put("op/config", map[string]any{
		"version": 3, "limits": limitsOfRequests(),
		"routes": []any{
			route("stock", "/stock/", "idempotent", "stock", nil),
			route("debit", "/debit/", "non_idempotent", "shop", map[string]any{"max_attempts": 1}),
		},
		"backends": []any{map[string]any{"name": "shop", "max_connections": 100}, map[string]any{"name": "stock", "max_connections": 100}},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}}},
	})
	gates := b.startGateways("east-a", "west-a")
	var mu sync.Mutex
	sent := map[string]answer{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 12 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(100)) * time.Millisecond):
				}
				q := ask{method: "GET", host: "shop.example", target: "/stock/item-" + newID()[:4], key: "k-acme", deadline: 2500 * time.Millisecond}
				if n%2 == 0 {
					q.method, q.target, q.body = "POST", "/debit/order", "debit "+newID()
				}
				a := b.send(gates[rand.IntN(len(gates))].frontend, q)
				mu.Lock()
				sent[a.id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range foreignWrites {
		w := shop[n%len(shop)]
		if b.trouble {
			entry := w.entry("ready", 0, w.Born)
			entry["backend"] = "stock"
			delete(entry, "sequence")
			delete(entry, "cold_remaining_ms")
			b.store.put("servers/"+w.ID, entry)
			b.note("another writer has written to servers/%s: %v", w.ID, entry)
		}
		time.Sleep(foreignEvery)
	}
	close(stop)
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	b.mu.Lock()
	runs := b.runs
	b.mu.Unlock()
	wrong, total, served := 0, 0, 0
	for _, r := range runs {
		if r.Done {
			continue
		}
		total++
		if strings.HasPrefix(r.Worker, "i-shop-") && strings.HasPrefix(r.Target, "/stock/") {
			wrong++
			if wrong <= 10 {
				a := sent[r.ID]
				b.note("%s of the service shop ran %s %s (%s) at %.3f s; its requester got %d: %q", r.Worker, r.Method, r.Target, r.ID, r.At.Sub(b.began).Seconds(), a.status, a.body)
			}
		}
	}
	for _, a := range sent {
		if a.served() {
			served++
		}
	}
	b.note("%d requests were sent, %d served, %d run; %d requests for the service stock were run by the service shop", len(sent), served, total, wrong)
	return wrong > 0
}
