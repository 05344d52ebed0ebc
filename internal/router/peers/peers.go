// Package peers exchanges state between the gateway processes: the load that each
// has placed, the endpoints that are leaving (get no new work), how current each
// process's copy of the registry is, under which calls engines crashed, which limits
// endpoints name and permits for calls to those, and which processes there are. A message
// that is lost is made up for by a later one. The package does no I/O.
//
// A large region is divided into cells. The processes of a cell report every change of
// their load to each other (load.go), so that each knows the whole load of the
// endpoints of its cell. Notices about the registry (notice.go), reports of crashes
// (crash.go), limits (limits.go) and gossip about the processes go to a few others at
// random.
package peers

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/begun"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	memberTTL         = time.Minute     // a process without a sign of life for this time is removed
	seedRetryInterval = time.Second     // interval of messages to seeds that have not responded
	leavingTTL        = 5 * time.Second // how long a leaving endpoint is included in messages

	gossipInterval = time.Second
	gossipPeers    = 1 // recipients of a gossip round
	gossipMembers  = 8 // processes listed in a gossip message
)

// peer is what this process knows about another process.
type peer struct {
	region      string
	lastMessage time.Time // when its last message arrived, zero if none
	lastAlive   time.Time // its last sign of life, by its own messages or gossip
	lost        bool      // logged as lost, no message since
	partner     bool      // in the same cell: load is exchanged with it

	gossipIncarnation, gossipSequence uint64 // of its newest gossip

	incarnation uint16    // of its newest load report
	sequence    uint32    // of its newest load report
	lacksFull   bool      // a load report of it was lost
	wantsFull   bool      // it asked for this process's full load
	lastQuery   time.Time // when it was asked for its full load
	lastSent    time.Time // when it got a heartbeat while it was silent

	reportsRegions   bool   // it sends reports to other regions
	queueIncarnation uint16 // of its newest report about waiting calls
	queueSequence    uint32
	sharesStart      uint8 // of its newest report about shares
	sharesSequence   uint8
	sharesHeard      time.Time // when that arrived
	sharesSent       time.Time // when it was last sent one

	registry     mirror.Report // its last report about its copy of the registry
	registryAt   time.Time     // when that arrived, zero if none did
	needsNotice  bool          // its copy was behind this process's
	needsMembers bool          // it knew of fewer processes than this one
	needsStreams bool          // it is new or may have restarted, and knows no streams of this process
	streamsTold  time.Time     // when it was last told of them for that reason
	newAt        time.Time     // when it last knew of few processes, zero once it got a report of crashes
	lastIntro    time.Time     // when it was last contacted as a seed that has not responded
}

// Config holds the settings and dependencies of a Group.
type Config struct {
	Address     string // of this process, IP:port
	Region      string
	Incarnation uint64   // random, different for each start of the process
	Seeds       []string // addresses to contact first
	Scheduler   *sched.Scheduler
	Log         *zap.Logger
	Registry    Registry
	Blame       Blame       // nil: crashes are not exchanged
	Limits      Limits      // nil: no endpoint names a limit
	Streams     Streams     // nil: no streams are taken up
	Metrics     *metric.Set // nil: nothing is counted
	Pace        Pace        // nil: paces of endpoints are not exchanged
	Faults      Faults      // nil: failures of endpoints are not exchanged
}

// Registry is this process's copy of the registry.
type Registry interface {
	Report(now time.Time) mirror.Report
	// HearReport takes note of a peer's report.
	HearReport(now time.Time, r mirror.Report)
	// Newest returns the newest change of the copy.
	Newest() mirror.Step
	// HearStep takes over a peer's newest change if the copy only lacks that one.
	HearStep(s mirror.Step)
}

// Streams remembers which version of the software began each stream.
type Streams interface {
	TakeNews() []begun.Stream
	Running() []begun.Stream
	Put(now time.Time, key begun.Key, software string)
	Find(key begun.Key) (software string, found bool)
}

// Group is this process's view of its peers. It is safe for concurrent use.
type Group struct {
	cfg     Config
	mu      sync.Mutex
	peers   map[string]*peer  // by address
	senders map[uint32]string // addresses by senderKey
	seeds   []string
	isSeed  bool                     // other processes contact this one first
	leaving map[string]leavingRecord // by endpoint ID

	cells       cells
	isLarge     bool      // the regions do not report all their loads to each other
	lastMembers time.Time // when the cells and partners were last computed

	lastLoads      map[sched.Key]sched.Load // as in the newest load report
	lastReport     time.Time
	reportSequence uint32 // of the newest load report
	loadAllowance  allowance
	regions        regionRounds

	crashes crashReports
	queues  queueRounds
	shares  shareRounds
	streams streamRounds
	paces   paceRounds
	faults  faultRounds

	limits    limitRounds
	limitAsks limitAsks
	permits   permitRounds

	sequence   uint64 // of the newest gossip
	lastGossip time.Time

	lastNotice        time.Time      // time of the last round of notices
	lastNoticeVersion mirror.Version // of the registry's copy that it reported
	noticeDue         bool           // an endpoint was reported as leaving since
	lastStandbyNotice time.Time      // time of the last notices to the standbys
	standby           int            // this process's place among a reader's standbys, 0 if it is none
	standbyOf         string         // address of that reader
	standbyAt         time.Time      // when it said so
}

type leavingRecord struct {
	leavingInfo
	at time.Time
}

