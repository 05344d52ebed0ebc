package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// program is what deploy/system.toml builds and runs.
const program = "target/gateway"

// Machine is where a gateway runs: an own loopback address for each.
type Machine struct {
	Name   string
	IP     string
	Zone   string
	Region string
}

// Site is a small deployment: machines of the class "edge" and one store.
type Site struct {
	Machines []Machine
	Zones    map[string]string // regions by zone
	Store    *Store
	Record   *Record
	Seeds    []string // IP addresses of the seed nodes; the first three machines if nil
	Bounds   map[string]any

	dir  string
	port int // of callers; the next ones follow

	mu      sync.Mutex
	started []*Gateway
}

// portsPerMachine are those of callers, of readiness, of the control plane, and two between nodes.
const portsPerMachine = 5

// Prepare finds free ports and a temporary folder.
func (s *Site) Prepare() error {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	s.dir = dir
	go s.awaitSignal()
	for range 50 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		if s.arePortsFree(port) {
			s.port = port
			return nil
		}
	}
	return errors.New("no free ports")
}

// awaitSignal ends all gateways if the script is to end early.
func (s *Site) awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	s.mu.Lock() // for good: no other gateway starts
	for _, g := range s.started {
		_ = g.cmd.Process.Kill()
	}
	s.Remove()
	os.Exit(ExitNotRun)
}

// Remove deletes the temporary folder.
func (s *Site) Remove() { _ = os.RemoveAll(s.dir) }

func (s *Site) arePortsFree(first int) bool {
	for _, m := range s.Machines {
		for port := first; port < first+portsPerMachine; port++ {
			address := net.JoinHostPort(m.IP, strconv.Itoa(port))
			ln, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			_ = ln.Close()
			udp, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			_ = udp.Close()
		}
	}
	return true
}

func (s *Site) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.port+offset))
}

// settings are those of a small deployment, as the users' pages show them.
func (s *Site) settings(m Machine) map[string]any {
	seeds := s.Seeds
	if seeds == nil {
		for _, o := range s.Machines[:min(3, len(s.Machines))] {
			seeds = append(seeds, o.IP)
		}
	}
	var nodes []string
	for _, ip := range seeds {
		nodes = append(nodes, s.address(ip, 2))
	}
	bounds := map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
		"loss_slack_ms": 200, "propagation_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 6000, "revoke_strict": false,
		"revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "cold_overage": 1.5, "cold_tolerance": 5,
		"evacuate_ms": 5000, "recover_s": 12, "delivery_slack_ms": 300, "reuse_window_s": 4.4,
	}
	for name, value := range s.Bounds {
		bounds[name] = value
	}
	return map[string]any{
		"node_name": m.Name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": m.IP, "zone": m.Zone, "region": m.Region, "zones": s.Zones,
		"listen":     map[string]string{"frontend": s.address(m.IP, 0), "readiness": s.address(m.IP, 1), "control_plane": s.address(m.IP, 2)},
		"port_range": []int{s.port + 3, s.port + portsPerMachine - 1}, "seed_nodes": nodes, "bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_quota": 0.304, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry_type": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1}, "bounds": bounds,
		"platform": map[string]any{
			"address": s.Store.Address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
}

// Gateway is one process of the system.
type Gateway struct {
	Machine Machine
	Callers string // IP:port
	Started time.Time

	site   *Site
	ready  string
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// Start starts the gateway of a machine. What it writes goes to a file in the temporary folder.
func (s *Site) Start(m Machine) (*Gateway, error) {
	path := filepath.Join(s.dir, m.Name+".json")
	raw, err := json.Marshal(s.settings(m))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Machine: m, Callers: s.address(m.IP, 0), Started: time.Now(), site: s, ready: s.address(m.IP, 1), exited: make(chan struct{}), log: log}
	g.cmd = exec.Command(program)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MIMOSALOCK_SETTINGS=" + path}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	s.started = append(s.started, g)
	s.Record.Printf("%s starts (process %d)", m.Name, g.cmd.Process.Pid)
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	return g, nil
}

// AwaitReady waits until the gateway is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Machine.Name, limit)
}

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(sig syscall.Signal) {
	g.site.Record.Printf("%s gets %v", g.Machine.Name, sig)
	_ = g.cmd.Process.Signal(sig)
}

// Kill kills the gateway's process and waits for its end.
func (g *Gateway) Kill() {
	select {
	case <-g.exited:
	default:
		g.Signal(syscall.SIGKILL)
		<-g.exited
	}
	_ = g.log.Close()
}

// StopProcess sends SIGTERM and, after the grace period, SIGKILL, and waits for the end.
func (g *Gateway) StopProcess(grace time.Duration) {
	g.Signal(syscall.SIGTERM)
	select {
	case <-g.exited:
		g.site.Record.Printf("%s has ended", g.Machine.Name)
		_ = g.log.Close()
	case <-time.After(grace):
		g.Kill()
	}
}
