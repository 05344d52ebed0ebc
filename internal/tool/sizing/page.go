package sizing

import (
	_ "embed" // for gateway.md
	"fmt"
	"strings"

	"github.com/mimosalock/mimosalock/internal/entry/route"
)

// Inputs of the extrapolation that cannot be measured on one machine, and properties of the
// measurement.
const (
	tokenGapTargetMs      = 27     // between two tokens of a stream
	idleConnectionBytes   = 40_000 // memory of one idle TLS connection, both buffers
	idleConnectionSeconds = 120    // until an idle connection is closed
	tcpOverheadFactor     = 1.25   // bytes on the wire per byte of a small message
	readersPerCentre      = 2      // processes elected in each data centre to read the configuration service
	longPollSeconds       = 25     // of a long poll of the configuration service
	fallbackOdds          = 64     // without a host list, one process in so many reads at each check; there are two checks per second
	targetProcesses       = TargetEntries + TargetWorkers
	streamTokensPS        = 1000.0 / tokenGapTargetMs
	measuredTokensPS      = 50.0 // of one stream during the measurement
	bytesPerToken         = 200
	meanOutputTokens      = float64(TargetTokensPS) / TargetRequestsPS
	hostChangesPerDay     = 2 * (TargetHostFailuresPerDay + TargetRestartsPerDay)
)

// gatewaySection is the part of the page about the gateway, which serves calls without
// entries and agents. Its figures come from the users' benchmark and from tests.
//
//go:embed gateway.md
var gatewaySection string

// roleLoad is the load and resource use of one process of a role at the target size.
type roleLoad struct {
	name                                         string
	memoryMB, controlBytesPS, controlCorePercent float64
	dataCorePercent, streams, tokensPS, callsPS  float64
}

// findSeries returns the series with the name. It panics if there is none.
func (r Report) findSeries(name string) Series {
	for _, s := range r.Series {
		if s.Name == name {
			return s
		}
	}
	panic("sizing: no series " + name)
}

const bytesPerMB = 1e6

// entryLoad extrapolates the series to one entry at the target size.
func (r Report) entryLoad() roleLoad {
	e := roleLoad{name: "entry"}
	e.streams = TargetTokensPS / streamTokensPS / TargetEntries
	e.tokensPS = float64(TargetTokensPS) / TargetEntries
	e.callsPS = float64(TargetRequestsPS) / TargetEntries
	connections := min(float64(TargetWorkers)/TargetRegions, e.callsPS*route.ProbesPerRound*idleConnectionSeconds)
	e.memoryMB = (r.findSeries("entry: memory").estimate(e.streams) + r.findSeries("entry: configuration held").estimate(TargetWorkspaces) +
		r.findSeries("every process: host list held").estimate(targetProcesses) + connections*idleConnectionBytes) / bytesPerMB
	changesPS := float64(TargetChangesPerDay) / secondsPerDay
	e.controlBytesPS = r.findSeries("idle process: control bytes").estimate(targetProcesses) + e.callsPS*r.findSeries("entry: control bytes of a call").estimate(TargetWorkers) +
		r.hostListBytesPS() + r.ackBytesPS()*e.streams + changesPS*2*r.findSeries("entry: transfer of one change, compressed").estimate(TargetWorkspaces)
	e.controlCorePercent = r.findSeries("idle process: processor time").estimate(targetProcesses) + changesPS*r.findSeries("entry: processor time of one change").estimate(TargetWorkspaces)/10 +
		r.hostListCorePercent()
	e.dataCorePercent = r.findSeries("entry: processor time (50 tokens/s a stream)").Slope * e.tokensPS / measuredTokensPS
	return e
}

