package peers

import (
	"cmp"
	"slices"
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

	maxLimitWords    = 12 // in a message
	maxNewcomerWords = 40 // in one to a process that has just started

	// limitBytesPerSecond bounds what a process spends on words about limits; limitBurst is
	// how much it may save up. It spends as much less on load reports.
	limitBytesPerSecond = 500
	limitBurst          = 2 << 10

	// permitBytesPerSecond bounds what a process spends on permits; permitBurst is how much
	// it may save up. What is due meanwhile shares a message later.
	permitBytesPerSecond = 4000
	permitBurst          = 8 << 10

	// regionSilence is how long after the last message from any process of a region none of
	// its processes counts as live.
	regionSilence     = 3 * time.Second
	limitViewInterval = 250 * time.Millisecond
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
	state         uint64 // of Limits, as of the last round to changeFanout others
	changedAt     time.Time
	lastRound     time.Time
	allowance     float64 // bytes that may be spent now
	lastAllowance time.Time

	permitAllowance float64 // bytes that may be spent on permits now
	lastPermits     time.Time
	sentTick        bool // the last Tick had messages
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

// permits is a limit.Message.
type permits struct {
	_msgpack struct{} `msgpack:",as_array"`
	Sender   uint32   // its senderKey
	Asks     []permitAsk
	Answers  []permitAnswer
	Address  string // of the sender, in a fleet so large that the receiver may not know it
}

// gateName is a limit.Gate.
type gateName struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Endpoint    uint32
	Part, Parts uint8
}

func encodeGate(g limit.Gate) gateName {
	return gateName{Endpoint: uint32(g.Endpoint), Part: g.Part, Parts: g.Parts}
}

func (g gateName) gate() limit.Gate {
	return limit.Gate{Endpoint: sched.Key(g.Endpoint), Part: g.Part, Parts: g.Parts}
}

// permitAsk is a limit.Ask.
type permitAsk struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Gate       gateName
	Calls      uint16
	Priority   int16
	PatienceMs int64
}

// permitAnswer is a limit.Answer.
type permitAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Gate     gateName
	Granted  uint16
	Queued   uint16
	AgainMs  int64
}

// Greater numbers come from a damaged message.
const (
	maxPermits  = 1 << 10
	maxPriority = 1 << 14
)

func encodePermits(address string, isLarge bool, m limit.Message) *permits {
	p := &permits{
		Sender: senderKey(address),
		Asks: lo.Map(m.Asks, func(a limit.Ask, _ int) permitAsk {
			return permitAsk{Gate: encodeGate(a.Gate), Calls: uint16(min(maxPermits, a.Calls)), Priority: int16(min(maxPriority, max(-maxPriority, a.Priority))), PatienceMs: a.Patience.Milliseconds()}
		}),
		Answers: lo.Map(m.Answers, func(a limit.Answer, _ int) permitAnswer {
			return permitAnswer{Gate: encodeGate(a.Gate), Granted: uint16(min(maxPermits, a.Granted)), Queued: uint16(min(maxPermits, a.Queued)), AgainMs: a.Again.Milliseconds()}
		}),
	}
	if isLarge && len(m.Asks) > 0 {
		p.Address = address
	}
	return p
}

func (p *permits) message() limit.Message {
	ms := func(n int64) time.Duration { return time.Duration(min(max(0, n), maxAgeMs)) * time.Millisecond }
	count := func(n uint16) int { return int(min(maxPermits, n)) }
	return limit.Message{
		Asks: lo.Map(p.Asks, func(a permitAsk, _ int) limit.Ask {
			return limit.Ask{Gate: a.Gate.gate(), Calls: count(a.Calls), Priority: int(a.Priority), Patience: ms(a.PatienceMs)}
		}),
		Answers: lo.Map(p.Answers, func(a permitAnswer, _ int) limit.Answer {
			return limit.Answer{Gate: a.Gate.gate(), Granted: count(a.Granted), Queued: count(a.Queued), Again: ms(a.AgainMs)}
		}),
	}
}

