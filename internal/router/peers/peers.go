// Package peers exchanges state between the gateway processes: the load that each
// has placed, the endpoints that are leaving (get no new work), and how current each
// process's copy of the registry is. Messages carry absolute state, so a lost message
// is made up for by the next one. The package does no I/O.
//
// In a large fleet each endpoint has a few home processes, chosen by rendezvous
// hashing among the processes of its region. Processes that are homes of a common
// endpoint are partners and send each other every change of their load. All other
// processes learn of each other by gossip.
package peers

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	minHeartbeat = 500 * time.Millisecond // heartbeat interval with few partners
	// heartbeatPerPartner times the number of partners is the interval with many, so
	// that the heartbeat traffic does not grow with their number.
	heartbeatPerPartner = 60 * time.Millisecond
	minPeerTimeout      = 2 * time.Second // a peer counts as lost after this time without a message,
	maxMissedHeartbeats = 3               // or after this many heartbeat intervals, if that is longer
	memberTTL           = time.Minute     // a process without a sign of life for this time is removed
	seedRetryInterval   = time.Second     // interval of messages to seeds that have not responded
	leavingTTL          = 5 * time.Second // how long a leaving endpoint is included in messages

	// Gossip informs processes without a common endpoint of each other, every
	// minHeartbeat. At the target fleet size it takes about 1 KB/s per process.
	gossipPeers   = 2 // recipients of a gossip round
	gossipMembers = 8 // members listed in a gossip message
	// fullMeshSpacing is the shortest time between two messages to the same partner
	// with up to maxFullMesh partners. With more it is spacingPerPartnerSquared times
	// the square of their number, so that a process does not send more the more
	// partners it has.
	fullMeshSpacing          = 20 * time.Millisecond
	spacingPerPartnerSquared = 3 * time.Millisecond
)

// peer is what this process knows about another process.
type peer struct {
	region           string
	lastMessage      time.Time // when its last message arrived, zero if none
	lastAlive        time.Time // its last sign of life, by its own messages or gossip
	lastSent         time.Time
	incarnation      uint64
	sequence         uint64 // of its newest message
	lost             bool   // logged as lost, no message since
	partner          bool   // is a home of an endpoint of which this process is a home too
	hasUnsentChanges bool   // something changed since the last message to it

	registry     mirror.Report // its last report about its copy of the registry
	registryAt   time.Time     // when that arrived, zero if none did
	needsNotice  bool          // its copy was behind this process's
	needsMembers bool          // it knew of fewer processes than this one
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
}

// Registry is this process's copy of the registry.
type Registry interface {
	Report(now time.Time) mirror.Report
	// HearReport takes note of a peer's report.
	HearReport(now time.Time, r mirror.Report)
}

// Group is this process's view of its peers. It is safe for concurrent use.
type Group struct {
	cfg        Config
	mu         sync.Mutex
	peers      map[string]*peer // by address
	seeds      []string
	leaving    map[string]leavingRecord // by endpoint ID
	homes      homes
	partners   int               // number of peers that are partners
	sequence   uint64            // of the newest own message
	lastLoads  map[string][4]int // own loads at the previous Outgoing
	changed    bool              // something other than the loads changed since the previous Outgoing
	lastGossip time.Time         // time of the last gossip round
	isSeed     bool              // other processes contact this one first

	lastNotice      time.Time // time of the last round of notices
	lastNoticeState uint64    // registry state that it reported
	noticeDue       bool      // an endpoint was reported as leaving since

	lastStandbyNotice time.Time // time of the last notices to the standbys
	standby           int       // this process's place among the reader's standbys, 0 if it is none
	standbyAt         time.Time // when the reader said so
}

type leavingRecord struct {
	leavingInfo
	at time.Time
}

