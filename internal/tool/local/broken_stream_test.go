package local_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Guards against an engine's error in the middle or at the end of a stream that broke off
// and that the engine refuses to resume.
func TestBrokenStreamHoldsNoError(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *local.Fleet, n *local.Node)
	}{
		{"engine link", func(_ *local.Fleet, n *local.Node) { n.EndpointLink.Cut() }},
		{"agent restart", func(r *local.Fleet, n *local.Node) {
			r.KillAgent(n)
			if err := r.StartAgent(n); err != nil {
				panic(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 1, Engines: 2, Engine: steadyEngine(), FaultLinks: true})
			caller := clientWithFault(40, func() {
				n := runningNode(t, r)
				n.Engine.SetBusy(true, 0)
				c.fault(r, n)
			})
			res := caller.Generate(testContext(t), r.Entries()[0].CallerAddr, local.ModelName, prompt(300), 0)
			expectOutcome(t, res, client.OutcomeInterrupted)
		})
	}
}

// Guards against an engine's error that reaches the caller as an event, with [DONE], because
// the engine before it had begun a stream. The service delivers streams whole.
func TestErrorAfterBrokenWholeDelivery(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Engines: 2, Engine: steadyEngine(), AdjustConfig: func(f *spec.File) {
		f.Services[0].Delivery = spec.DeliveryWhole
	}})
	go func() {
		eventually(t, "a generation has begun", func() bool { return len(submissions(r)) > 0 })
		time.Sleep(200 * time.Millisecond)
		broken := runningNode(t, r)
		for _, n := range r.Engines() {
			if n != broken {
				n.Engine.SetBusy(true, 0)
			}
		}
		broken.Engine.Close()
	}()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, local.ModelName, prompt(200))
	resp, got := request(t, "POST", "http://"+r.Entries()[0].CallerAddr+"/v1/chat/completions", local.Key, body, nil)
	if resp.StatusCode != 503 || !strings.HasPrefix(string(got), "{") {
		t.Errorf("status %d, %s, body %q; want 503 and the engine's error alone", resp.StatusCode, resp.Header.Get("Content-Type"), got)
	}
}

// Guards against an engine's error that a caller gets as a complete stream when it asks for
// the response again.
func TestErrorIsNotResumedAsStream(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Engines: 1})
	r.Engines()[0].Engine.SetBusy(true, 0)
	addr := "http://" + r.Entries()[0].CallerAddr + "/v1/"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, local.ModelName, prompt(20))
	resp, first := request(t, "POST", addr+"chat/completions", local.Key, body, nil)
	again, second := request(t, "GET", addr+"streams/"+resp.Header.Get("Mimosalock-Call"), local.Key, "", nil)
	if again.StatusCode != resp.StatusCode || again.Header.Get("Content-Type") != resp.Header.Get("Content-Type") || string(first) != string(second) {
		t.Errorf("status %d, %s, body %q; want %d, %s, %q as at first", again.StatusCode, again.Header.Get("Content-Type"), second,
			resp.StatusCode, resp.Header.Get("Content-Type"), first)
	}
	after := http.Header{"Last-Event-Id": {resp.Header.Get("Mimosalock-Call") + "/0"}}
	if rest, _ := request(t, "GET", addr+"streams/x", local.Key, "", after); rest.StatusCode != http.StatusNotFound {
		t.Errorf("rest of the error: status %d, want 404", rest.StatusCode)
	}
}
