// Package ledger records which attempts and idempotency keys an agent has
// started, and which it must never start. A key counts as started when an attempt
// at a call with it has started. The record of what must never start is a
// tombstone. The package does no I/O, and the time is passed in.
package ledger

import (
	"cmp"
	"time"

	"github.com/mimosalock/mimosalock/internal/ops/invar"
)

// Key is an idempotency key within its workspace.
type Key struct {
	Workspace string
	Text      string
}

// Fate is what the ledger knows of an attempt or key.
type Fate uint8

// The fates.
const (
	FateNotSeen   Fate = iota // no record
	FateForbidden             // tombstone: never started and never will
	FateStarted               // started, perhaps finished
)

// Verdict is the result of Begin.
type Verdict uint8

// The verdicts.
const (
	VerdictStart           Verdict = iota // may start, and is recorded as started
	VerdictForbidden                      // must never start: revoked, undone, or its key claimed by another agent
	VerdictRepeatedAttempt                // the same attempt was started before
	VerdictRepeatedKey                    // another attempt with the key and the same request was started before
	VerdictConflict                       // the key was used before with a different request
)

// Ledger holds the records of attempts and keys. It is not safe for concurrent
// use.
type Ledger struct {
	attempts  map[string]attemptRecord
	keys      map[Key]keyRecord
	lastSweep time.Time
}

type attemptRecord struct {
	fate    Fate
	runOf   string // the attempt whose run it has got, if not its own
	expires time.Time
}

type keyRecord struct {
	fate        Fate
	attempt     string
	fingerprint uint64
	expires     time.Time
}

const sweepInterval = time.Second

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{attempts: map[string]attemptRecord{}, keys: map[Key]keyRecord{}}
}

// Begin records that an attempt starts, if it may. A zero key means that the call
// has none. The record is kept for at least the time keep. For VerdictStart,
// VerdictRepeatedAttempt and VerdictRepeatedKey, Begin also returns the attempt
// that was started.
func (l *Ledger) Begin(now time.Time, attempt string, key Key, fingerprint uint64, keep time.Duration) (Verdict, string) {
	l.sweep(now)
	if r, ok := l.attempts[attempt]; ok {
		if r.fate == FateForbidden {
			return VerdictForbidden, ""
		}
		return VerdictRepeatedAttempt, l.RunOf(attempt)
	}
	if key != (Key{}) {
		if r, ok := l.keys[key]; ok {
			return keyVerdict(r, fingerprint)
		}
		l.keys[key] = keyRecord{fate: FateStarted, attempt: attempt, fingerprint: fingerprint, expires: now.Add(keep)}
	}
	l.attempts[attempt] = attemptRecord{fate: FateStarted, expires: now.Add(keep)}
	return VerdictStart, attempt
}

// Join records that an attempt has got the run of another one with its key.
func (l *Ledger) Join(now time.Time, attempt, runOf string, keep time.Duration) {
	l.attempts[attempt] = attemptRecord{fate: FateStarted, runOf: runOf, expires: now.Add(keep)}
}

// RunOf returns the attempt whose run an attempt has got: mostly its own.
func (l *Ledger) RunOf(attempt string) string { return cmp.Or(l.attempts[attempt].runOf, attempt) }

func keyVerdict(r keyRecord, fingerprint uint64) (Verdict, string) {
	switch {
	case r.fate == FateForbidden:
		return VerdictForbidden, ""
	case r.fingerprint != fingerprint:
		return VerdictConflict, ""
	default:
		return VerdictRepeatedKey, r.attempt
	}
}

// Undo reverts a Begin whose call certainly never reached the endpoint. The
// attempt gets a tombstone. The key can be used again by another attempt.
func (l *Ledger) Undo(now time.Time, attempt string, key Key, keep time.Duration) {
	l.attempts[attempt] = attemptRecord{fate: FateForbidden, expires: now.Add(keep)}
	if r, ok := l.keys[key]; ok && r.attempt == attempt {
		delete(l.keys, key)
	}
}

// Revoke returns the fate of an attempt. An attempt without a record gets a
// tombstone first.
func (l *Ledger) Revoke(now time.Time, attempt string, keep time.Duration) Fate {
	l.sweep(now)
	if r, ok := l.attempts[attempt]; ok {
		return r.fate
	}
	l.attempts[attempt] = attemptRecord{fate: FateForbidden, expires: now.Add(keep)}
	return FateForbidden
}

// Claim reports whether a key was never started here. Such a key gets a
// tombstone.
func (l *Ledger) Claim(now time.Time, key Key, keep time.Duration) bool {
	l.sweep(now)
	if r, ok := l.keys[key]; ok {
		return r.fate == FateForbidden
	}
	l.keys[key] = keyRecord{fate: FateForbidden, expires: now.Add(keep)}
	return true
}

// ExtendKey restarts the retention time of a key when its call has finished.
func (l *Ledger) ExtendKey(now time.Time, attempt string, key Key, keep time.Duration) {
	r, ok := l.attempts[attempt]
	invar.Check(!ok || r.fate == FateStarted, "forbidden_never_starts", "attempt %s finished although it had a tombstone", attempt)
	if kr, known := l.keys[key]; known {
		kr.expires = now.Add(keep)
		l.keys[key] = kr
	}
}

// AttemptFate returns the fate of an attempt without changing anything.
func (l *Ledger) AttemptFate(attempt string) Fate { return l.attempts[attempt].fate }

// Len returns the number of records of attempts and keys.
func (l *Ledger) Len() int { return len(l.attempts) + len(l.keys) }

// sweep removes expired records, at most once per sweepInterval.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for id, r := range l.attempts {
		if now.After(r.expires) {
			delete(l.attempts, id)
		}
	}
	for k, r := range l.keys {
		if now.After(r.expires) {
			delete(l.keys, k)
		}
	}
}

// HasKey reports whether there is a record of a key.
func (l *Ledger) HasKey(key Key) bool {
	_, ok := l.keys[key]
	return ok
}

// HasAttempt reports whether there is a record of an attempt.
func (l *Ledger) HasAttempt(attempt string) bool {
	_, ok := l.attempts[attempt]
	return ok
}
