// Package sched tracks the endpoints and the load on each: the calls placed by this
// gateway process and the loads reported by its peers, the other gateway processes.
// It chooses an endpoint for each call and queues calls that no endpoint has room
// for. It does no I/O.
//
// An engine is an endpoint that generates tokens. It keeps a KV cache for each
// generation; memory here always means an engine's memory for KV caches, counted in
// tokens. Endpoints of a plain service have none. A move transfers a running
// generation and its KV cache to another engine. A cold endpoint is slow until it has
// warmed up.
package sched

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/avail"
	"github.com/mimosalock/mimosalock/internal/router/fault"
	"github.com/mimosalock/mimosalock/internal/router/order"
	"github.com/mimosalock/mimosalock/internal/router/pace"
)

const (
	peerLoadTTL         = 3 * time.Second        // a peer's load is ignored this long after its last report
	minSuspectTime      = 500 * time.Millisecond // an unreachable endpoint is avoided this long, doubled for each further failure
	maxSuspectTime      = 8 * time.Second
	maxSuspectDoublings = 4 // from minSuspectTime to maxSuspectTime
)

// Load is the work placed on an endpoint.
type Load struct {
	Calls         int
	MemoryTokens  int // KV cache in use, in tokens
	PrefillTokens int // prompt tokens that are not processed yet; a new call waits for them
	IncomingMoves int // running generations that are being moved to it
}

func (l Load) plus(o Load) Load {
	return Load{l.Calls + o.Calls, l.MemoryTokens + o.MemoryTokens, l.PrefillTokens + o.PrefillTokens, l.IncomingMoves + o.IncomingMoves}
}

func (l Load) minus(o Load) Load {
	return Load{l.Calls - o.Calls, l.MemoryTokens - o.MemoryTokens, l.PrefillTokens - o.PrefillTokens, l.IncomingMoves - o.IncomingMoves}
}

// Key stands for an endpoint in load reports, which are sent often. It is a hash of the
// endpoint's ID. With 1,600 endpoints, one pair in 3,000 fleets has the same key; both
// then count as loaded.
type Key uint32

// KeyOf returns the key of the endpoint with an ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Config holds the settings and dependencies of a Scheduler.
type Config struct {
	DataCentre string
	Region     string
	Name       string       // name of this process among its peers
	Processes  func() int   // number of processes that share the cold limits, at least 1
	Random     func() int64 // random numbers for tie-breaking, rand.Int64 if nil
	// KnowsLoad reports whether the loads of an endpoint's other users are reported to
	// this process. nil means always.
	KnowsLoad func(id string) bool
	// KnowsAllLoads reports whether all processes report their loads to this one, those of
	// other regions included. nil means always.
	KnowsAllLoads func() bool
	Limits        Limits      // nil: no endpoint names a limit
	Metrics       *metric.Set // nil: nothing is counted
	// A cold endpoint tolerates ColdOverage times the cold limit and ColdTolerance calls in a
	// second. 0 if unknown.
	ColdOverage, ColdTolerance float64
	Pace                       *pace.Ledger  // nil: work takes as long on all endpoints
	Faults                     *fault.Ledger // nil: one that no peer adds to
}

// Scheduler holds the known endpoints, their loads and the waiting calls. It is safe
// for concurrent use.
type Scheduler struct {
	cfg        Config
	mu         sync.Mutex
	endpoints  map[string]*endpointState
	evacuated  map[string]bool     // data centres that are out of service
	peers      map[string]peerLoad // by peer name
	peerTotals map[Key]Load        // sum of the loads of peers and regions, kept because every placement needs it
	regions    map[RegionCell]peerLoad
	summarised map[Key]int           // number of valid reports in regions that list an endpoint
	waiting    []*waiter             // in the order of placement, as last sorted
	arrivals   uint64                // number of calls queued so far
	words      *avail.Ledger         // what endpoints have said of themselves
	holdUntil  time.Time             // of the newest epoch of the registry, see BeginEpoch
	peerQueues map[string]peerQueues // waiting calls of peers, by peer name
	changedAt  map[Key]time.Time     // when the load of an endpoint last changed by a placement or a peer
	taken      []takenRoom           // placements that peers' reports may show to be out of turn
	freedAt    map[Key]time.Time     // when a call of this process last left an endpoint
	leavers    leavers               // engines that left, and the room kept for moves because of them
	book       *order.Book           // the calls that came lately
	reserve    reserve
	standings  map[string]standingAt // of workspaces, by service
	// followedSince is when this process learned of its first endpoint.
	followedSince time.Time
	pauseNeeds    map[string]pauseNeed // by service
	// replacedSoftware holds by service the versions of endpoints that started anew under
	// their IDs, and until when these versions count as serving.
	replacedSoftware map[string]map[string]time.Time
}

