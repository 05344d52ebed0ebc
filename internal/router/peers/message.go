package peers

import (
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// message is what one process sends to another: one of the parts below, or gossip, which
// has the fields of this struct itself.
type message struct {
	Notice  *notice     `msgpack:"n,omitempty"`
	Load    []byte      `msgpack:"d,omitempty"` // an encoded loadReport
	Query   *loadQuery  `msgpack:"q,omitempty"`
	Crashes []byte      `msgpack:"c,omitempty"`  // an encoded blame.Report
	Paces   []byte      `msgpack:"pc,omitempty"` // of endpoints, see pace.Encode
	Faults  []byte      `msgpack:"o,omitempty"`  // of endpoints, see fault.Encode
	Limits  []limitWord `msgpack:"w,omitempty"`
	Permits *permits    `msgpack:"p,omitempty"`
	Queues  []byte      `msgpack:"h,omitempty"` // an encoded queueReport
	Shares  []byte      `msgpack:"j,omitempty"` // an encoded shareReport
	// LimitsAsker is the address of a process that has just started and asks for the limits.
	LimitsAsker string `msgpack:"k,omitempty"`
	// LimitsAnswer says that Limits, which may be empty, answer such a question.
	LimitsAnswer bool `msgpack:"t,omitempty"`
	// LimitsUnknown is the address of a process that has no answer, as it has just started too.
	LimitsUnknown string `msgpack:"u,omitempty"`

	Streams      *streamWord   `msgpack:"v,omitempty"`
	StreamAsk    *streamAsk    `msgpack:"x,omitempty"`
	StreamAnswer *streamAnswer `msgpack:"y,omitempty"`

	Regions []byte `msgpack:"z,omitempty"` // an encoded regionReport

	Address     string                 `msgpack:"a,omitempty"` // of the sender, IP:port
	Region      string                 `msgpack:"r,omitempty"`
	Incarnation uint64                 `msgpack:"i,omitempty"`
	Sequence    uint64                 `msgpack:"s,omitempty"`
	Members     []member               `msgpack:"m,omitempty"` // some of the processes that the sender knows
	Leaving     map[string]leavingInfo `msgpack:"g,omitempty"` // by endpoint ID
	RegistryUp  bool                   `msgpack:"f,omitempty"` // the sender can reach the registry; only for processes of earlier versions
	Loads       map[string][4]int      `msgpack:"l,omitempty"` // the fields of sched.Load by endpoint ID; only from processes of earlier versions
}

// leavingInfo identifies the incarnation of an endpoint that is leaving.
type leavingInfo struct {
	StartedMs int64  `msgpack:"b"`
	Revision  uint64 `msgpack:"v"`           // registry revision that reported it as leaving
	Epoch     uint64 `msgpack:"e,omitempty"` // of the registry, that the revision belongs to
}

// saidItself reports whether the endpoint has said that it leaves, and not the registry.
func (l leavingInfo) saidItself() bool { return l.Revision == sched.RevisionUntilRestart }

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
	var packets []Packet
	for _, due := range []func(time.Time) ([]Packet, error){g.noticePackets, g.permitPackets, g.limitPackets, g.limitAskPackets, g.crashPackets, g.streamPackets, g.queuePackets, g.sharePackets, g.pacePackets, g.faultPackets, g.loadPackets, g.regionPackets, g.gossipPackets} {
		next, err := due(now)
		if err != nil {
			return nil, fmt.Errorf("encode peer message: %w", err)
		}
		packets = append(packets, next...)
	}
	return slices.DeleteFunc(packets, func(p Packet) bool { return len(p.To) == 0 }), nil
}

// gossipPackets returns the message about other processes that is due now, if any.
func (g *Group) gossipPackets(now time.Time) ([]Packet, error) {
	reachable := g.cfg.Registry.Report(now).Reachable // before locking: the copy of the registry calls the group while it holds its own lock
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	to := g.gossipRecipients(now)
	if len(to) == 0 {
		return nil, nil
	}
	g.sequence++
	raw, err := msgpack.Marshal(message{
		Address: g.cfg.Address, Region: g.cfg.Region, Incarnation: g.cfg.Incarnation, Sequence: g.sequence,
		Leaving: g.recentlyLeaving(), RegistryUp: reachable, Members: g.someMembers(now, gossipMembers),
	})
	return []Packet{{To: to, Raw: raw}}, err
}

func (g *Group) recentlyLeaving() map[string]leavingInfo {
	out := make(map[string]leavingInfo, len(g.leaving))
	for id, l := range g.leaving {
		out[id] = l.leavingInfo
	}
	return out
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
	own := g.cfg.Address
	switch {
	case m.Notice != nil && m.Notice.Address != "" && m.Notice.Address != own:
		g.receiveNotice(now, *m.Notice)
	case m.Load != nil:
		return g.receiveLoad(now, m.Load)
	case m.Regions != nil:
		return g.receiveRegions(now, m.Regions)
	case m.Queues != nil:
		return g.receiveQueues(now, m.Queues)
	case m.Shares != nil:
		return g.receiveShares(now, m.Shares)
	case m.Crashes != nil:
		return g.receiveCrashes(now, m.Crashes)
	case m.Paces != nil:
		return g.receivePaces(now, m.Paces)
	case m.Faults != nil:
		return g.receiveFaults(now, m.Faults)
	case m.Limits != nil, m.LimitsAnswer:
		g.receiveLimits(now, m.Limits, m.LimitsAnswer)
	case m.LimitsAsker != "" && m.LimitsAsker != own:
		g.receiveLimitsAsker(m.LimitsAsker)
	case m.LimitsUnknown != "":
		g.receiveLimitsUnknown(m.LimitsUnknown)
	case m.Permits != nil:
		g.receivePermits(now, m.Permits)
	case m.Streams != nil:
		g.receiveStreams(now, *m.Streams)
	case m.StreamAsk != nil:
		g.receiveStreamAsk(*m.StreamAsk)
	case m.StreamAnswer != nil:
		g.receiveStreamAnswer(*m.StreamAnswer)
	case m.Query != nil:
		g.answerQuery(*m.Query)
	case m.Address != "" && m.Address != own && g.recordMessage(now, m):
		g.applyLeaving(now, m.Address, m.Leaving)
		if len(m.Loads) > 0 {
			g.cfg.Scheduler.SetPeerLoad(now, m.Address, decodeEarlierLoads(m.Loads))
		}
	}
	return nil
}

func decodeEarlierLoads(raw map[string][4]int) map[sched.Key]sched.Load {
	loads := make(map[sched.Key]sched.Load, len(raw))
	for id, l := range raw {
		loads[sched.KeyOf(id)] = sched.Load{Calls: l[0], MemoryTokens: l[1], PrefillTokens: l[2], IncomingMoves: l[3]}
	}
	return loads
}

// recordMessage records the sender's state and the members listed in the message. It
// returns false if the message is not newer than the last one of the same
// incarnation.
func (g *Group) recordMessage(now time.Time, m message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.recordAlive(m.Address, m.Region, now)
	if m.Incarnation == p.gossipIncarnation && m.Sequence <= p.gossipSequence {
		return false
	}
	g.heard(now, m.Address, p)
	p.needsStreams = p.needsStreams || m.Incarnation != p.gossipIncarnation
	p.gossipIncarnation, p.gossipSequence = m.Incarnation, m.Sequence
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
		p = g.addPeer(address)
	}
	if p.lastAlive.Before(at) {
		p.needsStreams = p.needsStreams || p.lastAlive.IsZero()
		p.lastAlive, p.region = at, region
	}
	return p
}