// agentLoad extrapolates the series to one agent at the target size.
func (r Report) agentLoad() roleLoad {
	a := roleLoad{name: "agent"}
	a.streams = TargetTokensPS / streamTokensPS / TargetWorkers
	a.tokensPS = float64(TargetTokensPS) / TargetWorkers
	a.callsPS = float64(TargetRequestsPS) / TargetWorkers
	connections := float64(TargetEntries) / TargetRegions
	a.memoryMB = (r.findSeries("agent: memory").estimate(a.streams) + r.findSeries("every process: host list held").estimate(targetProcesses) +
		a.streams*meanOutputTokens*bytesPerToken*3 + connections*idleConnectionBytes) / bytesPerMB
	changesPS := float64(TargetChangesPerDay) / secondsPerDay
	a.controlBytesPS = r.findSeries("idle process: control bytes").estimate(targetProcesses) + a.callsPS*r.findSeries("entry: control bytes of a call").estimate(TargetWorkers) +
		r.hostListBytesPS() + r.ackBytesPS()*a.streams + changesPS*2*r.findSeries("entry: transfer of one change, compressed").estimate(TargetWorkspaces)
	a.controlCorePercent = r.findSeries("idle process: processor time").estimate(targetProcesses) + r.hostListCorePercent()
	a.dataCorePercent = r.findSeries("agent: processor time (50 tokens/s a stream)").Slope * a.tokensPS / measuredTokensPS
	return a
}

// ackBytesPS returns the bytes per second of one stream's acknowledgements and heartbeats.
func (r Report) ackBytesPS() float64 {
	return max(0, r.findSeries("entry: acknowledgements and heartbeats").Slope) * tcpOverheadFactor
}

// hostListBytesPS returns the bytes per second of changes of the host list.
func (r Report) hostListBytesPS() float64 {
	return hostChangesPerDay / float64(secondsPerDay) * r.findSeries("every process: host list received, gzip").estimate(targetProcesses)
}

// hostListCorePercent returns the processor time of changes of the host list. 10 ms per
// second are 1% of a core.
func (r Report) hostListCorePercent() float64 {
	return hostChangesPerDay / float64(secondsPerDay) * r.findSeries("every process: processor time of one host change").estimate(targetProcesses) / 10
}

// Page returns the Markdown text of docs/CAPACITY.md.
func (r Report) Page() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("# Capacity\n")
	p("Written by `go run ./cmd/loadgen capacity --json capacity.json --page docs/CAPACITY.md` on %s, on a machine with %d cores (%s), in %.0f s. "+
		"Do not edit: change internal/tool/sizing and run it again. Figures are marked **M** (measured), **W** (calculated from a measured slope) "+
		"or **A** (assumed).\n", r.Date, r.Cores, r.Go, r.Seconds)
	p("%s", gatewaySection)
	p("# Entries and agents\n")
	r.writeRoles(p)
	r.writeConfigCalls(p)
	r.writeWorstCases(p)
	r.writeDataPath(p)
	p("## Slopes\n")
	p("Each idle fleet has two entries and agents of plain services in each of four data centres, with TLS between them. All of it runs in one process, " +
		"so the processor time includes the simulated endpoints and platform. Rows with the axis streams come from one entry and one agent, each in a separate process. " +
		"The smallest and the greatest slope between neighbouring sizes are in brackets. For a row that is not linear, the calculations use its greatest measured value.\n")
	p("| quantity | axis | unit | measured | slope (spread) | shape |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range r.Series {
		p("%s", s.tableRow())
	}
	p("\n## Today's sizes\n")
	p("Corrib and Fernhollow each run three data centres, about 15 endpoints, 3 to 6 entries and 10 workspaces. At that size the configuration is " +
		"one fleet shard and one workspace shard (under 4 KB), a change is in force on all processes within the time measured for the smallest fleet, and every row " +
		"above is below its value at 16 processes. No setting has to be changed from its default.\n")
	p("## What could not be measured here\n")
	p("Links between regions (latency, loss, cost), hundreds of hosts starting at once on separate hardware, a real load balancer, the " +
		"platform's own limits, and processor time on the hosts' processors. The propagation time of a change beyond 128 processes is calculated from the " +
		"gossip graph: each hop multiplies the number of informed processes by about six, so 1,990 processes take two hops more than 64.")
	return b.String()
}

// verdict says whether a value is within its budget.
func verdict(value, budget float64) string {
	if value <= budget {
		return "within"
	}
	return "**RED**"
}

