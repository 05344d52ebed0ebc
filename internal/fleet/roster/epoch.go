package roster

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

// restoreTime is how long after the beginning of an epoch a host may be listed as live only
// because the list comes from an older copy. Whoever wrote what is lost writes it again within
// that time.
const restoreTime = 6 * time.Second

// holds are the hosts that were leaving before the list came back older, with their addresses.
// Another process of the name has another address.
type holds struct {
	leaving map[string]string
	until   time.Time
}

func (h holds) has(m Member) bool {
	address, held := h.leaving[m.Host]
	return held && address == m.Address
}

// holdLeaving keeps hosts leaving for restoreTime after the beginning of an epoch, those
// already held included. The caller holds the lock.
func (r *Roster) holdLeaving(now time.Time) {
	leaving := map[string]string{}
	for _, m := range r.members {
		if m.Leaving {
			leaving[m.Host] = m.Address
		}
	}
	for host, address := range r.held.leaving {
		leaving[host] = address
	}
	if len(leaving) == 0 {
		return
	}
	until := now.Add(restoreTime)
	r.held = holds{leaving: leaving, until: until}
	for host := range leaving {
		r.trail.Record(audit.Event{Kind: audit.KindLeavingHeld, Subject: host, Reason: "the host list came back from an older copy"})
	}
	time.AfterFunc(restoreTime, func() { r.endHold(until) })
}

// endHold puts the list into effect as it was read, unless a later epoch has begun.
func (r *Roster) endHold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.held.until.Equal(until) {
		return
	}
	r.held = holds{}
	r.apply(r.version, r.list)
}
