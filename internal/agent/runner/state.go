package runner

// Stop refuses new calls from now on.
func (r *Runner) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.updateDrain()
}

// Idle reports whether all runs have ended and no response is being read or awaited.
func (r *Runner) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if r.isPending(run) {
			return false
		}
	}
	return true
}

// isPending reports whether a run has not ended, or its response is being read, or an
// entry whose session broke may still come for it. The caller holds the lock.
func (r *Runner) isPending(run *Run) bool {
	end, _ := run.Buffer.Ended()
	unread := run.Buffer.UnreadFor()
	if end == nil || unread == 0 {
		return true
	}
	return !run.Buffer.IsDelivered() && run.Buffer.AbandonReason() == "" && unread <= r.Settings.OrphanTimeout()
}

// State is a summary of the agent for operators.
type State struct {
	Service       string `json:"service"`
	Endpoint      string `json:"endpoint"`
	Up            bool   `json:"up"`
	ClosedReason  string `json:"closed"` // why no new calls are accepted, empty if they are
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	Limit         int    `json:"limit"`
	HeldResponses int    `json:"answers_held"` // of queued, running and finished runs
}

// State returns the current summary.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{Service: r.Settings.Service, Endpoint: r.Settings.Endpoint, Up: r.health.up, HeldResponses: len(r.runs)}
	s.ClosedReason = r.unavailable(r.Settings.Service)
	if r.admission != nil {
		s.Running, s.Waiting, s.Limit = r.admission.Running(), r.admission.Waiting(), r.admission.Limit()
	}
	return s
}
