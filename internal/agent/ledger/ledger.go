// Package ledger remembers which attempts and idempotency keys an agent has
// started or forbidden. It is pure: time is passed in.
package ledger

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/ops/invar"
)

// Key is an idempotency key within its workspace.
type Key struct {
	Workspace string
	Text      string
}

// Fate is what the ledger knows of an attempt.
type Fate uint8

// The fates.
const (
	FateNotSeen   Fate = iota // never offered here
	FateForbidden             // never started and never will
	FateStarted               // started, perhaps finished
)

// Verdict is the answer to Begin.
type Verdict uint8

// The verdicts.
const (
	VerdictStart           Verdict = iota // not seen: now recorded as started
	VerdictForbidden                      // revoked earlier
	VerdictRepeatedAttempt                // the same attempt was started before
	VerdictRepeatedKey                    // the key was started by another attempt
	VerdictConflict                       // the key was used with another request
)

// Ledger is not safe for concurrent use.
type Ledger struct {
	attempts  map[string]attemptRecord
	keys      map[Key]keyRecord
	lastSweep time.Time
}

type attemptRecord struct {
	fate    Fate
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

// Begin records that an attempt starts, unless it must not. A zero key means
// none. The record is kept at least as long as keep. For VerdictReplay the
// attempt that runs the key is returned.
func (l *Ledger) Begin(now time.Time, attempt string, key Key, fingerprint uint64, keep time.Duration) (Verdict, string) {
	l.sweep(now)
	if r, ok := l.attempts[attempt]; ok {
		if r.fate == FateForbidden {
			return VerdictForbidden, ""
		}
		return VerdictRepeatedAttempt, attempt
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

// Undo takes back a Begin whose work provably never reached the endpoint, and
// forbids the attempt. The key becomes free again.
func (l *Ledger) Undo(now time.Time, attempt string, key Key, keep time.Duration) {
	l.attempts[attempt] = attemptRecord{fate: FateForbidden, expires: now.Add(keep)}
	if r, ok := l.keys[key]; ok && r.attempt == attempt {
		delete(l.keys, key)
	}
}

// Revoke forbids an attempt that has not started and returns its fate.
func (l *Ledger) Revoke(now time.Time, attempt string, keep time.Duration) Fate {
	l.sweep(now)
	if r, ok := l.attempts[attempt]; ok {
		return r.fate
	}
	l.attempts[attempt] = attemptRecord{fate: FateForbidden, expires: now.Add(keep)}
	return FateForbidden
}

// Claim forbids a key that was never started here and reports whether it was
// free.
func (l *Ledger) Claim(now time.Time, key Key, keep time.Duration) bool {
	l.sweep(now)
	if r, ok := l.keys[key]; ok {
		return r.fate == FateForbidden
	}
	l.keys[key] = keyRecord{fate: FateForbidden, expires: now.Add(keep)}
	return true
}

// ExtendKey keeps a finished key for longer, from its last use.
func (l *Ledger) ExtendKey(now time.Time, attempt string, key Key, keep time.Duration) {
	r, ok := l.attempts[attempt]
	invar.Check(!ok || r.fate == FateStarted, "forbidden_never_starts", "attempt %s finished after it was forbidden", attempt)
	if kr, known := l.keys[key]; known {
		kr.expires = now.Add(keep)
		l.keys[key] = kr
	}
}

// AttemptFate returns the fate of an attempt without effect.
func (l *Ledger) AttemptFate(attempt string) Fate { return l.attempts[attempt].fate }

// Len returns the number of attempts and keys remembered.
func (l *Ledger) Len() int { return len(l.attempts) + len(l.keys) }

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

// HasKey reports whether a key was started or forbidden here.
func (l *Ledger) HasKey(key Key) bool {
	_, ok := l.keys[key]
	return ok
}

// HasAttempt reports whether an attempt was started or forbidden here.
func (l *Ledger) HasAttempt(attempt string) bool {
	_, ok := l.attempts[attempt]
	return ok
}
