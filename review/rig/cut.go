package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenes["cut"] = cutAnswer }

const (
	cutRounds  = 15
	cutWorkers = 6                      // of which one crashes at a time: 0.167 of them
	cutAfter   = 500 * time.Millisecond // from the requests to the crash; the answer takes earlyTime
	earlyTime  = 800 * time.Millisecond
	longBody   = 4 << 20 // bytes: max_body_bytes of the configuration
)

// cutAnswer sends long bodies to workers that answer before they have read them, with answers
// that have no length, and kills one of these workers in the middle of its answer. Its host then
// resets the connection, as part of the body was not read.
func cutAnswer(b *bed) bool {
	var workers []*worker
	for i := range cutWorkers {
		workers = append(workers, b.startWorker("app", "east-a", workerPlan{ID: fmt.Sprintf("i-app-%d", i), Early: earlyTime, Slots: 6}))
	}
	b.store.put("op/config", map[string]any{
		"version": 3, "limits": limitsOfRequests(),
		"routes":   []any{route("order", "/order/", "non_idempotent", "app", map[string]any{"max_attempts": 1})},
		"backends": []any{map[string]any{"name": "app", "max_connections": 100}},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}}},
	})
	gates := b.startGateways("east-a", "west-a")
	body := strings.Repeat("x", longBody)
	var mu sync.Mutex
	whole, cut, failed := 0, 0, 0
	for round := range cutRounds {
		var callers sync.WaitGroup
		began := time.Now()
		for _, g := range gates {
			callers.Go(func() {
				a := b.send(g.frontend, ask{method: "POST", host: "shop.example", target: "/order/1", key: "k-acme", deadline: 2500 * time.Millisecond, body: body})
				all := strings.Join(earlyAnswer(a.id), "")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !a.served():
					failed++
					b.note("%s: status %d, complete %v, error %v after %v", a.id, a.status, a.complete, a.err, a.took)
				case a.body == all:
					whole++
				default:
					cut++
					b.note("%s: a complete answer with status %d, the stamp %q and %d of the worker's %d bytes; its last line is %q", a.id, a.status, a.stamp, len(a.body), len(all), lastLine(a.body))
				}
			})
		}
		time.Sleep(cutAfter)
		crashed := b.runningSince(workers, began)
		if b.trouble && crashed != nil {
			b.crash(crashed)
			b.note("round %d: %s was killed while it answered", round+1, crashed.ID)
		}
		callers.Wait()
		if b.trouble && crashed != nil {
			b.comeBack(crashed)
			time.Sleep(time.Second)
		}
	}
	b.note("%d answers were whole, %d ended early and looked complete, %d requests failed", whole, cut, failed)
	return cut > 0
}

// runningSince returns a worker that has begun a request since a time, nil if there is none.
func (b *bed) runningSince(workers []*worker, since time.Time) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		for _, w := range workers {
			if r.Worker == w.ID && r.At.After(since) {
				return w
			}
		}
	}
	return nil
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}
