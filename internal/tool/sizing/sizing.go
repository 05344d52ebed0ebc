package sizing

import (
	"runtime"
	"time"
)

// Options holds the settings of one run.
type Options struct {
	FleetSizes   []int                            // sizes of the idle fleets, in processes
	StreamCounts []int                            // numbers of concurrent streams
	PrintLine    func(format string, args ...any) // prints a progress line
}

// Report holds the raw results of one run.
type Report struct {
	Date     string       `json:"date"`
	Cores    int          `json:"cores"`
	Go       string       `json:"go"`
	Seconds  float64      `json:"seconds"` // duration of the run
	Series   []Series     `json:"series"`
	Paths    []DataPath   `json:"data_path"`
	Overhead PathOverhead `json:"added"`
}

// Run measures all series. It takes several minutes.
func Run(o Options) (Report, error) {
	start := time.Now()
	rep := Report{Date: start.Format(time.DateOnly), Cores: runtime.NumCPU(), Go: runtime.Version()}
	var err error
	if rep.Series, err = measureState(); err != nil {
		return rep, err
	}
	o.PrintLine("memory and processor time of the state of a process: measured")
	if rep.Paths, rep.Overhead, err = measureDataPath(o.StreamCounts, o.PrintLine); err != nil {
		return rep, err
	}
	rep.Series = append(rep.Series, dataPathSeries(rep.Paths)...)
	calls, err := measureCalls(o.PrintLine)
	if err != nil {
		return rep, err
	}
	control, err := measureControl(o.FleetSizes, o.PrintLine)
	if err != nil {
		return rep, err
	}
	rep.Series = append(append(rep.Series, calls...), control...)
	rep.Seconds = time.Since(start).Seconds()
	return rep, nil
}

// dataPathSeries returns the figures of the data path as series over the number of streams.
func dataPathSeries(paths []DataPath) []Series {
	column := func(pick func(DataPath) float64) []float64 { return column(paths, pick) }
	x := column(func(d DataPath) float64 { return float64(d.Streams) })
	const axis = "streams"
	return []Series{
		newSeries("entry: processor time (50 tokens/s a stream)", axis, "% of a core", x, column(func(d DataPath) float64 { return d.EntryCorePercent })),
		newSeries("agent: processor time (50 tokens/s a stream)", axis, "% of a core", x, column(func(d DataPath) float64 { return d.AgentCorePercent })),
		newSeries("entry: memory", axis, "bytes", x, column(func(d DataPath) float64 { return d.EntryRSSBytes })),
		newSeries("agent: memory", axis, "bytes", x, column(func(d DataPath) float64 { return d.AgentRSSBytes })),
		newSeries("entry: allocations a token", axis, "allocations", x, column(func(d DataPath) float64 { return d.EntryAllocsPerToken })),
		newSeries("agent: allocations a token", axis, "allocations", x, column(func(d DataPath) float64 { return d.AgentAllocsPerToken })),
		newSeries("entry: acknowledgements and heartbeats", axis, "B/s", x, column(func(d DataPath) float64 { return d.EntryControlBytesPS })),
	}
}
