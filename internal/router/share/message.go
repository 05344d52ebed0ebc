package share

import (
	"fmt"
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/book"
)

// message is what one process tells another.
type message struct {
	Address     string            `msgpack:"a"` // of the sender, IP:port
	Region      string            `msgpack:"r"`
	Incarnation uint64            `msgpack:"i"`
	Sequence    uint64            `msgpack:"s"`
	Loads       map[string][4]int `msgpack:"l"` // the fields of book.Load by endpoint ID
	Leaving     map[string]leaves `msgpack:"g"` // by endpoint ID
	Follows     bool              `msgpack:"f"` // the sender's registry answers
	Members     []member          `msgpack:"m"` // some of the processes that the sender knows
}

// leaves tells which incarnation of an endpoint leaves.
type leaves struct {
	Born     int64  `msgpack:"b"`
	Revision uint64 `msgpack:"v"` // of the registry that says so
}

type member struct {
	Address string `msgpack:"a"`
	Region  string `msgpack:"r"`
	AgeMs   int64  `msgpack:"t"` // since it was last heard of
}

// Outgoing returns a message and the peers to send it to, none if there is
// nothing new to tell.
func (g *Group) Outgoing(now time.Time) (to []string, raw []byte, err error) {
	loads := map[string][4]int{}
	for id, l := range g.cfg.Book.Loads() {
		loads[id] = [4]int{l.Calls, l.Tokens, l.Unread, l.Moves}
	}
	endpoints := g.cfg.Book.IDs()
	g.mu.Lock() // after the book was asked: the book asks for homes while it is locked
	defer g.mu.Unlock()
	g.expire(now)
	g.findPartners(now, endpoints)
	to = g.receivers(now, g.changed || !maps.Equal(loads, g.last))
	g.last, g.changed = loads, false
	if len(to) == 0 {
		return nil, nil, nil
	}
	for _, address := range to {
		g.peers[address].sent, g.peers[address].behind = now, false
	}
	g.sequence++
	raw, err = msgpack.Marshal(message{
		Address: g.cfg.Address, Region: g.cfg.Region, Incarnation: g.cfg.Incarnation, Sequence: g.sequence,
		Loads: loads, Leaving: g.recentlyLeft(), Follows: g.cfg.Follows(), Members: g.someMembers(now),
	})
	return to, raw, err
}

func (g *Group) recentlyLeft() map[string]leaves {
	out := make(map[string]leaves, len(g.leaving))
	for id, l := range g.leaving {
		out[id] = l.leaves
	}
	return out
}

// someMembers returns a few of the processes that lived lately.
func (g *Group) someMembers(now time.Time) []member {
	if !g.gossiped.Equal(now) {
		return nil // news alone
	}
	var out []member
	for address, p := range g.peers { // in the map's random order
		if p.alive(now, forgotten/2) && len(out) < gossipMembers {
			out = append(out, member{address, p.region, now.Sub(p.known).Milliseconds()})
		}
	}
	return out
}

// Receive takes a peer's message.
func (g *Group) Receive(now time.Time, raw []byte) error {
	var m message
	if err := msgpack.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("message of a peer: %w", err)
	}
	if m.Address == "" || m.Address == g.cfg.Address || !g.note(now, m) {
		return nil
	}
	loads := make(map[string]book.Load, len(m.Loads))
	for id, l := range m.Loads {
		loads[id] = book.Load{Calls: l[0], Tokens: l[1], Unread: l[2], Moves: l[3]}
	}
	g.cfg.Book.SetPeerLoad(now, m.Address, loads)
	for id, l := range m.Leaving {
		if c := g.cfg.Book.Leave(id, l.Born, l.Revision); c.What != book.WhatNone {
			g.Left(now, c.Endpoint)
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
	p := g.learn(m.Address, m.Region, now)
	if m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		return false
	}
	if p.heard.IsZero() || p.lost {
		g.cfg.Log.Info("peer_heard", zap.String("peer", m.Address), zap.Uint64("incarnation", m.Incarnation))
		g.changed = true
	}
	p.heard, p.lost = now, false
	p.incarnation, p.sequence, p.follows = m.Incarnation, m.Sequence, m.Follows
	for _, other := range m.Members {
		if other.Address != g.cfg.Address {
			g.learn(other.Address, other.Region, now.Add(-time.Duration(max(0, other.AgeMs))*time.Millisecond))
		}
	}
	return true
}

// learn records a sign of life of a process.
func (g *Group) learn(address, region string, at time.Time) *peer {
	p := g.peers[address]
	if p == nil {
		p = &peer{}
		g.peers[address] = p
	}
	if p.known.Before(at) {
		p.known, p.region = at, region
	}
	return p
}