// New returns a group whose only peers are the seeds.
func New(cfg Config) *Group {
	g := &Group{
		cfg: cfg, peers: map[string]*peer{}, senders: map[uint32]string{}, leaving: map[string]leavingRecord{},
		loadAllowance: allowance{perSecond: loadBytesPerSecond, burst: loadBurst},
	}
	g.regions = newRegionRounds()
	g.queues.allowance = allowance{perSecond: queueBytesPerSecond, burst: queueBurst}
	g.shares.allowance = allowance{perSecond: shareBytesPerSecond, burst: shareBytesPerSecond}
	g.crashes.allowance = allowance{perSecond: crashBytesPerSecond, burst: crashBurst}
	g.paces.allowance = allowance{perSecond: paceBytesPerSecond, burst: paceBurst}
	g.faults.allowance = allowance{perSecond: faultBytesPerSecond, burst: faultBurst}
	g.limits.allowance = allowance{perSecond: limitBytesPerSecond, burst: limitBurst}
	g.limitAsks.unknown = map[string]bool{}
	g.streams.waiting = map[begun.Key]*streamWait{}
	g.limitAsks.allowance = allowance{perSecond: answerBytesPerSecond, burst: answerBurst}
	g.permits.forgotten = map[string]forgottenPeer{}
	g.permits.allowance = allowance{perSecond: permitBytesPerSecond, burst: permitBurst}
	g.cells.address = cfg.Address
	g.cells.update(1)
	g.SetSeeds(cfg.Seeds)
	return g
}

// SetSeeds replaces the seeds: addresses that get messages regularly until they
// respond.
func (g *Group) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds, g.isSeed = nil, len(seeds) == 0
	for _, seed := range seeds {
		if seed == g.cfg.Address {
			g.isSeed = true
			continue
		}
		g.seeds = append(g.seeds, seed)
		if g.peers[seed] == nil {
			g.addPeer(seed)
		}
	}
}

func (g *Group) addPeer(address string) *peer {
	p := &peer{}
	g.peers[address], g.senders[senderKey(address)] = p, address
	return p
}

// Processes returns the number of processes, including this one, that showed a sign
// of life within the last minute.
func (g *Group) Processes(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if p.aliveWithin(now, memberTTL) {
			count++
		}
	}
	return count
}

// aliveWithin reports whether the peer showed a sign of life within a duration.
func (p *peer) aliveWithin(now time.Time, within time.Duration) bool {
	return !p.lastAlive.IsZero() && now.Sub(p.lastAlive) < within
}

// KnowsLoad reports whether the processes that use an endpoint of the own region report
// their load to this process.
func (g *Group) KnowsLoad(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cells.includes(id)
}

// ReportLeaving reports a leaving endpoint to the peers in the next messages.
func (g *Group) ReportLeaving(now time.Time, e endpt.Endpoint) {
	epoch := g.cfg.Registry.Report(now).Epoch // before locking, as in gossipPackets
	g.mu.Lock()
	defer g.mu.Unlock()
	next := leavingInfo{e.StartedMs, e.Revision, epoch}
	if known := g.leaving[e.ID]; known.saidItself() && known.StartedMs >= next.StartedMs && !next.saidItself() {
		return // the endpoint's own statement takes precedence over the registry's
	}
	g.leaving[e.ID] = leavingRecord{next, now}
	g.noticeDue = true
}

// gossipRecipients returns a random few of the live peers if a round of gossip is due,
// and the seeds that have not responded.
func (g *Group) gossipRecipients(now time.Time) []string {
	var to []string
	for _, seed := range g.seeds {
		if p := g.peers[seed]; !p.aliveWithin(now, memberTTL) && now.Sub(p.lastIntro) >= seedRetryInterval {
			p.lastIntro = now
			to = append(to, seed)
		}
	}
	if now.Sub(g.lastGossip) >= gossipInterval {
		g.lastGossip = now
		to = append(to, g.randomPeers(now, gossipPeers)...)
	}
	return to
}

// expire logs lost partners and removes dead peers and old leaving endpoints.
func (g *Group) expire(now time.Time) {
	for address, p := range g.peers {
		if p.partner && !p.lost && !p.lastMessage.IsZero() && now.Sub(p.lastMessage) > silentPartner {
			p.lost = true
			g.cfg.Log.Info("peer_lost", zap.String("peer", address), zap.Duration("silent", now.Sub(p.lastMessage)))
		}
		if !p.aliveWithin(now, memberTTL) && !slices.Contains(g.seeds, address) {
			g.permits.forget(now, address, p)
			delete(g.peers, address)
			delete(g.senders, senderKey(address))
		}
	}
	for id, l := range g.leaving {
		if now.Sub(l.at) >= leavingTTL {
			delete(g.leaving, id)
		}
	}
}

// updatePartners computes the cells and the partners. In a small fleet all processes are
// partners, since its regions often take each other's calls.
func (g *Group) updatePartners(now time.Time) {
	if now.Sub(g.lastMembers) < partnerInterval {
		return
	}
	g.lastMembers = now
	all, near := 1, 1
	for _, p := range g.peers {
		if !p.aliveWithin(now, memberTTL) {
			continue
		}
		all++
		if p.region == g.cfg.Region {
			near++
		}
	}
	isSmall := all <= maxSmallFleet
	g.isLarge = !isSmall
	g.cells.update(near)
	for address, p := range g.peers {
		p.partner = p.aliveWithin(now, memberTTL) && (isSmall || p.region == g.cfg.Region && g.cells.includesProcess(address))
	}
}

const partnerInterval = 100 * time.Millisecond
