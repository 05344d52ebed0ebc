package faults

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	// leftRunTime is how long an engine may go on with a call that another one has begun.
	leftRunTime = 400 * time.Millisecond
	// contactTime is how long an agent and its links must have been without a fault until the time
	// counts.
	contactTime = 4 * time.Second
)

// disturbance is the time in which an agent may not be reached or not reach its engine.
type disturbance struct{ from, until time.Time }

// disturb records a fault at an agent or its links, which lasts for some time from now.
func (f *run) disturb(n *local.Node, lasting time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.disturbances[n.HostRow.Host] = append(f.disturbances[n.HostRow.Host], disturbance{from: now, until: now.Add(lasting)})
}

// attemptRun is the work of one engine on one attempt at a call.
type attemptRun struct {
	engsrv.Span
	host string
}

// checkOverlaps finds engines that went on with a call for too long after another run of it had begun.
func (f *run) checkOverlaps() {
	calls := map[string][]attemptRun{}
	for _, n := range f.fleet.Engines() {
		for _, s := range f.fleet.GenerationSpans(n) {
			call, _, _ := strings.Cut(s.ID, ".")
			calls[call] = append(calls[call], attemptRun{Span: s, host: n.HostRow.Host})
		}
	}
	for _, runs := range calls {
		slices.SortFunc(runs, func(a, b attemptRun) int { return a.Start.Compare(b.Start) })
		for i := range len(runs) - 1 {
			f.res.RepeatedRuns++
			left, next := runs[i], runs[i+1]
			due := dueEnd(next.Start, f.disturbances[left.host])
			if left.End.After(due) {
				f.violation("%s went on for %v beside %s at %s, which began after %v, %v after it had to end", left.ID,
					left.End.Sub(next.Start), next.ID, next.host, next.Start.Sub(left.Start), left.End.Sub(due))
			}
		}
	}
}

// dueEnd returns when a run must have ended that was left for one that began at a time.
func dueEnd(left time.Time, disturbances []disturbance) time.Time {
	slices.SortFunc(disturbances, func(a, b disturbance) int { return cmp.Compare(a.from.UnixNano(), b.from.UnixNano()) })
	for _, d := range disturbances {
		if calm := d.until.Add(contactTime); d.from.Before(left.Add(leftRunTime)) && calm.After(left) {
			left = calm
		}
	}
	return left.Add(leftRunTime)
}
