package sizing

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/agent/ledger"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/conf/view"
	"github.com/mimosalock/mimosalock/internal/fleet/gossip"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// FileWithWorkspaces returns a configuration with count workspaces.
func FileWithWorkspaces(count int) spec.File {
	f := local.DefaultFile([]spec.DataCentre{{Name: "galway-a", Region: "west"}})
	for i := range count - len(f.Workspaces) {
		name := fmt.Sprintf("workspace-%06d", i)
		f.Workspaces = append(f.Workspaces, spec.Workspace{Name: name, KeySHA256: local.HashKey(name), Weight: 1 + i%5, PerSecond: 50})
	}
	return f
}

// WithChangedWorkspace returns a copy of the configuration with one workspace changed.
func WithChangedWorkspace(f spec.File, index int) spec.File {
	f.Workspaces = append([]spec.Workspace(nil), f.Workspaces...)
	f.Workspaces[index%len(f.Workspaces)].Weight++
	return f
}

// heapBytes returns the growth of the live heap caused by the value from build. It is
// negative if more memory of other objects became unreachable during the measurement.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measureState measures the memory and processor time of the state in a process:
// configuration, host list, remembered attempts and buffered responses.
func measureState() ([]Series, error) {
	workspaces := []float64{4_000, 8_000, 16_000, 37_000}
	var bytes, apply, manifest, changedShard, shards, transfer []float64
	for _, n := range workspaces {
		cost, err := measureConfig(int(n))
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, cost.heapBytes)
		apply = append(apply, cost.applyMs)
		manifest = append(manifest, cost.manifestBytes)
		changedShard = append(changedShard, cost.changedShardBytes)
		shards = append(shards, cost.shardCount)
		transfer = append(transfer, cost.transferBytes)
	}
	out := []Series{
		newSeries("entry: configuration held", "workspaces", "bytes", workspaces, bytes),
		newSeries("entry: processor time of one change", "workspaces", "ms", workspaces, apply),
		newSeries("manifest", "workspaces", "bytes", workspaces, manifest),
		newSeries("shard of one workspace", "workspaces", "bytes", workspaces, changedShard),
		newSeries("shards", "workspaces", "shards", workspaces, shards),
		newSeries("entry: transfer of one change, compressed", "workspaces", "bytes", workspaces, transfer),
	}
	compressed := []float64{}
	members := []float64{200, 500, 1_000, 2_000, 4_000}
	var held, update []float64
	for _, n := range members {
		list := memberList(int(n))
		compressed = append(compressed, compressedHostListBytes(list))
		held = append(held, heapBytes(func() any { return newRoster(list) }))
		update = append(update, minMilliseconds(func() { newRoster(list) }))
	}
	out = append(out,
		newSeries("every process: host list held", "hosts", "bytes", members, held),
		newSeries("every process: host list received, gzip", "hosts", "bytes", members, compressed),
		newSeries("every process: processor time of one host change", "hosts", "ms", members, update))
	attempts := []float64{1_000, 4_000, 16_000, 64_000}
	var ledgers []float64
	for _, n := range attempts {
		ledgers = append(ledgers, heapBytes(func() any { return newLedger(int(n)) }))
	}
	out = append(out, newSeries("agent: attempts and keys remembered", "attempts", "bytes", attempts, ledgers))
	tokens := []float64{500, 2_000, 8_000, 32_000}
	var responses []float64
	for _, n := range tokens {
		responses = append(responses, heapBytes(func() any { return newResponseBuffer(int(n)) }))
	}
	return append(out, newSeries("agent: answer held (200-byte frames)", "frames", "bytes", tokens, responses)), nil
}

// configCost holds the cost of a configuration (heapBytes, manifestBytes, shardCount) and of
// a change to one of its workspaces (the rest).
type configCost struct {
	heapBytes, applyMs, manifestBytes, changedShardBytes, shardCount, transferBytes float64
}

// measureConfig measures a configuration with this many workspaces and a change to one of
// them.
func measureConfig(workspaces int) (configCost, error) {
	var c configCost
	file := FileWithWorkspaces(workspaces)
	first, err := bundle.Build(1, file)
	if err != nil {
		return c, err
	}
	second, err := bundle.Build(2, WithChangedWorkspace(file, workspaces/2))
	if err != nil {
		return c, err
	}
	var held *view.View
	c.heapBytes = heapBytes(func() any {
		held, err = view.New(first, nil)
		return held
	}) + float64(first.Bytes())
	if err != nil {
		return c, err
	}
	c.applyMs = minMilliseconds(func() { _, err = view.New(second, held) })
	c.manifestBytes = float64(len(second.Raw()))
	c.shardCount = float64(len(second.Shards()))
	c.transferBytes = float64(len(gossip.Compress(second.Raw())))
	for sum, raw := range second.Shards() {
		if first.Shard(sum) == nil {
			c.changedShardBytes = float64(len(raw))
			c.transferBytes += float64(len(gossip.Compress(raw)))
		}
	}
	return c, err
}

func memberList(count int) []roster.Member {
	list := make([]roster.Member, count)
	for i := range list {
		list[i] = roster.Member{
			Host: fmt.Sprintf("host-%05d", i), DataCentre: fmt.Sprintf("centre-%d", i%TargetCentres), Role: roster.RoleAgent,
			Service: fmt.Sprintf("service-%d", i%TargetModels), Address: fmt.Sprintf("10.0.%d.%d:7100", i/256, i%256),
		}
		if i%5 == 0 {
			list[i].Role = roster.RoleEntry
		}
	}
	return list
}

// compressedHostListBytes returns the size of the host list as the platform sends it: JSON
// with gzip. It returns NaN if the list cannot be encoded.
func compressedHostListBytes(list []roster.Member) float64 {
	rows := make([]confsv.HostRow, len(list))
	for i, m := range list {
		rows[i] = confsv.HostRow{Host: m.Host, DataCentre: m.DataCentre, Role: string(m.Role), Service: m.Service, Address: m.Address, State: "live"}
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return math.NaN()
	}
	return float64(len(fasthttp.AppendGzipBytes(nil, raw)))
}

func newRoster(list []roster.Member) *roster.Roster {
	r := roster.New(audit.New("capacity", zap.NewNop()))
	r.Update(roster.Version{Revision: 1}, list)
	return r
}

func newLedger(attempts int) *ledger.Ledger {
	l := ledger.New()
	now := time.Now()
	for i := range attempts {
		key := ledger.Key{Workspace: "workspace", Text: fmt.Sprintf("key-%d", i)}
		l.Begin(now, fmt.Sprintf("%016x.centre-1.host-00001.1234567890abc", i), key, 1, time.Hour)
	}
	return l
}

func newResponseBuffer(frames int) *buffer.Buffer {
	b := buffer.New("workspace", 0)
	frame := make([]byte, 200)
	for range frames {
		b.Append(frame)
	}
	return b
}

// minMilliseconds returns the shortest duration of several runs, which other load on the
// machine affects least.
func minMilliseconds(run func()) float64 {
	const runs = 5
	best := time.Duration(1 << 62)
	for range runs {
		start := time.Now()
		run()
		best = min(best, time.Since(start))
	}
	return float64(best) / float64(time.Millisecond)
}
