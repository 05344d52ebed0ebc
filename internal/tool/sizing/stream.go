package sizing

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	prom "github.com/prometheus/common/model"
	"gonum.org/v1/gonum/stat"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/stand/engsim"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	tokenInterval         = 20 * time.Millisecond
	streamMeasureDuration = 12 * time.Second
	streamSettleTime      = 3 * time.Second
	clockTicksPerSecond   = 100    // unit of the times in /proc/PID/stat on Linux
	entryPort             = 30_500 // for callers; the next two ports are for peers and the admin interface
	startTimeout          = 30 * time.Second
	overheadCalls         = 60
	metricsTimeout        = 5 * time.Second
)

// DataPath holds the cost of relaying a number of concurrent streams.
type DataPath struct {
	Streams             int     `json:"streams"`
	TokensPS            float64 `json:"tokens_per_second"`
	EntryCorePercent    float64 `json:"entry_core_percent"`
	AgentCorePercent    float64 `json:"agent_core_percent"`
	EntryRSSBytes       float64 `json:"entry_rss_bytes"`
	AgentRSSBytes       float64 `json:"agent_rss_bytes"`
	EntryAllocsPerToken float64 `json:"entry_allocs_per_token"`
	AgentAllocsPerToken float64 `json:"agent_allocs_per_token"`
	EntryControlBytesPS float64 `json:"entry_bytes_up_per_second"` // acknowledgements and heartbeats
	GapMedianMs         float64 `json:"gap_median_ms"`
	GapP99Ms            float64 `json:"gap_p99_ms"`
	FirstMedianMs       float64 `json:"first_token_median_ms"`
}

// PathOverhead compares the latency of a single stream through entry and agent with that
// of a direct call to the engine. Each array holds the median and the 99th percentile.
type PathOverhead struct {
	FirstDirectMs [2]float64 `json:"first_token_direct_ms"`
	FirstPathMs   [2]float64 `json:"first_token_path_ms"`
	GapDirectMs   [2]float64 `json:"gap_direct_ms"`
	GapPathMs     [2]float64 `json:"gap_path_ms"`
}

// roleProcess is a separate process that runs one role, entry or agent.
type roleProcess struct {
	cmd   *exec.Cmd
	admin string
}

// testbed is an entry and an agent, each in a separate process, and a simulated engine in
// this process.
type testbed struct {
	fleet        *local.Fleet
	entry, agent *roleProcess
	entryAddr    string
}

func newTestbed() (*testbed, error) {
	engine := engsim.Config{
		MaxBatch: 512, CacheTokens: 64 << 20, PrefillTokens: 1 << 20, StepBase: tokenInterval, ColdBatch: 512, WarmTokens: 1,
	}
	r, err := local.New(local.Options{Engines: 1, Engine: engine, AdjustConfig: func(f *spec.File) { f.Services[0].Floor, f.Services[0].MaxConcurrency = 512, 512 }})
	if err != nil {
		return nil, err
	}
	b := &testbed{fleet: r}
	n := r.Engines()[0]
	r.KillAgent(n) // replaced by the separate process below
	s := n.Settings
	b.agent, err = startRole(s.Admin, "agent", "--host", s.Host, "--data-centre", s.DataCentre, "--peer", s.Peer,
		"--admin", s.Admin, "--platform", s.Platform, "--service", s.Service, "--endpoint", s.Endpoint)
	if err != nil {
		return b, err
	}
	ip, _, _ := strings.Cut(s.Peer, ":")
	b.entryAddr = fmt.Sprintf("%s:%d", ip, entryPort)
	peer, admin := fmt.Sprintf("%s:%d", ip, entryPort+1), fmt.Sprintf("%s:%d", ip, entryPort+2)
	r.Platform.SetHosts([]confsv.HostRow{n.HostRow, {Host: "entry-1", DataCentre: s.DataCentre, Role: "entry", Address: peer, State: "live"}})
	b.entry, err = startRole(admin, "entry", "--host", "entry-1", "--data-centre", s.DataCentre, "--listen", b.entryAddr, "--peer", peer,
		"--admin", admin, "--platform", s.Platform)
	if err != nil {
		return b, err
	}
	return b, b.waitUntilServing()
}

// startRole runs this program again, in the given role.
func startRole(admin string, args ...string) (*roleProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("sizing: %w", err)
	}
	cmd := exec.Command(self, append([]string{"role"}, append(args, "--log-level", "error")...)...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("sizing: start %s: %w", args[0], err)
	}
	return &roleProcess{cmd: cmd, admin: admin}, nil
}

// waitUntilServing waits until a call through both processes completes.
func (b *testbed) waitUntilServing() error {
	caller := client.New(local.Key)
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if caller.Generate(context.Background(), b.entryAddr, local.ModelName, "len=2", 0).Outcome == client.OutcomeComplete {
			return nil
		}
	}
	return fmt.Errorf("sizing: the entry and agent processes did not complete a call before the start time-out")
}

