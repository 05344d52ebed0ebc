package peers

import (
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/pace"
)

const (
	// paceInterval is the least time between two messages. It gathers the figures of some
	// responses, and is short against the time for which figures are averaged.
	paceInterval = 500 * time.Millisecond
	maxPaceWords = 24 // in a message
	paceOverhead = 6  // bytes of a message without its words

	otherPacePeers = 2 // recipients of a message that are no partners of the own region

	// paceBytesPerSecond bounds what a process spends on paces; paceBurst is how much it may
	// save up. With more than maxSmallFleet partners, whose reports of load come close to
	// their bound, it spends as much less on those.
	paceBytesPerSecond = 500
	paceBurst          = 1 << 10
)

// Pace is what this process knows about the pace of endpoints.
type Pace interface {
	// TakeNews returns up to n words that peers were not told yet.
	TakeNews(now time.Time, n int) []pace.Word
	// Merge adds a peer's words.
	Merge(now time.Time, words []pace.Word)
}

// paceRounds holds when this process told the paces that it heard.
type paceRounds struct {
	lastRound time.Time
	allowance allowance
}

// pacePackets returns the message about paces that is due now, if any. It goes to the
// partners of the own region: each adds it to what it has heard itself, so nobody passes it
// on. What a lost message held is made up for by the next figures. A few other processes get it
// too: many senders together tell each of them about the endpoints that it seldom calls.
func (g *Group) pacePackets(now time.Time) ([]Packet, error) {
	if g.cfg.Pace == nil {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.paces
	if !r.allowance.refill(now) || now.Sub(r.lastRound) < paceInterval {
		return nil, nil
	}
	r.lastRound = now
	var to, others []string
	for _, address := range g.livePeers(now) {
		if p := g.peers[address]; p.partner && p.region == g.cfg.Region {
			to = append(to, address)
		} else {
			others = append(others, address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	to = append(to, others[:min(otherPacePeers, len(others))]...)
	if len(to) == 0 {
		return nil, nil
	}
	affordable := (int(r.allowance.left)/len(to) - paceOverhead) / pace.WordBytes
	words := g.cfg.Pace.TakeNews(now, max(0, min(maxPaceWords, affordable)))
	if len(words) == 0 {
		return nil, nil
	}
	raw, err := msgpack.Marshal(message{Paces: pace.Encode(words)})
	spend(len(raw), len(to), &r.allowance)
	if len(to) > maxSmallFleet {
		spend(len(raw), len(to), &g.loadAllowance)
	}
	return []Packet{{To: to, Raw: raw}}, err
}

// receivePaces processes a peer's message about paces.
func (g *Group) receivePaces(now time.Time, raw []byte) error {
	if g.cfg.Pace == nil {
		return nil
	}
	words, err := pace.Decode(raw)
	if err == nil {
		g.cfg.Pace.Merge(now, words)
	}
	return err
}
