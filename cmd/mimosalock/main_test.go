package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const testTimeout = 60 * time.Second

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mimosalock")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "mimosalock")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet has its stand-ins in this process, and one entry and one agent for
// each of two data centres as processes of their own.
type fleet struct {
	*local.Rig
	entry  *exec.Cmd
	agents []*exec.Cmd
	addr   string
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	steady := local.QuickEngine()
	steady.StepBase = 5 * time.Millisecond
	r, err := local.New(local.Options{Centres: []spec.DataCentre{{Name: "galway-a", Region: "west"}, {Name: "mayo-a", Region: "west"}}, Engines: 1, Engine: steady})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	f := &fleet{Rig: r}
	for _, n := range r.Engines() {
		r.KillAgent(n) // its place is taken by a process
		f.agents = append(f.agents, nil)
	}
	for i, n := range r.Engines() {
		n.Settings.Peer, n.Settings.Admin = freeAddress(t), freeAddress(t)
		n.Row.Address = n.Settings.Peer
		f.startAgent(t, i)
	}
	f.addr = freeAddress(t)
	peer, admin := freeAddress(t), freeAddress(t)
	rows := []confsv.HostRow{{Host: "entry-1", DataCentre: "galway-a", Role: "entry", Address: peer, State: "live"}}
	for _, n := range r.Engines() {
		rows = append(rows, n.Row)
	}
	r.Platform.SetHosts(rows)
	f.entry = run(t, "entry", "--host", "entry-1", "--data-centre", "galway-a", "--listen", f.addr, "--peer", peer,
		"--admin", admin, "--platform", r.Platform.Addr(), "--log-level", "error")
	f.wait(t)
	return f
}

// Ports for processes lie below those that the system gives to outgoing
// connections: one of these on the port would keep a process from starting.
const (
	firstPort = 15_000
	lastPort  = 31_000
)

var nextPort = firstPort + os.Getpid()*16%(lastPort-firstPort)

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp4", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (f *fleet) startAgent(t *testing.T, i int) {
	t.Helper()
	s := f.Engines()[i].Settings
	f.agents[i] = run(t, "agent", "--host", s.Host, "--data-centre", s.DataCentre, "--peer", s.Peer, "--admin", s.Admin,
		"--platform", s.Platform, "--service", s.Service, "--endpoint", s.Endpoint, "--log-level", "error")
}

func run(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// wait returns once calls complete.
func (f *fleet) wait(t *testing.T) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if f.call(t, client.New(local.Key), 2).Outcome == client.OutcomeComplete {
			return
		}
	}
	t.Fatal("the fleet never served a call")
}

func (f *fleet) call(t *testing.T, c *client.Client, length int) client.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return c.Generate(ctx, f.addr, local.ModelName, fmt.Sprintf("plan len=%d", length), 0)
}

// busy returns the agent process whose engine runs a stream.
func (f *fleet) busy(t *testing.T) int {
	t.Helper()
	for i, n := range f.Engines() {
		if _, _, running := n.Engine.Stats(); running > 0 {
			return i
		}
	}
	t.Error("no engine runs a stream")
	return 0
}

// during runs the fault when the stream has 20 tokens, and returns the result.
func (f *fleet) during(t *testing.T, fault func()) client.Result {
	t.Helper()
	c := client.New(local.Key)
	c.OnToken = func(n int) {
		if n == 20 {
			fault()
		}
	}
	return f.call(t, c, 200)
}

func expectWhole(t *testing.T, res client.Result) {
	t.Helper()
	if res.Outcome != client.OutcomeComplete || res.Fault != nil || res.Tokens != 200 {
		t.Fatalf("outcome %s, %d tokens, fault %v, body %s", res.Outcome, res.Tokens, res.Fault, res.Body)
	}
}

func TestAgentKilledAndReplaced(t *testing.T) {
	f := startFleet(t)
	expectWhole(t, f.during(t, func() {
		i := f.busy(t)
		_ = f.agents[i].Process.Kill()
		_ = f.agents[i].Wait()
		f.startAgent(t, i)
	}))
}

func TestGracefulStopCutsNothing(t *testing.T) {
	for _, role := range []string{"agent", "entry"} {
		t.Run(role, func(t *testing.T) {
			f := startFleet(t)
			var stopped *exec.Cmd
			expectWhole(t, f.during(t, func() {
				stopped = f.entry
				if role == "agent" {
					stopped = f.agents[f.busy(t)]
				}
				_ = stopped.Process.Signal(syscall.SIGTERM)
			}))
			if err := stopped.Wait(); err != nil {
				t.Fatalf("exit: %v", err)
			}
		})
	}
}

// TestPausedProcessesStartNothing pauses the entry and an agent while a data
// centre is taken out, and wakes both: what they knew before must start nothing.
func TestPausedProcessesStartNothing(t *testing.T) {
	f := startFleet(t)
	const out = 1 // mayo-a
	paused := []*exec.Cmd{f.entry, f.agents[out]}
	for _, p := range paused {
		_ = p.Process.Signal(syscall.SIGSTOP)
	}
	if err := f.SetOut("mayo-a", true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	before := len(f.Engines()[out].Engine.Seen())
	for _, p := range paused {
		_ = p.Process.Signal(syscall.SIGCONT)
	}
	for range 30 {
		f.call(t, client.New(local.Key), 2)
	}
	if n := len(f.Engines()[out].Engine.Seen()); n != before {
		t.Fatalf("%d calls reached the drained data centre after both woke", n-before)
	}
}