// writeRoles writes the section on each role.
func (r Report) writeRoles(p func(string, ...any)) {
	p("## Each role at the target\n")
	p("%d entries in front of %d workers, %d requests/s, %d tokens/s, %d workspaces, %d data centres, %d changes a day. The target for a stream is "+
		"%d ms between tokens; a call generates %.0f tokens on average.\n", TargetEntries, TargetWorkers, TargetRequestsPS, TargetTokensPS, TargetWorkspaces,
		TargetCentres, TargetChangesPerDay, tokenGapTargetMs, meanOutputTokens)
	p("| role | load of one process | memory (budget %d MB) | control bytes (budget %d B/s) | control processor time (budget %.1f%% of a core) | data path |",
		BudgetMemoryMB, BudgetControlBytesPS, BudgetControlCorePercent)
	p("| --- | --- | --- | --- | --- | --- |")
	for _, x := range []roleLoad{r.entryLoad(), r.agentLoad()} {
		p("| %s | %.1f streams, %.0f tokens/s, %.2f calls/s | %.0f MB, %s (W) | %.0f B/s, %s (W) | %.2f%%, %s (W) | %.1f%% of a core (W) |",
			x.name, x.streams, x.tokensPS, x.callsPS, x.memoryMB, verdict(x.memoryMB, BudgetMemoryMB), x.controlBytesPS, verdict(x.controlBytesPS, BudgetControlBytesPS),
			x.controlCorePercent, verdict(x.controlCorePercent, BudgetControlCorePercent), x.dataCorePercent)
	}
	p("| configuration reader (one of the entries, or an agent in a data centre without entries) | as its role, plus %.2f calls/s to the service | as its role | "+
		"as its role between processes | as its role | none |\n", 1.0/longPollSeconds)
	p("How each load is kept small:\n")
	p("- *entry, endpoints*: an entry tracks no endpoint. It probes two per call if the first round suffices, one selected by hashing and one at random, over connections that stay open for 2 minutes (A: " +
		"40 KB each). The only state for an endpoint is its row of the host list.")
	p("- *entry, workspaces*: shards by key hash; views of successive versions share the parts that did not change. All workspaces are held on each " +
		"entry, since they fit the memory budget; agents hold none, since each call carries the weight of its workspace.")
	p("- *both, changes*: pushed along a fixed random graph (internal/fleet/gossip); only the manifest and the changed shard are pulled, compressed.")
	p("- *both, membership*: each process holds one long poll of the host list; a change replaces the whole list.")
	p("- *agent, answers*: one growing buffer for each answer; `buffer_bytes` limits their total.\n")
}

// writeConfigCalls writes the section on calls to the configuration service.
func (r Report) writeConfigCalls(p func(string, ...any)) {
	readers := float64(readersPerCentre * TargetCentres)
	shards := r.findSeries("shards").estimate(TargetWorkspaces)
	changesPS := float64(TargetChangesPerDay) / secondsPerDay
	ordinaryPS := readers/longPollSeconds + changesPS*readers*2
	p("## Calls to the configuration service (budget %d per second, all readers together)\n", BudgetConfigCallsPS)
	p("| when | calls | against the budget |\n| --- | --- | --- |")
	p("| ordinary day | %.2f per second: %.0f readers with a long poll of %d s each, and two calls of each reader for a change (W) | %s |",
		ordinaryPS, readers, longPollSeconds, verdict(ordinaryPS, BudgetConfigCallsPS))
	p("| one change | %.0f at once: for each reader, the long poll that returns and the fetch of the changed shard (W) | %s |", 2*readers, verdict(2*readers, BudgetConfigCallsPS))
	p("| all processes start at once | %.0f: each reader fetches the manifest and %.0f shards, the other processes get them from peers (W) | %.1f s of the budget |",
		readers*(1+shards), shards, readers*(1+shards)/BudgetConfigCallsPS)
	fallbackPS := 2.0 / fallbackOdds * (TargetEntries*(1+shards) + TargetWorkers*2)
	p("| all processes start, host list unavailable | %.0f per second: no reader can be elected and no peer is known, so each process reads the service itself, one in %d "+
		"each half second (W); no call can be routed without the list either | %s |", fallbackPS, fallbackOdds, verdict(fallbackPS, BudgetConfigCallsPS))
	p("| today | %.2f per second: 6 readers (W) | within |\n", 6.0/longPollSeconds)
}

