package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/limit"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// permitBytesPerSecond bounds what a process spends on permits; permitBurst is how much
	// it may save up. What is due meanwhile shares a message later.
	permitBytesPerSecond = 4000
	permitBurst          = 8 << 10

	// regionSilence is how long after the last message from any process of a region none of
	// its processes counts as live.
	regionSilence      = 3 * time.Second
	permitViewInterval = 250 * time.Millisecond
	// homeTTL is how long a process without a sign of life may still be a home. Processes of
	// a large fleet hear of each other seldom, and two that know different ones would choose
	// two homes. One that has died is found by its missing answers.
	homeTTL = 3 * time.Minute
)

// permitRounds holds what this process keeps between two rounds of messages about permits.
type permitRounds struct {
	allowance allowance
	view      limit.View
	viewAt    time.Time
	forgotten map[string]forgottenPeer // peers that were removed for lack of a sign of life, by address
}

type forgottenPeer struct {
	region    string
	lastAlive time.Time
}

// forget keeps what is needed of a peer that is removed.
func (r *permitRounds) forget(now time.Time, address string, p *peer) {
	maps.DeleteFunc(r.forgotten, func(_ string, f forgottenPeer) bool { return now.Sub(f.lastAlive) >= homeTTL })
	if !p.lastAlive.IsZero() {
		r.forgotten[address] = forgottenPeer{p.region, p.lastAlive}
	}
}

// permits is a limit.Message.
type permits struct {
	_msgpack struct{} `msgpack:",as_array"`
	Sender   uint32   // its senderKey
	Asks     []permitAsk
	Answers  []permitAnswer
	Address  string // of the sender, in a fleet so large that the receiver may not know it
	Region   string // of the sender, if Address is set
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
	NotHome  bool
}

// Greater numbers come from a damaged message.
const (
	maxPermits  = 1 << 10
	maxPriority = 1 << 14
)

func encodePermits(address, region string, isLarge bool, m limit.Message) *permits {
	p := &permits{
		Sender: senderKey(address),
		Asks: lo.Map(m.Asks, func(a limit.Ask, _ int) permitAsk {
			return permitAsk{Gate: encodeGate(a.Gate), Calls: uint16(min(maxPermits, a.Calls)), Priority: int16(min(maxPriority, max(-maxPriority, a.Priority))), PatienceMs: a.Patience.Milliseconds()}
		}),
		Answers: lo.Map(m.Answers, func(a limit.Answer, _ int) permitAnswer {
			return permitAnswer{Gate: encodeGate(a.Gate), Granted: uint16(min(maxPermits, a.Granted)), Queued: uint16(min(maxPermits, a.Queued)), AgainMs: a.Again.Milliseconds(), NotHome: a.NotHome}
		}),
	}
	if isLarge && len(m.Asks) > 0 {
		p.Address, p.Region = address, region
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
			return limit.Answer{Gate: a.Gate.gate(), Granted: count(a.Granted), Queued: count(a.Queued), Again: ms(a.AgainMs), NotHome: a.NotHome}
		}),
	}
}

// permitPackets returns the questions for permits and the answers that are due now. They
// are few and small, as only calls to endpoints that name a limit need permits.
func (g *Group) permitPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Limits == nil || !g.cfg.Limits.Any() || !g.maySendPermits(now) {
		return nil, nil
	}
	view := g.permitView(now)
	due := g.cfg.Limits.Tick(now, g.cfg.Scheduler.Demand(now), view)
	g.cfg.Scheduler.PlaceWaiting(now) // a home answers its own questions without a message
	var packets []Packet
	spent := 0
	for _, p := range due {
		raw, err := msgpack.Marshal(message{Permits: encodePermits(g.cfg.Address, g.cfg.Region, view.Known > maxSmallFleet, p.Message)})
		if err != nil {
			return nil, err
		}
		packets = append(packets, Packet{To: []string{p.To}, Raw: raw})
		spent += len(raw)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	spend(spent, 1, &g.permits.allowance)
	return packets, nil
}

func (g *Group) maySendPermits(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.permits.allowance.refill(now)
}

// permitView returns the processes among which the homes of limited endpoints are chosen.
func (g *Group) permitView(now time.Time) limit.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.permits.viewAt) < permitViewInterval {
		return g.permits.view
	}
	g.permits.viewAt = now
	heard := map[string]time.Time{g.cfg.Region: now} // by region
	for _, p := range g.peers {
		if heard[p.region].Before(p.lastMessage) {
			heard[p.region] = p.lastMessage
		}
	}
	v := limit.View{Live: []string{g.cfg.Address}, Known: 1}
	add := func(address, region string, silent bool) {
		v.Known++
		if !silent && now.Sub(heard[region]) < regionSilence {
			v.Live = append(v.Live, address)
		}
	}
	for address, p := range g.peers {
		if p.aliveWithin(now, homeTTL) {
			add(address, p.region, p.partner && !p.lastMessage.IsZero() && now.Sub(p.lastMessage) >= silentPartner)
		}
	}
	for address, p := range g.permits.forgotten {
		if g.peers[address] == nil && now.Sub(p.lastAlive) < homeTTL {
			add(address, p.region, false)
		}
	}
	slices.Sort(v.Live)
	g.permits.view = v
	return v
}

// receivePermits processes a peer's questions for permits and its answers.
func (g *Group) receivePermits(now time.Time, p *permits) {
	sender := g.recordPermits(now, p)
	if g.cfg.Limits == nil || sender == "" {
		return
	}
	g.cfg.Limits.Receive(now, sender, p.message())
	if len(p.Answers) > 0 {
		g.cfg.Scheduler.PlaceWaiting(now)
	}
}

// recordPermits records the sender of a message as alive and returns its address, empty if
// it is not known.
func (g *Group) recordPermits(now time.Time, p *permits) (address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	address, region := p.Address, p.Region
	if address == "" {
		address = g.senders[p.Sender]
	}
	for candidate := range g.permits.forgotten {
		if address == "" && senderKey(candidate) == p.Sender {
			address = candidate
		}
	}
	if address == "" || address == g.cfg.Address {
		return ""
	}
	if known := g.peers[address]; region == "" && known != nil {
		region = known.region
	}
	region = cmp.Or(region, g.permits.forgotten[address].region)
	g.heard(now, address, g.recordAlive(address, region, now))
	return address
}
