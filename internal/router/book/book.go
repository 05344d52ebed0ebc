// Package book tracks the endpoints that calls are sent to directly and the load
// on each: the calls placed by this process and the loads reported by its peers.
// It chooses an endpoint for each call and queues calls that no endpoint has room
// for. It does no I/O.
//
// An engine is an endpoint that generates tokens and keeps each generation's KV
// cache in its memory, which is counted in tokens. Endpoints of a plain service
// have no such memory. A move transfers a running generation and its memory to
// another engine. A cold endpoint is slow until it has warmed up.
package book

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

const (
	peerLoadTTL         = 3 * time.Second        // a peer's load is ignored this long after its last report
	minSuspectTime      = 500 * time.Millisecond // an unreachable endpoint is avoided this long, doubled for each further failure
	maxSuspectTime      = 8 * time.Second
	maxSuspectDoublings = 4    // from minSuspectTime to maxSuspectTime
	failureRateWeight   = 0.12 // weight of the newest outcome in the moving average
)

// Load is the work placed on an endpoint.
type Load struct {
	Calls         int
	Tokens        int // engine memory in use, in tokens
	PrefillTokens int // prompt tokens that are not processed yet; a new call waits for them
	IncomingMoves int // running generations that are being moved to it
}

func (l Load) plus(o Load) Load {
	return Load{l.Calls + o.Calls, l.Tokens + o.Tokens, l.PrefillTokens + o.PrefillTokens, l.IncomingMoves + o.IncomingMoves}
}

func (l Load) minus(o Load) Load {
	return Load{l.Calls - o.Calls, l.Tokens - o.Tokens, l.PrefillTokens - o.PrefillTokens, l.IncomingMoves - o.IncomingMoves}
}

// Config holds the settings and dependencies of a Book.
type Config struct {
	DataCentre string
	Region     string
	Name       string       // name of this process among its peers
	Entries    func() int   // number of processes that share the cold limits, at least 1
	Draw       func() int64 // random numbers for tie-breaking, rand.Int64 if nil
	// Home reports whether this process is a home of the endpoint: one of the few
	// processes of its region that exchange their loads on it. nil means always.
	Home func(id string) bool
}

// Book holds the known endpoints, their loads and the waiting calls. It is safe
// for concurrent use.
type Book struct {
	cfg        Config
	mu         sync.Mutex
	endpoints  map[string]*endpointState
	evacuated  map[string]bool     // data centres that are out of service
	peers      map[string]peerLoad // by peer name
	regionIDs  []string            // sorted IDs of the own region's endpoints, nil if they must be computed again
	peerTotals map[string]Load     // sum of the peers' loads by endpoint ID, kept because every placement needs it
	waiting    []*waiter           // in the order of placement, as last sorted
	arrivals   uint64              // number of calls queued so far
}

type endpointState struct {
	endpoint        endpt.Endpoint
	local           Load          // placed by this process
	leaving         chan struct{} // closed when isLeaving is set
	isLeaving       bool
	leavingRevision uint64    // registry revision that reported it as leaving
	graceUntil      time.Time // not listed by the registry but usable until then; zero if listed
	removed         bool
	recentSends     []time.Time // send times; those older than coldWindow are removed by withinColdLimit
	failures        int         // consecutive failures to reach it
	suspectUntil    time.Time   // used until then only if there is no alternative
	failureRate     float64     // moving average of failed calls, 0 to 1
}

// peerLoad is a peer's last load report.
type peerLoad struct {
	at    time.Time
	loads map[string]Load // by endpoint ID
}

// New returns an empty book.
func New(cfg Config) *Book {
	if cfg.Draw == nil {
		cfg.Draw = rand.Int64
	}
	return &Book{cfg: cfg, endpoints: map[string]*endpointState{}, evacuated: map[string]bool{}, peers: map[string]peerLoad{}, peerTotals: map[string]Load{}}
}

// Need describes what a call requires of its endpoint.
type Need struct {
	Service       string
	Regions       []string // allowed regions, all if empty
	Tokens        int      // estimate of the engine memory that the call will use, in tokens
	Prompt        int      // prompt tokens to process before the first output token
	Memory        int      // memory of one engine of the service in tokens, 0 for a plain service
	ColdPerSecond float64  // calls per second that all processes together may send to a cold endpoint, 0 for no limit
	Exclude       []string // endpoint IDs that must not be used
	Purpose       Purpose
	From          endpt.Endpoint // for PurposeMove: the engine that currently runs the generation
}

