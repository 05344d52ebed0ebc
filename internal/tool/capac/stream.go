package capac

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	prom "github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"
	"gonum.org/v1/gonum/stat"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/stand/model"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	tokenGap    = 20 * time.Millisecond
	streamSpan  = 12 * time.Second
	warmUp      = 3 * time.Second
	clockTicks  = 100 // a second, of /proc/PID/stat on Linux
	entryPort   = 30_500
	startLimit  = 30 * time.Second
	directCalls = 60
)

// DataPath is the cost of relaying streams, at one number of streams.
type DataPath struct {
	Streams       int     `json:"streams"`
	TokensPS      float64 `json:"tokens_per_second"`
	EntryCore     float64 `json:"entry_core_percent"`
	AgentCore     float64 `json:"agent_core_percent"`
	EntryMemory   float64 `json:"entry_rss_bytes"`
	AgentMemory   float64 `json:"agent_rss_bytes"`
	EntryAllocs   float64 `json:"entry_allocs_per_token"`
	AgentAllocs   float64 `json:"agent_allocs_per_token"`
	EntryControl  float64 `json:"entry_bytes_up_per_second"` // acknowledgements and heartbeats
	GapMedianMs   float64 `json:"gap_median_ms"`
	Gap99Ms       float64 `json:"gap_p99_ms"`
	FirstMedianMs float64 `json:"first_token_median_ms"`
}

// Added is what the path adds to a stream that has the engine for itself.
type Added struct {
	FirstDirectMs [2]float64 `json:"first_token_direct_ms"` // median, 99th
	FirstPathMs   [2]float64 `json:"first_token_path_ms"`
	GapDirectMs   [2]float64 `json:"gap_direct_ms"`
	GapPathMs     [2]float64 `json:"gap_path_ms"`
}

// proc is one role in a process of its own.
type proc struct {
	cmd   *exec.Cmd
	admin string
}

// bed is an entry and an agent in processes of their own, before a stand-in
// engine in this one.
type bed struct {
	rig          *local.Rig
	entry, agent *proc
	addr         string
}

func newBed() (*bed, error) {
	engine := model.Config{
		MaxBatch: 512, CacheTokens: 64 << 20, PrefillTokens: 1 << 20, StepBase: tokenGap, ColdBatch: 512, WarmTokens: 1,
	}
	r, err := local.New(local.Options{Engines: 1, Engine: engine, Config: func(f *spec.File) { f.Services[0].Floor, f.Services[0].MaxConcurrency = 512, 512 }})
	if err != nil {
		return nil, err
	}
	b := &bed{rig: r}
	n := r.Engines()[0]
	r.KillAgent(n)
	s := n.Settings
	b.agent, err = launch(s.Admin, "agent", "--host", s.Host, "--data-centre", s.DataCentre, "--peer", s.Peer,
		"--admin", s.Admin, "--platform", s.Platform, "--service", s.Service, "--endpoint", s.Endpoint)
	if err != nil {
		return b, err
	}
	ip, _, _ := strings.Cut(s.Peer, ":")
	b.addr = fmt.Sprintf("%s:%d", ip, entryPort)
	peer, admin := fmt.Sprintf("%s:%d", ip, entryPort+1), fmt.Sprintf("%s:%d", ip, entryPort+2)
	r.Platform.SetHosts([]confsv.HostRow{n.Row, {Host: "entry-1", DataCentre: s.DataCentre, Role: "entry", Address: peer, State: "live"}})
	b.entry, err = launch(admin, "entry", "--host", "entry-1", "--data-centre", s.DataCentre, "--listen", b.addr, "--peer", peer,
		"--admin", admin, "--platform", s.Platform)
	if err != nil {
		return b, err
	}
	return b, b.wait()
}

// launch runs this program again as one role.
func launch(admin string, args ...string) (*proc, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	cmd := exec.Command(self, append([]string{"role"}, append(args, "--log-level", "error")...)...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("capacity: start %s: %w", args[0], err)
	}
	return &proc{cmd: cmd, admin: admin}, nil
}

func (b *bed) wait() error {
	user := client.New(local.Key)
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if user.Generate(context.Background(), b.addr, local.ModelName, "len=2", 0).Outcome == client.OutcomeComplete {
			return nil
		}
	}
	return fmt.Errorf("capacity: the processes never served a call")
}

