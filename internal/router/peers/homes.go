package peers

import (
	"slices"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

// homesPerEndpoint is the number of home processes of an endpoint in a large fleet.
// With four, an endpoint keeps three homes when one process fails, and at the
// target fleet size (390 processes, 1600 endpoints) a process is a home of about 16
// endpoints.
const homesPerEndpoint = 4

// maxFullMesh is the largest number of processes in a region at which every process
// is a home of every endpoint, so that all are partners of each other.
const maxFullMesh = 12

// homes assigns the endpoints of a region to their home processes by rendezvous
// hashing. The assignment is computed again only when the region's processes or
// endpoints change.
type homes struct {
	members   []string            // addresses of the region's processes, sorted
	endpoints []string            // IDs, sorted
	byID      map[string][]string // cache: home processes by endpoint ID
}

// update sets the current processes and endpoints. It reports whether they changed.
func (h *homes) update(members, endpoints []string) bool {
	if slices.Equal(members, h.members) && slices.Equal(endpoints, h.endpoints) {
		return false
	}
	h.members, h.endpoints = members, endpoints
	h.byID = make(map[string][]string, len(endpoints))
	return true
}

// processesFor returns an endpoint's home processes: all of the region if there are
// at most maxFullMesh.
func (h *homes) processesFor(id string) []string {
	if len(h.members) <= maxFullMesh {
		return h.members
	}
	if list, ok := h.byID[id]; ok {
		return list
	}
	list := rank.Hosts(h.members, id)[:homesPerEndpoint]
	if h.byID != nil {
		h.byID[id] = list
	}
	return list
}

func (h *homes) includes(address, id string) bool {
	return slices.Contains(h.processesFor(id), address)
}

// partners returns the processes that share at least one endpoint with a process.
// The process itself may be among them.
func (h *homes) partners(address string, endpoints []string) map[string]bool {
	out := map[string]bool{}
	if len(h.members) <= maxFullMesh {
		for _, other := range h.members {
			out[other] = true
		}
		return out
	}
	for _, id := range endpoints {
		if list := h.processesFor(id); slices.Contains(list, address) {
			for _, other := range list {
				out[other] = true
			}
		}
	}
	return out
}
