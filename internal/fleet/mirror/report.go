package mirror

import "time"

// Report is what a process tells its peers about its copy.
type Report struct {
	Epoch     uint64        // as in Position
	State     uint64        // as in Position
	Cursor    uint64        // as in Position
	Age       time.Duration // time since Position.AsOf
	Reader    string        // as in Position
	Reachable bool          // the process's own last read of the registry succeeded, or it has not read
	Grace     time.Duration // for how long entries that vanish may have expired in an outage, 0 if there was none
}

// Position returns the reported position as of now.
func (r Report) Position(now time.Time) Position {
	return Position{Epoch: r.Epoch, State: r.State, Cursor: r.Cursor, AsOf: now.Add(-r.Age), Reader: r.Reader}
}

// Version returns the version of the reported copy.
func (r Report) Version() Version { return Version{r.Epoch, r.State} }
