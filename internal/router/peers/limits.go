package peers

import (
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/limit"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// A change of a limit goes to changeFanout others at once, and again every
	// limitAgainInterval until it is limitNews old; all limits go to one other every
	// limitRepeatInterval.
	limitInterval       = 60 * time.Millisecond
	limitAgainInterval  = 300 * time.Millisecond
	limitNews           = time.Second
	limitRepeatInterval = time.Second
	limitRepeatPeers    = 1

	maxLimitWords = 12 // in a message

	// limitBytesPerSecond bounds what a process spends on words about limits; limitBurst is
	// how much it may save up. It spends as much less on load reports.
	limitBytesPerSecond = 500
	limitBurst          = 2 << 10
)

// Limits is what this process knows about the limits that endpoints name.
type Limits interface {
	// Any reports whether Tick may have anything to do.
	Any() bool
	// Words returns up to n of the limits, the newest changes first, and a number that is
	// higher whenever there was a change.
	Words(now time.Time, n int) (words []limit.Word, state uint64)
	// Merge takes over a peer's words.
	Merge(now time.Time, words []limit.Word) (news bool)
	// Tick returns the questions for permits and the answers that are due.
	Tick(now time.Time, demand map[sched.Key]sched.Demand, view limit.View) []limit.Packet
	// Receive processes a message of a peer.
	Receive(now time.Time, from string, m limit.Message)
}

// limitRounds holds when this process sent words about limits.
type limitRounds struct {
	state     uint64 // of Limits, as of the last round to changeFanout others
	changedAt time.Time
	lastRound time.Time
	allowance allowance
}

// limitWord is a limit.Word.
type limitWord struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Endpoint  uint32
	StartedMs int64
	Named     bool
	Rate      float32
	AgeMs     int64
}

func encodeWord(w limit.Word) limitWord {
	return limitWord{Endpoint: uint32(w.Endpoint), StartedMs: w.StartedMs, Named: w.Named, Rate: float32(w.Rate), AgeMs: w.Age.Milliseconds()}
}

// word decodes a word. A rate that no endpoint can name counts as 0.
func (w limitWord) word() limit.Word {
	rate := float64(w.Rate)
	if !(rate >= 0) {
		rate = 0
	}
	return limit.Word{
		Statement: limit.Statement{Named: w.Named, Rate: rate}, Endpoint: sched.Key(w.Endpoint), StartedMs: w.StartedMs,
		Age: time.Duration(min(max(0, w.AgeMs), maxAgeMs)) * time.Millisecond,
	}
}

// maxAgeMs is the greatest age in a message. Greater ones come from a damaged message.
const maxAgeMs = int64(24 * time.Hour / time.Millisecond)

// limitPackets returns the words about limits that are due now.
func (g *Group) limitPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Limits == nil {
		return nil, nil
	}
	words, state := g.cfg.Limits.Words(now, maxAnswerWords)
	g.mu.Lock()
	defer g.mu.Unlock()
	var packets []Packet
	add := func(to []string, m message, from *allowance) error {
		raw, err := msgpack.Marshal(m)
		spend(len(raw), len(to), from, &g.loadAllowance)
		packets = append(packets, Packet{To: to, Raw: raw})
		return err
	}
	encoded := lo.Map(words, func(w limit.Word, _ int) limitWord { return encodeWord(w) })
	if r := &g.limits; len(words) > 0 && r.allowance.refill(now) && now.Sub(r.lastRound) >= limitInterval {
		if to := g.limitRecipients(now, state); len(to) > 0 {
			if err := add(to, message{Limits: encoded[:min(maxLimitWords, len(encoded))]}, &r.allowance); err != nil {
				return nil, err
			}
		}
	}
	answer := message{Limits: encoded, LimitsAnswer: true}
	if !g.limitAskIsOver(now) {
		answer = message{LimitsUnknown: g.cfg.Address}
	}
	if to := g.nextLimitAskers(now, len(answer.Limits) > 0); len(to) > 0 {
		return packets, add(to, answer, &g.limitAsks.allowance)
	}
	return packets, nil
}

// limitRecipients returns who gets the words of the round that is due now, if any.
func (g *Group) limitRecipients(now time.Time, state uint64) []string {
	r := &g.limits
	isNews := state > r.state
	if isNews {
		r.changedAt = now
	}
	since := now.Sub(r.lastRound)
	fanout := changeFanout
	switch {
	case isNews, now.Sub(r.changedAt) < limitNews && since >= limitAgainInterval:
	case since >= limitRepeatInterval:
		fanout = limitRepeatPeers
	default:
		return nil
	}
	to := g.nextAndRandomPeers(now, fanout)
	if len(to) > 0 {
		r.state, r.lastRound = state, now
	}
	return to
}

// receiveLimits processes a peer's words about limits. isAnswer says that they are all that
// it knows.
func (g *Group) receiveLimits(now time.Time, words []limitWord, isAnswer bool) {
	if g.cfg.Limits == nil {
		return
	}
	if isAnswer {
		defer g.receiveLimitsAnswer(now)
	}
	if g.cfg.Limits.Merge(now, lo.Map(words, func(w limitWord, _ int) limit.Word { return w.word() })) {
		g.cfg.Scheduler.PlaceWaiting(now)
	}
}