type endpointState struct {
	endpoint        endpt.Endpoint
	key             Key
	local           Load          // placed by this process
	leaving         chan struct{} // closed when isLeaving is set
	isLeaving       bool
	leavingSince    time.Time
	leavingRevision uint64          // registry revision that reported it as leaving
	heldUntil       time.Time       // leaving until then though the registry may list it as ready, see BeginEpoch
	graceUntil      time.Time       // not listed by the registry but usable until then; zero if listed
	removed         bool            // the registry does not list it
	removedAt       time.Time       // when it ceased to, if removed
	departedAt      time.Time       // when it ceased to, zero if it was listed again since or its entry expired during a registry outage
	earlierStart    *endpt.Endpoint // listed since the registry came back from an older copy, nil if none is
	recentSends     []time.Time     // send times; those older than coldWindow are dropped with the next send
	failures        int             // consecutive failures to reach it
	suspectUntil    time.Time       // used until then only if there is no alternative
	missedAt        time.Time       // when a call would have been placed on it with a permit
	fullUntil       time.Time       // refused a copy for lack of room, see Lease.MarkFull
	departureSeen   bool            // isLeaving was taken note of, see refreshDepartures
	unseen          unseenCalls
}

func newState(ep endpt.Endpoint) *endpointState {
	return &endpointState{endpoint: ep, key: KeyOf(ep.ID), leaving: make(chan struct{})}
}

func incarnationOf(ep endpt.Endpoint) avail.Incarnation {
	return avail.Incarnation{ID: ep.ID, StartedMs: ep.StartedMs}
}

// peerLoad is a peer's last load report.
type peerLoad struct {
	at    time.Time
	loads map[Key]Load
}

// New returns a Scheduler without endpoints.
func New(cfg Config) *Scheduler {
	if cfg.Random == nil {
		cfg.Random = rand.Int64
	}
	if cfg.Faults == nil {
		cfg.Faults = fault.New(fault.Config{Metrics: cfg.Metrics})
	}
	return &Scheduler{cfg: cfg, endpoints: map[string]*endpointState{}, evacuated: map[string]bool{}, peers: map[string]peerLoad{}, peerTotals: map[Key]Load{}, regions: map[RegionCell]peerLoad{}, summarised: map[Key]int{}, peerQueues: map[string]peerQueues{}, changedAt: map[Key]time.Time{}, freedAt: map[Key]time.Time{}, book: order.New(), reserve: newReserve(), standings: map[string]standingAt{}, words: avail.New(), replacedSoftware: map[string]map[string]time.Time{}, pauseNeeds: map[string]pauseNeed{}}
}

// Request describes what a call requires of its endpoint.
type Request struct {
	Service               string
	Regions               []string // allowed regions, all if empty
	MemoryTokens          int      // estimate of the KV cache that the call will use, in tokens
	PromptTokens          int      // prompt tokens to process before the first output token
	EngineTokens          int      // KV cache capacity of one engine of the service in tokens, 0 for a plain service
	MaxColdCallsPerSecond float64  // calls per second that all processes together may send to a cold endpoint, 0 for no limit
	Exclude               []string // endpoint IDs that must not be used
	Software              string   // version of the endpoint's software, any if empty
	MaxUnreadTokens       int      // that the engine may have to read with the call's own prompt, 0 for no limit
	Short                 bool     // runs for a short time, so that it may use room kept for moves
	Movable               bool     // engines of the service can move running generations
	Repeatable            bool     // may be sent again if the endpoint fails it
	Purpose               Purpose
	Source                endpt.Endpoint // for PurposeMove: the engine that currently runs the generation
	Pauses                Pauses
	Work                  order.Work // what its place in the order depends on
	StartBy               time.Time  // latest start of a new call that meets the objective, zero if others need not go first

	waiter *waiter // the queued call that it is for, nil if none
}

// Purpose is what the endpoint will be used for.
type Purpose uint8

// The values of Purpose.
const (
	PurposeRun  Purpose = iota // run a call from its beginning
	PurposeMove                // take over a running generation and its KV cache
)

// Lease is one call placed on an endpoint. The call counts towards the endpoint's
// load until Release.
type Lease struct {
	Endpoint  endpt.Endpoint
	scheduler *Scheduler
	state     *endpointState
	request   Request
	load      Load
	unread    int       // see Read
	placedAt  time.Time // also its send time in recentSends
	released  bool
	once      sync.Once
}

// Outcome is the result of a lease, used to rate its endpoint.
type Outcome uint8

// The values of Outcome.
const (
	OutcomeNone        Outcome = iota // says nothing about the endpoint
	OutcomeSuccess                    // the endpoint responded
	OutcomeFailed                     // the endpoint responded with an error or broke off the response
	OutcomeUnreachable                // the endpoint could not be reached
	OutcomeReplaced                   // another endpoint has its address now
)

