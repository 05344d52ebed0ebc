// Package book knows the endpoints of direct serving and what work is placed on
// each: this process's own and what peers report. It decides where a call goes,
// and which calls wait. It does no input or output.
package book

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

const (
	peerLoadAge  = 3 * time.Second // a silent peer's load counts for so long
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 8 * time.Second
	suspectShift = 4    // doublings up to suspectMost
	greyWeight   = 0.12 // of the newest outcome in the failure share
)

// Load is work placed on an endpoint.
type Load struct {
	Calls  int
	Tokens int // engine memory
	Unread int // tokens of prompts that are not yet read: what a new call waits for
	Moves  int // generations that are on their way to it
}

func (l Load) plus(o Load) Load {
	return Load{l.Calls + o.Calls, l.Tokens + o.Tokens, l.Unread + o.Unread, l.Moves + o.Moves}
}

func (l Load) minus(o Load) Load {
	return Load{l.Calls - o.Calls, l.Tokens - o.Tokens, l.Unread - o.Unread, l.Moves - o.Moves}
}

// Config is what a Book depends on.
type Config struct {
	DataCentre string
	Region     string
	Name       string       // of this process, as peers know it
	Entries    func() int   // processes that share allowances, at least 1
	Draw       func() int64 // randomness that breaks ties
	// Home reports whether this process is one of the few that share an endpoint
	// of its region and know of each other's work there. nil means yes.
	Home func(id string) bool
}

// Book is safe for concurrent use.
type Book struct {
	cfg       Config
	mu        sync.Mutex
	endpoints map[string]*entry
	evacuated map[string]bool // by data centre
	peers     map[string]peerLoad
	ids       []string        // of the region's endpoints, sorted; nil if they changed
	placed    map[string]Load // sum of the peers' loads by endpoint ID
	waiting   []*waiter       // in order of service
	arrivals  uint64
}

type entry struct {
	endpoint endpt.Endpoint
	mine     Load
	leaving  chan struct{} // closed once it gets no new work
	left     bool
	leftAt   uint64    // revision of the registry that says so
	lapsed   time.Time // missing from the registry: usable until then, zero if listed
	removed  bool
	sent     []time.Time // sends within coldWindow
	failures int         // in a row
	suspect  time.Time   // avoided until then
	grey     float64     // share of calls that failed
}

type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// New returns an empty book.
func New(cfg Config) *Book {
	if cfg.Draw == nil {
		cfg.Draw = rand.Int64
	}
	return &Book{cfg: cfg, endpoints: map[string]*entry{}, evacuated: map[string]bool{}, peers: map[string]peerLoad{}, placed: map[string]Load{}}
}

// Need is what a call asks of its endpoint.
type Need struct {
	Service       string
	Regions       []string // empty for everywhere
	Tokens        int      // engine memory that the call will hold
	Prompt        int      // tokens to read before the first one is made
	Memory        int      // of one engine of the service, 0 for a plain service
	ColdPerSecond float64  // calls that a cold endpoint bears, 0 for no limit
	Exclude       []string // endpoint IDs
	Purpose       Purpose
	From          endpt.Endpoint // of a move: the engine that the generation leaves
}

// Purpose is what an endpoint is asked for.
type Purpose uint8

// The purposes.
const (
	PurposeRun  Purpose = iota // run a call from its beginning
	PurposeMove                // take over a running generation with its memory
)

// Lease is work placed on one endpoint until Release.
type Lease struct {
	Endpoint endpt.Endpoint
	book     *Book
	entry    *entry
	load     Load
	once     sync.Once
}

// Outcome is what a lease taught about its endpoint.
type Outcome uint8

// The outcomes of a lease.
const (
	OutcomeNone     Outcome = iota // nothing was learned
	OutcomeGood                    // the endpoint answered
	OutcomeFailed                  // it answered with a failure or broke off
	OutcomeUnusable                // it could not be reached
	OutcomeGone                    // another endpoint has its address
)

// Leaving is closed once the endpoint gets no new work.
func (l *Lease) Leaving() <-chan struct{} { return l.entry.leaving }

// Release takes the work off the endpoint. Only the first call counts.
func (l *Lease) Release(now time.Time, outcome Outcome) {
	l.once.Do(func() { l.book.release(now, l, outcome) })
}

// Started records that the endpoint has read the call's prompt, or has the
// generation's memory.
func (l *Lease) Started() {
	l.book.mu.Lock()
	defer l.book.mu.Unlock()
	l.entry.mine.Unread -= l.load.Unread
	l.entry.mine.Moves -= l.load.Moves
	l.load.Unread, l.load.Moves = 0, 0
}

func (b *Book) release(now time.Time, l *Lease, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := l.entry
	e.mine = e.mine.minus(l.load)
	e.learn(now, outcome)
	if e.removed && e.mine == (Load{}) && b.endpoints[l.Endpoint.ID] == e {
		delete(b.endpoints, l.Endpoint.ID)
		b.ids = nil
	}
	b.serveWaiting(now)
}

func (e *entry) learn(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeNone:
	case OutcomeGood:
		e.failures, e.suspect = 0, time.Time{}
		e.grey -= greyWeight * e.grey
	case OutcomeFailed:
		e.grey += greyWeight * (1 - e.grey)
	case OutcomeGone:
		e.leave(e.endpoint.Revision)
	case OutcomeUnusable:
		e.failures++
		e.suspect = now.Add(min(suspectMost, suspectFirst<<min(suspectShift, e.failures-1)))
	}
}

// SetPeerLoad replaces what one peer has placed. The book keeps the map.
func (b *Book) SetPeerLoad(now time.Time, peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(peer)
	b.peers[peer] = peerLoad{at: now, loads: loads}
	for id, l := range loads {
		b.placed[id] = b.placed[id].plus(l)
	}
	b.serveWaiting(now)
}

// forgetSilent drops the loads of peers that were silent for too long. Sums are
// kept because a choice looks at all endpoints, and a large fleet has many peers.
func (b *Book) forgetSilent(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.at) > peerLoadAge {
			b.forget(name)
		}
	}
}

func (b *Book) forget(peer string) {
	for id, l := range b.peers[peer].loads {
		b.placed[id] = b.placed[id].minus(l)
		if b.placed[id] == (Load{}) {
			delete(b.placed, id)
		}
	}
	delete(b.peers, peer)
}

// Ahead sums what the processes whose names sort before this one's have placed
// on an endpoint. Processes that must take turns without talking use it.
func (b *Book) Ahead(now time.Time, id string) (sum Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if name < b.cfg.Name && now.Sub(p.at) <= peerLoadAge {
			sum = sum.plus(p.loads[id])
		}
	}
	return sum
}

// Loads returns what this process has placed, by endpoint.
func (b *Book) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]Load{}
	for id, e := range b.endpoints {
		if e.mine != (Load{}) {
			loads[id] = e.mine
		}
	}
	return loads
}

// Usable counts the endpoints of the need that may get new work at all.
func (b *Book) Usable(now time.Time, need Need) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, e := range b.endpoints {
		if b.usable(now, e, need) {
			count++
		}
	}
	return count
}
