// Package blame finds the call, or the part of calls' prompts, that makes endpoints crash. It
// keeps which calls an endpoint crashed under and which parts endpoints have answered since,
// its own and those that peers report, and names the parts that no call may be sent with. A
// call that is sent again and again is a part of its own. It does no I/O.
package blame

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxParts   = 64               // of a call; further ones are ignored
	maxRecords = 512              // crashes in a ledger
	maxCrashes = 64               // in a report
	maxAnswers = 256              // in a report
	expiry     = 10 * time.Minute // of a crash
	// reportAge is the age from which a crash is neither reported nor taken over, so that
	// processes cannot return an expired one to each other.
	reportAge = expiry - 10*time.Second
	// transitTime is longer than a report is under way. Ages leave out that time, so an
	// answer that is reported in turn seems newer each time.
	transitTime = time.Second
	// newsAge is how long peers are told of a crash that shares no open part with another,
	// and of an answer to a part of no open crash. Most calls that are under way at a crash
	// are never seen again.
	newsAge = 5 * time.Second
	// turnTime is how long reports begin with the same one of more blocks than fit in a report.
	turnTime = 100 * time.Millisecond
)

// Part is the hash of a prompt part's ID, or of a whole call. Calls whose prompts begin alike
// share parts, and repetitions of a call share the call.
type Part uint64

// KeyOf returns the Part of the ID that a caller gave it.
func KeyOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// Crash is an engine that broke off a response after its head and before its first
// event.
type Crash struct {
	Engine uint32        // hash of the engine's ID and start, so that each start counts once
	Parts  []Part        // of the call, without the part that is the call's or its session's own
	Age    time.Duration // time since
	Ran    time.Duration // from the send of the call until then; 0 if unknown
}

// Answer is the newest response that an engine gave to a call with a part.
type Answer struct {
	Part Part
	Age  time.Duration // time since
}

// Report is what a process tells its peers.
type Report struct {
	Crashes []Crash  // at most 64, those that blocks rest on first; of many blocks, others each time
	Answers []Answer // at most 256, only of parts that occur in crashes of the ledger; recent ones if in none of Crashes
}

// Ledger holds the crashes and the answers. It is safe for concurrent use.
type Ledger struct {
	blocks atomic.Pointer[blocks] // nil if nothing is blocked

	mu      sync.Mutex
	records []*record // at most maxRecords
	answers answers
	expires time.Time // when the oldest record does; zero without records
	outline *outline  // of reports; nil if it has to be made again
	state   uint64
	changed chan struct{}
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{answers: newAnswers(), changed: make(chan struct{})}
}

// RecordCrash records that an engine crashed under a call, and how long after its send. The
// start is in milliseconds since the Unix epoch.
func (l *Ledger) RecordCrash(now time.Time, ran time.Duration, engineID string, startedMs int64, parts []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.add(engineKey(engineID, startedMs), now, max(time.Millisecond, ran.Truncate(time.Millisecond)), parts) {
		l.update(now)
	}
}

func engineKey(id string, startedMs int64) uint32 {
	return uint32(xxhash.Sum64(binary.AppendVarint([]byte(id), startedMs)))
}

// RecordAnswer records that an engine has answered a call.
func (l *Ledger) RecordAnswer(now time.Time, parts []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNews := false
	for _, p := range parts[:min(len(parts), maxParts)] {
		isNews = l.clears(p, now) || isNews
		l.answers.put(p, now)
	}
	if isNews {
		l.update(now)
	}
}

// Blocked reports whether a call with these parts must not be sent, and the parts of it
// that engines crash under, in ascending order.
func (l *Ledger) Blocked(now time.Time, parts []Part) (culprits []Part, blocked bool) {
	b := l.blocks.Load()
	if b == nil {
		return nil, false
	}
	if !now.Before(b.until) {
		l.mu.Lock()
		l.expire(now)
		b = l.blocks.Load()
		l.mu.Unlock()
	}
	return b.match(parts)
}

// Changed returns a channel that is closed when more parts are blocked than now.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Blocks returns the number of part sets that no call may hold.
func (l *Ledger) Blocks() int {
	if b := l.blocks.Load(); b != nil {
		return len(b.rules)
	}
	return 0
}

// Report returns what peers need to know, and a number that is higher whenever they need
// to know more than before.
func (l *Ledger) Report(now time.Time) (r Report, state uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if l.outline == nil {
		l.outline = l.newOutline()
	}
	for rec := range l.outline.crashes(int(now.UnixNano() / int64(turnTime))) {
		if age := rec.age(now); len(r.Crashes) < maxCrashes && age < reportAge && (rec.isShared || age < newsAge) {
			r.Crashes = append(r.Crashes, Crash{Engine: rec.engine, Parts: rec.parts, Age: age, Ran: rec.ran})
		}
	}
	inCrashes := r.crashParts()
	r.Answers = make([]Answer, 0, len(l.outline.answers))
	for _, p := range l.outline.answers {
		if age := max(0, now.Sub(l.answers.newest(p))); inCrashes[p] || age < newsAge {
			r.Answers = append(r.Answers, Answer{Part: p, Age: age})
		}
	}
	return r, l.state
}

// crashParts returns the parts that occur in crashes of the report.
func (r Report) crashParts() map[Part]bool {
	parts := map[Part]bool{}
	for _, c := range r.Crashes {
		for _, p := range c.Parts {
			parts[p] = true
		}
	}
	return parts
}

// Merge takes over what a peer reports. Entries that are too old are ignored, and those
// from the future count as new.
func (l *Ledger) Merge(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNews := false
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashes)] {
		if c.Age < reportAge {
			isNews = l.add(c.Engine, now.Add(-max(0, c.Age)), c.Ran, c.Parts) || isNews
		}
	}
	for _, a := range r.Answers[:min(len(r.Answers), maxAnswers)] {
		if a.Age >= expiry {
			continue
		}
		at := now.Add(-max(0, a.Age))
		clears := l.clears(a.Part, at)
		if clears || at.After(l.answers.newest(a.Part).Add(transitTime)) {
			l.answers.put(a.Part, at)
		}
		isNews = isNews || clears
	}
	if isNews {
		l.update(now)
	}
}
