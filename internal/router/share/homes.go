package share

import (
	"slices"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

// homesEach is the number of processes that share an endpoint in a large fleet.
// With four, one that fails leaves an endpoint its neighbours, and at the
// target's size a process has about 16 endpoints.
const homesEach = 4

// smallRegion is the number of processes up to which all share all endpoints.
const smallRegion = 12

// homes assigns the endpoints of a region to processes by rendezvous hashing. It
// is computed again only when either of them change.
type homes struct {
	members   []string // processes of the region, sorted
	endpoints []string // sorted
	byID      map[string][]string
}

// update takes the present processes and endpoints. It reports whether they
// changed.
func (h *homes) update(members, endpoints []string) bool {
	if slices.Equal(members, h.members) && slices.Equal(endpoints, h.endpoints) {
		return false
	}
	h.members, h.endpoints = members, endpoints
	h.byID = make(map[string][]string, len(endpoints))
	return true
}

// of returns an endpoint's processes. In a small fleet they are all.
func (h *homes) of(id string) []string {
	if len(h.members) <= smallRegion {
		return h.members
	}
	if list, ok := h.byID[id]; ok {
		return list
	}
	list := rank.Hosts(h.members, id)[:homesEach]
	if h.byID != nil {
		h.byID[id] = list
	}
	return list
}

func (h *homes) includes(address, id string) bool { return slices.Contains(h.of(id), address) }

// partners returns the processes that share an endpoint with one.
func (h *homes) partners(address string, endpoints []string) map[string]bool {
	out := map[string]bool{}
	if len(h.members) <= smallRegion {
		for _, other := range h.members {
			out[other] = true
		}
		return out
	}
	for _, id := range endpoints {
		if list := h.of(id); slices.Contains(list, address) {
			for _, other := range list {
				out[other] = true
			}
		}
	}
	return out
}
