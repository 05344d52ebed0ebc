package local_test

import (
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Guards against a generation that an agent has accepted and that is given up, before its first
// token, because the agent cannot be reached for a while, though no other one can take it.
func TestUnreachableAgentIsWaitedFor(t *testing.T) {
	for _, test := range []struct {
		name    string
		engines int
		allDown bool
		runs    int // at all engines together
	}{
		{"no other agent", 1, false, 1},
		{"another agent cannot be reached either", 2, true, 1},
		{"another agent is free", 2, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 1, Engines: test.engines, Engine: steadyEngine()})
			for _, n := range r.Engines() {
				n.Engine.SetStalled(true) // there is no first token before the fault
				time.AfterFunc(4*time.Second, func() { n.Engine.SetStalled(false) })
			}
			go func() {
				eventually(t, "an engine sees the call", func() bool { return len(submissions(r)) > 0 })
				time.Sleep(100 * time.Millisecond) // the entry knows that it was accepted
				running := runningNode(t, r)
				for _, n := range r.Engines() {
					if n == running || test.allDown {
						restartSlowly(t, r, n, 3*time.Second)
					}
				}
			}()
			res := client.New(local.Key).Generate(testContext(t), r.Entries()[0].CallerAddr, local.ModelName, prompt(6), 0)
			expectComplete(t, res, 6)
			total := 0
			for _, n := range submissions(r) {
				total += n
			}
			if total != test.runs {
				t.Errorf("the call ran %d times, want %d", total, test.runs)
			}
		})
	}
}

// restartSlowly kills the agent of a node and starts it again after a time.
func restartSlowly(t *testing.T, r *local.Fleet, n *local.Node, d time.Duration) {
	r.KillAgent(n)
	time.AfterFunc(d, func() {
		if err := r.StartAgent(n); err != nil {
			t.Error(err)
		}
	})
}