// New returns a group whose only peers are the seeds.
func New(cfg Config) *Group {
	g := &Group{cfg: cfg, peers: map[string]*peer{}, leaving: map[string]leavingRecord{}}
	g.homes.members = []string{cfg.Address}
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
			g.peers[seed] = &peer{}
		}
	}
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

// heardRecently reports whether a message of the peer itself arrived recently
// enough that it does not count as lost.
func (g *Group) heardRecently(p *peer, now time.Time) bool {
	return !p.lastMessage.IsZero() && now.Sub(p.lastMessage) < max(minPeerTimeout, maxMissedHeartbeats*g.heartbeatInterval())
}

// heartbeatInterval returns the longest time between two messages to a partner.
func (g *Group) heartbeatInterval() time.Duration {
	return max(minHeartbeat, time.Duration(g.partners)*heartbeatPerPartner)
}

// IsHome reports whether this process is a home of the endpoint.
func (g *Group) IsHome(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.homes.includes(g.cfg.Address, id)
}

// ReportLeaving reports a leaving endpoint to the peers in the next messages.
func (g *Group) ReportLeaving(now time.Time, e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving[e.ID] = leavingRecord{leavingInfo{e.StartedMs, e.Revision}, now}
	g.changed, g.noticeDue = true, true
}

// recipients returns the addresses that get a message now: partners with unsent
// changes or a due heartbeat, a random few of the others for gossip, and seeds that
// have not responded.
func (g *Group) recipients(now time.Time, changed bool) []string {
	var to, others []string
	spacing := g.spacing()
	for address, p := range g.peers {
		since := now.Sub(p.lastSent)
		switch {
		case p.partner && g.heardRecently(p, now):
			p.hasUnsentChanges = p.hasUnsentChanges || changed
			if p.hasUnsentChanges && since >= spacing || since >= max(g.heartbeatInterval(), spacing) {
				to = append(to, address)
				continue
			}
			others = append(others, address)
		case p.aliveWithin(now, memberTTL):
			others = append(others, address)
		case slices.Contains(g.seeds, address) && since >= seedRetryInterval:
			to = append(to, address)
		}
	}
	if now.Sub(g.lastGossip) >= minHeartbeat {
		g.lastGossip = now
		slices.Sort(others)
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		to = append(to, others[:min(len(others), gossipPeers)]...)
	}
	slices.Sort(to)
	return to
}

// spacing returns the shortest time between two messages to the same partner.
func (g *Group) spacing() time.Duration {
	if g.partners <= maxFullMesh {
		return fullMeshSpacing
	}
	return time.Duration(g.partners*g.partners) * spacingPerPartnerSquared
}

// expire logs lost partners and removes dead peers and old leaving endpoints.
func (g *Group) expire(now time.Time) {
	for address, p := range g.peers {
		if !p.lastMessage.IsZero() && !p.lost && !g.heardRecently(p, now) && p.partner {
			p.lost = true
			g.cfg.Log.Info("peer_lost", zap.String("peer", address), zap.Duration("silent", now.Sub(p.lastMessage)))
		}
		if !p.aliveWithin(now, memberTTL) && !slices.Contains(g.seeds, address) {
			delete(g.peers, address)
		}
	}
	for id, l := range g.leaving {
		if now.Sub(l.at) >= leavingTTL {
			delete(g.leaving, id)
		}
	}
}

// updatePartners recomputes the partners if the processes or endpoints of the region
// have changed.
func (g *Group) updatePartners(now time.Time, endpoints []string) {
	members := []string{g.cfg.Address}
	for address, p := range g.peers {
		if p.region == g.cfg.Region && p.aliveWithin(now, memberTTL) {
			members = append(members, address)
		}
	}
	slices.Sort(members)
	if !g.homes.update(members, endpoints) {
		return
	}
	partners := g.homes.partners(g.cfg.Address, endpoints)
	g.partners = 0
	for address, p := range g.peers {
		p.partner = partners[address]
		if p.partner {
			g.partners++
		}
	}
}
