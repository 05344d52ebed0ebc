// Package owner places idempotency keys on the workers of a service by
// rendezvous hashing, and tells who else may have run a key before.
package owner

import (
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

// State is what an agent knows of its right to run a key.
type State struct {
	Self      string
	Current   []string      // workers listed now
	Past      [][]string    // workers listed within the horizon
	Uptime    time.Duration // of this process start
	ListAge   time.Duration // since the list was last confirmed
	ListRead  bool          // the list was ever read
	Retention time.Duration // how long keys are remembered
}

// Verdict tells whether an unseen key may run here.
type Verdict uint8

// The verdicts.
const (
	VerdictRun       Verdict = iota // after the hosts of Ask have all answered clear
	VerdictNotOwner                 // another worker owns the key
	VerdictUnknown                  // a predecessor may have run it
	VerdictStaleList                // the list is too old to act on
)

// Decide decides on an unseen key. Ask names the past owners that must first
// confirm that they never ran it.
func Decide(p State, key string) (v Verdict, ask []string) {
	if !p.ListRead || p.ListAge > p.Retention/2 {
		return VerdictStaleList, nil
	}
	if len(p.Current) == 0 || rank.Hosts(p.Current, key)[0] != p.Self {
		return VerdictNotOwner, nil
	}
	if p.Uptime < p.Retention {
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
