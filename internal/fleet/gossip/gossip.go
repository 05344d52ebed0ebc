// Package gossip distributes configuration versions between processes by gossip.
// When a process applies a version, it contacts its neighbours at once. In addition,
// each process periodically exchanges versions with one peer. In either case the
// process with the lower version pulls from the one with the higher version. Entries also
// exchange which calls engines crashed under (crash.go).
package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/mimosalock/mimosalock/internal/conf/active"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/fleet/config"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	exchangeInterval = time.Second
	refreshPeers     = 3 // members that Refresh exchanges versions with
	callTimeout      = 2 * time.Second
	bytesPerCall     = 256 << 10 // of shards before compression, unless one alone is larger: several peers may pull over one slow link
	maxShardsPerCall = 32
	randomPeerEvery  = 16 // on average, one in this many periodic exchanges is not limited to neighbours
)

// Node exchanges configuration versions on behalf of one process.
type Node struct {
	self       string
	dataCentre string
	store      *active.Store
	roster     *roster.Roster
	pool       *link.Pool
	log        *zap.Logger
	blame      *blame.Ledger // nil at agents, which do not need it
	graph      *graph
	pullFrom   chan string // hosts that reported a higher version

	pulling *semaphore.Weighted // of one pull at a time: several would take the link from each other
	pulled  map[string][]byte   // by hash, shards of a version that has not arrived completely; guarded by pulling
}

// New returns the node of the host self. crashes is nil if it does not exchange them.
func New(self, dataCentre string, store *active.Store, members *roster.Roster, crashes *blame.Ledger, pool *link.Pool, log *zap.Logger) *Node {
	return &Node{
		self: self, dataCentre: dataCentre, store: store, roster: members, blame: crashes, pool: pool, log: log,
		graph: &graph{self: self, dataCentre: dataCentre, fleetOnly: store.FleetOnly()}, pullFrom: make(chan string, 8),
		pulling: semaphore.NewWeighted(1),
	}
}

// Serve answers a Sync call of a peer.
func (n *Node) Serve(req *peerpb.SyncRequest) *peerpb.SyncReply {
	v := n.store.View()
	n.recordPeerVersion(req.From, req.Version, req.AgeMs)
	n.mergeCrashes(req.From, req.Crashes)
	reply := &peerpb.SyncReply{Version: v.Version(), AgeMs: n.ageMs(), Crashes: n.encodeCrashes()}
	if v == nil {
		return reply
	}
	if req.WantManifest {
		reply.Manifest = Compress(v.Bundle().Raw())
	}
	for _, sum := range req.WantShards {
		if raw := v.Bundle().Shard(sum); raw != nil {
			reply.Shards = append(reply.Shards, Compress(raw))
		}
	}
	return reply
}

// recordPeerVersion handles the version that a peer reported. A higher version is
// queued to be pulled. For an equal version, the peer's last confirmation by the
// configuration service counts for this process too.
func (n *Node) recordPeerVersion(from string, version, ageMs uint64) {
	n.roster.Trust(from)
	current := n.store.View().Version()
	switch {
	case version > current:
		select {
		case n.pullFrom <- from:
		default:
		}
	case version == current && ageMs < neverConfirmedMs:
		n.store.Confirm(version, time.Duration(ageMs)*time.Millisecond)
	}
}

// neverConfirmedMs is the age reported for a version that was never confirmed.
const neverConfirmedMs = 1 << 40

func (n *Node) ageMs() uint64 {
	age, ok := n.store.Age()
	if !ok {
		return neverConfirmedMs
	}
	return uint64(age.Milliseconds())
}

// Run exchanges versions until the context ends.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	pushedVersion := uint64(0)
	if n.blame != nil {
		go n.pushCrashes(ctx)
	}
	for {
		// Take the channel before reading the version, so that a version applied in
		// between closes it and is not missed.
		changed := n.store.Changed()
		if v := n.store.View().Version(); v > pushedVersion {
			pushedVersion = v
			n.push(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case host := <-n.pullFrom:
			n.exchange(ctx, host)
		case <-timer.C:
			if host, ok := n.pickPeer(); ok {
				go n.exchange(ctx, host)
			}
			timer.Reset(exchangeInterval/2 + rand.N(exchangeInterval))
		}
	}
}

// push exchanges versions with the neighbours after a version was applied here, so
// that they pull it.
func (n *Node) push(ctx context.Context) {
	for _, host := range n.graph.neighbours(n.roster) {
		if !n.roster.Suspected(host) {
			go n.exchange(ctx, host)
		}
	}
}

// pickPeer returns the host for the next periodic exchange: usually a neighbour,
// since its connection is open, and now and then any member, which reconnects a
// neighbour graph that was partitioned by failures.
func (n *Node) pickPeer() (string, bool) {
	hosts := n.graph.neighbours(n.roster)
	if rand.IntN(randomPeerEvery) == 0 {
		hosts = lo.Map(n.reachableMembers(), func(m roster.Member, _ int) string { return m.Host })
	}
	hosts = lo.Filter(hosts, func(h string, _ int) bool { return !n.roster.Suspected(h) })
	if len(hosts) == 0 {
		return "", false
	}
	return lo.Sample(hosts), true
}

