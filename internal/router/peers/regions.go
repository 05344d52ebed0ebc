package peers

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// A report goes to another region every regionInterval if it changed, and every
	// regionRefresh otherwise. Two refreshes fit into sched.RegionLoadTTL, so that one may
	// be lost.
	regionInterval = 250 * time.Millisecond
	regionRefresh  = 800 * time.Millisecond
	// regionBytesPerSecond bounds what a process spends on reports to other regions, less
	// regionBytesPerPartner for each partner: in a large cell the load reports take most of
	// the bytes. minRegionBytes remain in any case. regionBurst is how much may be saved up.
	regionBytesPerSecond  = 1500
	regionBytesPerPartner = 34
	minRegionBytes        = 360
	regionBurst           = 512
	// A process with many receivers tells each of fewer endpoints, but of minRegionLoads at
	// least.
	minRegionLoads  = 3
	regionLoadBytes = 10 // usual size of an encoded load
	regionHeadBytes = 16 // and of the rest of a message

	receiversInterval = time.Second
	// senderSilence is how long after its last message the next process sends in place of
	// another. A live one sends a heartbeat each second.
	senderSilence = 1500 * time.Millisecond
)

// regionRounds holds what this process sent to and heard from other regions.
type regionRounds struct {
	allowance   allowance
	receivers   map[sched.RegionCell][]string // that this process reports to
	cells       map[string]cells              // of the other regions
	receiversAt time.Time
	sent        map[sched.RegionCell]sentRegion // by receivers
	heard       map[sched.RegionCell]time.Time  // by senders
}

// sentRegion is the last report to some receivers.
type sentRegion struct {
	at      time.Time
	raw     []byte
	checked time.Time // when it was last compared with the present state
}

func newRegionRounds() regionRounds {
	return regionRounds{
		allowance: allowance{perSecond: minRegionBytes, burst: regionBurst},
		sent:      map[sched.RegionCell]sentRegion{}, heard: map[sched.RegionCell]time.Time{},
	}
}

// regionReport holds the loads that a cell of a region has placed in the receiver's region,
// and those of the cell's endpoints.
type regionReport struct {
	from  sched.RegionCell
	loads map[sched.Key]sched.Load
}

// encodeRegions encodes a regionReport with the loads in their order.
func encodeRegions(from sched.RegionCell, loads []sched.EndpointLoad) []byte {
	raw := binary.AppendUvarint(nil, uint64(from.Cell))
	raw = binary.AppendUvarint(raw, uint64(len(from.Region)))
	raw = append(raw, from.Region...)
	for _, l := range loads {
		raw = appendLoad(raw, l.Key, l.Load)
	}
	return raw
}

func decodeRegions(raw []byte) (r regionReport, err error) {
	cell, size := binary.Uvarint(raw)
	if size <= 0 || cell > maxReported {
		return regionReport{}, errTruncatedLoad
	}
	raw = raw[size:]
	length, size := binary.Uvarint(raw)
	if size <= 0 || length > uint64(len(raw)-size) {
		return regionReport{}, errTruncatedLoad
	}
	raw = raw[size:]
	r.from = sched.RegionCell{Region: string(raw[:length]), Cell: int(cell)}
	r.loads, err = decodeLoads(raw[length:])
	return r, err
}

// KnowsAllLoads reports whether the processes of all regions report their loads to this one.
func (g *Group) KnowsAllLoads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isLarge
}

// regionPackets returns the reports to other regions that are due now.
func (g *Group) regionPackets(now time.Time) ([]Packet, error) {
	due, limit := g.dueRegions(now)
	var packets []Packet
	reports := map[string]sched.RegionReport{}
	for _, to := range due {
		report, known := reports[to.Region]
		if !known {
			report = g.cfg.Scheduler.RegionReport(now, to.Region, g.KnowsLoad) // without the lock: the scheduler calls the group while it holds its own
			reports[to.Region] = report
		}
		p, err := g.regionPacket(now, to, report, limit)
		if err != nil {
			return nil, err
		}
		packets = append(packets, p)
	}
	return packets, nil
}

// dueRegions returns the cells that a report is due to now, the one that has waited longest
// first, and how many loads a report should hold.
func (g *Group) dueRegions(now time.Time) (due []sched.RegionCell, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.regions
	g.expireRegions(now)
	if !g.isLarge {
		return nil, 0
	}
	r.allowance.left = max(-regionBurst, r.allowance.left) // crash reports may take more than it gains
	if !r.allowance.refill(now) {
		return nil, 0
	}
	if now.Sub(r.receiversAt) >= receiversInterval {
		r.receiversAt = now
		g.updateReceivers(now)
	}
	receivers := 0
	for to, addresses := range r.receivers {
		receivers += len(addresses)
		if last := r.sent[to]; now.Sub(last.at) >= regionRefresh || now.Sub(last.checked) >= regionInterval {
			due = append(due, to)
		}
	}
	slices.SortFunc(due, func(x, y sched.RegionCell) int {
		return cmp.Or(r.sent[x].at.Compare(r.sent[y].at), cmp.Compare(x.Region, y.Region), cmp.Compare(x.Cell, y.Cell))
	})
	each := r.allowance.perSecond * regionRefresh.Seconds() / float64(max(1, receivers))
	return due, max(minRegionLoads, (int(each)-regionHeadBytes)/regionLoadBytes)
}

