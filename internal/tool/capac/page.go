package capac

import (
	_ "embed" // for the gateway's part of the page
	"fmt"
	"strings"

	"github.com/mimosalock/mimosalock/internal/entry/route"
)

// Assumptions that one machine cannot measure.
const (
	tokenGapTargetMs  = 27
	idleLinkBytes     = 40_000 // memory of one idle TLS link, both buffers
	idleLinkSeconds   = 120
	tcpHeaderShare    = 1.25 // wire bytes for each byte of small messages
	readersPerCentre  = 2
	watchSeconds      = 25
	readerSpread      = 64 // one process in so many begins to read each half second
	nodes             = TargetEntries + TargetWorkers
	streamTokensPS    = 1000.0 / tokenGapTargetMs
	measuredTokensPS  = 50.0 // of one stream in the measurement
	bytesPerToken     = 200
	meanOutput        = float64(TargetTokens) / TargetRequests
	hostChangesPerDay = 2 * (TargetHostFailures + TargetRestarts)
)

// gateway is the part of the page on direct serving, whose figures come from the
// users' bench and from tests.
//
//go:embed gateway.md
var gateway string

// role is one role's load at the target.
type role struct {
	name                            string
	memoryMB, controlBPS, core      float64
	dataCore, streams, tokens, call float64
}

// find returns the series with the name.
func (r Report) find(name string) Series {
	for _, s := range r.Series {
		if s.Name == name {
			return s
		}
	}
	panic("capacity: no series " + name)
}

const mb = 1e6

func (r Report) entryRole() role {
	e := role{name: "entry"}
	e.streams = TargetTokens / streamTokensPS / TargetEntries
	e.tokens = float64(TargetTokens) / TargetEntries
	e.call = float64(TargetRequests) / TargetEntries
	links := min(float64(TargetWorkers)/TargetRegions, e.call*route.Probes*idleLinkSeconds)
	e.memoryMB = (r.find("entry: memory").at(e.streams) + r.find("entry: configuration held").at(TargetWorkspaces) +
		r.find("every process: host list held").at(nodes) + links*idleLinkBytes) / mb
	perChange := float64(TargetChanges) / secondsPerDay
	e.controlBPS = r.find("idle process: control bytes").at(nodes) + e.call*r.find("entry: control bytes of a call").at(TargetWorkers) +
		r.listBytes() + r.ackBytes()*e.streams + perChange*2*r.find("entry: transfer of one change, compressed").at(TargetWorkspaces)
	e.core = r.find("idle process: processor time").at(nodes) + perChange*r.find("entry: processor time of one change").at(TargetWorkspaces)/10 +
		r.hostCore()
	e.dataCore = r.find("entry: processor time (50 tokens/s a stream)").Slope * e.tokens / measuredTokensPS
	return e
}

func (r Report) agentRole() role {
	a := role{name: "agent"}
	a.streams = TargetTokens / streamTokensPS / TargetWorkers
	a.tokens = float64(TargetTokens) / TargetWorkers
	a.call = float64(TargetRequests) / TargetWorkers
	links := float64(TargetEntries) / TargetRegions
	a.memoryMB = (r.find("agent: memory").at(a.streams) + r.find("every process: host list held").at(nodes) +
		a.streams*meanOutput*bytesPerToken*3 + links*idleLinkBytes) / mb
	perChange := float64(TargetChanges) / secondsPerDay
	a.controlBPS = r.find("idle process: control bytes").at(nodes) + a.call*r.find("entry: control bytes of a call").at(TargetWorkers) +
		r.listBytes() + r.ackBytes()*a.streams + perChange*2*r.find("entry: transfer of one change, compressed").at(TargetWorkspaces)
	a.core = r.find("idle process: processor time").at(nodes) + r.hostCore()
	a.dataCore = r.find("agent: processor time (50 tokens/s a stream)").Slope * a.tokens / measuredTokensPS
	return a
}

// ackBytes is what one stream's acknowledgements and heartbeats take a second.
func (r Report) ackBytes() float64 {
	return max(0, r.find("entry: acknowledgements and heartbeats").Slope) * tcpHeaderShare
}

// listBytes is what the host list's changes take a second.
func (r Report) listBytes() float64 {
	return hostChangesPerDay / float64(secondsPerDay) * r.find("every process: host list received, gzip").at(nodes)
}

// hostCore is the processor time of the host list's changes, in % of a core.
func (r Report) hostCore() float64 {
	return hostChangesPerDay / float64(secondsPerDay) * r.find("every process: processor time of one host change").at(nodes) / 10
}

