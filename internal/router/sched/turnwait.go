package sched

import "time"

// Turns describes how often and for how long a waiting call left room to other processes.
type Turns struct {
	Times int           // it found room while another process had the turn
	Total time.Duration // until the room was gone or the call was placed
	Ahead string        // name of the process that last went first
	Age   time.Duration // of that process's report at that time
}

// QueuedBehind tells which calls a call queued behind although there was room for it.
type QueuedBehind string

// The values of QueuedBehind.
const (
	QueuedBehindNone QueuedBehind = ""     // there was no room
	QueuedBehindOwn  QueuedBehind = "own"  // calls of the service that wait in this process
	QueuedBehindPeer QueuedBehind = "peer" // a peer's waiting calls
)

// processAhead is another process that has the turn at an endpoint.
type processAhead struct {
	name string
	age  time.Duration // of its report
	head urgency
}

// first returns the process whose call is more urgent. Of equal ones it returns the one with the
// lower name, so that the result does not depend on the order of a map.
func (a processAhead) first(o processAhead) processAhead {
	if a.name == "" {
		return o
	}
	if c := o.head.compare(a.head); c < 0 || c == 0 && o.name < a.name {
		return o
	}
	return a
}

// leaveTurn records that a waiting call has to leave the room of an endpoint to another process,
// if it has room.
func (s *Scheduler) leaveTurn(now time.Time, e *endpointState, req Request, ahead processAhead) {
	w := req.waiter
	if req.waiter = nil; s.admits(now, e, &req) == Admitted && s.hasPermit(now, e) {
		w.leftTo = ahead
	}
}

// noteTurn records whether a waiting call leaves room to another process, as its last look at
// the endpoints has found.
func (s *Scheduler) noteTurn(now time.Time, w *waiter) {
	if w.leftTo.name == "" {
		s.endTurn(now, w)
		return
	}
	t := &w.options.Trace.Turns
	t.Ahead, t.Age = w.leftTo.name, w.leftTo.age
	if w.leftSince.IsZero() {
		w.leftSince = now
		t.Times++
	}
}

// endTurn records that a waiting call no longer leaves room to another process.
func (s *Scheduler) endTurn(now time.Time, w *waiter) {
	if w.leftSince.IsZero() {
		return
	}
	d := now.Sub(w.leftSince)
	w.leftSince = time.Time{}
	w.options.Trace.Turns.Total += d
	if s.cfg.Metrics != nil {
		s.cfg.Metrics.TurnWait.Observe(d.Seconds())
	}
}

// queuedBehind returns which calls a call that has just been queued waits behind, if there is
// room for it.
func (s *Scheduler) queuedBehind(now time.Time, req Request) QueuedBehind {
	behind := QueuedBehindPeer
	switch {
	case s.waitingFor(req.Service) > 1:
		behind = QueuedBehindOwn
	case len(s.peerQueues) == 0:
		return QueuedBehindNone
	}
	req.waiter = nil // disregards turns
	abroad := s.abroad(now, req)
	for _, e := range s.endpoints {
		if s.excludes(now, e, &req, abroad) == Admitted {
			return behind
		}
	}
	return QueuedBehindNone
}

// maxTaken limits the placements that are compared with later reports of peers. It is more than
// a process places within a turnSlot at the target's rate of calls.
const maxTaken = 64

// takenRoom is a placement so soon after a change of the endpoint's load that it was for the
// process with the first turn only.
type takenRoom struct {
	at    time.Time
	state *endpointState
	call  *waiter
}

// noteTaken remembers a placement, to find out whether another process had the turn.
func (s *Scheduler) noteTaken(now time.Time, e *endpointState, req Request) {
	w := req.waiter
	if w == nil {
		w = &waiter{request: req, options: WaitOptions{Priority: req.Work.Priority, StartBy: req.StartBy}}
	}
	if w.options.StartBy.IsZero() || req.Purpose != PurposeRun {
		return // it takes no turns
	}
	ahead, _ := s.processesAhead(now, e, w)
	if now.Sub(s.changedAt[e.key]) >= time.Duration(ahead+1)*turnSlot {
		return // another process would have had its turn
	}
	if len(s.taken) == maxTaken {
		s.taken = s.taken[1:]
	}
	s.taken = append(s.taken, takenRoom{now, e, w})
}

// countTaken counts the placements of the last turnSlot before which a peer's call should have
// been placed, as a report shows that has just arrived. Reports that arrive later are of calls
// that began to wait later.
func (s *Scheduler) countTaken(now time.Time, peer string, earlier, report peerQueues) {
	left := s.taken[:0]
	for _, t := range s.taken {
		before := func(p peerQueues) bool {
			head, waits := p.head(t.at, t.call.request.Service)
			return waits && s.goesBefore(peer, head, t.state, t.call.urgency(t.at))
		}
		switch {
		case now.Sub(t.at) > turnSlot:
		case before(report) && !before(earlier):
			if s.cfg.Metrics != nil {
				s.cfg.Metrics.OutOfTurn.Inc()
			}
		default:
			left = append(left, t)
		}
	}
	clear(s.taken[len(left):])
	s.taken = left
}

// countPeerQueues exports the number of peers whose report about waiting calls is valid.
func (s *Scheduler) countPeerQueues(now time.Time) {
	if s.cfg.Metrics == nil {
		return
	}
	valid := 0
	for _, p := range s.peerQueues {
		if now.Sub(p.at) <= peerQueueTTL {
			valid++
		}
	}
	s.cfg.Metrics.QueueingPeers.Set(float64(valid))
}
