// Package engsim simulates an inference engine with continuous batching, one
// decoding step at a time and without a clock. The stand-in (fake) engine server
// runs steps in real time; the policy experiments run them in virtual time. Memory
// and lengths are measured in tokens.
//
// A new engine is cold: its steps take longer and it runs fewer sequences without
// overload. It warms up with the tokens that it processes.
package engsim

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the fixed properties of one engine.
type Config struct {
	MaxBatch       int           // maximum sequences decoded in one step
	CacheTokens    int           // KV cache, in tokens
	PrefixTokens   int           // limit on the prompt prefixes that the prefix cache holds
	PrefillTokens  int           // maximum prompt tokens processed in one step
	StepBase       time.Duration // base duration of a step
	StepPerSeq     time.Duration // added for each decoding sequence
	StepPerPrefill time.Duration // added for each prompt token
	ColdFactor     float64       // extra step time when fully cold, as a multiple of the warm time
	ColdBatch      int           // sequences that a fully cold engine can run without overload
	WarmTokens     int           // tokens to process until a cold engine is fully warm
}

// Default returns an engine that decodes about 64 sequences at 20 ms a step.
func Default() Config {
	return Config{
		MaxBatch:       64,
		CacheTokens:    64_000,
		PrefixTokens:   8_000,
		PrefillTokens:  2_048,
		StepBase:       8 * time.Millisecond,
		StepPerSeq:     150 * time.Microsecond,
		StepPerPrefill: 10 * time.Microsecond,
		ColdFactor:     3,
		ColdBatch:      4,
		WarmTokens:     1_000,
	}
}

// Seq is one generation. The engine sets the fields below Length.
type Seq struct {
	ID           string
	Prompt       int    // tokens
	Prefix       uint64 // hash of the shared prompt prefix, 0 for none
	PrefixTokens int    // tokens of the prompt covered by Prefix
	Priority     int    // lower values are scheduled first and preempted last
	Length       int    // tokens to produce

	Produced  int
	Cached    int // prompt tokens found in the prefix cache
	Preempted int
	prefilled int
	arrival   uint64
	running   bool
}

// Event reports what one step did to one sequence.
type Event struct {
	Seq  *Seq
	Kind EventKind
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of Event.
const (
	EventToken EventKind = iota
	EventFinished
	EventPreempted
)

// Engine is the state of one simulated engine. It is not safe for concurrent use.
type Engine struct {
	cfg           Config
	waiting       []*Seq
	running       []*Seq
	cacheUsed     int
	warmth        float64           // 0 when cold to 1 when warm
	arrivals      uint64            // sequences added so far
	prefixLastUse map[uint64]uint64 // prefix hash to the arrival number of its latest sequence
	prefixTokens  map[uint64]int    // prefix hash to its length

	Preemptions     int
	OverloadedSteps int // steps with more running sequences than SafeBatch returns
	Tokens          int // decoded
}

// New returns a cold engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, prefixLastUse: map[uint64]uint64{}, prefixTokens: map[uint64]int{}}
}

// SetCold makes the engine cold, as a reset of its caches or clock speed does.
func (e *Engine) SetCold() { e.warmth = 0 }

// SetWarm makes the engine fully warm at once.
func (e *Engine) SetWarm() { e.warmth = 1 }

// Warmth returns the warmth, from 0 (cold) to 1 (fully warm).
func (e *Engine) Warmth() float64 { return e.warmth }

// Running returns the number of sequences in the batch.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of sequences queued inside the engine.
func (e *Engine) Waiting() int { return len(e.waiting) }

// CacheUsed returns the KV cache tokens held by running sequences.
func (e *Engine) CacheUsed() int { return e.cacheUsed }

// Config returns the engine's properties.
func (e *Engine) Config() Config { return e.cfg }

// SafeBatch returns how many sequences the engine can run without overload at its
// present warmth.
func (e *Engine) SafeBatch() int {
	span := float64(e.cfg.MaxBatch - e.cfg.ColdBatch)
	return e.cfg.ColdBatch + int(span*e.warmth)
}

// Add queues a sequence.
func (e *Engine) Add(s *Seq) {
	e.arrivals++
	s.arrival = e.arrivals
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, byPriority)
}

// Remove removes a sequence and frees its memory. It reports whether the
// engine held the sequence.
func (e *Engine) Remove(s *Seq) bool {
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	i := slices.Index(e.running, s)
	if i < 0 {
		return false
	}
	e.running = slices.Delete(e.running, i, i+1)
	e.cacheUsed -= s.cacheTokens()
	s.running = false
	return true
}

