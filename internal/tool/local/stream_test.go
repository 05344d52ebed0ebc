package local_test

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/gone"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

func TestStreamSurvives(t *testing.T) {
	const length, faultAt = 200, 40
	cases := []struct {
		name  string
		fault func(r *local.Rig, n *local.Node)
	}{
		{"cut link", func(_ *local.Rig, n *local.Node) { n.Link.Cut() }},
		{"silent link", func(_ *local.Rig, n *local.Node) { n.Link.Silence() }},
		{"stalled link", func(_ *local.Rig, n *local.Node) {
			n.Link.Stall(true)
			time.AfterFunc(5*time.Second, func() { n.Link.Stall(false) })
		}},
		{"cut engine link", func(_ *local.Rig, n *local.Node) { n.Endpoint.Cut() }},
		{"silent engine link", func(_ *local.Rig, n *local.Node) { n.Endpoint.Silence() }},
		{"stalled engine", func(_ *local.Rig, n *local.Node) {
			n.Engine.Stall(true)
			time.AfterFunc(9*time.Second, func() { n.Engine.Stall(false) })
		}},
		{"agent restart", func(r *local.Rig, n *local.Node) {
			r.KillAgent(n)
			if err := r.StartAgent(n); err != nil {
				panic(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 1, Engines: 2, Engine: steadyEngine(), Links: true})
			user := at(faultAt, func() { c.fault(r, holds(t, r)) })
			expectWhole(t, user.Generate(testContext(t), r.Entries()[0].Callers, local.ModelName, prompt(length), 0), length)
		})
	}
}

func TestEngineDeath(t *testing.T) {
	t.Run("after the first token", func(t *testing.T) {
		t.Parallel()
		r := start(t, local.Options{Entries: 1, Engines: 2, Engine: steadyEngine()})
		user := at(20, func() { holds(t, r).Engine.Close() })
		res := user.Generate(testContext(t), r.Entries()[0].Callers, local.ModelName, prompt(300), 0)
		expectOutcome(t, res, client.OutcomeInterrupted)
	})
	t.Run("before the first token", func(t *testing.T) {
		t.Parallel()
		r := start(t, local.Options{Entries: 1, Engines: 2, Engine: steadyEngine()})
		for _, n := range r.Engines() {
			n.Engine.Stall(true)
		}
		go func() {
			eventually(t, "an engine sees the call", func() bool { return len(seen(r)) > 0 })
			dead := holds(t, r)
			dead.Engine.Close()
			for _, n := range r.Engines() {
				n.Engine.Stall(false)
			}
		}()
		res := client.New(local.Key).Generate(testContext(t), r.Entries()[0].Callers, local.ModelName, prompt(50), 0)
		expectWhole(t, res, 50)
	})
	t.Run("whole delivery runs again", func(t *testing.T) {
		t.Parallel()
		r := start(t, local.Options{Entries: 1, Engines: 2, Engine: steadyEngine(), Config: func(f *spec.File) {
			f.Services[0].Delivery = spec.DeliveryWhole
		}})
		go func() {
			eventually(t, "a generation has begun", func() bool { return len(seen(r)) > 0 })
			time.Sleep(200 * time.Millisecond)
			holds(t, r).Engine.Close()
		}()
		res := client.New(local.Key).Generate(testContext(t), r.Entries()[0].Callers, local.ModelName, prompt(200), 0)
		expectWhole(t, res, 200)
	})
}

func seen(r *local.Rig) map[string]int {
	out := map[string]int{}
	for _, n := range r.Engines() {
		for id, count := range n.Engine.Seen() {
			out[id] += count
		}
	}
	return out
}

func TestAnotherEntryTakesOver(t *testing.T) {
	r := start(t, local.Options{Entries: 2, Engines: 2, Engine: steadyEngine(), Links: true})
	first, second := r.Entries()[0], r.Entries()[1]
	user := at(40, func() { r.KillEntry(first) })
	ctx := testContext(t)
	res := user.Generate(ctx, first.Callers, local.ModelName, prompt(300), 0)
	if res.Outcome == client.OutcomeComplete {
		t.Fatal("the entry lived on")
	}
	res = user.Resume(ctx, second.Callers, res)
	expectWhole(t, res, 300)
}

