package peers

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/order"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// shareInterval is the time between two messages about shares. Use is counted over 10 s.
	shareInterval = time.Second
	// shareBytesPerSecond bounds what a process spends on shares, summed over recipients.
	shareBytesPerSecond = 600
	// Above maxSmallFleet recipients, rounds take turns with them, so that a message has room for
	// the largest workspaces at 35 recipients. A recipient then gets one every 2 s, within the
	// 3 s for which a report is valid.
	shareTurns = 2
	// fewAccounts is the number of workspaces told for a service then. Control traffic is close to
	// its bound, and the model with 32 gateways needs no more (sched TestSharesOfFleet).
	fewAccounts = 2

	shareOverhead = 11 // bytes of a message without its services: encoding, sender, start, sequence
	serviceBytes  = 10 // of a service without its accounts, at most
	accountBytes  = 6
)

// shareReport tells what the workspaces of some services asked for and used at the sender. The
// start and the sequence are short, since a message has 17 bytes for each recipient and second in a full
// cell: they only have to tell a message from the one before it.
type shareReport struct {
	sender   uint32 // as in loadReport
	start    uint8  // part of the incarnation
	sequence uint8
	services map[sched.Key]order.Report
}

// shareRounds is the state of the reports about shares.
type shareRounds struct {
	allowance allowance
	lastRound time.Time
	number    int // of rounds so far
	valid     int // reports of peers, as last counted
}

func (r shareReport) encode() []byte {
	raw := binary.BigEndian.AppendUint32(nil, r.sender)
	raw = append(raw, r.start, r.sequence)
	for key, s := range r.services {
		raw = binary.BigEndian.AppendUint32(raw, uint32(key))
		raw = append(raw, byte(len(s.Accounts)))
		for _, a := range s.Accounts {
			raw = binary.BigEndian.AppendUint32(raw, uint32(a.Workspace))
			raw = append(raw, encodeUse(a.Asked), encodeUse(a.Used))
		}
		raw = binary.AppendUvarint(raw, uint64(min(maxRest, s.Rest)))
		raw = append(raw, encodeUse(s.Asked), encodeUse(s.Used))
	}
	return raw
}

// maxRest limits the workspaces that count as the rest of a report: the accounts of a process.
const maxRest = 1024

var errTruncatedShares = errors.New("report of shares is truncated")

func decodeShareReport(raw []byte) (shareReport, error) {
	if len(raw) < 6 {
		return shareReport{}, errTruncatedShares
	}
	r := shareReport{sender: binary.BigEndian.Uint32(raw), start: raw[4], sequence: raw[5], services: map[sched.Key]order.Report{}}
	for raw = raw[6:]; len(raw) > 0; {
		if len(raw) < 5 || int(raw[4]) > order.MaxTold || len(raw) < 5+accountBytes*int(raw[4]) {
			return shareReport{}, errTruncatedShares
		}
		key, count := sched.Key(binary.BigEndian.Uint32(raw)), int(raw[4])
		raw = raw[5:]
		var s order.Report
		for ; count > 0; count-- {
			s.Accounts = append(s.Accounts, order.Account{Workspace: order.Hash(binary.BigEndian.Uint32(raw)), Asked: decodeUse(raw[4]), Used: decodeUse(raw[5])})
			raw = raw[accountBytes:]
		}
		rest, size := binary.Uvarint(raw)
		if size <= 0 || rest > maxRest || len(raw) < size+2 {
			return shareReport{}, errTruncatedShares
		}
		s.Rest, s.Asked, s.Used = int(rest), decodeUse(raw[size]), decodeUse(raw[size+1])
		r.services[key], raw = s, raw[size+2:]
	}
	return r, nil
}

// Memory-time is sent as 1 plus its logarithm to the base 2 in units of 1/useScale, above useLeast:
// steps of 11%, up to 2^36 token-seconds. 0 stands for none.
const (
	useScale = 6.0
	useLeast = 1.0 / 128
)

func encodeUse(f float64) byte {
	if f < useLeast {
		return 0
	}
	return byte(min(math.MaxUint8, 1+math.Round(useScale*math.Log2(f/useLeast))))
}

func decodeUse(b byte) float64 {
	if b == 0 {
		return 0
	}
	return useLeast * math.Exp2(float64(b-1)/useScale)
}

