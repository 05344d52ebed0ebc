package local_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Guards against calls to a leaving host whose entry in the host list is live again in an
// older copy, or is gone.
func TestLeavingHostStaysLeaving(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *local.Fleet, backup confsv.Backup)
	}{
		{"the list comes back older", func(r *local.Fleet, backup confsv.Backup) { r.Platform.Restore(backup) }},
		{"the entry is gone", func(r *local.Fleet, _ confsv.Backup) {
			var rows []confsv.HostRow
			for _, n := range slices.Concat(r.Entries(), r.Agents()[1:]) {
				rows = append(rows, n.HostRow)
			}
			r.Platform.SetHosts(rows)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 2, PlainWorkers: 2})
			backup := r.Platform.Backup()
			leaving := r.PlainAgents()[0]
			r.SetLeaving(leaving, true)
			eventually(t, "all processes know that the host leaves", func() bool {
				for _, n := range r.Entries() {
					if m, _ := n.Entry.Base().Roster.Find(leaving.Settings.Host); !m.Leaving {
						return false
					}
				}
				return leaving.Agent.Runner().State().ClosedReason == "host is leaving"
			})
			before := len(leaving.Plain.RunCounts())
			c.change(r, backup)
			reopened := callForAWhile(t, r, leaving)
			if got := len(leaving.Plain.RunCounts()) - before; got > 0 || reopened {
				t.Errorf("%d calls ran on the leaving host, its agent accepted calls: %v", got, reopened)
			}
		})
	}
}

// callForAWhile makes more calls at a time than one worker runs, and reports whether the
// node's agent accepted calls meanwhile.
func callForAWhile(t *testing.T, r *local.Fleet, n *local.Node) (reopened bool) {
	t.Helper()
	for _, p := range r.PlainAgents() {
		p.Plain.SetDelay(20 * time.Millisecond)
	}
	end := time.Now().Add(2 * time.Second)
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for call := 0; time.Now().Before(end); call++ {
				client.New(local.Key).Call(t.Context(), r.Entries()[i%2].CallerAddr, "POST", bookingPath, "", fmt.Sprint(i, "-", call), []byte("{}"))
			}
		})
	}
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		reopened = reopened || n.Agent.Runner().State().ClosedReason == ""
	}
	callers.Wait()
	return reopened
}
