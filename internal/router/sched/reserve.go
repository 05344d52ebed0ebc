package sched

import (
	"math"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/router/order"
)

const (
	// maxKeptShare limits the part of an engine's memory that a call leaves free for shorter
	// ones. Beyond it the fleet is too small for the shorter calls alone, and order decides.
	maxKeptShare = 0.25
	// maxKeptLeftShare limits it to a part of what the call itself leaves of the memory, so
	// that a large call finds an engine nearly as often as others.
	maxKeptLeftShare = 0.5
	// freeShare is the part of the places that must be taken before room is kept. Below it,
	// all calls find room.
	freeShare = 0.5
)

// keptTTL is how long the room that a call leaves is not determined anew. Waiting calls look
// for room with each message of a peer, up to some hundred times a second.
const keptTTL = 50 * time.Millisecond

// roomKept is the room that a call leaves free at engines.
type roomKept struct {
	at      time.Time
	scarce  map[string]bool // regions where half of the places are taken; elsewhere nothing is kept
	shorter int             // tokens for shorter calls, at each engine
	need    order.Need      // of the shorter calls
	larger  int             // tokens for larger calls, at the engines with keys up to lastKey
	lastKey Key
}

// keptKey is what the room that a call leaves depends on.
type keptKey struct {
	work   order.Work // without the workspace
	engine int        // memory of an engine in tokens
}

// reserve is what the scheduler remembers of the room that calls leave.
type reserve struct {
	kept   map[keptKey]roomKept
	states map[string]serviceState
	last   keptKey // what was looked at last, and found
	found  roomKept
}

func newReserve() reserve {
	return reserve{kept: map[keptKey]roomKept{}, states: map[string]serviceState{}}
}

const maxKept = 256 // calls of which it is remembered

// serviceState is what the usable endpoints of a service held at a time.
type serviceState struct {
	at      time.Time
	regions map[string]regionState
	keys    []Key // in order
}

// regionState is what the usable endpoints of a region hold together.
type regionState struct {
	endpoints, slots int
	known            int // endpoints whose load this process knows
	load             Load
	reported         Load // of the known endpoints, without what this process has placed there
}

// NoteCall records a call that looks for an endpoint. Rates of calls follow from it.
func (s *Scheduler) NoteCall(now time.Time, req Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Arrive(now, req.Work)
}

// IsShort reports whether a call is short compared with some other calls of its service.
func (s *Scheduler) IsShort(now time.Time, w order.Work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.IsShort(now, w)
}

// keptTokens returns how many tokens of an engine's memory a call leaves free for others.
func (s *Scheduler) keptTokens(now time.Time, e *endpointState, req Request) int {
	k := s.roomKept(now, req)
	switch {
	case !k.scarce[e.endpoint.Region]:
		return 0
	case e.key <= k.lastKey:
		return max(k.shorter, k.larger)
	}
	return k.shorter
}

// roomKept returns the room that a call leaves free. Moves leave none, as they would be lost.
func (s *Scheduler) roomKept(now time.Time, req Request) roomKept {
	if req.EngineTokens == 0 || req.Work.Run == 0 || req.Purpose == PurposeMove {
		return roomKept{}
	}
	r, key := &s.reserve, keptKey{req.Work, req.EngineTokens}
	key.work.Workspace = ""
	if r.last != key || now.Sub(r.found.at) >= keptTTL {
		found, known := r.kept[key]
		if !known || now.Sub(found.at) >= keptTTL {
			if len(r.kept) >= maxKept {
				clear(r.kept)
			}
			found = s.keepRoom(now, req)
			r.kept[key] = found
		}
		r.last, r.found = key, found
	}
	return r.found
}

func (s *Scheduler) keepRoom(now time.Time, req Request) roomKept {
	k := roomKept{at: now, need: s.book.Shorter(now, req.Work)}
	larger := s.book.Larger(now, req.Work)
	if k.need.Calls == 0 && larger.Tokens == 0 {
		return k
	}
	k.scarce = map[string]bool{}
	state := s.serviceState(now, req.Service)
	for region, r := range state.regions {
		k.scarce[region] = !r.hasPlenty(req.EngineTokens)
	}
	k.shorter = keptFor(k.need, s.cfg.Processes(), len(state.keys), req.MemoryTokens, req.EngineTokens)
	if count := int(math.Ceil(larger.Share * float64(len(state.keys)))); count > 0 {
		k.larger = max(0, min(larger.Tokens, int(runMemoryShare*float64(req.EngineTokens))-req.MemoryTokens))
		k.lastKey = state.keys[count-1] // all processes choose these engines without messages
	}
	return k
}

// keptFor returns the tokens to keep at each of a number of engines of a size for calls of
// which each of a number of processes gets as many as this one, beside a call of a number of
// tokens. Room for one of them is kept even if they are rare.
func keptFor(need order.Need, processes, engines, callTokens, engineTokens int) int {
	busy := need.Busy * float64(processes) / float64(max(1, engines))
	kept := max(float64(need.MeanTokens), min(busy, maxKeptShare*float64(engineTokens)))
	left := runMemoryShare*float64(engineTokens) - float64(callTokens)
	return int(max(0, min(kept, maxKeptLeftShare*left)))
}

// serviceState returns what the usable endpoints of a service hold.
func (s *Scheduler) serviceState(now time.Time, service string) serviceState {
	if state, known := s.reserve.states[service]; known && now.Sub(state.at) < keptTTL {
		return state
	}
	state := serviceState{at: now, regions: map[string]regionState{}}
	for _, e := range s.endpoints {
		if !s.usable(now, e, Request{Service: service}) {
			continue
		}
		r := state.regions[e.endpoint.Region]
		r.endpoints++
		r.slots += e.endpoint.Slots
		if !s.isBlind(e) {
			r.known++
			r.reported = r.reported.plus(s.peerTotals[e.key])
		}
		r.load = r.load.plus(s.load(e))
		state.regions[e.endpoint.Region] = r
		state.keys = append(state.keys, e.key)
	}
	slices.Sort(state.keys)
	s.reserve.states[service] = state
	return state
}

// hasPlenty reports whether less than freeShare of the places are taken.
func (r regionState) hasPlenty(engineTokens int) bool {
	return float64(r.load.Calls) < freeShare*float64(r.slots) && float64(r.load.MemoryTokens) < freeShare*float64(r.endpoints*engineTokens)
}
