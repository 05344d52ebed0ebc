package peers

import (
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

	maxCrashRepeatBytes = 400 // of a report to a process that has not just started
	// crashBytesPerSecond bounds what a process spends on crash reports; crashBurst is how
	// much it may save up. It spends as much less on load reports and on those to other regions.
	crashBytesPerSecond = 700
	crashBurst          = 1 << 10
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

// crashPackets returns the reports of crashes that are due now.
func (g *Group) crashPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Blame == nil {
		return nil, nil
	}
	report, state := g.cfg.Blame.Report(now) // before locking, as the registry's in gossipPackets
	if len(report.Crashes) == 0 && len(report.Answers) == 0 {
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
		packets = append(packets, Packet{To: []string{address}, Raw: blame.Encode(report, blame.MaxReportBytes)})
	}
	for i, p := range packets {
		raw, err := msgpack.Marshal(message{Crashes: p.Raw})
		if err != nil {
			return nil, err
		}
		packets[i].Raw = raw
		spend(len(raw), len(p.To), &s.allowance, &g.loadAllowance, &g.regions.allowance)
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
	return []Packet{{To: to, Raw: blame.Encode(report, maxCrashRepeatBytes)}}
}

// recentCrashes returns the part of a report that is recent, and the age of the youngest
// crash, at most crashNews.
func recentCrashes(r blame.Report) (recent blame.Report, youngest time.Duration) {
	recent.Answers, youngest = r.Answers, crashNews
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
	r, err := blame.Decode(raw)
	if err == nil {
		g.cfg.Blame.Merge(now, r)
	}
	return err
}
