package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// notRun is panicked with when a case cannot run.
type notRun string

// must ends the case if err is not nil.
func must(err error) {
	if err != nil {
		panic(notRun(err.Error()))
	}
}

// bed is a small deployment on loopback addresses.
type bed struct {
	gateway string // the program
	folder  string // temporary
	began   time.Time
	trouble bool // the disruption takes place
	subnet  string
	peers   int // the first port of the gateways' range
	store   *store
	config  map[string]any

	mu       sync.Mutex
	record   *os.File
	children []*process
	seeds    []string
	hosts    int
	runs     []run
	zones    map[string]string
}

// run is one request that a worker began to work on, as the worker told it.
type run struct {
	Worker, ID, Method, Target, Tenant, Body string
	At                                       time.Time
	Done                                     bool // the line tells the end of the run
	Left                                     bool // the connection was closed before the end
	Moved                                    bool // the run was stopped by a final move
}

// process is a child that the case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func newBed(gateway, record string) (*bed, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bed{
		gateway: gateway, folder: folder, record: file, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)), peers: 20000 + rand.IntN(10000),
		zones: map[string]string{"east-a": "east", "west-a": "west"},
	}
	b.store = newStore()
	ln, err := net.Listen("tcp4", b.nextIP()+":0")
	if err != nil {
		return nil, err
	}
	b.store.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, b.store) }() // ends with the process
	b.note("the disruption takes place: %v", b.trouble)
	return b, nil
}

// nextIP returns a loopback address of its own for each process, so that ports are free.
func (b *bed) nextIP() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts++
	return fmt.Sprintf("%s.%d", b.subnet, b.hosts)
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (b *bed) close() {
	b.mu.Lock()
	children := b.children
	b.mu.Unlock()
	for _, p := range children {
		p.kill()
	}
	_ = os.RemoveAll(b.folder)
	_ = b.record.Close()
}

// start starts a child whose output goes to a file in the temporary folder, or to out.
func (b *bed) start(name string, out *os.File, env []string, words ...string) *process {
	if out == nil {
		var err error
		out, err = os.Create(filepath.Join(b.folder, name+".log"))
		must(err)
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), env...)
	must(cmd.Start())
	_ = out.Close()
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.children = append(b.children, p)
	b.mu.Unlock()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// gate is one gateway process.
type gate struct {
	*process
	frontend, readiness string
	settings            string
}

// startGateways starts gateways, one a zone in turn, and waits until they are ready.
func (b *bed) startGateways(zones ...string) []*gate {
	ips := make([]string, len(zones))
	for i := range zones {
		ips[i] = b.nextIP()
		if i < 3 {
			b.seeds = append(b.seeds, ips[i]+":8748")
		}
	}
	gates := make([]*gate, len(zones))
	for i, zone := range zones {
		gates[i] = b.startGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), ips[i], zone)
	}
	for _, g := range gates {
		b.awaitReady(g)
	}
	return gates
}

// startGateway starts one gateway with settings as in the deployment's page.
func (b *bed) startGateway(name, ip, zone string) *gate {
	g := &gate{frontend: ip + ":8740", readiness: ip + ":8749", settings: filepath.Join(b.folder, name+".json")}
	settings := map[string]any{
		"node_name": name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control_plane"}, "ip": ip,
		"zone": zone, "region": b.zones[zone], "zones": b.zones,
		"listen":     map[string]string{"frontend": g.frontend, "readiness": g.readiness, "control_plane": ip + ":8748"},
		"port_range": []int{b.peers, b.peers + 15}, "seed_nodes": b.seeds, "bootstrap": true, "fault_counted": false,
		"limits":    map[string]any{"cpu_quota": 0.304, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"data_dir":  nil,
		"discovery": "platform", "entry_type": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
			"loss_slack_ms": 200, "propagation_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 6000, "revoke_strict": false, "revoke_ms": 5000,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "cold_overage": 1.5, "cold_tolerance": 5, "evacuate_ms": 5000,
			"recover_s": 12, "delivery_slack_ms": 300, "reuse_window_s": 4.4,
		},
		"platform": map[string]any{
			"address": b.store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
	raw, err := json.Marshal(settings)
	must(err)
	must(os.WriteFile(g.settings, raw, 0o600))
	g.process = b.start(name, nil, []string{"MIMOSALOCK_SETTINGS=" + g.settings}, b.gateway)
	return g
}

// awaitReady waits until a gateway answers its readiness probe.
func (b *bed) awaitReady(g *gate) {
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		if g.ready() {
			b.note("%s is ready", g.name)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(notRun(g.name + " did not become ready"))
}

// ready probes a gateway as the platform does.
func (g *gate) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
