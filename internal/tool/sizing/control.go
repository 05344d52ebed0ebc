package sizing

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/certs"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	idleDuration       = 50 * time.Second // two long polls of the configuration service
	changeCount        = 10
	changeInterval     = 700 * time.Millisecond
	propagationTimeout = 30 * time.Second
	dataCentreCount    = 4
	callIdleDuration   = 10 * time.Second // measurement of the idle traffic that measureCalls subtracts
)

// measureControl measures idle fleets of increasing size: control traffic, processor time,
// calls to the configuration service, and the time until a change is in force everywhere.
func measureControl(sizes []int, printLine func(string, ...any)) ([]Series, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, fmt.Errorf("sizing: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	keys, err := certs.Write(dir)
	if err != nil {
		return nil, err
	}
	var x []float64
	var costs []fleetCost
	for _, n := range sizes {
		opts := local.Options{DataCentres: exampleDataCentres(), Entries: 2, PlainWorkers: n/dataCentreCount - 2, TLS: keys}
		f, err := measureFleet(opts)
		if err != nil {
			return nil, err
		}
		printLine("%d processes: %.0f B/s and %.2f%% of a core per process, change in force on all after %.0f ms (worst), %.2f configuration calls/s",
			n, f.bytesPS, f.corePercent, f.propagationMs, f.idleCallsPS)
		x = append(x, float64(n))
		costs = append(costs, f)
	}
	column := func(pick func(fleetCost) float64) []float64 { return column(costs, pick) }
	const axis = "processes"
	return []Series{
		newSeries("idle process: control bytes", axis, "B/s", x, column(func(f fleetCost) float64 { return f.bytesPS })),
		newSeries("idle process: processor time", axis, "% of a core", x, column(func(f fleetCost) float64 { return f.corePercent })),
		newSeries("configuration calls, idle", axis, "calls/s", x, column(func(f fleetCost) float64 { return f.idleCallsPS })),
		newSeries("configuration calls of one change", axis, "calls", x, column(func(f fleetCost) float64 { return f.changeCalls })),
		newSeries("configuration calls of a mass start", axis, "calls", x, column(func(f fleetCost) float64 { return f.startCalls })),
		newSeries("change in force on the last process, worst of 10", axis, "ms", x, column(func(f fleetCost) float64 { return f.propagationMs })),
		newSeries("bytes of one change for each process", axis, "bytes", x, column(func(f fleetCost) float64 { return f.changeBytes })),
		newSeries("memory of a process", axis, "bytes", x, column(func(f fleetCost) float64 { return f.memoryBytes })),
	}, nil
}

func exampleDataCentres() []spec.DataCentre {
	var out []spec.DataCentre
	for i := range dataCentreCount {
		out = append(out, spec.DataCentre{Name: fmt.Sprintf("centre-%d", i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	return out
}

// fleetCost holds the figures of one fleet. bytesPS, corePercent, changeBytes and
// memoryBytes are per process; the others are for the whole fleet.
type fleetCost struct {
	bytesPS, corePercent, idleCallsPS, changeCalls, startCalls, propagationMs, changeBytes, memoryBytes float64
}

func measureFleet(o local.Options) (fleetCost, error) {
	var f fleetCost
	var r *local.Fleet
	var err error
	total := heapBytes(func() any {
		r, err = local.New(o)
		return r
	})
	if err != nil {
		return f, err
	}
	defer r.Close()
	count := float64(len(r.Agents()) + len(r.Entries()))
	f.memoryBytes = total / count
	f.startCalls = float64(r.Platform.ConfigRequests())
	time.Sleep(2 * time.Second) // until the traffic of the start is over

	calls, bytes, cpu := r.Platform.ConfigRequests(), r.Traffic(), processCPUTime()
	time.Sleep(idleDuration)
	f.idleCallsPS = float64(r.Platform.ConfigRequests()-calls) / idleDuration.Seconds()
	f.bytesPS = float64(r.Traffic()-bytes) / idleDuration.Seconds() / count
	f.corePercent = 100 * (processCPUTime() - cpu).Seconds() / idleDuration.Seconds() / count

	calls, bytes = r.Platform.ConfigRequests(), r.Traffic()
	start := time.Now()
	for i := range changeCount {
		if err := r.Publish(func(c *spec.File) { *c = WithChangedWorkspace(*c, i) }); err != nil {
			return f, err
		}
		took, err := r.WaitVersion(r.Version(), propagationTimeout)
		if err != nil {
			return f, err
		}
		f.propagationMs = max(f.propagationMs, float64(took.Milliseconds()))
		time.Sleep(changeInterval)
	}
	idle := f.bytesPS * time.Since(start).Seconds()
	f.changeCalls = float64(r.Platform.ConfigRequests()-calls) / changeCount
	f.changeBytes = max(0, float64(r.Traffic()-bytes)/count-idle) / changeCount
	return f, nil
}

// processCPUTime returns the user and system time of this process, or 0 on an error.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCalls measures the control bytes of a call at an entry (probes, offers and their
// replies) by the number of endpoints to choose from.
func measureCalls(printLine func(string, ...any)) ([]Series, error) {
	var x, perCall []float64
	for _, n := range []int{4, 8, 16, 32} {
		b, err := controlBytesPerCall(n, callIdleDuration, 500)
		if err != nil {
			return nil, err
		}
		printLine("%d endpoints: %.0f control bytes per call at the entry", n, b)
		x = append(x, float64(n))
		perCall = append(perCall, b)
	}
	return []Series{newSeries("entry: control bytes of a call", "endpoints", "bytes", x, perCall)}, nil
}

// controlBytesPerCall returns the mean control bytes of one call at an entry. The traffic
// of an idle entry, measured for the duration idle, is subtracted.
func controlBytesPerCall(endpoints int, idle time.Duration, calls int) (float64, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return 0, fmt.Errorf("sizing: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	keys, err := certs.Write(dir)
	if err != nil {
		return 0, err
	}
	r, err := local.New(local.Options{Entries: 1, PlainWorkers: endpoints, TLS: keys})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	caller := client.New(local.Key)
	e := r.Entries()[0]
	call := func() {
		caller.Call(context.Background(), e.CallerAddr, "GET", "/services/"+local.PlainService+"/x", "", "m", nil)
	}
	for range 8 * endpoints { // so that all connections are open before the measurement
		call()
	}
	traffic := func() int64 { in, out := e.Entry.Base().Pool.Traffic(); return in + out }
	idleStart := traffic()
	time.Sleep(idle)
	idlePS := float64(traffic()-idleStart) / idle.Seconds()
	before, start := traffic(), time.Now()
	for range calls {
		call()
	}
	return (float64(traffic()-before) - idlePS*time.Since(start).Seconds()) / float64(calls), nil
}

// sortedMs converts durations to milliseconds in ascending order.
func sortedMs(d []time.Duration) []float64 {
	out := make([]float64, len(d))
	for i := range d {
		out[i] = float64(d[i]) / float64(time.Millisecond)
	}
	slices.Sort(out)
	return out
}
