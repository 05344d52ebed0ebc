// Package share lets the processes that place calls tell each other what they
// have placed and which endpoints they know to leave. Messages carry absolute
// state, so that a lost one is made good by the next. The package does no input
// or output.
package share

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/book"
)

const (
	heartbeat  = 500 * time.Millisecond // at least one message to each peer in this time
	lostAfter  = 2 * time.Second        // a silent peer's load no longer counts
	forgotten  = time.Minute            // a silent peer is no longer counted as a process
	seedEvery  = time.Second            // seeds that do not answer are asked again
	recent     = 5 * time.Second        // how long a leaving endpoint is passed on
	leaders    = 3                      // processes that follow the registry closely; two may fail together
	maxMembers = 64                     // addresses in one message
)

// message is what one process tells its peers.
type message struct {
	Address     string            `msgpack:"a"` // of the sender, IP:port
	Incarnation uint64            `msgpack:"i"`
	Sequence    uint64            `msgpack:"s"`
	Loads       map[string][4]int `msgpack:"l"` // the fields of book.Load by endpoint ID
	Leaving     map[string]int64  `msgpack:"g"` // birth by endpoint ID
	Follows     bool              `msgpack:"f"` // the sender's registry answers
	Members     []string          `msgpack:"m"` // addresses of live peers
}

type peer struct {
	heard       time.Time // zero for one never heard
	sent        time.Time
	incarnation uint64
	sequence    uint64
	lost        bool
	follows     bool // its registry answers
}

// Config is what a Group is built from.
type Config struct {
	Address     string // of this process, IP:port
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
	sequence uint64
	last     map[string][4]int // loads of the newest message
	changed  bool              // something to tell besides loads
}

type leaving struct {
	born int64
	at   time.Time
}

// New returns a group that knows only the seeds.
func New(cfg Config) *Group {
	g := &Group{cfg: cfg, peers: map[string]*peer{}, leaving: map[string]leaving{}}
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

// Processes counts the processes heard within the last minute, this one included.
func (g *Group) Processes(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) < forgotten {
			count++
		}
	}
	return count
}

// Informed reports whether a live peer's registry answers, so that what it says
// of leaving endpoints reaches this process as well.
func (g *Group) Informed(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.follows && now.Sub(p.heard) < lostAfter {
			return true
		}
	}
	return false
}

// Leads reports whether this process is one of the few that follow the registry
// closely for all: those with the first names among the live ones whose registry
// answers. Every process tells that for itself, without asking.
func (g *Group) Leads(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for address, p := range g.peers {
		if address < g.cfg.Address && p.follows && now.Sub(p.heard) < lostAfter {
			before++
		}
	}
	return before < leaders
}

// Left notes an endpoint that gets no new work, to be passed on.
func (g *Group) Left(now time.Time, id string, born int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving[id] = leaving{born, now}
	g.changed = true
}

// Outgoing returns a message and the peers to send it to, none if there is
// nothing new to tell.
func (g *Group) Outgoing(now time.Time) (to []string, raw []byte, err error) {
	loads := map[string][4]int{}
	for id, l := range g.cfg.Book.Loads() {
		loads[id] = [4]int{l.Calls, l.Tokens, l.Unread, l.Moves}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	news := g.changed || !sameLoads(loads, g.last)
	for address, p := range g.peers {
		if g.due(now, address, p, news) {
			to = append(to, address)
			p.sent = now
		}
	}
	if len(to) == 0 {
		return nil, nil, nil
	}
	slices.Sort(to)
	g.last, g.changed = loads, false
	g.sequence++
	raw, err = msgpack.Marshal(message{
		Address: g.cfg.Address, Incarnation: g.cfg.Incarnation, Sequence: g.sequence,
		Loads: loads, Leaving: g.recentlyLeft(), Members: g.live(now), Follows: g.cfg.Follows(),
	})
	return to, raw, err
}

func sameLoads(a, b map[string][4]int) bool {
	if len(a) != len(b) {
		return false
	}
	for id, l := range a {
		if b[id] != l {
			return false
		}
	}
	return true
}

// due reports whether a peer gets a message now. Peers that are silent get one
// now and then only if they are seeds: others are told of by those that hear them.
func (g *Group) due(now time.Time, address string, p *peer, news bool) bool {
	if now.Sub(p.heard) < lostAfter {
		return news || now.Sub(p.sent) >= heartbeat
	}
	return (slices.Contains(g.seeds, address) || now.Sub(p.heard) < forgotten) && now.Sub(p.sent) >= seedEvery
}

func (g *Group) expire(now time.Time) {
	for address, p := range g.peers {
		if !p.heard.IsZero() && !p.lost && now.Sub(p.heard) >= lostAfter {
			p.lost = true
			g.cfg.Log.Info("peer_lost", zap.String("peer", address), zap.Duration("silent", now.Sub(p.heard)))
		}
		if now.Sub(p.heard) >= forgotten && !slices.Contains(g.seeds, address) {
			delete(g.peers, address)
		}
	}
	for id, l := range g.leaving {
		if now.Sub(l.at) >= recent {
			delete(g.leaving, id)
		}
	}
}

func (g *Group) recentlyLeft() map[string]int64 {
	out := make(map[string]int64, len(g.leaving))
	for id, l := range g.leaving {
		out[id] = l.born
	}
	return out
}

// live returns the peers heard lately, the newest first.
func (g *Group) live(now time.Time) []string {
	var out []string
	for address, p := range g.peers {
		if now.Sub(p.heard) < lostAfter {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(g.peers[b].heard.Compare(g.peers[a].heard), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxMembers)]
}

// Receive takes a peer's message.
func (g *Group) Receive(now time.Time, raw []byte) error {
	var m message
	if err := msgpack.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("message of a peer: %w", err)
	}
	if m.Address == "" || m.Address == g.cfg.Address {
		return nil
	}
	if !g.note(now, m) {
		return nil
	}
	loads := make(map[string]book.Load, len(m.Loads))
	for id, l := range m.Loads {
		loads[id] = book.Load{Calls: l[0], Tokens: l[1], Unread: l[2], Moves: l[3]}
	}
	g.cfg.Book.SetPeerLoad(now, m.Address, loads)
	for id, born := range m.Leaving {
		if c := g.cfg.Book.Leave(id, born); c.What != book.WhatNone {
			g.cfg.Log.Info("endpoint_"+c.What.String(), zap.String("endpoint", id), zap.String("told_by", m.Address))
		}
	}
	return nil
}

// note records the sender and the members it names. It reports whether the
// message is newer than the last one.
func (g *Group) note(now time.Time, m message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[m.Address]
	if p == nil {
		p = &peer{}
		g.peers[m.Address] = p
	}
	if m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		return false
	}
	if p.heard.IsZero() || p.lost {
		g.cfg.Log.Info("peer_heard", zap.String("peer", m.Address), zap.Uint64("incarnation", m.Incarnation))
		g.changed = true
	}
	p.heard, p.lost = now, false
	p.incarnation, p.sequence, p.follows = m.Incarnation, m.Sequence, m.Follows
	for _, address := range m.Members {
		if address != g.cfg.Address && g.peers[address] == nil {
			g.peers[address] = &peer{heard: now.Add(-lostAfter)} // asked, not yet heard
		}
	}
	return true
}
