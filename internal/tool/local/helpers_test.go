package local_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/engsim"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const testTimeout = 60 * time.Second

// steadyEngine generates a token every 5 ms, slow enough to inject faults in
// mid-stream.
func steadyEngine() engsim.Config {
	c := local.QuickEngine()
	c.StepBase = 5 * time.Millisecond
	c.StepPerSeq = 0
	return c
}

func start(t *testing.T, o local.Options) *local.Fleet {
	t.Helper()
	r, err := local.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// clientWithFault returns a client that injects the fault once, when it has received
// this many tokens of a stream.
func clientWithFault(tokens int, fault func()) *client.Client {
	c := client.New(local.Key)
	var once sync.Once
	c.OnToken = func(n int) {
		if n >= tokens {
			once.Do(fault)
		}
	}
	return c
}

func prompt(length int) string { return fmt.Sprintf("plan len=%d", length) }

// runningNode returns a node whose engine runs a generation.
func runningNode(t *testing.T, r *local.Fleet) *local.Node {
	t.Helper()
	for _, n := range r.Engines() {
		if _, _, running := n.Engine.Stats(); running > 0 {
			return n
		}
	}
	t.Error("no engine runs a generation")
	return r.Engines()[0]
}

func expectComplete(t *testing.T, res client.Result, length int) {
	t.Helper()
	if res.Outcome != client.OutcomeComplete || res.Tokens != length || res.ResponseErr != nil {
		t.Fatalf("outcome %q, %d of %d tokens, response error %v, error %v, body %s", res.Outcome, res.Tokens, length, res.ResponseErr, res.Err, res.Body)
	}
}

func expectOutcome(t *testing.T, res client.Result, want client.Outcome) {
	t.Helper()
	if res.Outcome != want || res.ResponseErr != nil {
		t.Fatalf("outcome %q, want %q; response error %v, error %v, body %s", res.Outcome, want, res.ResponseErr, res.Err, res.Body)
	}
}

// eventually waits until ok returns true, at most testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}