func (b *testbed) close() {
	for _, p := range []*roleProcess{b.entry, b.agent} {
		if p != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	b.fleet.Close()
}

// cpuTime returns the user and system time of the process, or 0 if it cannot be read.
func (p *roleProcess) cpuTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// metric returns the first sample of a counter or gauge from the process's metrics
// endpoint, or 0 if it cannot be read.
func (p *roleProcess) metric(name string) float64 {
	status, body, err := httpc.Get(p.admin, "/metrics", metricsTimeout)
	if err != nil || status != http.StatusOK {
		return 0
	}
	parser := expfmt.NewTextParser(prom.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(body)))
	if err != nil || families[name] == nil {
		return 0
	}
	m := families[name].GetMetric()[0]
	return m.GetCounter().GetValue() + m.GetGauge().GetValue()
}

// snapshot holds cumulative counters of both processes at one time.
type snapshot struct {
	entryCPU, agentCPU       time.Duration
	entryAllocs, agentAllocs float64
	entrySentBytes           float64
	tokens                   float64
	at                       time.Time
}

func (b *testbed) snapshot() snapshot {
	return snapshot{
		entryCPU: b.entry.cpuTime(), agentCPU: b.agent.cpuTime(),
		entryAllocs: b.entry.metric("go_memstats_mallocs_total"), agentAllocs: b.agent.metric("go_memstats_mallocs_total"),
		entrySentBytes: b.entry.metric("mimosalock_link_sent_bytes_total"),
		tokens:         b.agent.metric("mimosalock_tokens_total"), at: time.Now(),
	}
}

// measureStreams relays count concurrent streams and measures the steady state.
func (b *testbed) measureStreams(count int) DataPath {
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var gaps, firsts []time.Duration
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() {
			caller := client.New(local.Key)
			res := caller.Generate(ctx, b.entryAddr, local.ModelName, "len=100000", 0)
			mu.Lock()
			defer mu.Unlock()
			gaps = append(gaps, res.Gaps...)
			firsts = append(firsts, res.FirstToken)
		})
	}
	time.Sleep(streamSettleTime)
	from := b.snapshot()
	time.Sleep(streamMeasureDuration)
	to := b.snapshot()
	d := DataPath{
		Streams: count, EntryRSSBytes: b.entry.metric("process_resident_memory_bytes"), AgentRSSBytes: b.agent.metric("process_resident_memory_bytes"),
	}
	stop()
	callers.Wait()
	span := to.at.Sub(from.at).Seconds()
	tokens := to.tokens - from.tokens
	d.TokensPS = tokens / span
	d.EntryCorePercent = 100 * (to.entryCPU - from.entryCPU).Seconds() / span
	d.AgentCorePercent = 100 * (to.agentCPU - from.agentCPU).Seconds() / span
	d.EntryAllocsPerToken = (to.entryAllocs - from.entryAllocs) / tokens
	d.AgentAllocsPerToken = (to.agentAllocs - from.agentAllocs) / tokens
	d.EntryControlBytesPS = (to.entrySentBytes - from.entrySentBytes) / span
	d.GapMedianMs, d.GapP99Ms = medianAndP99(gaps)
	d.FirstMedianMs, _ = medianAndP99(firsts)
	return d
}

func medianAndP99(d []time.Duration) (median, p99 float64) {
	if len(d) == 0 {
		return 0, 0
	}
	s := sortedMs(d)
	return stat.Quantile(0.5, stat.Empirical, s, nil), stat.Quantile(0.99, stat.Empirical, s, nil)
}

// measureOverhead alternates direct calls to the engine with calls through entry and agent,
// so that both see the same state of the machine.
func (b *testbed) measureOverhead() PathOverhead {
	direct, path := client.New(local.Key), client.New(local.Key)
	engine := b.fleet.Engines()[0].Engine.Addr()
	var first, gaps [2][]time.Duration
	for range overheadCalls {
		for i, res := range []client.Result{
			direct.Generate(context.Background(), engine, local.ModelName, "len=20", 0),
			path.Generate(context.Background(), b.entryAddr, local.ModelName, "len=20", 0),
		} {
			first[i] = append(first[i], res.FirstToken)
			gaps[i] = append(gaps[i], res.Gaps...)
		}
	}
	pair := func(d []time.Duration) [2]float64 { m, p := medianAndP99(d); return [2]float64{m, p} }
	return PathOverhead{FirstDirectMs: pair(first[0]), FirstPathMs: pair(first[1]), GapDirectMs: pair(gaps[0]), GapPathMs: pair(gaps[1])}
}

// measureDataPath measures the overhead of one stream and the cost of each number of streams.
func measureDataPath(sizes []int, printLine func(string, ...any)) ([]DataPath, PathOverhead, error) {
	b, err := newTestbed()
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return nil, PathOverhead{}, err
	}
	overhead := b.measureOverhead()
	var out []DataPath
	for _, n := range sizes {
		d := b.measureStreams(n)
		printLine("%d streams: %.0f tokens/s, entry %.1f%% and agent %.1f%% of a core, %.1f and %.1f allocations per token",
			n, d.TokensPS, d.EntryCorePercent, d.AgentCorePercent, d.EntryAllocsPerToken, d.AgentAllocsPerToken)
		out = append(out, d)
	}
	return out, overhead, nil
}
