package desk

// Stop refuses new calls from now on.
func (d *Desk) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	d.updateDrain()
}

// Idle reports whether all runs have ended and no response is being read.
func (d *Desk) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.runs {
		end, _ := run.Buffer.Ended()
		if end == nil || run.Buffer.UnreadFor() == 0 {
			return false
		}
	}
	return true
}

// State is a summary of the agent for operators.
type State struct {
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Up       bool   `json:"up"`
	Closed   string `json:"closed"` // why no new calls are accepted, empty if they are
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Limit    int    `json:"limit"`
	Held     int    `json:"answers_held"`
}

// State returns the current summary.
func (d *Desk) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := State{Service: d.Settings.Service, Endpoint: d.Settings.Endpoint, Up: d.health.up, Held: len(d.runs)}
	s.Closed = d.unavailable(d.Settings.Service)
	if d.admission != nil {
		s.Running, s.Waiting, s.Limit = d.admission.Running(), d.admission.Waiting(), d.admission.Limit()
	}
	return s
}
