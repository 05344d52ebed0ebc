package peers

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/blame"
)

const (
	// crashInterval is the least time between two rounds of crash reports.
	crashInterval = 100 * time.Millisecond
	// What a process did not know before goes to changeFanout others at once. Crashes that
	// are younger than crashNews go out again every crashAgainInterval.
	crashAgainInterval = 350 * time.Millisecond
	crashNews          = time.Second
	// Without news, all crashes go to crashRepeatPeers others every crashRepeatInterval.
	crashRepeatInterval = time.Second
	crashRepeatPeers    = 2

	newcomerTTL = 2 * time.Second // how long a process counts as one that has just started

	maxCrashBytes       = 1200 // of a report to a process that has just started; fits a packet of the network
	maxCrashRepeatBytes = 400  // of any other report
	// crashBytesPerSecond bounds what a process spends on crash reports; crashBurst is how
	// much it may save up. It spends as much less on load reports.
	crashBytesPerSecond = 700
	crashBurst          = 1 << 10

	// answerTransit is added to the age of an answer with each hop. It is longer than a
	// message takes, so that no answer becomes younger by being passed on.
	answerTransit = 50 * time.Millisecond
	// maxCrashAge is the greatest age in a report. Greater ones come from a damaged report.
	maxCrashAge = 24 * time.Hour
)

// Blame is what this process knows about prompt parts that make engines crash.
type Blame interface {
	// Report returns what peers need to know, the most important crashes first, and a
	// number that is higher whenever they need to know more than before.
	Report(now time.Time) (r blame.Report, state uint64)
	// Merge takes over a peer's report.
	Merge(now time.Time, r blame.Report)
}

// crashReports holds when this process sent crash reports.
type crashReports struct {
	state     uint64 // of Blame, as of the last round to changeFanout others
	lastRound time.Time
	allowance allowance
}

// encodeCrashes returns the wire form of a report: the number of parts; of each part its
// hash and the age of its answer in ms plus one, 0 if it has none; then for each crash
// the engine, the age in ms, the number of parts and their places in the list. Crashes
// that do not fit into maxBytes are left out, with the answers of their parts. If not even
// the first fits, the report may take maxCrashBytes.
func encodeCrashes(r blame.Report, maxBytes int) []byte {
	answers := make(map[blame.Part]time.Duration, len(r.Answers))
	for _, a := range r.Answers {
		answers[a.Part] = a.Age
	}
	places := map[blame.Part]int{}
	var parts, crashes []byte
	for _, c := range r.Crashes {
		nextParts, added := parts, []blame.Part(nil)
		next := binary.BigEndian.AppendUint32(crashes, c.Engine)
		next = binary.AppendUvarint(next, ageMs(c.Age))
		next = binary.AppendUvarint(next, uint64(len(c.Parts)))
		for _, part := range c.Parts {
			if _, listed := places[part]; !listed {
				places[part] = len(places)
				added = append(added, part)
				nextParts = appendPart(nextParts, part, answers)
			}
			next = binary.AppendUvarint(next, uint64(places[part]))
		}
		size := binary.MaxVarintLen16 + len(nextParts) + len(next)
		if len(crashes) == 0 && size > maxBytes {
			maxBytes = maxCrashBytes
		}
		if size > maxBytes {
			for _, part := range added {
				delete(places, part)
			}
			continue
		}
		parts, crashes = nextParts, next
	}
	raw := binary.AppendUvarint(nil, uint64(len(places)))
	return append(append(raw, parts...), crashes...)
}

func appendPart(raw []byte, part blame.Part, answers map[blame.Part]time.Duration) []byte {
	raw = binary.BigEndian.AppendUint64(raw, uint64(part))
	if age, answered := answers[part]; answered {
		return binary.AppendUvarint(raw, ageMs(age+answerTransit)+1)
	}
	return append(raw, 0)
}

func ageMs(age time.Duration) uint64 {
	return uint64(min(max(0, age), maxCrashAge).Milliseconds())
}

var errInvalidCrashes = errors.New("crash report is invalid")

// decodeCrashes is the inverse of encodeCrashes.
func decodeCrashes(raw []byte) (blame.Report, error) {
	d := crashDecoder{raw: raw}
	var r blame.Report
	var parts []blame.Part
	for range d.uvarint(uint64(len(raw) / 9)) { // a part takes at least 9 bytes
		part := blame.Part(d.uint64())
		parts = append(parts, part)
		if age := d.uvarint(ageMs(maxCrashAge) + 1); age > 0 {
			r.Answers = append(r.Answers, blame.Answer{Part: part, Age: time.Duration(age-1) * time.Millisecond})
		}
	}
	for len(d.raw) > 0 && !d.failed {
		c := blame.Crash{Engine: d.uint32(), Age: time.Duration(d.uvarint(ageMs(maxCrashAge))) * time.Millisecond}
		for range d.uvarint(uint64(len(parts))) {
			if place := d.uvarint(uint64(max(0, len(parts)-1))); !d.failed {
				c.Parts = append(c.Parts, parts[place])
			}
		}
		r.Crashes = append(r.Crashes, c)
	}
	if d.failed || len(raw) == 0 {
		return blame.Report{}, errInvalidCrashes
	}
	return r, nil
}