func (b *bed) close() {
	for _, p := range []*proc{b.entry, b.agent} {
		if p != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	b.rig.Close()
}

// processor returns the processor time of the process.
func (p *proc) processor() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// metric reads one value of the process's metrics.
func (p *proc) metric(name string) float64 {
	_, body, err := fasthttp.Get(nil, "http://"+p.admin+"/metrics")
	if err != nil {
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

type snapshot struct {
	entry, agent             time.Duration
	entryAllocs, agentAllocs float64
	entryUp                  float64
	tokens                   float64
	at                       time.Time
}

func (b *bed) snapshot() snapshot {
	return snapshot{
		entry: b.entry.processor(), agent: b.agent.processor(),
		entryAllocs: b.entry.metric("go_memstats_mallocs_total"), agentAllocs: b.agent.metric("go_memstats_mallocs_total"),
		entryUp: b.entry.metric("mimosalock_link_sent_bytes_total"),
		tokens:  b.agent.metric("mimosalock_tokens_total"), at: time.Now(),
	}
}

// streams relays so many streams at once and measures the steady state.
func (b *bed) streams(count int) DataPath {
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var gaps, firsts []time.Duration
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			user := client.New(local.Key)
			res := user.Generate(ctx, b.addr, local.ModelName, "len=100000", 0)
			mu.Lock()
			defer mu.Unlock()
			gaps = append(gaps, res.Gaps...)
			firsts = append(firsts, res.FirstToken)
		})
	}
	time.Sleep(warmUp)
	from := b.snapshot()
	time.Sleep(streamSpan)
	to := b.snapshot()
	d := DataPath{
		Streams: count, EntryMemory: b.entry.metric("process_resident_memory_bytes"), AgentMemory: b.agent.metric("process_resident_memory_bytes"),
	}
	stop()
	all.Wait()
	span := to.at.Sub(from.at).Seconds()
	tokens := to.tokens - from.tokens
	d.TokensPS = tokens / span
	d.EntryCore = 100 * (to.entry - from.entry).Seconds() / span
	d.AgentCore = 100 * (to.agent - from.agent).Seconds() / span
	d.EntryAllocs = (to.entryAllocs - from.entryAllocs) / tokens
	d.AgentAllocs = (to.agentAllocs - from.agentAllocs) / tokens
	d.EntryControl = (to.entryUp - from.entryUp) / span
	d.GapMedianMs, d.Gap99Ms = quantiles(gaps)
	d.FirstMedianMs, _ = quantiles(firsts)
	return d
}

func quantiles(d []time.Duration) (median, p99 float64) {
	if len(d) == 0 {
		return 0, 0
	}
	s := sortedMs(d)
	return stat.Quantile(0.5, stat.Empirical, s, nil), stat.Quantile(0.99, stat.Empirical, s, nil)
}

// added compares the path with the engine called directly, turn by turn.
func (b *bed) added() Added {
	direct, path := client.New(local.Key), client.New(local.Key)
	engine := b.rig.Engines()[0].Engine.Addr()
	var first, gaps [2][]time.Duration
	for range directCalls {
		for i, res := range []client.Result{
			direct.Generate(context.Background(), engine, local.ModelName, "len=20", 0),
			path.Generate(context.Background(), b.addr, local.ModelName, "len=20", 0),
		} {
			first[i] = append(first[i], res.FirstToken)
			gaps[i] = append(gaps[i], res.Gaps...)
		}
	}
	pair := func(d []time.Duration) [2]float64 { m, p := quantiles(d); return [2]float64{m, p} }
	return Added{FirstDirectMs: pair(first[0]), FirstPathMs: pair(first[1]), GapDirectMs: pair(gaps[0]), GapPathMs: pair(gaps[1])}
}

// dataPath measures streams of rising number.
func dataPath(sizes []int, say func(string, ...any)) ([]DataPath, Added, error) {
	b, err := newBed()
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return nil, Added{}, err
	}
	added := b.added()
	var out []DataPath
	for _, n := range sizes {
		d := b.streams(n)
		say("%d streams: %.0f tokens/s, entry %.1f%%, agent %.1f%% of a core, %.1f and %.1f allocations a token",
			n, d.TokensPS, d.EntryCore, d.AgentCore, d.EntryAllocs, d.AgentAllocs)
		out = append(out, d)
	}
	return out, added, nil
}
