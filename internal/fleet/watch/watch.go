// Package watch keeps the scheduler and the active routing table in sync with a
// read-only registry. Usually one process of a fleet reads the registry for all; the
// others take changes from peers. Every process knows how old its copy may be, and
// reads the registry itself when that is too old, whatever the reason. During a
// registry outage the last known state stays in use. Endpoints whose registry entries
// expired during the outage get a grace period to register again.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/live"
	"github.com/mimosalock/mimosalock/internal/conf/routes"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// Errors returned by Source. After either one the caller has to list again.
var (
	ErrHistoryGone  = errors.New("registry history does not reach back to the requested revision")
	ErrEpochChanged = errors.New("the registry came back from an older copy meanwhile")
)

// Source reads the registry and peers' copies of it.
type Source interface {
	// List returns all items of the registry, complete up to the returned revision. It
	// fails with ErrEpochChanged if the registry's epoch changes while it is read.
	List(ctx context.Context) (items []mirror.Item, epoch, revision uint64, err error)
	// Watch blocks until there are changes after the given revision and returns them
	// with the revision to continue from. It may return no changes after a time-out. It
	// fails with ErrHistoryGone if the registry no longer keeps the changes, and with
	// ErrEpochChanged if the registry is in another epoch.
	Watch(ctx context.Context, epoch, after uint64) ([]mirror.Item, uint64, error)
	// History returns the changes of endpoints' entries of about the last while, oldest
	// first. It fails with ErrHistoryGone if the registry keeps less.
	History(ctx context.Context, epoch, revision uint64, entries int) ([]mirror.Item, error)
	// FromPeer returns what a copy with the given epoch and cursor lacks of a peer's.
	FromPeer(ctx context.Context, peer string, epoch, cursor uint64) (mirror.Delta, error)
	// Decode returns the meaning of an item, nil if it has none for this process.
	Decode(it mirror.Item) Event
	// IsRenewal reports whether an item means the same after a change as before.
	IsRenewal(before, after mirror.Item) bool
	// IsDraining asks the endpoint directly whether it is draining.
	IsDraining(ctx context.Context, e endpt.Endpoint) (bool, error)
}

// Peers is a process's view of the others.
type Peers interface {
	// Standby returns this process's place, from 1, among those that the reader has named
	// to take over from it, 0 if it is none of them.
	Standby(now time.Time, reader string) int
	// Newer returns a peer whose copy has a later version and is at most maxAge old.
	Newer(now time.Time, v mirror.Version, maxAge time.Duration) (address string, ok bool)
	// InTouch reports whether a peer has shown a sign of life within a time.
	InTouch(now time.Time, within time.Duration) bool
	// IsEntryPoint reports whether processes that start ask this one first.
	IsEntryPoint() bool
	// Processes returns the number of live processes, including this one.
	Processes(now time.Time) int
}

// Event is one change of the registry.
type Event interface{ event() }

// EndpointPut is an endpoint that was added or updated.
type EndpointPut struct{ Endpoint endpt.Endpoint }

// EndpointRemoved is an endpoint whose entry was removed or is no longer valid.
type EndpointRemoved struct {
	ID       string
	Revision uint64
}

// TablePut is a new version of the routing table.
type TablePut struct{ Table *routes.Table }

// DataCentreChanged reports that a data centre was taken out of service or put back.
type DataCentreChanged struct {
	DataCentre   string
	OutOfService bool
}

func (EndpointPut) event()       {}
func (EndpointRemoved) event()   {}
func (TablePut) event()          {}
func (DataCentreChanged) event() {}

const (
	pollInterval = 20 * time.Millisecond
	// The reader, the process that reads the registry for all, pauses readPause between
	// two calls, and makes at most one each readInterval on average, since each is
	// charged. With few heartbeats a change is then seen at once; with many, those that
	// arrive together cost one call.
	readPause    = 20 * time.Millisecond
	readInterval = 100 * time.Millisecond
	readBurst    = 5 // calls that the reader may save up
	// takeoverStep is the age of the copy at which the first standby reads the registry
	// in place of the reader; the second waits as long again. Any other process reads
	// when its copy is stale.
	takeoverStep = 500 * time.Millisecond
	// startupWait is how long a process that starts waits for a peer's copy before it
	// reads the registry. A fleet that starts would otherwise read it once per process.
	startupWait = time.Second
	// idleRetryInterval is the interval at which a process that failed to reach the
	// registry tries again while peers keep its copy current.
	idleRetryInterval = 5 * time.Second

	// outageThreshold is how long the registry must be unreachable before entries that
	// disappear are treated as expired because of the outage. An entry is removed after
	// three missed heartbeats, which are sent once per second.
	outageThreshold = 1500 * time.Millisecond
	// graceAfterOutage is how long expired endpoints have to register again.
	graceAfterOutage = 2 * time.Second

	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// retryPausePerProcess times the number of processes is the pause of each between
	// two attempts to reach the registry: all together make ten attempts a second.
	retryPausePerProcess = 100 * time.Millisecond
	peerRetryPause       = 100 * time.Millisecond
)