// Page returns docs/CAPACITY.md.
func (r Report) Page() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("# Capacity\n")
	p("Written by `go run ./cmd/loadgen capacity --json capacity.json --page docs/CAPACITY.md` on %s, on a machine with %d cores (%s), in %.0f s. "+
		"Do not edit: change internal/tool/capac and run it again. Figures are marked **M** measured, **W** worked out from a measured slope, "+
		"**A** assumed.\n", r.Date, r.Cores, r.Go, r.Seconds)
	p("%s", gateway)
	p("# The product's own interface\n")
	r.roles(p)
	r.calls(p)
	r.worst(p)
	r.path(p)
	p("## Slopes\n")
	p("Each idle fleet runs in one process with TLS between its nodes, two entries and agents of plain services in each of four data centres, " +
		"so its processor time includes the stand-ins. Stream rows come from one entry and one agent in processes of their own. The slope's least and greatest " +
		"value between neighbouring sizes stand in brackets; a row that is neither linear nor constant enters with its greatest value.\n")
	p("| quantity | axis | unit | measured | slope (spread) | shape |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range r.Series {
		p("%s", s.row())
	}
	p("\n## Today's sizes\n")
	p("Corrib and Fernhollow each run three data centres, about 15 endpoints, 3 to 6 entries and 10 workspaces. At that size the configuration is " +
		"one fleet shard and one workspace shard (under 4 KB), a change is in force within the first row's time of the spread series, and every row " +
		"above lies below its value at 16 processes. Nothing has to be sized: the defaults of the settings hold.\n")
	p("## What could not be measured here\n")
	p("Links between regions (latency, loss, their bill), hundreds of hosts starting at once on hardware of their own, a real balancer, the " +
		"platform's own limits, and processor time on the hosts' processors. The spread of a change beyond 128 processes is worked out from the " +
		"graph: each hop multiplies the informed by about six, so 1,990 processes are two hops further than 64.")
	return b.String()
}

func verdict(value, budget float64) string {
	if value <= budget {
		return "within"
	}
	return "**RED**"
}

func (r Report) roles(p func(string, ...any)) {
	p("## Each role at the target\n")
	p("%d entries before %d workers, %d requests/s, %d tokens/s, %d workspaces, %d data centres, %d changes a day. A stream runs at the target's "+
		"%d ms between tokens; a call makes %.0f tokens on average.\n", TargetEntries, TargetWorkers, TargetRequests, TargetTokens, TargetWorkspaces,
		TargetCentres, TargetChanges, tokenGapTargetMs, meanOutput)
	p("| role | load on one | memory (budget %d MB) | control bytes (budget %d B/s) | control processor time (budget %.1f%% of a core) | data path |",
		BudgetMemoryMB, BudgetBytesPS, BudgetCorePercent)
	p("| --- | --- | --- | --- | --- | --- |")
	for _, x := range []role{r.entryRole(), r.agentRole()} {
		p("| %s | %.1f streams, %.0f tokens/s, %.2f calls/s | %.0f MB, %s (W) | %.0f B/s, %s (W) | %.2f%%, %s (W) | %.1f%% of a core (W) |",
			x.name, x.streams, x.tokens, x.call, x.memoryMB, verdict(x.memoryMB, BudgetMemoryMB), x.controlBPS, verdict(x.controlBPS, BudgetBytesPS),
			x.core, verdict(x.core, BudgetCorePercent), x.dataCore)
	}
	p("| configuration reader (one of the entries, or an agent where there is none) | as its role, and %.2f calls/s to the service | no more | "+
		"no more between processes | no more | none |\n", 1.0/watchSeconds)
	p("What carries each:\n")
	p("- *entry, endpoints*: it follows none of them; two probes a call where the first round does, chosen by hashing and chance, over links that stay open for 2 minutes (A: " +
		"40 KB each). State for an endpoint is its row of the host list.")
	p("- *entry, workspaces*: shards by key hash; views of successive versions share the parts that did not change. All workspaces are held on each " +
		"entry, as their bytes allow it; agents hold none, a call carries its workspace's weight.")
	p("- *both, changes*: a push along a fixed random graph (internal/fleet/gossip), a pull of the manifest and the changed shard only, compressed.")
	p("- *both, membership*: one long poll of the host list each; its rows are replaced whole.")
	p("- *agent, answers*: one slab for each answer, bounded together by `buffer_bytes`.\n")
}

