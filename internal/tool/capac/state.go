package capac

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/answer"
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

// Workspaces returns a configuration with so many workspaces.
func Workspaces(count int) spec.File {
	f := local.DefaultFile([]spec.DataCentre{{Name: "galway-a", Region: "west"}})
	for i := range count - len(f.Workspaces) {
		name := fmt.Sprintf("workspace-%06d", i)
		f.Workspaces = append(f.Workspaces, spec.Workspace{Name: name, KeySHA256: local.HashKey(name), Weight: 1 + i%5, PerSecond: 50})
	}
	return f
}

// ChangeOne returns the configuration with one workspace changed.
func ChangeOne(f spec.File, index int) spec.File {
	f.Workspaces = append([]spec.Workspace(nil), f.Workspaces...)
	f.Workspaces[index%len(f.Workspaces)].Weight++
	return f
}

// heap returns the bytes that the value of make holds.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// stateSeries measures memory and processor time of what a process keeps.
func stateSeries() ([]Series, error) {
	workspaces := []float64{4_000, 8_000, 16_000, 37_000}
	var bytes, apply, manifest, changed, shards, transfer []float64
	for _, n := range workspaces {
		cost, err := configCost(int(n))
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, cost.heap)
		apply = append(apply, cost.applyMs)
		manifest = append(manifest, cost.manifest)
		changed = append(changed, cost.shard)
		shards = append(shards, cost.shards)
		transfer = append(transfer, cost.transfer)
	}
	out := []Series{
		newSeries("entry: configuration held", "workspaces", "bytes", workspaces, bytes),
		newSeries("entry: processor time of one change", "workspaces", "ms", workspaces, apply),
		newSeries("manifest", "workspaces", "bytes", workspaces, manifest),
		newSeries("shard of one workspace", "workspaces", "bytes", workspaces, changed),
		newSeries("shards", "workspaces", "shards", workspaces, shards),
		newSeries("entry: transfer of one change, compressed", "workspaces", "bytes", workspaces, transfer),
	}
	listBytes := []float64{}
	members := []float64{200, 500, 1_000, 2_000, 4_000}
	var held, update []float64
	for _, n := range members {
		list := memberList(int(n))
		listBytes = append(listBytes, packedList(list))
		held = append(held, heap(func() any { return filled(list) }))
		update = append(update, milliseconds(func() { filled(list) }))
	}
	out = append(out,
		newSeries("every process: host list held", "hosts", "bytes", members, held),
		newSeries("every process: host list received, gzip", "hosts", "bytes", members, listBytes),
		newSeries("every process: processor time of one host change", "hosts", "ms", members, update))
	attempts := []float64{1_000, 4_000, 16_000, 64_000}
	var ledgers []float64
	for _, n := range attempts {
		ledgers = append(ledgers, heap(func() any { return filledLedger(int(n)) }))
	}
	out = append(out, newSeries("agent: attempts and keys remembered", "attempts", "bytes", attempts, ledgers))
	tokens := []float64{500, 2_000, 8_000, 32_000}
	var answers []float64
	for _, n := range tokens {
		answers = append(answers, heap(func() any { return filledAnswer(int(n)) }))
	}
	return append(out, newSeries("agent: answer held (200-byte frames)", "frames", "bytes", tokens, answers)), nil
}

type configFigures struct {
	heap, applyMs, manifest, shard, shards, transfer float64
}

func configCost(workspaces int) (configFigures, error) {
	var c configFigures
	file := Workspaces(workspaces)
	first, err := bundle.Build(1, file)
	if err != nil {
		return c, err
	}
	second, err := bundle.Build(2, ChangeOne(file, workspaces/2))
	if err != nil {
		return c, err
	}
	var held *view.View
	c.heap = heap(func() any {
		held, err = view.New(first, nil)
		return held
	}) + float64(first.Bytes())
	if err != nil {
		return c, err
	}
	c.applyMs = milliseconds(func() { _, err = view.New(second, held) })
	c.manifest = float64(len(second.Raw()))
	c.shards = float64(len(second.Shards()))
	c.transfer = float64(len(gossip.Compress(second.Raw())))
	for sum, raw := range second.Shards() {
		if first.Shard(sum) == nil {
			c.shard = float64(len(raw))
			c.transfer += float64(len(gossip.Compress(raw)))
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

// packedList returns the bytes of the host list as the platform sends it.
func packedList(list []roster.Member) float64 {
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

func filled(list []roster.Member) *roster.Roster {
	r := roster.New(audit.New("capacity", zap.NewNop()))
	r.Update(1, list)
	return r
}

func filledLedger(attempts int) *ledger.Ledger {
	l := ledger.New()
	now := time.Now()
	for i := range attempts {
		key := ledger.Key{Workspace: "workspace", Text: fmt.Sprintf("key-%d", i)}
		l.Begin(now, fmt.Sprintf("%016x.centre-1.host-00001.1234567890abc", i), key, 1, time.Hour)
	}
	return l
}

func filledAnswer(frames int) *answer.Buffer {
	b := answer.New("workspace", 0)
	frame := make([]byte, 200)
	for range frames {
		b.Append(frame)
	}
	return b
}

// milliseconds returns the least of a few runs.
func milliseconds(run func()) float64 {
	const tries = 5
	best := time.Duration(1 << 62)
	for range tries {
		start := time.Now()
		run()
		best = min(best, time.Since(start))
	}
	return float64(best) / float64(time.Millisecond)
}