// Deps are the dependencies of a Watcher.
type Deps struct {
	Address   string // of this process, as its peers know it
	Source    Source
	Scheduler *sched.Scheduler
	Tables    *live.Holder
	Log       *zap.Logger
	OnChange  func(sched.Change) // called for each change of an endpoint, may be nil
	// StaleAfter is the age at which a copy is stale: its process then reads the
	// registry, at most half as long again later. The bounds within which changes must
	// take effect leave twice that time.
	StaleAfter time.Duration
}

// Watcher keeps a scheduler and a routing table in sync with one registry.
type Watcher struct {
	Deps
	mirror  *mirror.Mirror
	peers   Peers
	started time.Time
	jitter  time.Duration // added to StaleAfter, so that the processes do not all read at once

	mu           sync.Mutex
	isReader     bool          // this process reads the registry for all
	yielded      bool          // it ceased to do so during the present read
	failingSince time.Time     // of the current series of failed reads, zero if the last one succeeded
	lastAttempt  time.Time     // begin of the newest read
	lastRead     time.Time     // end of the newest read
	readCredit   time.Duration // what the reader has saved up for reads
	lastCredit   time.Time
	nextAttempt  time.Time
	retryPause   time.Duration
	graceUntil   time.Time // endpoints whose entries vanish before then may have expired

	history history
	awake   awake

	applying sync.Mutex // held while changes of the copy are passed on, to keep their order
	epochAt  time.Time  // when the copy entered its epoch, zero for the first one; guarded by applying
	// heldEvacuations are the data centres that the registry lists as in service again only
	// because it came back older. Guarded by applying.
	heldEvacuations map[string]time.Time
}

// New returns a Watcher. Run starts it.
func New(d Deps) *Watcher {
	return &Watcher{
		Deps: d, mirror: mirror.New(d.Source.IsRenewal), jitter: rand.N(d.StaleAfter/2 + 1), heldEvacuations: map[string]time.Time{},
	}
}

// Mirror returns the copy of the registry, which peers may read.
func (w *Watcher) Mirror() *mirror.Mirror { return w.mirror }

// Report returns what this process tells its peers about its copy.
func (w *Watcher) Report(now time.Time) mirror.Report {
	p := w.mirror.Position()
	w.mu.Lock()
	defer w.mu.Unlock()
	return mirror.Report{
		Epoch: p.Epoch, State: p.State, Cursor: p.Cursor, Age: now.Sub(p.AsOf), Reader: p.Reader,
		Reachable: w.failingSince.IsZero(), Grace: max(0, w.graceUntil.Sub(now)),
	}
}

// HearReport takes note of a peer's report.
func (w *Watcher) HearReport(now time.Time, r mirror.Report) {
	w.mirror.Confirm(r.Position(now))
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Grace > 0 && r.Grace <= graceAfterOutage && now.Add(r.Grace).After(w.graceUntil) {
		w.graceUntil = now.Add(r.Grace)
	}
	if w.isReader && r.Reader < w.Address && !r.Version().Before(w.mirror.Position().Version()) && r.Age < w.StaleAfter {
		w.isReader, w.yielded = false, true
		w.Log.Info("registry_reader_changed", zap.String("reader", r.Reader), zap.Duration("age", r.Age))
	}
}

// HearStep takes over a peer's newest change if this copy only lacks that one.
func (w *Watcher) HearStep(s mirror.Step) {
	w.apply(func() []mirror.Item { return w.mirror.Follow(s) })
}

// Newest returns the newest change of this process's copy.
func (w *Watcher) Newest() mirror.Step { return w.mirror.Newest() }

// Run keeps the copy current until the context ends. Without peers, which are nil
// then, this process reads the registry itself all the time.
func (w *Watcher) Run(ctx context.Context, peers Peers) {
	w.started, w.lastCredit, w.peers = time.Now(), time.Now(), peers
	go w.pollDraining(ctx)
	go w.pullFromPeers(ctx)
	go w.expireAll(ctx)
	for ctx.Err() == nil {
		if now := time.Now(); w.mustRead(now) {
			w.readRegistry(ctx, now)
		}
		sleep(ctx, pollInterval)
	}
}

// expireAll ends what lasts for a time, until the context ends. Reading the registry may take
// seconds.
func (w *Watcher) expireAll(ctx context.Context) {
	for ctx.Err() == nil {
		w.awake.tick(time.Now())
		w.expire(time.Now())
		sleep(ctx, pollInterval)
	}
}

