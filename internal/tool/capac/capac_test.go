package capac

import (
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// The counts below do not depend on the machine's speed. Each is taken at two
// sizes, drawn out to the target along the line, and compared with the budget.

func extrapolate(x1, y1, x2, y2, target float64) float64 {
	return y1 + (y2-y1)/(x2-x1)*(target-x1)
}

func expectAtMost(t *testing.T, what string, value, limit float64) {
	t.Helper()
	if value > limit {
		t.Errorf("%s: %.0f, the budget leaves %.0f", what, value, limit)
	}
}

func TestConfigurationFitsTheBudgets(t *testing.T) {
	small, err := configCost(4_000)
	if err != nil {
		t.Fatal(err)
	}
	large, err := configCost(8_000)
	if err != nil {
		t.Fatal(err)
	}
	target := func(a, b float64) float64 { return extrapolate(4_000, a, 8_000, b, TargetWorkspaces) }
	expectAtMost(t, "bytes of configuration on an entry", target(small.heap, large.heap), BudgetMemoryMB*1e6/4)
	perSecond := float64(TargetChanges) / secondsPerDay * 2 * target(small.transfer, large.transfer)
	expectAtMost(t, "bytes a second of changes", perSecond, BudgetBytesPS/3)
	shards := target(small.shards, large.shards)
	expectAtMost(t, "calls of a mass start, in seconds of the budget", readersPerCentre*TargetCentres*(1+shards)/BudgetConfigCalls, BudgetSpreadSecs)
}

func TestHostListFitsTheBudgets(t *testing.T) {
	small, large := packedList(memberList(500)), packedList(memberList(1_000))
	perSecond := hostChangesPerDay / float64(secondsPerDay) * extrapolate(500, small, 1_000, large, nodes)
	expectAtMost(t, "bytes a second of the host list", perSecond, BudgetBytesPS/8)
}

func TestCallsFitTheBudgetAndDoNotGrowWithEndpoints(t *testing.T) {
	small, err := callBytes(4, time.Second, 100)
	if err != nil {
		t.Fatal(err)
	}
	large, err := callBytes(12, time.Second, 100)
	if err != nil {
		t.Fatal(err)
	}
	perSecond := float64(TargetRequests) / TargetEntries * max(small, large)
	expectAtMost(t, "control bytes a second of an entry's calls", perSecond, BudgetBytesPS/2)
	expectAtMost(t, "control bytes of a call at 12 endpoints against 4", large, 1.25*small)
}

func TestConfigurationCallsDoNotGrowWithProcesses(t *testing.T) {
	calls := func(plains int) float64 {
		r, err := local.New(local.Options{Centres: someCentres(), Entries: 2, Plains: plains})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		return float64(r.Platform.Calls())
	}
	small, large := calls(2), calls(8)
	readers := float64(readersPerCentre * centres)
	// Manifest, two shards and the first watch, and the same again where a peer's
	// version arrives between a reader's calls. If every process read, the larger
	// fleet would make 160.
	const each = 8
	expectAtMost(t, "calls of a start of 16 processes", small, readers*each)
	expectAtMost(t, "calls of a start of 40 processes", large, readers*each)
}
