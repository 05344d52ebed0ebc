package sched

// Exclusion is what keeps a call from an endpoint.
type Exclusion uint8

// The values of Exclusion, in the order in which they are looked at.
const (
	Admitted             Exclusion = iota // nothing does
	ExcludedService                       // it serves another service
	ExcludedLeaving                       // it leaves or has left
	ExcludedEvacuated                     // its data centre is out of service
	ExcludedUnlisted                      // the registry does not list it and its grace period is over
	ExcludedVersion                       // it runs another version of the software
	ExcludedRegion                        // the call may not go to its region
	ExcludedTried                         // the call must not go there, as it has been there
	ExcludedOtherRegion                   // its region has not reported room that this process may use now
	ExcludedTurn                          // another gateway has the turn there
	ExcludedCold                          // it has got as many calls within the last second as a cold one may
	ExcludedFull                          // it has just refused a copy for lack of room
	ExcludedSlots                         // it has no free slot
	ExcludedUnread                        // it has too many unread prompts
	ExcludedMemory                        // it has too little free memory
	ExcludedKeptForCalls                  // its free memory is kept for shorter or larger calls
	ExcludedKeptForMoves                  // its free memory is kept for moves
	ExcludedPermit                        // this process has no permit for it
)

// String returns the name used in explanations.
func (x Exclusion) String() string {
	return [...]string{
		"none", "service", "leaving", "evacuated", "unlisted", "version", "region", "tried", "other_region", "turn", "cold_limit", "refused_copy", "slots",
		"unread_prompts", "memory", "kept_for_calls", "kept_for_moves", "permit",
	}[x]
}

// Terms are the parts of the cost of placing a call on an endpoint, as shares of its capacity.
type Terms struct {
	Memory      float64 `json:"memory"`      // KV cache in use
	Unread      float64 `json:"unread"`      // prompts that are not read yet
	Calls       float64 `json:"calls"`       // on a plain endpoint
	Distance    float64 `json:"distance"`    // to another data centre or region, or load that is not reported
	Pace        float64 `json:"pace"`        // negative if work takes less long than usual
	Failures    float64 `json:"failures"`    // of calls
	Moves       float64 `json:"moves"`       // to the same endpoint, before this one
	Unreachable float64 `json:"unreachable"` // it could not be reached lately
	Unlisted    float64 `json:"unlisted"`    // its entry in the registry has lapsed
}

// Sum returns the cost.
func (t Terms) Sum() float64 {
	return t.Memory + t.Unread + t.Calls + t.Distance + t.Pace + t.Failures + t.Moves + t.Unreachable + t.Unlisted
}
