package peers

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/fault"
)

const (
	// faultInterval is the time between two messages about failures; an endpoint's first
	// failure is told after firstFaultInterval already.
	faultInterval      = time.Second
	firstFaultInterval = 100 * time.Millisecond
	maxFaultWords      = 48 // in a message
	faultOverhead      = 5  // bytes of a message without its words

	otherFaultPeers = 2 // recipients of a message that are no partners

	// faultBytesPerSecond bounds what a process spends on failures; faultBurst is how much it
	// may save up. With more than maxSmallFleet recipients, it spends as much less on reports
	// of load.
	faultBytesPerSecond = 400
	faultBurst          = 1 << 10
)

// Faults is what this process knows about failures of endpoints.
type Faults interface {
	// Any reports whether any endpoint has failed a call lately.
	Any() bool
	// TakeNews returns up to n words that peers were not told yet, with urgent those about
	// first failures only.
	TakeNews(now time.Time, urgent bool, n int) []fault.Word
	// Merge adds a peer's words.
	Merge(now time.Time, words []fault.Word)
}

// faultRounds holds when this process told the failures that it observed.
type faultRounds struct {
	lastRound time.Time // of words about all endpoints that fail
	lastFirst time.Time // of words about first failures, or all
	allowance allowance
}

// faultPackets returns the message about failures that is due now, if any. It goes to the
// partners and to a few others at random: each adds it to what it has observed itself, and
// nobody passes it on, so that nothing counts twice.
func (g *Group) faultPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Faults == nil || !g.cfg.Faults.Any() {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.faults
	if !r.allowance.refill(now) || now.Sub(r.lastFirst) < firstFaultInterval {
		return nil, nil
	}
	r.lastFirst = now
	urgent := now.Sub(r.lastRound) < faultInterval
	to := g.partnersAndOthers(now, otherFaultPeers)
	if len(to) == 0 {
		return nil, nil
	}
	affordable := (int(r.allowance.left)/len(to) - faultOverhead) / fault.WordBytes
	words := g.cfg.Faults.TakeNews(now, urgent, min(maxFaultWords, max(1, affordable)))
	if !urgent {
		r.lastRound = now
	}
	if len(words) == 0 {
		return nil, nil
	}
	raw, err := msgpack.Marshal(message{Faults: fault.Encode(words)})
	spend(len(raw), len(to), &r.allowance)
	if len(to) > maxSmallFleet {
		spend(len(raw), len(to), &g.loadAllowance)
	}
	return []Packet{{To: to, Raw: raw}}, err
}

// partnersAndOthers returns the live partners and up to n other live processes at random.
func (g *Group) partnersAndOthers(now time.Time, n int) (to []string) {
	for _, address := range g.randomPeers(now, len(g.peers)) {
		switch {
		case g.peers[address].partner:
			to = append(to, address)
		case n > 0:
			to, n = append(to, address), n-1
		}
	}
	return to
}

// receiveFaults processes a peer's message about failures.
func (g *Group) receiveFaults(now time.Time, raw []byte) error {
	if g.cfg.Faults == nil {
		return nil
	}
	words, err := fault.Decode(raw)
	if err == nil {
		g.cfg.Faults.Merge(now, words)
	}
	return err
}
