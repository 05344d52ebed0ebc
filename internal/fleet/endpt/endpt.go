// Package endpt holds what the registry says of one endpoint. It is plain data.
package endpt

// Endpoint is one incarnation of a worker.
type Endpoint struct {
	ID         string
	Born       int64 // Unix milliseconds of its start by its own clock, 0 if not told
	Service    string
	Address    string // IP:port
	DataCentre string
	Region     string
	Slots      int // requests that it works on at once
	Draining   bool
	Revision   uint64 // of the registry, when this was written or removed
}

// Same reports whether both name the same incarnation: an endpoint may start
// again under its ID and then knows nothing of before.
func (e Endpoint) Same(other Endpoint) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Address == other.Address && e.Service == other.Service
}
