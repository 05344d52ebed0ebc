package peers

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// A new call on an engine is reported at once, because other processes may choose the
	// same engine. Other changes wait for one, the longer the more partners there are.
	loadBatchPerPartner = 8 * time.Millisecond
	// loadHeartbeat is the longest time between two reports to a partner. The scheduler
	// forgets a peer's load after a few missed ones.
	loadHeartbeat = time.Second
	// loadBytesPerSecond bounds what a process spends on load reports; loadBurst is how
	// much it may save up. Reports that are not sent are part of the next one.
	loadBytesPerSecond = 2000
	loadBurst          = 1 << 10
	// silentPartner is how long after its last message a partner gets heartbeats only.
	silentPartner = 3 * time.Second

	tokenUnit = 16 // loads are reported in multiples of this number of tokens
)

// loadReport holds the load that the sender has placed, or what changed since its
// previous report. It is encoded by hand, because it is by far the most frequent
// message and most of its bytes would be names.
type loadReport struct {
	sender      uint32 // hash of the sender's address, see senderKey
	incarnation uint16 // of the sender, a part of it
	sequence    uint32
	full        bool
	regions     bool // the sender reports to other regions; processes of earlier versions do not
	loads       map[sched.Key]sched.Load
}

// senderKey stands for a process in load reports. Two processes of a cell with the same
// key would take each other's reports for lost ones, and ask for full ones.
func senderKey(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// Flags of a load report. Processes of earlier versions ignore all but fullFlag.
const (
	fullFlag    = 1
	regionsFlag = 2
)

func (r loadReport) encode() []byte {
	raw := binary.BigEndian.AppendUint32(nil, r.sender)
	raw = binary.BigEndian.AppendUint16(raw, r.incarnation)
	flags := byte(0)
	if r.full {
		flags = fullFlag
	}
	if r.regions {
		flags |= regionsFlag
	}
	raw = binary.AppendUvarint(append(raw, flags), uint64(r.sequence))
	for key, l := range r.loads {
		raw = appendLoad(raw, key, l)
	}
	return raw
}

var errTruncatedLoad = errors.New("load report is truncated")

func decodeLoadReport(raw []byte) (loadReport, error) {
	const fixed = 4 + 2 + 1
	if len(raw) <= fixed {
		return loadReport{}, errTruncatedLoad
	}
	r := loadReport{
		sender: binary.BigEndian.Uint32(raw), incarnation: binary.BigEndian.Uint16(raw[4:]), full: raw[6]&fullFlag != 0,
		regions: raw[6]&regionsFlag != 0,
	}
	sequence, size := binary.Uvarint(raw[fixed:])
	if size <= 0 {
		return loadReport{}, errTruncatedLoad
	}
	r.sequence = uint32(sequence)
	var err error
	r.loads, err = decodeLoads(raw[fixed+size:])
	return r, err
}

// loadQuery asks a partner for its full load, because a report was lost.
type loadQuery struct {
	_msgpack struct{} `msgpack:",as_array"`
	Address  string   // of the sender, IP:port
}

// appendLoad encodes the load on one endpoint.
func appendLoad(raw []byte, key sched.Key, l sched.Load) []byte {
	raw = binary.BigEndian.AppendUint32(raw, uint32(key))
	for _, n := range []int{l.Calls, l.MemoryTokens / tokenUnit, l.PrefillTokens / tokenUnit, l.IncomingMoves} {
		raw = binary.AppendUvarint(raw, uint64(max(0, n)))
	}
	return raw
}

// decodeLoads is the inverse of appendLoad for all endpoints of a report.
func decodeLoads(raw []byte) (map[sched.Key]sched.Load, error) {
	loads := map[sched.Key]sched.Load{}
	for len(raw) > 0 {
		if len(raw) < 4 {
			return nil, errTruncatedLoad
		}
		key := sched.Key(binary.BigEndian.Uint32(raw))
		raw = raw[4:]
		var n [4]int
		for i := range n {
			v, size := binary.Uvarint(raw)
			if size <= 0 || v > maxReported {
				return nil, errTruncatedLoad
			}
			n[i], raw = int(v), raw[size:]
		}
		loads[key] = sched.Load{Calls: n[0], MemoryTokens: n[1] * tokenUnit, PrefillTokens: n[2] * tokenUnit, IncomingMoves: n[3]}
	}
	return loads, nil
}

const maxReported = 1 << 32 // larger values can only come from a damaged report

// loadPackets returns the reports of this process's load that are due now, and the
// queries for the reports that it lacks.
func (g *Group) loadPackets(now time.Time) ([]Packet, error) {
	loads := g.cfg.Scheduler.Loads()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updatePartners(now)
	changes, urgent := changedLoads(g.lastLoads, loads)
	active, silent, queried, missing := g.loadRecipients(now)
	var packets []Packet
	add := func(to []string, m message) error {
		if len(to) == 0 {
			return nil
		}
		raw, err := msgpack.Marshal(m)
		spend(len(raw), len(to), &g.loadAllowance)
		packets = append(packets, Packet{To: to, Raw: raw})
		return err
	}
	maySend := g.loadAllowance.refill(now)
	var errs []error
	since := now.Sub(g.lastReport)
	if maySend && (urgent || len(changes) > 0 && since >= time.Duration(len(active))*loadBatchPerPartner) || since >= loadHeartbeat {
		if len(changes) > 0 {
			g.reportSequence++
		}
		g.lastReport, g.lastLoads = now, loads
		errs = append(errs, add(active, message{Load: g.report(changes, false)}))
	}
	errs = append(errs, add(silent, message{Load: g.report(nil, false)}), add(missing, message{Query: &loadQuery{Address: g.cfg.Address}}))
	if len(queried) > 0 {
		errs = append(errs, add(queried, message{Load: g.report(g.lastLoads, true)}))
	}
	return packets, errors.Join(errs...)
}

func (g *Group) report(loads map[sched.Key]sched.Load, full bool) []byte {
	return loadReport{
		sender: senderKey(g.cfg.Address), incarnation: uint16(g.cfg.Incarnation), sequence: g.reportSequence, full: full, regions: true, loads: loads,
	}.encode()
}

// changedLoads returns the endpoints whose load differs. urgent is true if an engine has
// more calls than before.
func changedLoads(before, after map[sched.Key]sched.Load) (changes map[sched.Key]sched.Load, urgent bool) {
	changes = map[sched.Key]sched.Load{}
	for key, l := range after {
		if old := before[key]; l != old {
			changes[key] = l
			urgent = urgent || l.MemoryTokens > 0 && l.Calls > old.Calls
		}
	}
	for key := range before {
		if _, still := after[key]; !still {
			changes[key] = sched.Load{}
		}
	}
	return changes, urgent
}

// loadRecipients returns the partners that get reports, those that only get a
// heartbeat now because they are silent, those that asked for the full load, and those
// whose full load this process lacks.
func (g *Group) loadRecipients(now time.Time) (active, silent, queried, missing []string) {
	for address, p := range g.peers {
		if p.wantsFull {
			p.wantsFull = false
			queried = append(queried, address)
		}
		if p.lacksFull && now.Sub(p.lastQuery) >= queryInterval {
			p.lastQuery = now
			missing = append(missing, address)
		}
		switch {
		case !p.partner:
		case now.Sub(p.lastMessage) < silentPartner && !p.lastMessage.IsZero():
			active = append(active, address)
		case now.Sub(p.lastSent) >= loadHeartbeat:
			p.lastSent = now
			silent = append(silent, address)
		}
	}
	return active, silent, queried, missing
}

const queryInterval = 200 * time.Millisecond // a few times the round trip between data centres

// receiveLoad processes a peer's load report.
func (g *Group) receiveLoad(now time.Time, raw []byte) error {
	r, err := decodeLoadReport(raw)
	if err != nil {
		return err
	}
	switch sender, class := g.classifyLoad(now, r); class {
	case loadFull:
		g.cfg.Scheduler.SetPeerLoad(now, sender, r.loads)
	case loadNext:
		g.cfg.Scheduler.UpdatePeerLoad(now, sender, r.loads)
	case loadIgnored:
	}
	return nil
}

type loadClass uint8

const (
	loadIgnored loadClass = iota // older than the last report, or one before it is missing
	loadFull                     // the complete load
	loadNext                     // the changes since the last report
)

// classifyLoad decides what to do with a report, and records that its sender is alive.
func (g *Group) classifyLoad(now time.Time, r loadReport) (sender string, class loadClass) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sender = g.senders[r.sender]
	p := g.peers[sender]
	if p == nil {
		return "", loadIgnored // its address is not known yet; notices and gossip tell it
	}
	g.heard(now, sender, p)
	p.reportsRegions = r.regions
	sameProcess := r.incarnation == p.incarnation
	newer := int32(r.sequence-p.sequence) > 0
	isNext := len(r.loads) > 0 && r.sequence == p.sequence+1 || len(r.loads) == 0 && r.sequence == p.sequence
	switch {
	case r.full && (!sameProcess || newer || p.lacksFull):
		p.incarnation, p.sequence, p.lacksFull = r.incarnation, r.sequence, false
		return sender, loadFull
	case sameProcess && !p.lacksFull && isNext && !r.full:
		p.sequence = r.sequence
		return sender, loadNext
	case !sameProcess || newer:
		p.lacksFull = true
	}
	return sender, loadIgnored
}

// heard records a message of a peer itself.
func (g *Group) heard(now time.Time, address string, p *peer) {
	if p.lastMessage.IsZero() || p.lost {
		g.cfg.Log.Info("peer_heard", zap.String("peer", address))
	}
	p.lastMessage, p.lastAlive, p.lost = now, now, false
}

// answerQuery notes that a peer needs the full load.
func (g *Group) answerQuery(q loadQuery) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[q.Address]; p != nil {
		p.wantsFull = true
	}
}