// permitPackets returns the questions for permits and the answers that are due now. They
// are few and small, as only calls to endpoints that name a limit need permits.
func (g *Group) permitPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Limits == nil || !g.cfg.Limits.Any() || !g.maySendPermits(now) {
		return nil, nil
	}
	view := g.limitView(now)
	due := g.cfg.Limits.Tick(now, g.cfg.Scheduler.Demand(now), view)
	if len(due) > 0 || g.limits.sentTick {
		g.cfg.Scheduler.PlaceWaiting(now) // a home grants permits to itself too
	}
	g.limits.sentTick = len(due) > 0
	var packets []Packet
	spent := 0
	for _, p := range due {
		raw, err := msgpack.Marshal(message{Permits: encodePermits(g.cfg.Address, view.Known > maxSmallFleet, p.Message)})
		if err != nil {
			return nil, err
		}
		packets = append(packets, Packet{To: []string{p.To}, Raw: raw})
		spent += len(raw)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.permitAllowance -= float64(spent)
	return packets, nil
}

func (g *Group) maySendPermits(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.limits
	r.permitAllowance = min(permitBurst, r.permitAllowance+permitBytesPerSecond*now.Sub(r.lastPermits).Seconds())
	r.lastPermits = now
	return r.permitAllowance > 0
}

// limitView returns the processes among which the homes of limited endpoints are chosen.
func (g *Group) limitView(now time.Time) limit.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.limitViewAt) < limitViewInterval {
		return g.lastLimitView
	}
	g.limitViewAt = now
	heard := map[string]time.Time{g.cfg.Region: now} // by region
	for _, p := range g.peers {
		if heard[p.region].Before(p.lastMessage) {
			heard[p.region] = p.lastMessage
		}
	}
	v := limit.View{Live: []string{g.cfg.Address}, Known: 1}
	for address, p := range g.peers {
		if !p.aliveWithin(now, memberTTL) {
			continue
		}
		v.Known++
		if now.Sub(heard[p.region]) < regionSilence && !(p.partner && !p.lastMessage.IsZero() && now.Sub(p.lastMessage) >= silentPartner) {
			v.Live = append(v.Live, address)
		}
	}
	slices.Sort(v.Live)
	g.lastLimitView = v
	return v
}

// limitPackets returns the words about limits that are due now.
func (g *Group) limitPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Limits == nil {
		return nil, nil
	}
	words, state := g.cfg.Limits.Words(now, maxNewcomerWords)
	if len(words) == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.limits
	r.allowance = min(limitBurst, r.allowance+limitBytesPerSecond*now.Sub(r.lastAllowance).Seconds())
	r.lastAllowance = now
	if r.allowance <= 0 || now.Sub(r.lastRound) < limitInterval {
		return nil, nil
	}
	var packets []Packet
	add := func(to []string, words []limit.Word) error {
		if len(to) == 0 {
			return nil
		}
		raw, err := msgpack.Marshal(message{Limits: lo.Map(words, func(w limit.Word, _ int) limitWord { return encodeWord(w) })})
		spent := float64(len(raw) * len(to))
		r.allowance -= spent
		g.allowance -= spent
		packets = append(packets, Packet{To: to, Raw: raw})
		return err
	}
	if err := add(g.limitRecipients(now, state), words[:min(maxLimitWords, len(words))]); err != nil {
		return nil, err
	}
	if address, found := g.newcomer(now, func(p *peer) *time.Time { return &p.newToLimits }); found {
		if err := add([]string{address}, words); err != nil {
			return nil, err
		}
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

// receiveLimits processes a peer's words about limits.
func (g *Group) receiveLimits(now time.Time, words []limitWord) {
	if g.cfg.Limits == nil {
		return
	}
	if g.cfg.Limits.Merge(now, lo.Map(words, func(w limitWord, _ int) limit.Word { return w.word() })) {
		g.cfg.Scheduler.PlaceWaiting(now)
	}
}

// receivePermits processes a peer's questions for permits and its answers.
func (g *Group) receivePermits(now time.Time, p *permits) {
	g.mu.Lock()
	sender := cmp.Or(p.Address, g.senders[p.Sender])
	g.mu.Unlock()
	if g.cfg.Limits == nil || sender == "" {
		return
	}
	g.cfg.Limits.Receive(now, sender, p.message())
	if len(p.Answers) > 0 {
		g.cfg.Scheduler.PlaceWaiting(now)
	}
}