func TestFinishedStreamCanBeResumed(t *testing.T) {
	r := start(t, local.Options{Entries: 2, Engines: 1})
	ctx := testContext(t)
	user := client.New(local.Key)
	res := user.Generate(ctx, r.Entries()[0].Callers, local.ModelName, prompt(30), 0)
	expectWhole(t, res, 30)
	id, _, err := callid.ParseEventID(res.LastEvent)
	if err != nil {
		t.Fatal(err)
	}
	part := client.Result{LastEvent: id.EventID(9), Tokens: 10, Generation: res.Generation}
	expectWhole(t, user.Resume(ctx, r.Entries()[1].Callers, part), 30)
}

func TestWorkspacesAreApart(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Engines: 1})
	ctx := testContext(t)
	addr := r.Entries()[0].Callers
	res := client.New(local.Key).Generate(ctx, addr, local.ModelName, prompt(30), 0)
	expectWhole(t, res, 30)
	stranger := client.New(local.OtherKey).Resume(ctx, addr, client.Result{LastEvent: res.LastEvent})
	if stranger.Status != 404 || stranger.Tokens != 0 {
		t.Fatalf("another workspace got status %d and %d tokens", stranger.Status, stranger.Tokens)
	}
	if unknown := client.New("no such key").Generate(ctx, addr, local.ModelName, prompt(3), 0); unknown.Status != 401 {
		t.Fatalf("an unknown key got status %d", unknown.Status)
	}
}

func TestCallerGoesAway(t *testing.T) {
	cases := []struct{ name, body string }{
		{"whole answer", `{"model":"` + local.ModelName + `","messages":[{"role":"user","content":"len=100000"}]}`},
		{"stream", `{"model":"` + local.ModelName + `","stream":true,"messages":[{"role":"user","content":"len=100000"}]}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 1, Engines: 1, Engine: steadyEngine(), Adjust: func(s *setup.Settings) { s.OrphanMs = 500 }})
			conn := post(t, r.Entries()[0].Callers, c.body)
			engine := r.Engines()[0].Engine
			eventually(t, "the engine runs the call", func() bool {
				if _, _, n := engine.Stats(); n > 0 {
					return true
				}
				if !gone.Quiet(conn) { // answered: an agent that was kept from running refuses, truly
					_ = conn.Close()
					conn = post(t, r.Entries()[0].Callers, c.body)
				}
				return false
			})
			_ = conn.Close()
			eventually(t, "the engine's memory is free", func() bool { _, _, n := engine.Stats(); return n == 0 })
		})
	}
}

// post sends a raw request and returns the open connection.
func post(t *testing.T, addr, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + local.Key + "\r\nContent-Length: "
	w := bufio.NewWriter(conn)
	_, _ = w.WriteString(head + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestSlowCaller(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Engines: 1, Adjust: func(s *setup.Settings) {
		s.SlowCallerMs, s.OrphanMs, s.BufferBytes = 1000, 500, 1<<20
	}})
	addr := r.Entries()[0].Callers
	long := `{"model":"` + local.ModelName + `","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", 40) + ` len=60000"}]}`
	post(t, addr, long) // never reads
	engine := r.Engines()[0].Engine
	eventually(t, "the engine runs the call", func() bool { _, _, n := engine.Stats(); return n == 1 })
	expectWhole(t, client.New(local.Key).Generate(testContext(t), addr, local.ModelName, prompt(100), 0), 100)
	eventually(t, "the slow caller's generation is ended", func() bool { _, _, n := engine.Stats(); return n == 0 })
}

// A third of the endpoints die under load. Retries stay within a tenth of the
// first tries, beside what each entry may spend at its start.
func TestRetriesStayBounded(t *testing.T) {
	r := start(t, local.Options{Entries: 2, Engines: 6})
	ctx := testContext(t)
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			for range 12 {
				e := r.Entries()[i%2]
				client.New(local.Key).Generate(ctx, e.Callers, local.ModelName, prompt(60), 0)
			}
		})
	}
	eventually(t, "calls run", func() bool { return len(seen(r)) > 20 })
	for _, n := range r.Engines()[:2] {
		n.Engine.Close()
		r.KillAgent(n)
	}
	all.Wait()
	const atStart = 3
	for _, e := range r.Entries() {
		firsts, retries := e.Entry.Retries()
		t.Logf("%d retries on %d first tries", retries, firsts)
		if float64(retries) > 0.1*float64(firsts)+atStart {
			t.Errorf("%d retries on %d first tries", retries, firsts)
		}
	}
}