func (r Report) calls(p func(string, ...any)) {
	readers := float64(readersPerCentre * TargetCentres)
	shards := r.find("shards").at(TargetWorkspaces)
	perDay := float64(TargetChanges) / secondsPerDay
	ordinary := readers/watchSeconds + perDay*readers*2
	p("## Calls to the configuration service (budget %d a second, all readers)\n", BudgetConfigCalls)
	p("| when | calls | against the budget |\n| --- | --- | --- |")
	p("| ordinary day | %.2f a second: %.0f readers, a watch of %d s each, and two calls of each reader for a change (W) | %s |",
		ordinary, readers, watchSeconds, verdict(ordinary, BudgetConfigCalls))
	p("| one change | %.0f at once: a watch that ends and the changed shard, for each reader (W) | %s |", 2*readers, verdict(2*readers, BudgetConfigCalls))
	p("| all processes start at once | %.0f: each reader fetches the manifest and %.0f shards, the rest learn from peers (W) | %.1f s of the budget |",
		readers*(1+shards), shards, readers*(1+shards)/BudgetConfigCalls)
	alone := 2.0 / readerSpread * (TargetEntries*(1+shards) + TargetWorkers*2)
	p("| all processes start, host list down | %.0f a second: no reader can be elected and no peer is known, so each process reads by itself, one in %d "+
		"each half second (W); nothing can be routed without the list either | %s |", alone, readerSpread, verdict(alone, BudgetConfigCalls))
	p("| today | %.2f a second: 6 readers (W) | within |\n", 6.0/watchSeconds)
}

func (r Report) worst(p func(string, ...any)) {
	e := r.entryRole()
	spread := r.find("change in force on the last process, worst of 10")
	p("## Worst cases\n")
	p("| case | what happens | figure |\n| --- | --- | --- |")
	p("| a change at full size | two graph hops more than at 64 processes | measured %s ms at %.0f processes (M), under %d s of the budget of %d s (A) |",
		short(spread.Y[len(spread.Y)-1]), spread.X[len(spread.X)-1], 1, BudgetSpreadSecs)
	p("| a rack (40 workers) | its %.0f streams per worker end or resume; probes to it fail in 0.2 s and suspect it for 0.5 to 8 s | retries are bounded to 10%% of first tries by each entry's budget; 2.6 to 3.8%% in four runs of loadgen faults (M) |",
		r.agentRole().streams)
	p("| a data centre (1 of 8) | entries elsewhere take its calls | %.1f streams an entry instead of %.1f; control %.0f B/s (W), %s |",
		e.streams*8/7, e.streams, e.controlBPS*8/7, verdict(e.controlBPS*8/7, BudgetBytesPS))
	p("| regions cut from each other | each serves with its own endpoints; a reader in each region goes on; the part without the service keeps its version | no extra state; suspicion of the far side costs one failed dial each 8 s a neighbour (W) |")
	p("| all reconnect | one TLS handshake for each link: %.0f links an entry over the 2 minutes in which calls need them (W) | %.1f handshakes/s |\n",
		min(float64(TargetWorkers)/TargetRegions, e.call*route.Probes*idleLinkSeconds), e.call*route.Probes)
}

func (r Report) path(p func(string, ...any)) {
	p("## Data path\n")
	p("Added to a stream that has the engine for itself (M; the engine makes a token each %d ms, direct and through the path turn by turn):\n", int(1000/measuredTokensPS))
	p("| | direct, median | direct, 99th | path, median | path, 99th |\n| --- | --- | --- | --- | --- |")
	a := r.Added
	p("| first token, ms | %.2f | %.2f | %.2f | %.2f |", a.FirstDirectMs[0], a.FirstDirectMs[1], a.FirstPathMs[0], a.FirstPathMs[1])
	p("| gap between tokens, ms | %.2f | %.2f | %.2f | %.2f |\n", a.GapDirectMs[0], a.GapDirectMs[1], a.GapPathMs[0], a.GapPathMs[1])
	p("One entry and one agent (M):\n")
	p("| streams | tokens/s | entry core | agent core | tokens/s per core: entry, agent | entry RSS | agent RSS | allocations a token: entry, agent | gap median, 99th |")
	p("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, d := range r.Paths {
		p("| %d | %.0f | %.1f%% | %.1f%% | %.0f, %.0f | %.0f MB | %.0f MB | %.1f, %.1f | %.1f, %.1f ms |", d.Streams, d.TokensPS, d.EntryCore, d.AgentCore,
			100*d.TokensPS/d.EntryCore, 100*d.TokensPS/d.AgentCore, d.EntryMemory/mb, d.AgentMemory/mb, d.EntryAllocs, d.AgentAllocs, d.GapMedianMs, d.Gap99Ms)
	}
	p("\nMemory of one more stream: entry %.0f KB, agent %.0f KB (W, from the slopes below).\n",
		r.find("entry: memory").Slope/1000, r.find("agent: memory").Slope/1000)
}