// crashDecoder reads numbers. After one that is truncated or too large it returns zeros.
type crashDecoder struct {
	raw    []byte
	failed bool
}

func (d *crashDecoder) bytes(n int) []byte {
	if d.failed || len(d.raw) < n {
		d.failed = true
		return make([]byte, n)
	}
	b := d.raw[:n]
	d.raw = d.raw[n:]
	return b
}

func (d *crashDecoder) uint32() uint32 { return binary.BigEndian.Uint32(d.bytes(4)) }
func (d *crashDecoder) uint64() uint64 { return binary.BigEndian.Uint64(d.bytes(8)) }

func (d *crashDecoder) uvarint(most uint64) uint64 {
	v, size := binary.Uvarint(d.raw)
	if d.failed || size <= 0 || v > most {
		d.failed = true
		return 0
	}
	d.raw = d.raw[size:]
	return v
}

// crashPackets returns the reports of crashes that are due now.
func (g *Group) crashPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Blame == nil {
		return nil, nil
	}
	report, state := g.cfg.Blame.Report(now) // before locking, as the registry's in gossipPackets
	if len(report.Crashes) == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.crashes
	if !s.allowance.refill(now) || now.Sub(s.lastRound) < crashInterval {
		return nil, nil
	}
	packets := g.crashRound(now, report, state)
	if address, found := g.newcomer(now); found {
		packets = append(packets, Packet{To: []string{address}, Raw: encodeCrashes(report, maxCrashBytes)})
	}
	for i, p := range packets {
		raw, err := msgpack.Marshal(message{Crashes: p.Raw})
		if err != nil {
			return nil, err
		}
		packets[i].Raw = raw
		spend(len(raw), len(p.To), &s.allowance, &g.loadAllowance)
	}
	return packets, nil
}

// crashRound returns the round that is due now, if any, with the report as Raw.
func (g *Group) crashRound(now time.Time, report blame.Report, state uint64) []Packet {
	s := &g.crashes
	recent, youngest := recentCrashes(report)
	isNews := state > s.state
	fanout := changeFanout
	switch {
	case isNews, youngest < crashNews && now.Sub(s.lastRound) >= crashAgainInterval:
		if len(recent.Crashes) > 0 {
			report = recent
		}
	case now.Sub(s.lastRound) >= crashRepeatInterval:
		fanout = crashRepeatPeers
	default:
		return nil
	}
	to := g.nextAndRandomPeers(now, fanout)
	if len(to) == 0 {
		return nil
	}
	s.state, s.lastRound = state, now
	return []Packet{{To: to, Raw: encodeCrashes(report, maxCrashRepeatBytes)}}
}

// recentCrashes returns the part of a report that is recent, and the age of the youngest
// crash.
func recentCrashes(r blame.Report) (recent blame.Report, youngest time.Duration) {
	recent.Answers, youngest = r.Answers, maxCrashAge
	for _, c := range r.Crashes {
		youngest = min(youngest, c.Age)
		if c.Age < crashNews {
			recent.Crashes = append(recent.Crashes, c)
		}
	}
	return recent, youngest
}

// nextAndRandomPeers returns up to n live peers: the partner that follows this process in
// the order of addresses, and others at random. Random ones alone would miss some
// processes; of its partners each process knows all.
func (g *Group) nextAndRandomPeers(now time.Time, n int) []string {
	to := g.randomPeers(now, n)
	live := slices.DeleteFunc(g.livePeers(now), func(address string) bool { return !g.peers[address].partner })
	if len(live) == 0 || n == 0 {
		return to
	}
	next, _ := slices.BinarySearch(live, g.cfg.Address)
	address := live[next%len(live)]
	if !slices.Contains(to, address) {
		to[0] = address
	}
	return to
}

// newcomer returns a peer that has just started and was not told yet.
func (g *Group) newcomer(now time.Time) (address string, found bool) {
	for address, p := range g.peers {
		if !p.newAt.IsZero() && now.Sub(p.newAt) < newcomerTTL {
			p.newAt = time.Time{}
			return address, true
		}
	}
	return "", false
}

// receiveCrashes processes a peer's report of crashes.
func (g *Group) receiveCrashes(now time.Time, raw []byte) error {
	if g.cfg.Blame == nil {
		return nil
	}
	r, err := decodeCrashes(raw)
	if err == nil {
		g.cfg.Blame.Merge(now, r)
	}
	return err
}
