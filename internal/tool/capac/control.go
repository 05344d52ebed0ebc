package capac

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
	idleSpan    = 50 * time.Second // two watches of the configuration service
	changeCount = 10
	changeGap   = 700 * time.Millisecond
	spreadLimit = 30 * time.Second
	centres     = 4
	callSpan    = 10 * time.Second
)

// controlSeries measures idle fleets of rising size: bytes, processor time,
// calls to the configuration service, and the spread of changes.
func controlSeries(sizes []int, say func(string, ...any)) ([]Series, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	keys, err := certs.Write(dir)
	if err != nil {
		return nil, err
	}
	var x []float64
	var all []fleetFigures
	for _, n := range sizes {
		opts := local.Options{Centres: someCentres(), Entries: 2, Plains: n/centres - 2, TLS: keys}
		f, err := measureFleet(opts)
		if err != nil {
			return nil, err
		}
		say("%d processes: %.0f B/s and %.2f%% of a core each, change in force after %.0f ms (worst), %.2f config calls/s",
			n, f.bytesPS, f.core, f.spreadMs, f.idleCalls)
		x = append(x, float64(n))
		all = append(all, f)
	}
	column := func(pick func(fleetFigures) float64) []float64 { return column(all, pick) }
	const axis = "processes"
	return []Series{
		newSeries("idle process: control bytes", axis, "B/s", x, column(func(f fleetFigures) float64 { return f.bytesPS })),
		newSeries("idle process: processor time", axis, "% of a core", x, column(func(f fleetFigures) float64 { return f.core })),
		newSeries("configuration calls, idle", axis, "calls/s", x, column(func(f fleetFigures) float64 { return f.idleCalls })),
		newSeries("configuration calls of one change", axis, "calls", x, column(func(f fleetFigures) float64 { return f.changeCalls })),
		newSeries("configuration calls of a mass start", axis, "calls", x, column(func(f fleetFigures) float64 { return f.startCalls })),
		newSeries("change in force on the last process, worst of 10", axis, "ms", x, column(func(f fleetFigures) float64 { return f.spreadMs })),
		newSeries("bytes of one change for each process", axis, "bytes", x, column(func(f fleetFigures) float64 { return f.changeBytes })),
		newSeries("memory of a process", axis, "bytes", x, column(func(f fleetFigures) float64 { return f.memory })),
	}, nil
}

func someCentres() []spec.DataCentre {
	var out []spec.DataCentre
	for i := range centres {
		out = append(out, spec.DataCentre{Name: fmt.Sprintf("centre-%d", i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	return out
}

type fleetFigures struct {
	bytesPS, core, idleCalls, changeCalls, startCalls, spreadMs, changeBytes, memory float64
}

func measureFleet(o local.Options) (fleetFigures, error) {
	var f fleetFigures
	var r *local.Rig
	var err error
	total := heap(func() any {
		r, err = local.New(o)
		return r
	})
	if err != nil {
		return f, err
	}
	defer r.Close()
	count := float64(len(r.Agents()) + len(r.Entries()))
	f.memory = total / count
	f.startCalls = float64(r.Platform.Calls())
	time.Sleep(2 * time.Second) // the start is over

	calls, bytes, cpu := r.Platform.Calls(), r.Traffic(), processorTime()
	time.Sleep(idleSpan)
	f.idleCalls = float64(r.Platform.Calls()-calls) / idleSpan.Seconds()
	f.bytesPS = float64(r.Traffic()-bytes) / idleSpan.Seconds() / count
	f.core = 100 * (processorTime() - cpu).Seconds() / idleSpan.Seconds() / count

	calls, bytes = r.Platform.Calls(), r.Traffic()
	start := time.Now()
	for i := range changeCount {
		if err := r.Publish(func(c *spec.File) { *c = ChangeOne(*c, i) }); err != nil {
			return f, err
		}
		took, err := r.WaitVersion(r.Version(), spreadLimit)
		if err != nil {
			return f, err
		}
		f.spreadMs = max(f.spreadMs, float64(took.Milliseconds()))
		time.Sleep(changeGap)
	}
	idle := f.bytesPS * time.Since(start).Seconds()
	f.changeCalls = float64(r.Platform.Calls()-calls) / changeCount
	f.changeBytes = max(0, float64(r.Traffic()-bytes)/count-idle) / changeCount
	return f, nil
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// callSeries measures the control bytes of calls at an entry: probes, offers
// and their answers, by the number of endpoints to choose from.
func callSeries(say func(string, ...any)) ([]Series, error) {
	var x, perCall []float64
	for _, n := range []int{4, 8, 16, 32} {
		b, err := callBytes(n, callSpan, 500)
		if err != nil {
			return nil, err
		}
		say("%d endpoints: %.0f control bytes a call at the entry", n, b)
		x = append(x, float64(n))
		perCall = append(perCall, b)
	}
	return []Series{newSeries("entry: control bytes of a call", "endpoints", "bytes", x, perCall)}, nil
}

// callBytes returns the control bytes of one call at an entry, the bytes of an
// idle span taken off.
func callBytes(endpoints int, idle time.Duration, calls int) (float64, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	keys, err := certs.Write(dir)
	if err != nil {
		return 0, err
	}
	r, err := local.New(local.Options{Entries: 1, Plains: endpoints, TLS: keys})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	user := client.New(local.Key)
	e := r.Entries()[0]
	call := func() {
		user.Call(context.Background(), e.Callers, "GET", "/services/"+local.PlainService+"/x", "", "m", nil)
	}
	for range 8 * endpoints { // every link has been dialled
		call()
	}
	spent := func() int64 { in, out := e.Entry.Base().Pool.Traffic(); return in + out }
	idleFrom := spent()
	time.Sleep(idle)
	idlePS := float64(spent()-idleFrom) / idle.Seconds()
	before, start := spent(), time.Now()
	for range calls {
		call()
	}
	return (float64(spent()-before) - idlePS*time.Since(start).Seconds()) / float64(calls), nil
}

// sortedMs returns durations in ascending milliseconds.
func sortedMs(d []time.Duration) []float64 {
	out := make([]float64, len(d))
	for i := range d {
		out[i] = float64(d[i]) / float64(time.Millisecond)
	}
	slices.Sort(out)
	return out
}