// writeWorstCases writes the section on failures and restarts.
func (r Report) writeWorstCases(p func(string, ...any)) {
	e := r.entryLoad()
	propagation := r.findSeries("change in force on the last process, worst of 10")
	p("## Worst cases\n")
	p("| case | what happens | figure |\n| --- | --- | --- |")
	p("| a change at full size | two graph hops more than at 64 processes | measured %s ms at %.0f processes (M); assumed under %d s, with a budget of %d s (A) |",
		formatNumber(propagation.Y[len(propagation.Y)-1]), propagation.X[len(propagation.X)-1], 1, BudgetPropagationSecs)
	p("| a rack (40 workers) | the %.0f streams of each worker end or resume elsewhere; probes to the workers fail after 0.2 s, and entries then avoid them for 0.5 to 8 s | the retry budget of each entry limits retries to 10%% of first attempts; 2.6 to 3.8%% in four runs of loadgen faults (M) |",
		r.agentLoad().streams)
	p("| a data centre (1 of 8) | entries in other data centres take its calls | %.1f streams per entry instead of %.1f; control %.0f B/s (W), %s |",
		e.streams*8/7, e.streams, e.controlBytesPS*8/7, verdict(e.controlBytesPS*8/7, BudgetControlBytesPS))
	p("| no connection between regions | each region serves with its own endpoints; readers continue in each region; a region that cannot reach the service keeps its version | no extra state; each neighbour in the other region costs one failed dial every 8 s (W) |")
	p("| all reconnect | one TLS handshake for each connection: %.0f connections per entry, opened over 2 minutes as calls need them (W) | %.1f handshakes/s |\n",
		min(float64(TargetWorkers)/TargetRegions, e.callsPS*route.ProbesPerRound*idleConnectionSeconds), e.callsPS*route.ProbesPerRound)
}

// writeDataPath writes the section on relaying streams.
func (r Report) writeDataPath(p func(string, ...any)) {
	p("## Data path\n")
	p("Latency added to a single stream (M; the engine generates a token every %d ms; direct calls and calls through the path alternate):\n", int(1000/measuredTokensPS))
	p("| | direct, median | direct, 99th | path, median | path, 99th |\n| --- | --- | --- | --- | --- |")
	a := r.Overhead
	p("| first token, ms | %.2f | %.2f | %.2f | %.2f |", a.FirstDirectMs[0], a.FirstDirectMs[1], a.FirstPathMs[0], a.FirstPathMs[1])
	p("| gap between tokens, ms | %.2f | %.2f | %.2f | %.2f |\n", a.GapDirectMs[0], a.GapDirectMs[1], a.GapPathMs[0], a.GapPathMs[1])
	p("One entry and one agent (M):\n")
	p("| streams | tokens/s | entry core | agent core | tokens/s per core: entry, agent | entry RSS | agent RSS | allocations a token: entry, agent | gap median, 99th |")
	p("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, d := range r.Paths {
		p("| %d | %.0f | %.1f%% | %.1f%% | %.0f, %.0f | %.0f MB | %.0f MB | %.1f, %.1f | %.1f, %.1f ms |", d.Streams, d.TokensPS, d.EntryCorePercent, d.AgentCorePercent,
			100*d.TokensPS/d.EntryCorePercent, 100*d.TokensPS/d.AgentCorePercent, d.EntryRSSBytes/bytesPerMB, d.AgentRSSBytes/bytesPerMB, d.EntryAllocsPerToken, d.AgentAllocsPerToken, d.GapMedianMs, d.GapP99Ms)
	}
	p("\nMemory of one more stream: entry %.0f KB, agent %.0f KB (W, from the slopes below).\n",
		r.findSeries("entry: memory").Slope/1000, r.findSeries("agent: memory").Slope/1000)
}