// Refresh exchanges versions with a few random members at once and returns when all
// have answered or failed. A process that was paused calls it before it starts any
// work.
func (n *Node) Refresh(ctx context.Context) {
	var all sync.WaitGroup
	for _, m := range lo.Samples(n.reachableMembers(), refreshPeers) {
		all.Go(func() { n.exchange(ctx, m.Host) })
	}
	all.Wait()
}

// reachableMembers returns the other members that are not suspected.
func (n *Node) reachableMembers() []roster.Member {
	return lo.Filter(n.roster.All(), func(m roster.Member, _ int) bool {
		return m.Host != n.self && !n.roster.Suspected(m.Host)
	})
}

// exchange compares versions with a peer and pulls the peer's version if it is
// higher.
func (n *Node) exchange(ctx context.Context, host string) {
	m, ok := n.roster.Find(host)
	if !ok {
		return
	}
	reply, err := n.call(ctx, m, &peerpb.SyncRequest{})
	if err != nil {
		n.log.Debug("sync_failed", zap.String("peer", host), zap.Error(err))
		return
	}
	if reply.Version > n.store.View().Version() {
		if !n.graph.canServe(m) {
			return // agents hold no workspaces; an entry will have the version
		}
		if err := n.pull(ctx, m, reply.Version); err != nil {
			n.log.Debug("pull_failed", zap.String("peer", host), zap.Error(err))
		}
		return
	}
	n.recordPeerVersion(host, reply.Version, reply.AgeMs)
}

// pull applies a version, or a newer one, of a peer. It goes on where an earlier one has failed.
func (n *Node) pull(ctx context.Context, m roster.Member, version uint64) error {
	turn, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.pulling.Acquire(turn, 1); err != nil {
		return fmt.Errorf("gossip: another pull is under way: %w", err)
	}
	defer n.pulling.Release(1)
	if n.store.View().Version() >= version {
		return nil
	}
	reply, err := n.call(ctx, m, &peerpb.SyncRequest{WantManifest: true})
	if err != nil {
		return err
	}
	raw, err := decompress(reply.Manifest)
	if err != nil {
		return err
	}
	manifest, err := bundle.DecodeManifest(raw)
	if err != nil {
		return err
	}
	var missing []bundle.Shard
	n.pulled, missing = n.splitShards(manifest.RequiredShards(n.store.FleetOnly()))
	for _, batch := range batches(missing) {
		part, err := n.call(ctx, m, &peerpb.SyncRequest{WantShards: batch})
		if err != nil {
			return err
		}
		for _, compressed := range part.Shards {
			shard, err := decompress(compressed)
			if err != nil {
				return err
			}
			n.pulled[bundle.Hash(shard)] = shard
		}
	}
	shards := n.pulled
	n.pulled = nil
	if err := config.Apply(n.store, raw, shards, m.Host); err != nil {
		return err
	}
	n.recordPeerVersion(m.Host, reply.Version, reply.AgeMs)
	return nil
}

// splitShards separates the needed shards that the current view or an earlier pull already holds
// from those to fetch.
func (n *Node) splitShards(needs []bundle.Shard) (have map[string][]byte, missing []bundle.Shard) {
	v := n.store.View()
	have = map[string][]byte{}
	for _, s := range needs {
		raw := n.pulled[s.SHA256]
		if raw == nil && v != nil {
			raw = v.Bundle().Shard(s.SHA256)
		}
		if raw == nil {
			missing = append(missing, s)
			continue
		}
		have[s.SHA256] = raw
	}
	return have, missing
}

// batches returns the hashes of shards by the calls that fetch them.
func batches(shards []bundle.Shard) (calls [][]string) {
	left := 0
	for _, s := range shards {
		size := max(s.Bytes, bytesPerCall/maxShardsPerCall)
		if size > left {
			calls, left = append(calls, nil), max(size, bytesPerCall)
		}
		left -= size
		calls[len(calls)-1] = append(calls[len(calls)-1], s.SHA256)
	}
	return calls
}

func (n *Node) call(ctx context.Context, m roster.Member, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req.From, req.Version, req.AgeMs, req.Crashes = n.self, n.store.View().Version(), n.ageMs(), n.encodeCrashes()
	conn, err := n.pool.Get(ctx, m.Address)
	if err != nil {
		n.roster.Suspect(m.Host, "no connection")
		return nil, err
	}
	reply, err := conn.Sync(ctx, req)
	if err != nil {
		n.pool.Drop(conn)
		return nil, err
	}
	n.pool.Put(conn)
	n.mergeCrashes(m.Host, reply.Crashes)
	return reply, nil
}
