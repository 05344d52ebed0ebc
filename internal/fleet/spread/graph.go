package spread

import (
	"slices"
	"sync"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

const (
	homeNeighbours = 4
	awayNeighbours = 2
	agentPushes    = 2 // from an entry to agents of its data centre
)

// graph chooses the members that a process exchanges with. They stay the same
// while the membership does, so that links are dialled once: at one round a
// second a handshake with a new peer each time would take half of the budget.
type graph struct {
	self      string
	centre    string
	fleetOnly bool

	mu       sync.Mutex
	revision uint64
	hosts    []string
}

// neighbours returns the chosen hosts: the next one of the data centre in the
// order of names, so that each process is chosen by at least one, and random
// ones, the same ones on each call.
func (g *graph) neighbours(members *roster.Roster) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := members.Revision()
	if revision == g.revision {
		return g.hosts
	}
	var home, away, agents []string
	for _, m := range members.All() {
		switch {
		case m.Host == g.self:
		case !g.holds(m):
			if m.DataCentre == g.centre {
				agents = append(agents, m.Host)
			}
		case m.DataCentre == g.centre:
			home = append(home, m.Host)
		default:
			away = append(away, m.Host)
		}
	}
	g.revision = revision
	g.hosts = slices.Concat(g.next(home), g.choose(home, homeNeighbours), g.choose(away, awayNeighbours), g.choose(agents, agentPushes))
	slices.Sort(g.hosts)
	g.hosts = slices.Compact(g.hosts)
	return g.hosts
}

// holds reports whether a member holds what this process needs: an entry needs
// entries, since agents keep no workspaces.
func (g *graph) holds(m roster.Member) bool { return g.fleetOnly || m.Role == roster.RoleEntry }

// next returns the host after this one in a ring of names.
func (g *graph) next(hosts []string) []string {
	if len(hosts) == 0 {
		return nil
	}
	slices.Sort(hosts)
	i, _ := slices.BinarySearch(hosts, g.self)
	return []string{hosts[i%len(hosts)]}
}

func (g *graph) choose(hosts []string, count int) []string {
	return rank.Hosts(hosts, g.self)[:min(count, len(hosts))]
}
