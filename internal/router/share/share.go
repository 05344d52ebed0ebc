// Package share lets the processes that place calls tell each other what they
// have placed and which endpoints they know to leave. Messages carry absolute
// state, so that a lost one is made good by the next. The package does no input
// or output.
//
// In a large fleet each endpoint has a few home processes, chosen by rendezvous
// hashing among those of its region. Only processes that share an endpoint keep
// each other informed of their load; all others hear of each other by gossip.
package share

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

const (
	heartbeat = 500 * time.Millisecond // at least one message to each of a few partners in this time
	// heartbeatEach times the partners' number is the same for many.
	heartbeatEach = 60 * time.Millisecond
	lostAfter     = 2 * time.Second // a process that was heard itself is lost after this silence,
	lostBeats     = 3               // or after so many heartbeats of many partners
	forgotten     = time.Minute     // a silent process is no longer counted as one
	seedEvery     = time.Second     // seeds that do not answer are asked again
	recent        = 5 * time.Second // how long a leaving endpoint is passed on
	leaders       = 3               // processes that follow the registry closely; two may fail together

	// gossipTo and gossipMembers bound what processes without a common endpoint
	// tell each other: at the target's size about 1 KB a second.
	gossipTo      = 4
	gossipMembers = 8
	// smallSpacing is the shortest time between two messages to one of a few
	// partners, and newsSpacing times the square of their number to one of many, so
	// that a process sends no more the more partners it has.
	smallSpacing = 20 * time.Millisecond
	newsSpacing  = 3 * time.Millisecond
)

type peer struct {
	region      string
	heard       time.Time // its newest own message, zero for none
	known       time.Time // the newest sign of life, also through others
	sent        time.Time
	incarnation uint64
	sequence    uint64
	lost        bool
	follows     bool // its registry answers
	partner     bool // shares an endpoint
	behind      bool // there is news that it was not sent
}

// Config is what a Group is built from.
type Config struct {
	Address     string // of this process, IP:port
	Region      string
	Incarnation uint64 // random, different for each start of the process
	Seeds       []string
	Book        *book.Book
	Log         *zap.Logger
	Follows     func() bool // whether this process's registry answers
}

// Group is this process's view of its peers. It is safe for concurrent use.
type Group struct {
	cfg      Config
	mu       sync.Mutex
	peers    map[string]*peer // by address
	seeds    []string
	leaving  map[string]leaving
	homes    homes
	partners int // peers that share an endpoint
	sequence uint64
	last     map[string][4]int // loads of the newest message
	changed  bool              // something to tell besides loads
	gossiped time.Time
}

type leaving struct {
	leaves
	at time.Time
}

// New returns a group that knows only the seeds.
func New(cfg Config) *Group {
	g := &Group{cfg: cfg, peers: map[string]*peer{}, leaving: map[string]leaving{}}
	g.homes.members = []string{cfg.Address}
	g.SetSeeds(cfg.Seeds)
	return g
}

// SetSeeds replaces the addresses that are asked until they answer.
func (g *Group) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = nil
	for _, seed := range seeds {
		if seed == g.cfg.Address {
			continue
		}
		g.seeds = append(g.seeds, seed)
		if g.peers[seed] == nil {
			g.peers[seed] = &peer{}
		}
	}
}

// Processes counts the processes known to have lived within the last minute,
// this one included.
func (g *Group) Processes(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if p.alive(now, forgotten) {
			count++
		}
	}
	return count
}

// alive reports a sign of life within a time.
func (p *peer) alive(now time.Time, within time.Duration) bool {
	return !p.known.IsZero() && now.Sub(p.known) < within
}

// near reports whether the process itself was heard lately.
func (g *Group) near(p *peer, now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < max(lostAfter, lostBeats*g.beat())
}

// beat is the time between heartbeats to a partner.
func (g *Group) beat() time.Duration { return max(heartbeat, time.Duration(g.partners)*heartbeatEach) }

// Followers returns the live peers whose registry answers, in random order. What
// they say of leaving endpoints reaches this process as well, and they can be
// asked for a listing.
func (g *Group) Followers(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for address, p := range g.peers {
		if p.follows && g.near(p, now) {
			out = append(out, address)
		}
	}
	return out
}

// Leads reports whether this process is one of the few that follow the registry
// closely for all: those with the first names among the live ones whose registry
// answers. Every process tells that for itself, without asking.
func (g *Group) Leads(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for address, p := range g.peers {
		if address < g.cfg.Address && p.follows && g.near(p, now) {
			before++
		}
	}
	return before < leaders
}

// Home reports whether this process is one of an endpoint's homes.
func (g *Group) Home(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.homes.includes(g.cfg.Address, id)
}

// Left notes an endpoint that gets no new work, to be passed on.
func (g *Group) Left(now time.Time, e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving[e.ID] = leaving{leaves{e.Born, e.Revision}, now}
	g.changed = true
}

// receivers chooses who gets a message now: partners with news or a heartbeat, a
// few others by chance, and seeds that do not answer.
func (g *Group) receivers(now time.Time, news bool) []string {
	var to, others []string
	spacing := g.spacing()
	for address, p := range g.peers {
		since := now.Sub(p.sent)
		switch {
		case p.partner && g.near(p, now):
			p.behind = p.behind || news
			if p.behind && since >= spacing || since >= max(g.beat(), spacing) {
				to = append(to, address)
				continue
			}
			others = append(others, address)
		case p.alive(now, forgotten):
			others = append(others, address)
		case slices.Contains(g.seeds, address) && since >= seedEvery:
			to = append(to, address)
		}
	}
	if now.Sub(g.gossiped) >= heartbeat {
		g.gossiped = now
		slices.Sort(others)
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		to = append(to, others[:min(len(others), gossipTo)]...)
	}
	slices.Sort(to)
	return to
}

// spacing is the shortest time between two messages to one partner.
func (g *Group) spacing() time.Duration {
	if g.partners <= smallRegion {
		return smallSpacing
	}
	return time.Duration(g.partners*g.partners) * newsSpacing
}

// expire forgets what is over.
func (g *Group) expire(now time.Time) {
	for address, p := range g.peers {
		if !p.heard.IsZero() && !p.lost && !g.near(p, now) && p.partner {
			p.lost = true
			g.cfg.Log.Info("peer_lost", zap.String("peer", address), zap.Duration("silent", now.Sub(p.heard)))
		}
		if !p.alive(now, forgotten) && !slices.Contains(g.seeds, address) {
			delete(g.peers, address)
		}
	}
	for id, l := range g.leaving {
		if now.Sub(l.at) >= recent {
			delete(g.leaving, id)
		}
	}
}

// findPartners finds the partners again when the region's processes or endpoints
// have changed.
func (g *Group) findPartners(now time.Time, endpoints []string) {
	members := []string{g.cfg.Address}
	for address, p := range g.peers {
		if p.region == g.cfg.Region && p.alive(now, forgotten) {
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
