package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// workerPlan is what a worker process is told.
type workerPlan struct {
	ID, Address string
	Work        time.Duration // of a request
	Events      int           // of a stream, 0 for a plain answer
	Gap         time.Duration // between events
	Prefill     time.Duration // from the head of a stream to its first event
	Slots       int
	Answer      int           // bytes of a plain answer, 0 for a line
	Conns       int           // connections that it accepts, as max_connections says; 0 for no limit
	Linger      time.Duration // from SIGTERM until it takes no new connections; what runs then, it finishes
	CopyTime    time.Duration // of the memory of a run
	Early       time.Duration // a plain worker answers before it has read a long body, and takes so long for its answer
	Born        int64
}

// worker is a worker as the case sees it.
type worker struct {
	*process
	workerPlan
	service, zone string
	stopBeat      chan struct{}
	draining      atomic.Bool
}

// startWorker starts a worker process and registers it in the store.
func (b *bed) startWorker(service, zone string, plan workerPlan) *worker {
	ip := b.nextIP()
	plan.Address = ip + ":9000"
	w := &worker{workerPlan: plan, service: service, zone: zone}
	b.boot(w)
	return w
}

// boot starts the process of a worker, also again after it was killed.
func (b *bed) boot(w *worker) {
	w.Born = time.Now().UnixMilli()
	raw, err := json.Marshal(w.workerPlan)
	must(err)
	reader, writer, err := os.Pipe()
	must(err)
	self, err := os.Executable()
	must(err)
	w.process = b.start(w.ID, writer, nil, self, "worker", string(raw))
	go b.hear(w.ID, reader)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.DialTimeout("tcp4", w.Address, time.Second)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(until) {
			panic(notRun("worker " + w.ID + " does not listen"))
		}
	}
	w.stopBeat = make(chan struct{})
	go b.beat(w, w.process, w.stopBeat, w.Born)
}

// entry is the worker's registration.
func (w *worker) entry(state string, sequence int, born int64) map[string]any {
	return map[string]any{
		"backend": w.service, "address": w.Address, "zone": w.zone, "version": "v1", "batch_slots": w.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": born,
	}
}

