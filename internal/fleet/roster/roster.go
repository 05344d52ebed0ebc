// Package roster holds one process's view of the fleet: the platform's host list,
// which lags behind, and the hosts that this process itself suspects to be down.
// Suspicion can only exclude hosts. A host that the list marks as leaving stays
// leaving even if it answers.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

// Member is one process in the host list.
type Member struct {
	Host       string
	DataCentre string
	Role       Role
	Service    string
	Address    string
	Leaving    bool
}

// Version identifies a state of the host list. The platform's epoch goes before the
// revision: if it comes back from an older copy, its epoch rises and it gives revisions out
// again.
type Version struct {
	Epoch    uint64 // 0 if the platform names none
	Revision uint64
}

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Revision, o.Revision)) < 0
}

// Role is what a member does in the fleet.
type Role string

// The roles of members.
const (
	RoleEntry Role = "entry" // accepts calls from callers and passes them to agents
	RoleAgent Role = "agent" // runs the calls of one service
)

const (
	minSuspicion       = 500 * time.Millisecond
	maxSuspicion       = 8 * time.Second
	revisionResetAfter = time.Minute
)

// Roster is a view of the fleet. It is safe for concurrent use.
type Roster struct {
	mu            sync.Mutex
	version       Version
	list          []Member // as it was read
	held          holds
	changes       uint64 // number of lists that were accepted
	members       map[string]Member
	byService     map[string][]Member  // agents, sorted by host name
	entries       int                  // number of entries
	suspects      map[string]suspicion // by host name
	lastUpdate    time.Time            // when a current version last arrived
	outdatedSince time.Time            // since when only older versions arrived, zero if the last was current
	trail         *audit.Trail
	pastAgents    []AgentSnapshot
}

// AgentSnapshot holds the agents of all services as they were before an update.
type AgentSnapshot struct {
	Until     time.Time           // when the update replaced them
	ByService map[string][]string // host names
}

type suspicion struct {
	until    time.Time
	duration time.Duration
}

// New returns an empty Roster.
func New(trail *audit.Trail) *Roster {
	return &Roster{members: map[string]Member{}, byService: map[string][]Member{}, suspects: map[string]suspicion{}, trail: trail}
}

// Update replaces the host list if the version is newer. Older versions come from a
// platform replica that lags, and are ignored. If only older ones arrive for longer than
// revisionResetAfter, the platform has restarted its revision count without naming an epoch,
// and the list is accepted. So is another list of the same version.
func (r *Roster) Update(v Version, list []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if v.Before(r.version) && !r.revisionReset(now) {
		return
	}
	r.lastUpdate, r.outdatedSince = now, time.Time{}
	if v.Epoch > r.version.Epoch {
		r.holdLeaving(now)
	}
	r.apply(v, list)
}

// apply puts a list into effect. The caller holds the lock.
func (r *Roster) apply(v Version, list []Member) {
	r.list = list
	members := make(map[string]Member, len(list))
	for _, m := range list {
		m.Leaving = m.Leaving || r.held.has(m)
		members[m.Host] = m
	}
	if v == r.version && maps.Equal(members, r.members) {
		return
	}
	r.savePastAgents()
	r.version, r.members = v, members
	r.changes++
	r.byService = map[string][]Member{}
	r.entries = 0
	for _, m := range r.members {
		if m.Role == RoleAgent {
			r.byService[m.Service] = append(r.byService[m.Service], m)
			continue
		}
		r.entries++
	}
	for _, ms := range r.byService {
		slices.SortFunc(ms, func(a, b Member) int {
			if a.Host < b.Host {
				return -1
			}
			return 1
		})
	}
}

// revisionReset reports whether only older versions have arrived for longer than
// revisionResetAfter, and records when the first of them arrived.
func (r *Roster) revisionReset(now time.Time) bool {
	if r.outdatedSince.IsZero() {
		r.outdatedSince = now
	}
	return now.Sub(r.outdatedSince) > revisionResetAfter
}

// pastAgentsRetention is how long past agents are kept. It exceeds the idempotency key
// horizons in practical use (2 minutes by default), but not the longest one that a
// service may set (24 hours).
const pastAgentsRetention = 15 * time.Minute

// savePastAgents records the current agents before an update replaces them.
func (r *Roster) savePastAgents() {
	if r.version == (Version{}) {
		return
	}
	now := time.Now()
	names := make(map[string][]string, len(r.byService))
	for service, ms := range r.byService {
		for _, m := range ms {
			names[service] = append(names[service], m.Host)
		}
	}
	r.pastAgents = append(r.pastAgents, AgentSnapshot{Until: now, ByService: names})
	for len(r.pastAgents) > 0 && now.Sub(r.pastAgents[0].Until) > pastAgentsRetention {
		r.pastAgents = r.pastAgents[1:]
	}
}

// PastAgents returns the former agents of a service, oldest first: one list of host
// names for each update within the span.
func (r *Roster) PastAgents(service string, span time.Duration) [][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out [][]string
	for _, e := range r.pastAgents {
		if time.Since(e.Until) <= span {
			out = append(out, e.ByService[service])
		}
	}
	return out
}

// Version returns the version of the host list, zero before the first one.
func (r *Roster) Version() Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Changes returns a number that is higher after each change of the host list.
func (r *Roster) Changes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Age returns the time since the host list was last confirmed or updated, and false
// if it was never read.
func (r *Roster) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastUpdate), !r.lastUpdate.IsZero()
}

// Find returns a member by host name.
func (r *Roster) Find(host string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[host]
	return m, ok
}

// Agents returns all agents of a service, including those that are leaving.
func (r *Roster) Agents(service string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service]
}

// EntryCount returns the number of entries.
func (r *Roster) EntryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries
}

// All returns every member in unspecified order.
func (r *Roster) All() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m)
	}
	return out
}

// Suspect excludes a host from use for a limited time, which doubles each time up to
// maxSuspicion.
func (r *Roster) Suspect(host, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspects[host]
	s.duration = min(maxSuspicion, max(minSuspicion, 2*s.duration))
	s.until = time.Now().Add(s.duration)
	r.suspects[host] = s
	r.trail.Record(audit.Event{Kind: audit.KindSuspected, Subject: host, Reason: why})
}

// Trust ends the suspicion of a host that has answered.
func (r *Roster) Trust(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.suspects[host]; !ok {
		return
	}
	delete(r.suspects, host)
	r.trail.Record(audit.Event{Kind: audit.KindTrusted, Subject: host, Reason: "answered"})
}

// Suspected reports whether a host is currently excluded from use.
func (r *Roster) Suspected(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.suspects[host]
	return ok && time.Now().Before(s.until)
}
