// Package endpt defines the registry's description of an endpoint.
package endpt

// Endpoint describes one incarnation of an endpoint's process.
type Endpoint struct {
	ID         string
	StartedMs  int64 // start time in Unix milliseconds by the endpoint's own clock, 0 if unknown
	Service    string
	Software   string // version of its software, empty if unknown
	Address    string // IP:port
	DataCentre string
	Region     string
	Slots      int // number of calls that it runs at the same time
	Draining   bool
	Revision   uint64 // registry revision of the entry's last write or removal
}

// SameIncarnation reports whether both describe the same incarnation. An endpoint may
// restart under the same ID, and has then lost all state.
func (e Endpoint) SameIncarnation(other Endpoint) bool {
	return e.ID == other.ID && e.StartedMs == other.StartedMs && e.Address == other.Address && e.Service == other.Service
}
