package peers

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/fleet/mirror"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// noticeInterval is how often each process tells a random noticeFanout others how
	// old its copy of the registry is. A change goes to changeFanout others at once, and
	// each that learns of it does the same, so that it reaches all within a few hops.
	noticeInterval = 250 * time.Millisecond
	noticeFanout   = 3
	changeFanout   = 4
	// standbys is the number of processes that the reader names to take over from it. It
	// sends them a notice every standbyInterval.
	standbys        = 2
	standbyInterval = 100 * time.Millisecond
	standbyTTL      = 2 * time.Second // how long a process remembers that it was named
	// A peer whose copy is oldCopyAge older than this process's is told how current it is.
	oldCopyAge = 700 * time.Millisecond
	// liveTTL is how long after its last sign of life a process counts as live here.
	// Gossip about a process may take seconds.
	liveTTL = 10 * time.Second
	// A peer that knows of few processes is told of welcomeMembers.
	welcomeMembers = 40
	// maxChangeBytes bounds the changes in a notice, which then still fits a packet of
	// the network. Larger ones are read from the peer.
	maxChangeBytes = 900
)

// notice tells a peer how current the sender's copy of the registry is, and which
// endpoints are leaving. It is small, and unlike a message it says nothing about load.
type notice struct {
	_msgpack struct{} `msgpack:",as_array"`
	Address  string   // of the sender, IP:port
	Region   string
	Registry registryReport
	Leaving  map[string]leavingInfo // by endpoint ID
	Standby  int                    // the receiver's place among the standbys of the sender, 0 if it is none
	Known    int                    // number of processes that the sender knows
	Members  []member               // some of those, if the receiver knows few
	From     uint64                 // state before the newest change, if Changes hold that
	Changes  []change
}

// change is a mirror.Item.
type change struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// registryReport is a mirror.Report.
type registryReport struct {
	_msgpack  struct{} `msgpack:",as_array"`
	State     uint64
	Cursor    uint64
	AgeMs     int64
	Reader    string
	Reachable bool
	GraceMs   int64
	Epoch     uint64 // 0 from processes of earlier versions
}

func (r registryReport) report() mirror.Report {
	return mirror.Report{
		Epoch: r.Epoch, State: r.State, Cursor: r.Cursor, Age: time.Duration(max(0, r.AgeMs)) * time.Millisecond, Reader: r.Reader,
		Reachable: r.Reachable, Grace: time.Duration(max(0, r.GraceMs)) * time.Millisecond,
	}
}

// noticePackets returns the notices that are due now.
func (g *Group) noticePackets(now time.Time) ([]Packet, error) {
	report, newest := g.cfg.Registry.Report(now), g.cfg.Registry.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	lastVersion, behind := g.lastNoticeVersion, g.someoneIsBehind()
	others, standbys, newcomers := g.noticeRecipients(now, report), g.dueStandbys(now, report), g.uninformedPeers()
	if len(others)+len(standbys)+len(newcomers) == 0 {
		return nil, nil
	}
	n := notice{
		Address: g.cfg.Address, Region: g.cfg.Region, Leaving: g.recentlyLeaving(), Known: g.knownCount(now),
		Registry: registryReport{
			State: report.State, Cursor: report.Cursor, AgeMs: report.Age.Milliseconds(), Reader: report.Reader,
			Reachable: report.Reachable, GraceMs: report.Grace.Milliseconds(), Epoch: report.Epoch,
		},
	}
	if lastVersion.Before(report.Version()) || behind {
		n.From, n.Changes = smallStep(newest)
	}
	packets := []Packet{{To: others}}
	notices := []notice{n}
	for i, address := range standbys {
		n.Standby = i + 1
		packets, notices = append(packets, Packet{To: []string{address}}), append(notices, n)
	}
	n.Standby, n.Members = 0, g.someMembers(now, welcomeMembers)
	packets, notices = append(packets, Packet{To: newcomers}), append(notices, n)
	for i := range packets {
		var err error
		if packets[i].Raw, err = msgpack.Marshal(message{Notice: &notices[i]}); err != nil {
			return nil, err
		}
	}
	return packets, nil
}

// someoneIsBehind reports whether a peer's copy is known to lack a change.
func (g *Group) someoneIsBehind() bool {
	for _, p := range g.peers {
		if p.needsNotice {
			return true
		}
	}
	return false
}

