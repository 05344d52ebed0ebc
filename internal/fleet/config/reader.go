// Package config reads the platform's configuration service. In each data centre a
// few processes long-poll it. They are elected by rendezvous hashing, so that all
// processes agree on them without communication. The others get versions from peers
// and read the service only if no peer has confirmed the version for some time.
package config

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/conf/active"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/check"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

const (
	longPollWait         = 25 * time.Second
	callTimeout          = 3 * time.Second // besides the long-poll wait
	retryPause           = time.Second
	checkInterval        = 5 * time.Second        // of processes that are not elected
	startupCheckInterval = 500 * time.Millisecond // while there is no configuration yet
	staleAfter           = 45 * time.Second       // since the last confirmation; must exceed longPollWait
	startupDelay         = 200 * time.Millisecond // before the first check, so that the host list for the election can arrive
	startupStaleAfter    = 5 * time.Second        // since the start, while there is no configuration yet
	fallbackOdds         = 8                      // one in this many checks reads, if only one data centre's processes fall back
	fallbackOddsNoHosts  = 64                     // one in this many checks reads, if all processes fall back for lack of a host list
	electionKey          = "config-reader"
)

// Reader reads the configuration service on behalf of one process.
type Reader struct {
	addr        string
	self        string
	dataCentre  string
	readerCount int
	started     time.Time
	store       *active.Store
	roster      *roster.Roster
	pool        *httpc.Pool
	trail       *audit.Trail
	log         *zap.Logger
}

// New returns a Reader of the service at addr for the host self. In each data
// centre, readerCount processes long-poll the service.
func New(addr, self, dataCentre string, readerCount int, store *active.Store, members *roster.Roster, trail *audit.Trail, log *zap.Logger) *Reader {
	return &Reader{
		addr: addr, self: self, dataCentre: dataCentre, readerCount: readerCount, store: store, roster: members, trail: trail, log: log,
		pool: httpc.New(httpc.Config{DialTimeout: callTimeout}),
	}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	r.started = time.Now()
	pause(ctx, startupDelay)
	known := position{}
	for ctx.Err() == nil {
		if !r.shouldRead() {
			r.pool.CloseIdle(r.addr) // most processes read only now and then
			pause(ctx, r.checkPause())
			continue
		}
		next, err := r.read(ctx, known)
		known = next
		if err != nil {
			r.log.Debug("config_read_failed", zap.Error(err))
			pause(ctx, jitter(retryPause))
		}
	}
}

// position is up to where the service was read. If the service comes back from an older
// copy, its epoch rises and it gives revisions out again; a read from the zero position is
// answered at once.
type position struct {
	epoch    uint64 // 0 if the service names none
	revision uint64
}

// shouldRead reports whether this process should call the service now. If all
// processes start at once, only the elected ones read and the others learn from
// them, since reading a whole configuration takes hundreds of calls.
func (r *Reader) shouldRead() bool {
	if r.elected() {
		return true
	}
	age, known := r.store.Age()
	if !known {
		age = time.Since(r.started)
	}
	limit := staleAfter
	if r.store.View() == nil {
		limit = startupStaleAfter
	}
	return age > limit && rand.IntN(r.readOdds()) == 0
}

// checkPause returns how long a process that does not read waits before it checks
// again.
func (r *Reader) checkPause() time.Duration {
	if r.store.View() == nil {
		return startupCheckInterval
	}
	return checkInterval
}

// readOdds returns n such that a process that is not elected reads on one in n
// checks, which keeps the call rate within the service's budget. Without a host list
// no process is elected and no peers are known, so every process of the fleet falls
// back to reading.
func (r *Reader) readOdds() int {
	if r.roster.Version().Revision == 0 {
		return fallbackOddsNoHosts
	}
	return fallbackOdds
}

