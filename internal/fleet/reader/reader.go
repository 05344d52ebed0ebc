// Package reader reads the platform's configuration service. In each data
// centre a few processes watch it, chosen alike by all; the rest learn from
// peers and read only when the peers have gone quiet.
package reader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/check"
	"github.com/mimosalock/mimosalock/internal/conf/held"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

const (
	watchWait    = 25 * time.Second
	callTimeout  = 3 * time.Second
	retryPause   = time.Second
	duePoll      = 5 * time.Second
	startupPoll  = 500 * time.Millisecond // without any configuration
	quietAfter   = 45 * time.Second       // without confirmation, longer than a watch
	startupGrace = 200 * time.Millisecond
	startupQuiet = 5 * time.Second // without any configuration
	spreadCentre = 8               // polls, over the processes of a data centre
	spreadAll    = 64              // polls, over all processes
	electionKey  = "config-reader"
)

// Reader watches the service on behalf of one process.
type Reader struct {
	addr    string
	self    string
	centre  string
	readers int
	started time.Time
	store   *held.Store
	roster  *roster.Roster
	client  *fasthttp.Client
	trail   *audit.Trail
	log     *zap.Logger
}

// New returns a reader of the service at the address, for the named host of a
// data centre in which so many processes read.
func New(addr, self, centre string, readers int, store *held.Store, members *roster.Roster, trail *audit.Trail, log *zap.Logger) *Reader {
	return &Reader{
		addr: addr, self: self, centre: centre, readers: readers, store: store, roster: members, trail: trail, log: log,
		client: &fasthttp.Client{MaxResponseBodySize: 2 * bundle.MaxValueBytes, MaxIdemponentCallAttempts: 1},
	}
}

// Run watches until the context ends.
func (r *Reader) Run(ctx context.Context) {
	r.started = time.Now()
	pause(ctx, startupGrace)
	revision := uint64(0)
	for ctx.Err() == nil {
		if !r.due() {
			pause(ctx, r.duePause())
			continue
		}
		next, err := r.read(ctx, revision)
		if err != nil {
			r.log.Debug("config_read_failed", zap.Error(err))
			pause(ctx, jitter(retryPause))
			continue
		}
		revision = next
	}
}

// due reports whether this process should call the service now. When all start
// at once, the elected read and the rest learn from them: a whole configuration
// is hundreds of calls.
func (r *Reader) due() bool {
	if r.elected() {
		return true
	}
	age, known := r.store.Age()
	if !known {
		age = time.Since(r.started)
	}
	limit := quietAfter
	if r.store.View() == nil {
		limit = startupQuiet
	}
	return age > limit && rand.IntN(r.oneIn()) == 0
}

// duePause is the time until a process that does not read asks itself again.
func (r *Reader) duePause() time.Duration {
	if r.store.View() == nil {
		return startupPoll
	}
	return duePoll
}

// oneIn spreads the processes that read though they are not elected, so that
// they stay within the service's budget. Without a host list nobody is elected
// and no peer is known, so every process comes by itself.
func (r *Reader) oneIn() int {
	if r.roster.Revision() == 0 {
		return spreadAll
	}
	return spreadCentre
}

// elected reports whether this process is one of the data centre's readers. It
// needs a full set of values, so entries go first where there are any.
func (r *Reader) elected() bool {
	var entries, agents []string
	for _, m := range r.roster.All() {
		if m.DataCentre != r.centre || m.Leaving || (m.Host != r.self && r.roster.Suspected(m.Host)) {
			continue
		}
		if m.Role == roster.RoleEntry {
			entries = append(entries, m.Host)
		} else {
			agents = append(agents, m.Host)
		}
	}
	ranked := append(rank.Hosts(entries, electionKey), rank.Hosts(agents, electionKey)...)
	return slices.Contains(ranked[:min(r.readers, len(ranked))], r.self)
}

// read waits for a manifest newer than the revision and applies it.
func (r *Reader) read(ctx context.Context, revision uint64) (uint64, error) {
	wait := watchWait
	if r.store.View() == nil || !r.elected() {
		wait = 0
	}
	asked := time.Now()
	raw, next, err := r.get(ctx, "manifest", revision, wait)
	if err != nil {
		return 0, err
	}
	m, err := bundle.DecodeManifest(raw)
	if err != nil {
		r.reject(0, err)
		return 0, err
	}
	current := r.store.View().Version()
	switch {
	case m.Version < current:
		pause(ctx, jitter(retryPause)) // the service serves an older value
		return 0, nil
	case m.Version == current:
		r.store.Confirm(m.Version, time.Since(asked))
		return next, nil
	}
	if err := r.fetch(ctx, raw, m); err != nil {
		r.reject(m.Version, err)
		return 0, err
	}
	r.store.Confirm(m.Version, 0)
	return next, nil
}

func (r *Reader) reject(version uint64, err error) {
	r.trail.Record(audit.Event{Kind: audit.KindConfigRejected, Subject: "config", Why: err.Error(), Version: version})
}

func (r *Reader) fetch(ctx context.Context, raw []byte, m bundle.Manifest) error {
	shards := map[string][]byte{}
	for _, s := range m.Needs(r.store.FleetOnly()) {
		if v := r.store.View(); v != nil && v.Bundle().Shard(s.SHA256) != nil {
			shards[s.SHA256] = v.Bundle().Shard(s.SHA256)
			continue
		}
		part, _, err := r.get(ctx, "shards/"+s.SHA256, 0, 0)
		if err != nil {
			return err
		}
		shards[s.SHA256] = part
	}
	return Apply(r.store, raw, shards, "service")
}

// Apply assembles, validates and applies a version, from the service or a
// peer. A version with faults is refused whole.
func Apply(store *held.Store, raw []byte, shards map[string][]byte, from string) error {
	b, err := bundle.Assemble(raw, shards, store.FleetOnly())
	if err != nil {
		return err
	}
	fleet := b.Shard(b.Manifest().Shards[0].SHA256)
	if faults := check.Bytes("fleet", fleet).Faults; len(faults) > 0 {
		return fmt.Errorf("reader: version %d: %s", b.Version(), faults[0])
	}
	_, err = store.Apply(b, from)
	return err
}

func (r *Reader) get(ctx context.Context, key string, after uint64, wait time.Duration) ([]byte, uint64, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/values/%s?after=%d&wait_ms=%d", r.addr, key, after, wait.Milliseconds()))
	if err := r.client.DoTimeout(req, resp, wait+callTimeout); err != nil {
		return nil, 0, fmt.Errorf("reader: get %s: %w", key, err)
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, 0, fmt.Errorf("reader: get %s: status %d", key, resp.StatusCode())
	}
	revision, err := strconv.ParseUint(string(resp.Header.Peek("X-Revision")), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("reader: get %s: revision: %w", key, err)
	}
	return slices.Clone(resp.Body()), revision, nil
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