// smallStep returns the newest change of the registry if it fits into a notice.
func smallStep(s mirror.Step) (from uint64, changes []change) {
	size := 0
	for _, it := range s.Items {
		size += len(it.Key) + len(it.Value)
		changes = append(changes, change{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	if size > maxChangeBytes {
		return 0, nil
	}
	return s.From, changes
}

// uninformedPeers returns the peers that know of few processes.
func (g *Group) uninformedPeers() (addresses []string) {
	for address, p := range g.peers {
		if p.needsMembers {
			p.needsMembers = false
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// noticeRecipients returns the peers that get a notice now: some at random and those
// whose copy is behind.
func (g *Group) noticeRecipients(now time.Time, report mirror.Report) []string {
	to := map[string]bool{}
	for address, p := range g.peers {
		if p.needsNotice {
			p.needsNotice = false
			to[address] = true
		}
	}
	changed := g.noticeDue || g.lastNoticeVersion.Before(report.Version())
	if changed || now.Sub(g.lastNotice) >= noticeInterval {
		g.noticeDue, g.lastNoticeVersion, g.lastNotice = false, report.Version(), now
		fanout := noticeFanout
		if changed {
			fanout = changeFanout
		}
		for _, address := range g.randomPeers(now, fanout) {
			to[address] = true
		}
		if report.State == 0 { // this process has no copy yet: the seeds are the first to have one
			for _, seed := range g.seeds {
				to[seed] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(to))
}

// dueStandbys returns the standbys in their order if this process is the reader and a
// notice to them is due.
func (g *Group) dueStandbys(now time.Time, report mirror.Report) []string {
	if report.Reader != g.cfg.Address || now.Sub(g.lastStandbyNotice) < standbyInterval {
		return nil
	}
	g.lastStandbyNotice = now
	live := slices.DeleteFunc(g.livePeers(now), func(address string) bool { return !g.peers[address].registry.Reachable })
	return live[:min(standbys, len(live))]
}

// randomPeers returns up to n live peers.
func (g *Group) randomPeers(now time.Time, n int) []string {
	live := g.livePeers(now)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// knownCount returns the number of peers that were alive within memberTTL. Of those within
// liveTTL, processes of a large fleet know different numbers.
func (g *Group) knownCount(now time.Time) (count int) {
	for _, p := range g.peers {
		if p.aliveWithin(now, memberTTL) {
			count++
		}
	}
	return count
}

// livePeers returns the addresses of the live peers in order.
func (g *Group) livePeers(now time.Time) []string {
	var live []string
	for address, p := range g.peers {
		if p.aliveWithin(now, liveTTL) {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// receiveNotice processes a peer's notice.
func (g *Group) receiveNotice(now time.Time, n notice) {
	report := n.Registry.report()
	if len(n.Changes) > 0 {
		items := lo.Map(n.Changes, func(c change, _ int) mirror.Item {
			return mirror.Item{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
		})
		g.cfg.Registry.HearStep(mirror.Step{From: n.From, To: report.Position(now), Items: items})
	}
	g.cfg.Registry.HearReport(now, report)
	own := g.cfg.Registry.Report(now)
	g.mu.Lock()
	p := g.recordAlive(n.Address, n.Region, now)
	g.heard(now, n.Address, p)
	p.registry, p.registryAt = report, now
	p.needsNotice = p.needsNotice || report.Version().Before(own.Version()) ||
		report.Version() == own.Version() && report.Age > own.Age+oldCopyAge // it would soon read the registry itself
	known := g.knownCount(now)
	p.needsMembers = p.needsMembers || n.Known < known*3/4
	p.needsStreams = p.needsStreams || n.Known < known*3/4
	if n.Known < known/4 { // a process that has run for a while may know of half as many
		p.newAt = now
	}
	if n.Standby > 0 {
		g.standby, g.standbyOf, g.standbyAt = n.Standby, n.Address, now
	}
	for _, other := range n.Members {
		g.recordMember(now, other)
	}
	g.mu.Unlock()
	g.applyLeaving(now, n.Address, n.Leaving)
}

// applyLeaving marks the endpoints that a peer reports as leaving. What an endpoint has said
// itself holds whatever the registry says. Another report, of a registry revision that this
// process's copy contains, is ignored: the copy is right. So is one of another epoch, whose
// revisions cannot be compared.
func (g *Group) applyLeaving(now time.Time, from string, leaving map[string]leavingInfo) {
	if len(leaving) == 0 {
		return
	}
	own := g.cfg.Registry.Report(now)
	for id, l := range leaving {
		var c sched.Change
		switch {
		case l.saidItself():
			c = g.cfg.Scheduler.HearLeaving(now, endpt.Endpoint{ID: id, StartedMs: l.StartedMs})
		case l.Epoch == own.Epoch && l.Revision > own.Cursor:
			c = g.cfg.Scheduler.MarkLeaving(now, id, l.StartedMs, l.Revision)
		}
		if c.Kind != sched.ChangeNone {
			g.ReportLeaving(now, c.Endpoint)
			g.cfg.Log.Info("endpoint_"+c.Kind.String(), zap.String("endpoint", id), zap.Int64("started_ms", l.StartedMs),
				zap.Bool("said_itself", l.saidItself()), zap.String("told_by", from))
		}
	}
}

// Standby returns this process's place, from 1, among those that a reader has named
// to take over from it, 0 if it is none of them.
func (g *Group) Standby(now time.Time, reader string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.standbyOf != reader || now.Sub(g.standbyAt) > standbyTTL {
		return 0
	}
	return g.standby
}

// Newer returns a live peer whose copy of the registry has a later version than the
// given one and is at most maxAge old, if possible one of the own region.
func (g *Group) Newer(now time.Time, v mirror.Version, maxAge time.Duration) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nearFound := false
	for candidate, p := range g.peers { // in the map's random order
		near := p.region == g.cfg.Region
		if !v.Before(p.registry.Version()) || !p.aliveWithin(now, liveTTL) || nearFound && !near || p.registry.Age+now.Sub(p.registryAt) > maxAge {
			continue
		}
		if !ok || near && !nearFound {
			address, ok, nearFound = candidate, true, near
		}
	}
	return address, ok
}

// InTouch reports whether a peer has shown a sign of life within a time.
func (g *Group) InTouch(now time.Time, within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.aliveWithin(now, within) {
			return true
		}
	}
	return false
}

// IsEntryPoint reports whether other processes contact this one first: it is a seed,
// or there are none.
func (g *Group) IsEntryPoint() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSeed
}
