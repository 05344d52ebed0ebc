// Package limit keeps to the rates that endpoints in need name: how many requests a
// second they accept from all processes together. It does no I/O.
//
// Each limited endpoint has a home among the processes, chosen by rendezvous hashing, or
// several if it accepts many requests. The home hands out permits at the endpoint's rate
// (gate.go); a process that wants to send a call there asks it for one first (need.go).
// What endpoints say spreads between the processes (word.go).
package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// Config holds the dependencies of a Ledger.
type Config struct {
	Address string // of this process, IP:port, as its peers know it
	Metrics *metric.Set
	Log     *zap.Logger
}

// Ledger holds the limits that this process knows, its permits, and those that it hands
// out. It implements sched.Limits and is safe for concurrent use.
type Ledger struct {
	cfg     Config
	limited atomic.Int64 // number of endpoints that name a limit

	mu    sync.Mutex
	words map[sched.Key]*word
	state uint64 // counts changes that peers need to know
	homes homes
	needs map[sched.Key]*need
	gates map[Gate]*gate // of the endpoints whose home this process is
	// probes are the processes that are asked next whether they respond, by address, with a
	// gate of each.
	probes map[string]Gate
	// replies go to processes that asked for permits that this one does not hand out, or only
	// whether it responds, by address.
	replies map[string]Answer
	pending atomic.Bool // probes or replies are not empty
}

// New returns a ledger without limits.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg: cfg, words: map[sched.Key]*word{}, homes: newHomes(cfg.Address),
		needs: map[sched.Key]*need{}, gates: map[Gate]*gate{}, probes: map[string]Gate{}, replies: map[string]Answer{},
	}
}

// Message is what one process tells another about permits.
type Message struct {
	Asks    []Ask
	Answers []Answer
}

// Ask asks a gate's home for permits. It replaces the sender's earlier one.
type Ask struct {
	Gate     Gate
	Calls    int // permits wanted; 0 only asks whether the home responds
	Priority int // of the most urgent call; lower is more urgent
	Patience time.Duration
}

// Answer is a home's answer to an Ask: at once, and again when it has permits. The zero
// Answer only says that the process responds.
type Answer struct {
	Gate    Gate
	Granted int           // permits
	Queued  int           // permits that are to follow
	Again   time.Duration // no new Ask before, if there are no permits for the other calls
	// NotHome says that the sender hands out no permits for the gate, so that the home has not
	// refused any.
	NotHome bool
}

// Packet is a message for one process.
type Packet struct {
	To      string // address, IP:port
	Message Message
}

// Any reports whether any endpoint names a limit, or another process asked about one.
func (l *Ledger) Any() bool { return l.limited.Load() > 0 || l.pending.Load() }

// Tick returns the messages that are due now. demand is what this process wants to send,
// view which processes there are.
func (l *Ledger) Tick(now time.Time, demand map[sched.Key]sched.Demand, view View) []Packet {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.homes.update(now, view)
	l.expire(now)
	out := outbox{}
	l.ask(now, demand, out)
	l.announce(now)
	l.probe(now, out)
	l.reply(out)
	l.pending.Store(false)
	l.grant(now, out)
	return out.packets()
}

// Receive processes a message of another process.
func (l *Ledger) Receive(now time.Time, from string, m Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.Answers) > 0 {
		l.homes.answered(from)
	}
	for _, a := range m.Asks {
		l.receiveAsk(now, from, a)
	}
	for _, a := range m.Answers {
		l.receiveAnswer(now, a)
	}
	l.pending.Store(len(l.probes)+len(l.replies) > 0)
}

// Limit returns the limit that an endpoint names. named is false if it names none.
func (l *Ledger) Limit(now time.Time, e endpt.Endpoint) (state sched.Limit, named bool) {
	if l.limited.Load() == 0 {
		return sched.Limit{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := sched.KeyOf(e.ID)
	w, known := l.words[key]
	if !known || !w.Named || w.startedMs != e.StartedMs {
		return sched.Limit{}, false
	}
	state.Rate = max(minRate, w.Rate)
	if n := l.needs[key]; n != nil {
		state.Permits, state.Queued, state.Wait = n.held(now), n.queued(now), max(0, n.notBefore.Sub(now))
		state.Refused, state.RefusedPriority = n.refused, n.refusedPriority
	}
	return state, true
}

// Take uses one of the permits for an endpoint, if it names a limit.
func (l *Ledger) Take(now time.Time, e endpt.Endpoint) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.needs[sched.KeyOf(e.ID)]; n != nil && n.held(now) > 0 {
		n.permits = n.permits[1:]
		l.cfg.Metrics.Permits.WithLabelValues("used").Inc()
	}
}

// expire drops what is no longer needed.
func (l *Ledger) expire(now time.Time) {
	for key, w := range l.words {
		if now.Sub(w.at) > w.ttl() {
			l.drop(key)
		}
	}
	for key, n := range l.needs {
		if now.Sub(n.wantedAt) > idleTTL {
			delete(l.needs, key)
		}
	}
	for key, g := range l.gates {
		if now.Sub(g.usedAt) > idleTTL || !l.homes.isOwn(key) || !l.isOpen(key) {
			delete(l.gates, key)
		}
	}
}

// idleTTL is how long the state of an endpoint that nobody sends to is kept.
const idleTTL = 10 * time.Second

// outbox collects messages by address.
type outbox map[string]*Message

func (o outbox) to(address string) *Message {
	if o[address] == nil {
		o[address] = &Message{}
	}
	return o[address]
}

func (o outbox) packets() []Packet {
	packets := make([]Packet, 0, len(o))
	for address, m := range o {
		packets = append(packets, Packet{To: address, Message: *m})
	}
	return packets
}