// Leaving returns a channel that is closed when the endpoint is leaving: no new
// work is placed on it. If the endpoint returns, there is another channel.
func (l *Lease) Leaving() <-chan struct{} {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	return l.state.leaving
}

// Release subtracts the call from the endpoint's load and records the outcome.
// Further calls have no effect.
func (l *Lease) Release(now time.Time, outcome Outcome) {
	l.once.Do(func() { l.scheduler.release(now, l, outcome) })
}

// PrefillDone records that the endpoint has processed the call's prompt or, for a
// move, has received the generation's KV cache.
func (l *Lease) PrefillDone() {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	l.state.local.PrefillTokens -= l.load.PrefillTokens
	l.state.local.IncomingMoves -= l.load.IncomingMoves
	l.load.PrefillTokens, l.load.IncomingMoves = 0, 0
}

func (s *Scheduler) release(now time.Time, l *Lease, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := l.state
	e.local = e.local.minus(l.load)
	l.released = true
	s.freedAt[e.key] = now
	e.recordOutcome(now, outcome)
	s.recordFault(now, l.Endpoint, outcome)
	s.placeWaiting(now)
}

func (e *endpointState) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeNone, OutcomeFailed:
	case OutcomeSuccess:
		e.failures, e.suspectUntil = 0, time.Time{}
	case OutcomeReplaced:
		e.markLeaving(now, e.endpoint.Revision)
	case OutcomeUnreachable:
		e.failures++
		e.suspectUntil = now.Add(min(maxSuspectTime, minSuspectTime<<min(maxSuspectDoublings, e.failures-1)))
	}
}

// SetPeerLoad replaces the loads that one peer has placed. The scheduler keeps the map:
// the caller must not change it afterwards.
func (s *Scheduler) SetPeerLoad(now time.Time, peer string, loads map[Key]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.peers[peer].loads
	s.dropPeer(peer)
	s.peers[peer] = peerLoad{at: now, loads: loads}
	for key, l := range loads {
		s.addToTotal(key, l)
		s.recordChange(now, key, earlier[key], l)
	}
	for key, l := range earlier {
		s.recordChange(now, key, l, loads[key])
	}
	s.placeWaiting(now)
}

// UpdatePeerLoad applies changes of the loads that one peer has placed, and confirms
// the others. An endpoint without load has the zero Load.
func (s *Scheduler) UpdatePeerLoad(now time.Time, peer string, changes map[Key]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[peer]
	if p.loads == nil {
		p.loads = map[Key]Load{}
	}
	p.at = now
	s.peers[peer] = p
	for key, l := range changes {
		s.addToTotal(key, l.minus(p.loads[key]))
		s.recordChange(now, key, p.loads[key], l)
		p.loads[key] = l
		if l == (Load{}) {
			delete(p.loads, key)
		}
	}
	if len(changes) > 0 {
		s.placeWaiting(now)
	}
}

func (s *Scheduler) addToTotal(key Key, l Load) {
	total := s.peerTotals[key].plus(l)
	if total == (Load{}) {
		delete(s.peerTotals, key)
		return
	}
	s.peerTotals[key] = total
}

// dropStalePeers drops the loads of peers that have not reported for longer than
// peerLoadTTL. The sums in peerTotals are updated on each change, since a
// placement looks at all endpoints and a large fleet has many peers.
func (s *Scheduler) dropStalePeers(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.at) > peerLoadTTL {
			s.dropPeer(name)
		}
	}
	s.dropStaleRegions(now)
}

func (s *Scheduler) dropPeer(peer string) {
	for key, l := range s.peers[peer].loads {
		s.addToTotal(key, Load{}.minus(l))
	}
	delete(s.peers, peer)
}

// LoadOfEarlierPeers returns the sum of the loads placed on an endpoint by peers
// whose names sort before this process's name. Processes use it to take turns on an
// endpoint without coordination.
func (s *Scheduler) LoadOfEarlierPeers(now time.Time, id string) (sum Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		if name < s.cfg.Name && now.Sub(p.at) <= peerLoadTTL {
			sum = sum.plus(p.loads[KeyOf(id)])
		}
	}
	return sum
}

// Loads returns the loads placed by this process.
func (s *Scheduler) Loads() map[Key]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[Key]Load{}
	for _, e := range s.endpoints {
		if e.local != (Load{}) {
			loads[e.key] = loads[e.key].plus(e.local)
		}
	}
	return loads
}

// Usable returns the number of endpoints that may receive the call of a request,
// whether or not they have room now.
func (s *Scheduler) Usable(now time.Time, req Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, e := range s.endpoints {
		if s.usable(now, e, req) {
			count++
		}
	}
	return count
}
