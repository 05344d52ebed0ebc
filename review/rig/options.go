package main

import (
	"fmt"
	"time"
)

func init() { scenes["options"] = wholeServer }

// wholeServer sends requests on routes that never existed to gateways, as a few requesters do.
// One of them asks for the options of the whole server.
func wholeServer(b *bed) bool {
	for i := range 2 {
		b.startWorker("app", "east-a", workerPlan{ID: fmt.Sprintf("i-app-%d", i), Work: 30 * time.Millisecond, Slots: 6})
	}
	b.store.put("op/config", map[string]any{
		"version": 3, "limits": limitsOfRequests(),
		"routes":   []any{route("items", "/items/", "idempotent", "app", nil)},
		"backends": []any{map[string]any{"name": "app", "max_connections": 100}},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}}},
	})
	asks := []ask{
		{method: "GET", host: "shop.example", target: "/items/1", key: "k-acme"},
		{method: "OPTIONS", host: "shop.example", target: "/items/1", key: "k-acme"},
		{method: "OPTIONS", host: "shop.example", target: "/never/1", key: "k-acme"},
		{method: "GET", host: "never.example", target: "/items/1", key: "k-acme"},
	}
	if b.trouble {
		asks = append(asks, ask{method: "OPTIONS", host: "shop.example", target: "*", key: "k-acme"}, ask{method: "OPTIONS", host: "never.example", target: "*"})
	}
	wrong := 0
	for _, g := range b.startGateways("east-a", "west-a") {
		for _, q := range asks {
			q.deadline = 2500 * time.Millisecond
			if a := b.send(g.frontend, q); a.status/100 == 2 && a.stamp == "" {
				wrong++
				b.note("%s %s on host %s: a success without the stamp of a worker", q.method, q.target, q.host)
			}
		}
	}
	return wrong > 0
}
