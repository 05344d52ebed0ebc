// Package owner decides whether an agent may run a call whose idempotency key it
// has not seen before (in short, run the key). Each key is owned by one agent of
// the service, chosen by rendezvous hashing. When the host list changes, a key can
// get a new owner, which must first ask the past owners whether they ran the key.
package owner

import (
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

// State is what an agent knows about itself and the other agents of its service.
type State struct {
	Self      string        // own host
	Current   []string      // hosts of the agents in the host list
	Past      [][]string    // the same for earlier host lists within the retention time
	Uptime    time.Duration // of this process
	ListAge   time.Duration // since the host list was last confirmed
	ListRead  bool          // the host list was read at least once
	Retention time.Duration // how long keys are remembered
}

// Verdict says whether an unseen key may run here.
type Verdict uint8

// The verdicts.
const (
	VerdictRun       Verdict = iota // after all hosts to ask have confirmed that they never ran it
	VerdictNotOwner                 // another agent owns the key
	VerdictUnknown                  // an earlier process on this host may have run it
	VerdictStaleList                // the host list is too old to determine the owner
)

// Decide decides on an unseen key. For VerdictRun, ask lists the past owners that
// must first confirm that they never ran it.
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
		if pastOwner := rank.Hosts(hosts, key)[0]; pastOwner != p.Self && !slices.Contains(ask, pastOwner) {
			ask = append(ask, pastOwner)
		}
	}
	return VerdictRun, ask
}