// Step runs one batch step and returns its events and its simulated duration. An
// idle engine returns no events and a zero duration.
func (e *Engine) Step() ([]Event, time.Duration) {
	e.schedule()
	if len(e.running) == 0 {
		return nil, 0
	}
	if len(e.running) > e.SafeBatch() {
		e.OverloadedSteps++
	}
	prefilled := e.prefill()
	events, decoded := e.decode()
	e.Tokens += decoded
	work := float64(decoded) + float64(prefilled)/16 // a prompt token warms 1/16 as much as a decoded one
	e.warmth = min(1, e.warmth+work/float64(max(1, e.cfg.WarmTokens)))
	dur := e.cfg.StepBase + time.Duration(decoded)*e.cfg.StepPerSeq + time.Duration(prefilled)*e.cfg.StepPerPrefill
	return events, time.Duration(float64(dur) * (1 + e.cfg.ColdFactor*(1-e.warmth)))
}

// cacheTokens returns the KV cache tokens of a running sequence.
func (s *Seq) cacheTokens() int { return s.prefilled + s.Produced }

func byPriority(a, b *Seq) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// schedule moves waiting sequences into the batch while their prompts fit. A
// sequence that alone exceeds the cache is scheduled when the batch is empty.
func (e *Engine) schedule() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		if e.cacheUsed+s.Prompt+s.Produced+1 > e.cfg.CacheTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		s.running = true
		s.Cached = e.lookupPrefix(s)
		s.prefilled = s.Cached
		e.cacheUsed += s.cacheTokens()
		e.running = append(e.running, s)
	}
}

// lookupPrefix returns the prompt tokens found in the prefix cache and records the
// use of the prefix.
func (e *Engine) lookupPrefix(s *Seq) int {
	if s.Prefix == 0 {
		return 0
	}
	hit := 0
	if _, ok := e.prefixLastUse[s.Prefix]; ok {
		hit = s.PrefixTokens
	}
	e.prefixLastUse[s.Prefix] = s.arrival
	e.prefixTokens[s.Prefix] = s.PrefixTokens
	e.evictPrefixes()
	return min(hit, s.Prompt)
}

// evictPrefixes evicts the least recently used prefixes beyond the limit.
func (e *Engine) evictPrefixes() {
	total := 0
	for _, n := range e.prefixTokens {
		total += n
	}
	for total > e.cfg.PrefixTokens && len(e.prefixLastUse) > 1 {
		var oldest uint64
		first := true
		for p, lastUse := range e.prefixLastUse {
			if first || lastUse < e.prefixLastUse[oldest] {
				oldest, first = p, false
			}
		}
		total -= e.prefixTokens[oldest]
		delete(e.prefixLastUse, oldest)
		delete(e.prefixTokens, oldest)
	}
}

// HasPrefix reports whether the prefix cache holds the prefix.
func (e *Engine) HasPrefix(p uint64) bool {
	_, ok := e.prefixLastUse[p]
	return ok
}

// prefill processes prompt tokens within the limit of a step and returns their
// number.
func (e *Engine) prefill() int {
	budget := e.cfg.PrefillTokens
	for _, s := range e.running {
		n := min(budget, s.Prompt-s.prefilled)
		s.prefilled += n
		e.cacheUsed += n
		budget -= n
	}
	return e.cfg.PrefillTokens - budget
}

// decode produces one token for each sequence whose prompt is processed, preempting
// others when the cache is full. It returns the events and the number of tokens.
func (e *Engine) decode() ([]Event, int) {
	var events []Event
	decoded := 0
	for _, s := range slices.Clone(e.running) {
		if !s.running || s.prefilled < s.Prompt {
			continue
		}
		for e.cacheUsed+1 > e.cfg.CacheTokens {
			victim := e.preempt()
			events = append(events, Event{Seq: victim, Kind: EventPreempted})
			if victim == s {
				break
			}
		}
		if !s.running {
			continue
		}
		s.Produced++
		e.cacheUsed++
		decoded++
		events = append(events, Event{Seq: s, Kind: EventToken})
		if s.Produced >= s.Length {
			e.Remove(s)
			events = append(events, Event{Seq: s, Kind: EventFinished})
		}
	}
	return events, decoded
}

// preempt moves a running sequence back to the queue: of those with the lowest
// priority, the one that arrived last. Its prompt must be prefilled again.
func (e *Engine) preempt() *Seq {
	victim := slices.MaxFunc(e.running, byPriority)
	e.Remove(victim)
	victim.prefilled = 0
	victim.Preempted++
	e.Preemptions++
	e.waiting = append(e.waiting, victim)
	slices.SortStableFunc(e.waiting, byPriority)
	return victim
}
