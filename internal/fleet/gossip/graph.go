package gossip

import (
	"slices"
	"sync"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

const (
	localNeighbours  = 4 // besides the successor
	remoteNeighbours = 2
	agentNeighbours  = 2 // only of an entry: agents in its data centre
)

// graph selects the neighbours that a process exchanges versions with. They change
// only with the membership, so that connections are reused: at one exchange per
// second, a TLS handshake with a new peer each time would take half of the CPU and
// traffic budget that a process has for control messages.
type graph struct {
	self       string
	dataCentre string
	fleetOnly  bool // the process is an agent, which holds no workspaces

	mu      sync.Mutex
	changes uint64   // of the host list, as of the selection of hosts
	hosts   []string // the selected neighbours
}

// neighbours returns the selected hosts. They include the successor in the data
// centre's ring of host names, so that every process is a neighbour of at least one
// other. The rest are pseudo-random, but the same on each call.
func (g *graph) neighbours(members *roster.Roster) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	changes := members.Changes()
	if changes == g.changes {
		return g.hosts
	}
	var local, remote, agents []string
	for _, m := range members.All() {
		switch {
		case m.Host == g.self:
		case !g.canServe(m):
			if m.DataCentre == g.dataCentre {
				agents = append(agents, m.Host)
			}
		case m.DataCentre == g.dataCentre:
			local = append(local, m.Host)
		default:
			remote = append(remote, m.Host)
		}
	}
	g.changes = changes
	g.hosts = slices.Concat(g.successor(local), g.firstRanked(local, localNeighbours), g.firstRanked(remote, remoteNeighbours), g.firstRanked(agents, agentNeighbours))
	slices.Sort(g.hosts)
	g.hosts = slices.Compact(g.hosts)
	return g.hosts
}

// canServe reports whether a member holds everything that this process needs. An
// entry can only pull from entries, since agents hold no workspaces.
func (g *graph) canServe(m roster.Member) bool { return g.fleetOnly || m.Role == roster.RoleEntry }

// successor returns the host that follows this one in the ring of sorted host names.
func (g *graph) successor(hosts []string) []string {
	if len(hosts) == 0 {
		return nil
	}
	slices.Sort(hosts)
	i, _ := slices.BinarySearch(hosts, g.self)
	return []string{hosts[i%len(hosts)]}
}

// firstRanked returns the first count hosts in the rendezvous order of this process.
func (g *graph) firstRanked(hosts []string, count int) []string {
	return rank.Hosts(hosts, g.self)[:min(count, len(hosts))]
}
