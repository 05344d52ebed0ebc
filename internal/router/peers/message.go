package peers

import (
	"fmt"
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// message is the state that one process sends to another.
type message struct {
	Address     string                 `msgpack:"a,omitempty"` // of the sender, IP:port
	Region      string                 `msgpack:"r,omitempty"`
	Incarnation uint64                 `msgpack:"i,omitempty"`
	Sequence    uint64                 `msgpack:"s,omitempty"`
	Loads       map[string][4]int      `msgpack:"l,omitempty"` // the fields of sched.Load by endpoint ID
	Leaving     map[string]leavingInfo `msgpack:"g,omitempty"` // by endpoint ID
	RegistryUp  bool                   `msgpack:"f,omitempty"` // the sender can reach the registry; only for gateways of earlier versions
	Members     []member               `msgpack:"m,omitempty"` // some of the processes that the sender knows, only when gossiping
	Notice      *notice                `msgpack:"n,omitempty"` // if set, all other fields are empty
}

// leavingInfo identifies the incarnation of an endpoint that is leaving.
type leavingInfo struct {
	StartedMs int64  `msgpack:"b"`
	Revision  uint64 `msgpack:"v"` // registry revision that reported it as leaving
}

// member is a process that the sender knows.
type member struct {
	Address string `msgpack:"a"`
	Region  string `msgpack:"r"`
	AgeMs   int64  `msgpack:"t"` // time since its last known sign of life, direct or gossiped
}

// Packet is a datagram for one or more peers.
type Packet struct {
	To  []string // addresses, IP:port
	Raw []byte
}

// Outgoing returns the packets that are due now. It is meant to be called periodically.
func (g *Group) Outgoing(now time.Time) ([]Packet, error) {
	packets, err := g.noticePackets(now)
	if err != nil {
		return nil, fmt.Errorf("encode notice: %w", err)
	}
	load, err := g.loadPacket(now)
	if err != nil {
		return nil, fmt.Errorf("encode load message: %w", err)
	}
	if len(load.To) > 0 {
		packets = append(packets, load)
	}
	return packets, nil
}

// loadPacket returns the message about load that is due now, if any.
func (g *Group) loadPacket(now time.Time) (Packet, error) {
	loads := map[string][4]int{}
	for id, l := range g.cfg.Scheduler.Loads() {
		loads[id] = [4]int{l.Calls, l.MemoryTokens, l.PrefillTokens, l.IncomingMoves}
	}
	endpoints := g.cfg.Scheduler.RegionIDs()
	reachable := g.cfg.Registry.Report(now).Reachable
	g.mu.Lock() // not before the calls above: the scheduler and the registry's copy call the group while they hold their own locks
	defer g.mu.Unlock()
	g.expire(now)
	g.updatePartners(now, endpoints)
	to := g.recipients(now, g.changed || !maps.Equal(loads, g.lastLoads))
	g.lastLoads, g.changed = loads, false
	if len(to) == 0 {
		return Packet{}, nil
	}
	for _, address := range to {
		g.peers[address].lastSent, g.peers[address].hasUnsentChanges = now, false
	}
	g.sequence++
	raw, err := msgpack.Marshal(message{
		Address: g.cfg.Address, Region: g.cfg.Region, Incarnation: g.cfg.Incarnation, Sequence: g.sequence,
		Loads: loads, Leaving: g.recentlyLeaving(), RegistryUp: reachable, Members: g.membersToGossip(now),
	})
	return Packet{To: to, Raw: raw}, err
}

func (g *Group) recentlyLeaving() map[string]leavingInfo {
	out := make(map[string]leavingInfo, len(g.leaving))
	for id, l := range g.leaving {
		out[id] = l.leavingInfo
	}
	return out
}

// membersToGossip returns a random few of the recently live processes if this
// message is a gossip round, else none.
func (g *Group) membersToGossip(now time.Time) []member {
	if !g.lastGossip.Equal(now) {
		return nil // no gossip round now
	}
	return g.someMembers(now, gossipMembers)
}

// someMembers returns up to n of the recently live processes, at random.
func (g *Group) someMembers(now time.Time, n int) []member {
	var out []member
	for address, p := range g.peers { // in the map's random order
		if p.aliveWithin(now, memberTTL/2) && len(out) < n {
			out = append(out, member{address, p.region, now.Sub(p.lastAlive).Milliseconds()})
		}
	}
	return out
}

// Receive processes a message of a peer. Messages that are not newer than the last
// one of the same incarnation are ignored.
func (g *Group) Receive(now time.Time, raw []byte) error {
	var m message
	if err := msgpack.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("decode peer message: %w", err)
	}
	if m.Notice != nil {
		if m.Notice.Address != "" && m.Notice.Address != g.cfg.Address {
			g.receiveNotice(now, *m.Notice)
		}
		return nil
	}
	if m.Address == "" || m.Address == g.cfg.Address || !g.recordMessage(now, m) {
		return nil
	}
	loads := make(map[string]sched.Load, len(m.Loads))
	for id, l := range m.Loads {
		loads[id] = sched.Load{Calls: l[0], MemoryTokens: l[1], PrefillTokens: l[2], IncomingMoves: l[3]}
	}
	g.cfg.Scheduler.SetPeerLoad(now, m.Address, loads)
	g.applyLeaving(now, m.Address, m.Leaving)
	return nil
}

// recordMessage records the sender's state and the members listed in the message. It
// returns false if the message is not newer than the last one of the same
// incarnation.
func (g *Group) recordMessage(now time.Time, m message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.recordAlive(m.Address, m.Region, now)
	if m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		return false
	}
	if p.lastMessage.IsZero() || p.lost {
		g.cfg.Log.Info("peer_heard", zap.String("peer", m.Address), zap.Uint64("incarnation", m.Incarnation))
		g.changed = true
	}
	p.lastMessage, p.lost = now, false
	p.incarnation, p.sequence = m.Incarnation, m.Sequence
	for _, other := range m.Members {
		g.recordMember(now, other)
	}
	return true
}

func (g *Group) recordMember(now time.Time, m member) {
	if m.Address != g.cfg.Address {
		g.recordAlive(m.Address, m.Region, now.Add(-time.Duration(max(0, m.AgeMs))*time.Millisecond))
	}
}

// recordAlive records that a process was alive at a time, adding it if it is new.
func (g *Group) recordAlive(address, region string, at time.Time) *peer {
	p := g.peers[address]
	if p == nil {
		p = &peer{}
		g.peers[address] = p
	}
	if p.lastAlive.Before(at) {
		p.lastAlive, p.region = at, region
	}
	return p
}
