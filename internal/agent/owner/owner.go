// Package owner places idempotency keys on the workers of a service by
// rendezvous hashing, and tells who else may have run a key before.
package owner

import (
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

// Position is what an agent knows of its right to run a key.
type Position struct {
	Self    string
	Present []string      // workers listed now
	Past    [][]string    // workers listed within the horizon
	Age     time.Duration // of this process start
	ListAge time.Duration // since the list was last confirmed
	Listed  bool          // the list was ever read
	Horizon time.Duration // how long keys are remembered
}

// Verdict tells whether an unseen key may run here.
type Verdict uint8

// The verdicts.
const (
	VerdictRun     Verdict = iota // after the hosts of Ask have all answered clear
	VerdictNotMine                // another worker owns the key
	VerdictUnknown                // a predecessor may have run it
	VerdictStale                  // the list is too old to act on
)

// Judge decides on an unseen key. Ask names the past owners that must first
// confirm that they never ran it.
func Judge(p Position, key string) (v Verdict, ask []string) {
	if !p.Listed || p.ListAge > p.Horizon/2 {
		return VerdictStale, nil
	}
	if len(p.Present) == 0 || rank.Hosts(p.Present, key)[0] != p.Self {
		return VerdictNotMine, nil
	}
	if p.Age < p.Horizon {
		return VerdictUnknown, nil
	}
	for _, hosts := range p.Past {
		if len(hosts) == 0 {
			continue
		}
		if was := rank.Hosts(hosts, key)[0]; was != p.Self && !slices.Contains(ask, was) {
			ask = append(ask, was)
		}
	}
	return VerdictRun, ask
}
