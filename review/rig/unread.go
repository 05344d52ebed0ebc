package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenes["unread"] = slowReaders }

// Sizes and times of the scene unread.
const (
	largeAnswer  = 4 << 20 // bytes, as many as a body may have (max_body_bytes)
	slowEvery    = 100 * time.Millisecond
	slowRate     = 64 << 10 // bytes a second that a requester with a slow link reads
	memoryLimit  = 134 << 20
	watchFor     = 45 * time.Second
	orderEvery   = 50 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	largeTimeout = 39 * time.Second
	endsToBreak  = 3 // of a machine, on two machines at least
)

// slowReaders asks for large answers over slow links, and kills a gateway that holds more memory
// than its settings allow, as the platform does.
func slowReaders(b *bed) bool {
	for i := range 3 {
		b.startWorker("files", "east-a", workerPlan{ID: fmt.Sprintf("i-files-%d", i), Work: 20 * time.Millisecond, Slots: 6, Answer: largeAnswer})
		b.startWorker("shop", "east-a", workerPlan{ID: fmt.Sprintf("i-shop-%d", i), Work: 300 * time.Millisecond, Slots: 6})
	}
	b.store.put("op/config", map[string]any{
		"version": 3, "limits": limitsOfRequests(),
		"routes": []any{
			route("files", "/files/", "idempotent", "files", map[string]any{"timeout_ms": largeTimeout.Milliseconds(), "target_latency_ms": 1800}),
			route("order", "/order/", "non_idempotent", "shop", map[string]any{"target_latency_ms": 1000, "max_attempts": 1}),
		},
		"backends": []any{map[string]any{"name": "files", "max_connections": 100}, map[string]any{"name": "shop", "max_connections": 100}},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"k-acme"}}},
	})
	gates := b.startGateways("east-a", "west-a")
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var work sync.WaitGroup
	ends, most := make([]int, len(gates)), make([]int64, len(gates))
	for i, g := range gates {
		work.Go(func() { ends[i], most[i] = b.limitMemory(g, stop) })
	}
	var whole, asked atomic.Int64
	work.Go(func() {
		for n := 0; !isClosed(stop); n++ {
			work.Go(func() {
				asked.Add(1)
				if status, read := b.readSlowly(gates[n%len(gates)].frontend, b.trouble, stop); status == http.StatusOK && read == largeAnswer {
					whole.Add(1)
				}
			})
			time.Sleep(slowEvery)
		}
	})
	var orders, lost atomic.Int64
	work.Go(func() {
		for n := 0; !isClosed(stop); n++ {
			work.Go(func() {
				a := b.send(gates[n%len(gates)].frontend, ask{method: "POST", host: "shop.example", target: "/order/1", key: "k-acme", deadline: 2500 * time.Millisecond, body: "order"})
				orders.Add(1)
				if a.err != nil && !strings.Contains(a.err.Error(), "refused") {
					lost.Add(1)
				}
			})
			time.Sleep(orderEvery)
		}
	})
	time.Sleep(watchFor)
	close(stop)
	work.Wait()
	machines := 0
	for i, g := range gates {
		b.note("%s held %d MB at most of %d and was ended for it %d times", g.name, most[i]>>20, memoryLimit>>20, ends[i])
		if ends[i] >= endsToBreak {
			machines++
		}
	}
	b.note("%d of %d large answers were read whole; %d of %d orders that may run once broke off without an answer", whole.Load(), asked.Load(), lost.Load(), orders.Load())
	return machines >= 2
}

func isClosed(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// limitMemory kills a gateway whenever it holds more than memoryLimit, and starts it again.
func (b *bed) limitMemory(g *gate, stop chan struct{}) (ends int, most int64) {
	name := g.name
	for !isClosed(stop) {
		held := residentBytes(g.cmd.Process.Pid)
		most = max(most, held)
		if held > memoryLimit {
			ends++
			b.note("%s holds %d MB, memory_mb is %d: the platform ends it", name, held>>20, memoryLimit>>20)
			g.kill()
			time.Sleep(restartAfter)
			g.process = b.start(fmt.Sprintf("%s-%d", name, ends), nil, []string{"MIMOSALOCK_SETTINGS=" + g.settings}, b.gateway)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ends, most
}

// residentBytes returns the memory that a process holds.
func residentBytes(pid int) int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty once it is gone
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// readSlowly asks for a large answer and reads it at slowRate, or at once.
func (b *bed) readSlowly(to string, slow bool, stop chan struct{}) (status, read int) {
	id := newID()
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	_ = c.SetDeadline(time.Now().Add(largeTimeout))
	_, _ = fmt.Fprintf(c, "GET /files/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token k-acme\r\n\r\n", id, largeTimeout.Milliseconds())
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		b.note("request %s GET /files/1: %v", id, err)
		return 0, 0
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buffer)
		read += n
		if err != nil {
			if err != io.EOF {
				b.note("request %s GET /files/1: status %d, %d bytes, then %v", id, resp.StatusCode, read, err)
			}
			return resp.StatusCode, read
		}
		if slow {
			select {
			case <-time.After(time.Duration(n) * time.Second / slowRate):
			case <-stop:
				return resp.StatusCode, read
			}
		}
	}
}