// beat writes the worker's entry as long as its process runs, and removes it three intervals
// after the last one.
func (b *bed) beat(w *worker, p *process, stop chan struct{}, born int64) {
	for n := 1; ; n++ {
		if p.alive() {
			b.store.put("servers/"+w.ID, w.entry(w.state(), n, born))
		}
		select {
		case <-stop:
			return
		case <-p.done:
			select {
			case <-time.After(3 * heartbeat):
				b.store.remove("servers/" + w.ID)
			case <-stop:
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) state() string {
	if w.draining.Load() {
		return "draining"
	}
	return "ready"
}

// drain begins the planned shutdown of a worker.
func (b *bed) drain(w *worker) {
	w.draining.Store(true)
	b.store.put("servers/"+w.ID, w.entry("draining", 1000, w.Born))
	w.signal(syscall.SIGTERM)
	b.note("%s reports draining", w.ID)
}

// crash kills a worker's process.
func (b *bed) crash(w *worker) { w.kill() }

// comeBack starts a worker again under its id and address.
func (b *bed) comeBack(w *worker) {
	close(w.stopBeat)
	b.boot(w)
}

// hear collects what a worker tells of its runs.
func (b *bed) hear(id string, from io.ReadCloser) {
	defer func() { _ = from.Close() }()
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r run
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			b.note("worker %s says: %s", id, lines.Text())
			continue
		}
		what := "begins"
		if r.Done {
			what = "ends"
		}
		b.note("run of %s %s %s (tenant %q) %s at worker %s", r.ID, r.Method, r.Target, r.Tenant, what, r.Worker)
		b.mu.Lock()
		b.runs = append(b.runs, r)
		b.mu.Unlock()
	}
}

// runWorker is the worker process.
func runWorker(raw string) {
	var plan workerPlan
	if err := json.Unmarshal([]byte(raw), &plan); err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	var running atomic.Int64
	out := json.NewEncoder(os.Stdout)
	lines := make(chan run, 1024)
	go func() {
		for r := range lines {
			_ = out.Encode(r)
		}
	}()
	var draining atomic.Bool
	memory := &memories{runs: map[string]*generation{}, copies: map[string]bool{}, moved: map[string]bool{}, copyTime: plan.CopyTime}
	serve := func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		id := r.Header.Get("Attempt-Id")
		h.Set("Keep-Alive", "timeout=10")
		switch {
		case r.URL.Path == "/report":
			state := "ready"
			if draining.Load() {
				state = "draining"
			}
			reply(w, map[string]any{"phase": "unified", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0, "running": running.Load(), "kv_used": 0, "kv_total": 30000, "kv_handles": 0, "state": state})
			return
		case memory.serve(w, r):
			return
		}
		h.Set("Attempt-Id", id)
		body, err := io.ReadAll(r.Body)
		reject := 0
		switch expected := r.Header.Get("Expect-Instance"); {
		case err != nil || id == "":
			reject = http.StatusBadRequest
		case expected != "" && expected != plan.ID:
			reject = http.StatusMisdirectedRequest
		case running.Load() >= int64(plan.Slots), !memory.use(r.Header.Get("Kv-From")):
			reject = http.StatusServiceUnavailable
		}
		if reject != 0 {
			h.Set("Not-Executed", "1")
			w.WriteHeader(reject)
			return
		}
		running.Add(1)
		defer running.Add(-1)
		told := run{Worker: plan.ID, ID: id, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("Tenant-Id"), Body: string(body), At: time.Now()}
		lines <- told
		defer func() {
			told.Done, told.Left, told.Moved, told.At = true, r.Context().Err() != nil, memory.wasMoved(id), time.Now()
			lines <- told
		}()
		h.Set("Server-Stamp", "stamp."+plan.ID+"."+id)
		h.Set("Instance-Id", plan.ID)
		if plan.Events > 0 {
			streamEvents(w, r, plan, id, memory)
			return
		}
		select {
		case <-time.After(plan.Work):
			if plan.Answer > 0 {
				_, _ = w.Write(make([]byte, plan.Answer))
				return
			}
			fmt.Fprintf(w, "answer to %s of %s by %s\n", id, strings.TrimSpace(r.RequestURI), plan.ID)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	ln, err := net.Listen("tcp4", plan.Address)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	if plan.Early > 0 {
		serveEarly(ln, plan, lines)
		return
	}
	if plan.Conns > 0 {
		ln = &cappedListener{Listener: ln, most: int64(plan.Conns)}
	}
	server := &http.Server{Handler: http.HandlerFunc(serve)}
	ended := make(chan struct{})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		draining.Store(true)
		time.Sleep(plan.Linger)
		_ = server.Shutdown(context.Background()) // waits for what runs
		close(ended)
	}()
	if err := server.Serve(ln); errors.Is(err, http.ErrServerClosed) {
		<-ended
		time.Sleep(50 * time.Millisecond) // for the last lines of output
	}
}

func streamEvents(w http.ResponseWriter, r *http.Request, plan workerPlan, id string, memory *memories) {
	g := memory.begin(id)
	defer memory.end(id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	wait := plan.Prefill
	for n := after + 1; n <= plan.Events; n++ {
		select {
		case <-time.After(wait):
		case <-g.stop: // moved away
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		wait = plan.Gap
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if controller.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		g.created.Store(int64(n))
	}
}

// earlyParts is how many parts an early answer has. Together they are earlyAnswer.
const earlyParts = 8

func earlyAnswer(id string) (parts []string) {
	for n := range earlyParts {
		parts = append(parts, fmt.Sprintf("part %d of %d of the answer to %s\n", n+1, earlyParts, id))
	}
	return parts
}

// serveEarly is a worker that answers while a long body still arrives, and reads the rest after
// that. Its answer has no length and ends with its connection.
func serveEarly(ln net.Listener, plan workerPlan, lines chan<- run) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			id := r.Header.Get("Attempt-Id")
			if id == "" || r.Header.Get("Expect-Instance") != plan.ID {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
				return
			}
			lines <- run{Worker: plan.ID, ID: id, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("Tenant-Id"), At: time.Now()}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nConnection: close\r\n\r\n", id, plan.ID, id)
			for _, part := range earlyAnswer(id) {
				_, _ = io.WriteString(c, part)
				time.Sleep(plan.Early / earlyParts)
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}()
	}
}

// cappedListener accepts a number of connections and resets any beyond that.
type cappedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &cappedConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close then resets it
		}
		_ = c.Close()
	}
}

type cappedConn struct {
	net.Conn
	listener *cappedListener
	once     sync.Once
}

// Close makes room for another connection.
func (c *cappedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