// Purpose is what the endpoint will be used for.
type Purpose uint8

// The values of Purpose.
const (
	PurposeRun  Purpose = iota // run a call from its beginning
	PurposeMove                // take over a running generation and its engine memory
)

// Lease is one call placed on an endpoint. The call counts towards the endpoint's
// load until Release.
type Lease struct {
	Endpoint endpt.Endpoint
	book     *Book
	state    *endpointState
	load     Load
	once     sync.Once
}

// Outcome is the result of a lease, used to rate its endpoint.
type Outcome uint8

// The values of Outcome.
const (
	OutcomeNone     Outcome = iota // says nothing about the endpoint
	OutcomeGood                    // the endpoint answered
	OutcomeFailed                  // the endpoint answered with an error or broke off the answer
	OutcomeUnusable                // the endpoint could not be reached
	OutcomeGone                    // another endpoint answers at its address
)

// Leaving returns a channel that is closed when the endpoint is leaving: no new
// work is placed on it.
func (l *Lease) Leaving() <-chan struct{} { return l.state.leaving }

// Release subtracts the call from the endpoint's load and records the outcome.
// Further calls have no effect.
func (l *Lease) Release(now time.Time, outcome Outcome) {
	l.once.Do(func() { l.book.release(now, l, outcome) })
}

// Started records that the endpoint has processed the call's prompt or, for a
// move, has received the generation's memory.
func (l *Lease) Started() {
	l.book.mu.Lock()
	defer l.book.mu.Unlock()
	l.state.local.PrefillTokens -= l.load.PrefillTokens
	l.state.local.IncomingMoves -= l.load.IncomingMoves
	l.load.PrefillTokens, l.load.IncomingMoves = 0, 0
}

func (b *Book) release(now time.Time, l *Lease, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := l.state
	e.local = e.local.minus(l.load)
	e.recordOutcome(now, outcome)
	if e.removed && e.local == (Load{}) && b.endpoints[l.Endpoint.ID] == e {
		delete(b.endpoints, l.Endpoint.ID)
		b.regionIDs = nil
	}
	b.placeWaiting(now)
}

func (e *endpointState) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeNone:
	case OutcomeGood:
		e.failures, e.suspectUntil = 0, time.Time{}
		e.failureRate -= failureRateWeight * e.failureRate
	case OutcomeFailed:
		e.failureRate += failureRateWeight * (1 - e.failureRate)
	case OutcomeGone:
		e.markLeaving(e.endpoint.Revision)
	case OutcomeUnusable:
		e.failures++
		e.suspectUntil = now.Add(min(maxSuspectTime, minSuspectTime<<min(maxSuspectDoublings, e.failures-1)))
	}
}

// SetPeerLoad replaces the loads that one peer has placed, by endpoint ID. The
// book keeps the map: the caller must not change it afterwards.
func (b *Book) SetPeerLoad(now time.Time, peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropPeer(peer)
	b.peers[peer] = peerLoad{at: now, loads: loads}
	for id, l := range loads {
		b.peerTotals[id] = b.peerTotals[id].plus(l)
	}
	b.placeWaiting(now)
}

// dropStalePeers drops the loads of peers that have not reported for longer than
// peerLoadTTL. The sums in peerTotals are updated on each change, since a
// placement looks at all endpoints and a large fleet has many peers.
func (b *Book) dropStalePeers(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.at) > peerLoadTTL {
			b.dropPeer(name)
		}
	}
}

func (b *Book) dropPeer(peer string) {
	for id, l := range b.peers[peer].loads {
		b.peerTotals[id] = b.peerTotals[id].minus(l)
		if b.peerTotals[id] == (Load{}) {
			delete(b.peerTotals, id)
		}
	}
	delete(b.peers, peer)
}

// Ahead returns the sum of the loads placed on an endpoint by peers whose names
// sort before this process's name. Processes use it to take turns on an endpoint
// without coordination.
func (b *Book) Ahead(now time.Time, id string) (sum Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if name < b.cfg.Name && now.Sub(p.at) <= peerLoadTTL {
			sum = sum.plus(p.loads[id])
		}
	}
	return sum
}

// Loads returns the loads placed by this process, by endpoint ID.
func (b *Book) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]Load{}
	for id, e := range b.endpoints {
		if e.local != (Load{}) {
			loads[id] = e.local
		}
	}
	return loads
}

// Usable returns the number of endpoints that may receive a call with this need,
// whether or not they have room now.
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