// sharePackets returns the message about shares that is due now, if any. It goes to the partners
// that get reports about waiting calls, as those take turns with this process.
func (g *Group) sharePackets(now time.Time) ([]Packet, error) {
	if !g.sharesDue(now) {
		return nil, nil
	}
	// Before locking: the scheduler calls KnowsLoad while it holds its own lock.
	valid, reports := g.cfg.Scheduler.ValidShareReports(now), g.cfg.Scheduler.ShareReports(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.shares
	g.countShares(valid)
	if len(reports) == 0 {
		return nil, nil
	}
	to, all := g.shareRecipients(now)
	if len(to) == 0 {
		return nil, nil
	}
	r.lastRound = now
	r.number++
	accounts := order.MaxTold
	if all > maxSmallFleet {
		accounts = fewAccounts
	}
	services := fitShares(reports, int(r.allowance.left)/len(to)-shareOverhead, accounts, r.number/shareTurns)
	if len(services) == 0 {
		return nil, nil
	}
	raw, err := msgpack.Marshal(message{Shares: shareReport{senderKey(g.cfg.Address), uint8(g.cfg.Incarnation), uint8(r.number), services}.encode()})
	spend(len(raw), len(to), &r.allowance)
	if all > maxSmallFleet { // load reports then come close to the bound of control traffic
		spend(len(raw), len(to), &g.loadAllowance)
	}
	for _, address := range to {
		g.peers[address].sharesSent = now
	}
	g.countShareBytes("sent", len(raw)*len(to))
	return []Packet{{To: to, Raw: raw}}, err
}

// sharesDue reports whether a message about shares may be sent.
func (g *Group) sharesDue(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.shares.lastRound) >= shareInterval && g.shares.allowance.refill(now)
}

// shareRecipients returns the partners that are to get a message now, those that got none for the
// longest time, and the number of all.
func (g *Group) shareRecipients(now time.Time) (to []string, all int) {
	for address, p := range g.peers {
		if p.partner && now.Sub(p.lastMessage) < silentPartner {
			to = append(to, address)
		}
	}
	all = len(to)
	if all <= maxSmallFleet {
		return to, all
	}
	slices.SortFunc(to, func(x, y string) int {
		return cmp.Or(g.peers[x].sharesSent.Compare(g.peers[y].sharesSent), cmp.Compare(x, y))
	})
	return to[:(all+shareTurns-1)/shareTurns], all
}

// fitShares returns the reports that fit into a number of bytes, with as many accounts as do, up to most. If
// there is no room for all services with one account each, they take turns.
func fitShares(reports map[sched.Key]order.Report, bytes, most, turn int) map[sched.Key]order.Report {
	fit := min(len(reports), bytes/(serviceBytes+accountBytes))
	if fit <= 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(reports))
	accounts := min(most, (bytes/fit-serviceBytes)/accountBytes)
	out := make(map[sched.Key]order.Report, fit)
	for i := range fit {
		key := keys[(turn*fit+i)%len(keys)]
		out[key] = reports[key].Limit(accounts)
	}
	return out
}

// receiveShares processes a peer's report about shares.
func (g *Group) receiveShares(now time.Time, raw []byte) error {
	r, err := decodeShareReport(raw)
	if err != nil {
		return err
	}
	g.mu.Lock()
	sender := g.senders[r.sender]
	p := g.peers[sender]
	// After 3 s without a report none of the sender's is valid, and the short sequence may have wrapped.
	fresh := p != nil && (p.sharesStart != r.start || int8(r.sequence-p.sharesSequence) > 0 || now.Sub(p.sharesHeard) > silentPartner)
	if fresh {
		p.sharesStart, p.sharesSequence, p.sharesHeard = r.start, r.sequence, now
	}
	g.countShareBytes("received", len(raw)+5)
	g.mu.Unlock()
	if fresh {
		g.cfg.Scheduler.SetPeerShares(now, sender, r.services)
	}
	return nil
}

// countShares updates the number of valid reports.
func (g *Group) countShares(valid int) {
	if g.cfg.Metrics != nil && valid != g.shares.valid {
		g.cfg.Metrics.ShareReports.Set(float64(valid))
	}
	g.shares.valid = valid
}

func (g *Group) countShareBytes(event string, bytes int) {
	if g.cfg.Metrics != nil {
		g.cfg.Metrics.ShareBytes.WithLabelValues(event).Add(float64(bytes))
	}
}
