package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenes["handover"] = handover }

// Times and sizes of the scene handover.
const (
	streamLength  = 200 // events
	streamGap     = 50 * time.Millisecond
	streamsOpened = 140                     // on 7 engines of 24 slots
	engineConns   = 48                      // max_connections: twice the slots
	copyTime      = 50 * time.Millisecond   // of some 900 tokens of 163,840 bytes at 24,000 Mbit/s
	drainLinger   = 6 * time.Second         // drain_ms, 2.5 s, and "at times many seconds"
	firstDrain    = 4500 * time.Millisecond // after the first stream
	drainEvery    = time.Second             // one at a time, as a release does
	drained       = 3                       // of 7: 0.43
	rounds        = 3                       // releases
	roundLength   = 14 * time.Second
	configFrom    = 4 * time.Second
	configEvery   = 3 * time.Second
	configs       = 4
	afterAck      = 3500 * time.Millisecond // propagation_ms and 1 s
)

// keptStream is a stream that was asked for on a kept connection.
type keptStream struct {
	answer
	events int
	ended  time.Time
}

// handover replaces workers one after the other, as a release does, and changes a time-out of the
// configuration meanwhile. Nothing fails.
func handover(b *bed) bool {
	plan := workerPlan{Events: streamLength, Gap: streamGap, Prefill: 200 * time.Millisecond, Slots: 24, Conns: engineConns, Linger: drainLinger, CopyTime: copyTime}
	var engines []*worker
	start := func(name string, count int) {
		for i := range count {
			plan.ID = fmt.Sprintf("i-%s-%d", name, i)
			engines = append(engines, b.startWorker("pool", "east-a", plan))
		}
	}
	start("engine-1", 7)
	b.startWorker("shop", "east-a", workerPlan{ID: "i-shop-0", Work: 10 * time.Millisecond, Slots: 24})
	config := func(version int) map[string]any {
		return map[string]any{
			"version": version, "limits": limitsOfRequests(),
			"routes": []any{
				route("plan", "/plan/", "streaming", "pool", map[string]any{"timeout_ms": 39000, "target_latency_ms": 1800, "max_attempts": 1, "session_affinity": true}),
				route("items", "/items/", "idempotent", "shop", map[string]any{"timeout_ms": 2500 + version}),
			},
			"backends": []any{
				map[string]any{"name": "shop", "max_connections": 100},
				map[string]any{"name": "pool", "max_connections": engineConns, "engine": map[string]any{"batch_slots": 24, "kv_capacity": 34206, "kv_bytes": 163840, "bandwidth_mbps": 24000, "stride": 4, "moves": true}},
			},
			"tenants": []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}}},
		}
	}
	b.store.put("op/config", config(3))
	gates := b.startGateways("east-a", "west-a")
	time.Sleep(11 * time.Second) // traffic starts 10 s after the machines do
	began := time.Now()

	var mu sync.Mutex
	var all []keptStream
	var callers sync.WaitGroup
	for n := range rounds * streamsOpened {
		callers.Go(func() {
			time.Sleep(time.Duration(n/streamsOpened)*roundLength + time.Duration(n%streamsOpened)*20*time.Millisecond)
			s := b.askOnKept(gates[n%len(gates)].frontend)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
	}
	var planned sync.WaitGroup
	planned.Go(func() {
		for round := range rounds {
			time.Sleep(time.Until(began.Add(time.Duration(round)*roundLength + firstDrain)))
			if !b.trouble {
				return
			}
			start(fmt.Sprintf("engine-%d", round+2), drained) // the new one starts first, the old one drains
			for i := range drained {
				b.drain(engines[round*drained+i])
				time.Sleep(drainEvery)
			}
		}
	})
	type window struct{ from, to time.Time }
	var windows []window
	planned.Go(func() {
		for n := range rounds * configs {
			time.Sleep(time.Until(began.Add(time.Duration(n/configs)*roundLength + configFrom + time.Duration(n%configs)*configEvery)))
			w := window{from: time.Now()}
			b.store.put("op/config", config(10+3*n))
			w.to = time.Now().Add(afterAck)
			windows = append(windows, w)
			b.note("configuration version %d is acknowledged", 10+3*n)
		}
	})
	planned.Wait()
	callers.Wait()
	time.Sleep(200 * time.Millisecond)

	whole := map[string]string{} // the worker that has ended the run, by its id
	b.mu.Lock()
	for _, r := range b.runs {
		if r.Done && !r.Left && !r.Moved {
			whole[r.ID] += " " + r.Worker
		}
	}
	b.mu.Unlock()
	lost, beside, complete := 0, 0, 0
	for _, s := range all {
		if s.complete && s.events == streamLength {
			complete++
			continue
		}
		if whole[s.id] == "" {
			b.note("%s: its worker broke off; not counted", s.id)
			continue
		}
		lost++
		in := false
		for _, w := range windows {
			in = in || s.ended.After(w.from) && s.ended.Before(w.to)
		}
		if in {
			beside++
		}
		b.note("%s: status %d, %d of %d events, error %v, %.3f s after it was sent, beside a configuration: %v; its run ended whole at%s", s.id, s.status, s.events, streamLength, s.err, s.ended.Sub(s.sent).Seconds(), in, whole[s.id])
	}
	b.note("%d streams on kept connections: %d complete, %d closed without a complete answer though the worker had sent all, %d of them beside a configuration", len(all), complete, lost, beside)
	return beside > 0 && beside > 3*(lost-beside)
}

// askOnKept asks for a lookup and then, on the same connection, for a stream.
func (b *bed) askOnKept(to string) (s keptStream) {
	s.id, s.sent = newID(), time.Now()
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		s.err, s.ended = err, time.Now()
		return s
	}
	defer func() { _ = c.Close() }()
	const limit = 39 * time.Second
	_ = c.SetDeadline(time.Now().Add(limit))
	r := bufio.NewReader(c)
	_, _ = fmt.Fprintf(c, "GET /items/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Token k-acme\r\n\r\n", newID())
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		panic(err)
	}
	body := "prompt " + s.id
	s.sent = time.Now()
	_, _ = fmt.Fprintf(c, "POST /plan/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token k-acme\r\nModel-Id: m\r\nToken-Count: 900,800\r\nPrefix-Hash: 5c1e07a2:80,%s:820\r\nContent-Length: %d\r\n\r\n%s",
		s.id, limit.Milliseconds(), s.id[:8], len(body), body)
	resp, err = http.ReadResponse(r, nil)
	var raw []byte
	if err == nil {
		s.status, s.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
		raw, err = io.ReadAll(resp.Body)
	}
	s.body, s.err, s.complete, s.ended = string(raw), err, err == nil, time.Now()
	s.events = strings.Count(s.body, "\n\n")
	b.note("request %s POST /plan/1 on a kept connection to %s: status %d, stamp %q, %d events, complete %v, error %v, after %d ms", s.id, to, s.status, s.stamp, s.events, s.complete, err, s.ended.Sub(s.sent).Milliseconds())
	return s
}