// elected reports whether this process is one of the data centre's elected readers.
// Entries are preferred to agents, since a reader should hold all values and agents
// hold no workspaces.
func (r *Reader) elected() bool {
	var entries, agents []string
	for _, m := range r.roster.All() {
		if m.DataCentre != r.dataCentre || m.Leaving || (m.Host != r.self && r.roster.Suspected(m.Host)) {
			continue
		}
		if m.Role == roster.RoleEntry {
			entries = append(entries, m.Host)
		} else {
			agents = append(agents, m.Host)
		}
	}
	ranked := append(rank.Hosts(entries, electionKey), rank.Hosts(agents, electionKey)...)
	return slices.Contains(ranked[:min(r.readerCount, len(ranked))], r.self)
}

// read waits for a manifest newer than the position and applies it. It returns the
// position to continue from, zero after an error.
func (r *Reader) read(ctx context.Context, known position) (position, error) {
	wait := longPollWait
	if r.store.View() == nil || !r.elected() {
		wait = 0
	}
	requestedAt := time.Now()
	raw, next, err := r.get(ctx, "manifest", known, wait)
	if err != nil {
		return position{}, err
	}
	m, err := bundle.DecodeManifest(raw)
	if err != nil {
		r.recordRejection(0, err)
		return position{}, err
	}
	current := r.store.View().Version()
	switch {
	case m.Version < current, next.epoch < known.epoch:
		pause(ctx, jitter(retryPause)) // the service lags behind
		return position{}, nil
	case m.Version == current:
		r.store.Confirm(m.Version, time.Since(requestedAt))
		return next, nil
	}
	if err := r.fetchAndApply(ctx, raw, m); err != nil {
		r.recordRejection(m.Version, err)
		return position{}, err
	}
	r.store.Confirm(m.Version, 0)
	return next, nil
}

func (r *Reader) recordRejection(version uint64, err error) {
	r.trail.Record(audit.Event{Kind: audit.KindConfigRejected, Subject: "config", Reason: err.Error(), Version: version})
}

func (r *Reader) fetchAndApply(ctx context.Context, raw []byte, m bundle.Manifest) error {
	shards := map[string][]byte{}
	for _, s := range m.RequiredShards(r.store.FleetOnly()) {
		if v := r.store.View(); v != nil && v.Bundle().Shard(s.SHA256) != nil {
			shards[s.SHA256] = v.Bundle().Shard(s.SHA256)
			continue
		}
		part, _, err := r.get(ctx, "shards/"+s.SHA256, position{}, 0)
		if err != nil {
			return err
		}
		shards[s.SHA256] = part
	}
	return Apply(r.store, raw, shards, "service")
}

// Apply assembles, validates and applies a version from the service or a peer. A
// version with any fault is rejected as a whole.
func Apply(store *active.Store, raw []byte, shards map[string][]byte, from string) error {
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

func (r *Reader) get(ctx context.Context, key string, after position, wait time.Duration) ([]byte, position, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	resp, err := r.pool.Do(ctx, r.addr, httpc.Request{
		Method: http.MethodGet, Host: r.addr, Header: http.Header{"User-Agent": {""}},
		Target: fmt.Sprintf("/values/%s?after=%d&epoch=%d&wait_ms=%d", key, after.revision, after.epoch, wait.Milliseconds()),
	})
	if err != nil {
		return nil, position{}, fmt.Errorf("reader: get %s: %w", key, err)
	}
	value, err := resp.ReadAll(2 * bundle.MaxValueBytes)
	if err != nil {
		return nil, position{}, fmt.Errorf("reader: get %s: %w", key, err)
	}
	if resp.Status != http.StatusOK {
		return nil, position{}, fmt.Errorf("reader: get %s: status %d", key, resp.Status)
	}
	revision, err := strconv.ParseUint(resp.Header.Get("X-Revision"), 10, 64)
	if err != nil {
		return nil, position{}, fmt.Errorf("reader: get %s: revision: %w", key, err)
	}
	epoch, err := strconv.ParseUint(cmp.Or(resp.Header.Get("X-Epoch"), "0"), 10, 64)
	if err != nil {
		return nil, position{}, fmt.Errorf("reader: get %s: epoch: %w", key, err)
	}
	return value, position{epoch, revision}, nil
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