// pullFromPeers takes changes from peers that know of them until the context ends.
func (w *Watcher) pullFromPeers(ctx context.Context) {
	for w.peers != nil && ctx.Err() == nil {
		pause := pollInterval
		p := w.mirror.Position()
		if peer, ok := w.peers.Newer(time.Now(), p.Version(), w.maxPeerAge(p)); ok && !w.pull(ctx, peer, p) {
			pause = peerRetryPause/2 + rand.N(peerRetryPause)
		}
		sleep(ctx, pause)
	}
}

// maxPeerAge returns how old a peer's copy may be to be taken over. A process that
// starts takes a stale one only if the registry cannot be reached: the copy of a peer
// that was cut off may hold endpoints and keys that were removed since.
func (w *Watcher) maxPeerAge(p mirror.Position) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Cursor == 0 && w.failingSince.IsZero() {
		return w.StaleAfter
	}
	return maxPeerAge
}

const maxPeerAge = 24 * time.Hour

func (w *Watcher) pull(ctx context.Context, peer string, p mirror.Position) bool {
	d, err := w.Source.FromPeer(ctx, peer, p.Epoch, p.Cursor)
	if err != nil {
		w.Log.Info("peer_listing_failed", zap.String("peer", peer), zap.Error(err))
		return false
	}
	w.apply(func() []mirror.Item { return w.mirror.Merge(d) })
	w.Log.Info("peer_listing_applied", zap.String("peer", peer), zap.Uint64("epoch", d.Position.Epoch), zap.Uint64("revision", d.Position.Cursor), zap.Uint64("previous_revision", p.Cursor),
		zap.Int("items", len(d.Items)), zap.Bool("full", d.Full), zap.Duration("age", time.Since(d.Position.AsOf)))
	return true
}

// apply updates the copy and passes its changes on in order.
func (w *Watcher) apply(update func() []mirror.Item) {
	w.applying.Lock()
	defer w.applying.Unlock()
	before := w.mirror.Position()
	changes := update()
	if p := w.mirror.Position(); p.Epoch > before.Epoch && before.Cursor > 0 {
		w.beginEpoch(time.Now(), before, p)
	}
	for _, it := range changes {
		if e := w.Source.Decode(it); e != nil {
			w.applyEvent(e)
		}
	}
}

func (w *Watcher) applyEvent(e Event) {
	now := time.Now()
	switch e := e.(type) {
	case EndpointPut:
		w.reportChange(w.Scheduler.Put(now, e.Endpoint))
	case EndpointRemoved:
		w.reportChange(w.Scheduler.Remove(now, e.ID, w.grace()).AtRevision(e.Revision))
	case TablePut:
		w.applyTable(e.Table)
	case DataCentreChanged:
		if w.holdsEvacuation(now, e) {
			return
		}
		if w.Scheduler.Evacuate(now, e.DataCentre, e.OutOfService) {
			w.Log.Info("data_centre_changed", zap.String("data_centre", e.DataCentre), zap.Bool("out_of_service", e.OutOfService), zap.Uint64("revision", w.mirror.Position().Cursor))
		}
	}
}

func (w *Watcher) grace() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.graceUntil
}

func (w *Watcher) applyTable(t *routes.Table) {
	p := w.mirror.Position()
	if w.Tables.Apply(t, p.Epoch) {
		w.Log.Info("config_applied", zap.Uint64("version", t.Version()), zap.Uint64("epoch", p.Epoch), zap.Uint64("revision", p.Cursor))
	}
}

// expire drops endpoints that did not register again within the grace period after
// an outage.
func (w *Watcher) expire(now time.Time) {
	for _, c := range w.Scheduler.ExpireGrace(now) {
		w.reportChange(c)
	}
	w.endHeldEvacuations(now)
}

func (w *Watcher) reportChange(c sched.Change) {
	if c.Kind == sched.ChangeNone {
		return
	}
	w.Log.Info("endpoint_"+c.Kind.String(), zap.String("endpoint", c.Endpoint.ID), zap.String("address", c.Endpoint.Address),
		zap.String("service", c.Endpoint.Service), zap.String("software", c.Endpoint.Software), zap.String("data_centre", c.Endpoint.DataCentre), zap.Int64("started_ms", c.Endpoint.StartedMs),
		zap.Bool("said_itself", c.Kind == sched.ChangeLeaving && c.Endpoint.Revision == sched.RevisionUntilRestart),
		zap.Uint64("revision", w.mirror.Position().Cursor), zap.Uint64("epoch", w.mirror.Position().Epoch))
	if w.OnChange != nil {
		w.OnChange(c)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