// expireRegions logs the cells whose reports are no longer valid.
func (g *Group) expireRegions(now time.Time) {
	for from, at := range g.regions.heard {
		if now.Sub(at) > sched.RegionLoadTTL {
			delete(g.regions.heard, from)
			g.cfg.Log.Info("region_report_lost", zap.String("region", from.Region), zap.Int("cell", from.Cell), zap.Duration("silent", now.Sub(at)))
		}
	}
}

// updateReceivers computes which processes of other regions this process reports to, by the
// cell that they are in. Of the processes of a cell that report to other regions, one is
// chosen for each receiver.
func (g *Group) updateReceivers(now time.Time) {
	senders := []string{g.cfg.Address}
	processes := map[string][]string{} // by region
	partners := 0
	for address, p := range g.peers {
		switch {
		case p.region == g.cfg.Region:
			if p.partner {
				partners++
			}
			if p.partner && p.reportsRegions && now.Sub(p.lastMessage) < senderSilence {
				senders = append(senders, address)
			}
		case p.region != "" && p.aliveWithin(now, memberTTL):
			processes[p.region] = append(processes[p.region], address)
		}
	}
	r := &g.regions
	r.allowance.perSecond = max(minRegionBytes, regionBytesPerSecond-regionBytesPerPartner*float64(partners))
	r.receivers, r.cells = map[sched.RegionCell][]string{}, map[string]cells{}
	for region, addresses := range processes {
		var c cells
		c.update(len(addresses))
		r.cells[region] = c
		for _, address := range addresses {
			if g.isFirst(senders, address) {
				to := sched.RegionCell{Region: region, Cell: c.of(address)}
				r.receivers[to] = append(r.receivers[to], address)
			}
		}
	}
}

// isFirst reports whether this process is the first of the senders for a receiver.
func (g *Group) isFirst(senders []string, receiver string) bool {
	own := rank.Score(g.cfg.Address, receiver)
	return !slices.ContainsFunc(senders, func(s string) bool { return rank.Score(s, receiver) > own })
}

// regionPacket returns the report to a cell, an empty packet if it is not due.
func (g *Group) regionPacket(now time.Time, to sched.RegionCell, report sched.RegionReport, limit int) (Packet, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.regions
	from := sched.RegionCell{Region: g.cfg.Region, Cell: g.cells.own}
	raw := encodeRegions(from, g.selectRegionLoads(to, report, limit))
	last := r.sent[to]
	last.checked = now
	r.sent[to] = last
	if r.allowance.left <= 0 || now.Sub(last.at) < regionRefresh && bytes.Equal(raw, last.raw) {
		return Packet{}, nil
	}
	packed, err := msgpack.Marshal(message{Regions: raw})
	if err != nil {
		return Packet{}, err
	}
	receivers := r.receivers[to]
	r.sent[to] = sentRegion{at: now, raw: raw, checked: now}
	spend(len(packed), len(receivers), &r.allowance)
	g.countRegions("sent", len(receivers))
	return Packet{To: receivers, Raw: packed}, nil
}

// selectRegionLoads returns the loads of a report to a cell. The processes of the cell need
// above all what is placed at the cell's own endpoints.
func (g *Group) selectRegionLoads(to sched.RegionCell, report sched.RegionReport, limit int) []sched.EndpointLoad {
	placed := slices.Clone(report.Placed)
	if c := g.regions.cells[to.Region]; c.count > 1 {
		place := func(l sched.EndpointLoad) int {
			if c.of(l.ID) == to.Cell {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(placed, func(x, y sched.EndpointLoad) int { return cmp.Compare(place(x), place(y)) })
	}
	ofPlaced := min(len(placed), limit/2)
	ofOwn := min(len(report.Own), limit-ofPlaced)
	ofPlaced = min(len(placed), limit-ofOwn)
	return append(placed[:ofPlaced:ofPlaced], report.Own[:ofOwn]...)
}

// receiveRegions processes a report of another region.
func (g *Group) receiveRegions(now time.Time, raw []byte) error {
	r, err := decodeRegions(raw)
	if err != nil {
		return err
	}
	if g.hearRegion(now, r) {
		g.cfg.Scheduler.SetRegionLoad(now, r.from, r.loads)
	}
	return nil
}

// hearRegion records a report and reports whether it is to be used. Processes that report
// all their loads to each other need none, and would count these loads twice.
func (g *Group) hearRegion(now time.Time, r regionReport) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isLarge || r.from.Region == "" || r.from.Region == g.cfg.Region {
		g.countRegions("dropped", 1)
		return false
	}
	g.countRegions("received", 1)
	if _, known := g.regions.heard[r.from]; !known {
		g.cfg.Log.Info("region_report_heard", zap.String("region", r.from.Region), zap.Int("cell", r.from.Cell))
	}
	g.regions.heard[r.from] = now
	return true
}

func (g *Group) countRegions(event string, n int) {
	if g.cfg.Metrics != nil {
		g.cfg.Metrics.RegionReports.WithLabelValues(event).Add(float64(n))
	}
}
