package sched

import (
	"cmp"
	"maps"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/router/order"
)

// When an endpoint gets room, all processes with waiting calls see it at about the same time.
// They take turns at it, in an order that each computes alike, so that one takes the room and
// the others learn of that before they would have taken it too.

const (
	// turnSlot is the time after which a placement is known to the other processes: two rounds
	// of load reports and the delay between regions.
	turnSlot = 45 * time.Millisecond
	// maxOffer is how long a gateway leaves room that its own call freed to others whose workspaces
	// used less: their reports and one turn. Longer, and room stays unused that none of them can take.
	maxOffer = 2 * turnSlot
	// peerQueueTTL is longer than the interval of queue reports in a full cell.
	peerQueueTTL = 1500 * time.Millisecond
	// slackTolerance is the difference of slack up to which two calls are equally urgent. Their
	// processes' order then differs from endpoint to endpoint, so that they take room at several
	// at once. It is above the delay of reports, by which processes see each other's slack too high.
	slackTolerance = 250 * time.Millisecond
)

// Queue describes the calls of one process that wait for a service.
type Queue struct {
	Calls    int
	Priority int           // of the first call
	Slack    time.Duration // until the first call must start to meet its target, with its lag; negative if it is late
}

// peerQueues is a peer's last report about its waiting calls.
type peerQueues struct {
	at     time.Time
	queues map[Key]Queue // by service
}

// urgency orders the first calls of queues.
type urgency struct {
	late     bool
	priority int
	slack    time.Duration // 0 if late
}

// slackOf returns the time until a call should start, put back by a lag, less than 0 if the call
// is late: a late call stays so whatever its lag.
func slackOf(now, startBy time.Time, lag time.Duration) time.Duration {
	slack := startBy.Sub(now)
	if slack < 0 {
		return slack
	}
	return slack + lag
}

func (w *waiter) urgency(now time.Time) urgency {
	return urgencyOf(w.options.Priority, slackOf(now, w.options.StartBy, w.lag))
}

func urgencyOf(priority int, slack time.Duration) urgency {
	if slack < 0 {
		return urgency{late: true, priority: priority}
	}
	return urgency{priority: priority, slack: slack}
}

// compare returns a negative number if u goes before o, 0 if neither does.
func (u urgency) compare(o urgency) int {
	if u.late != o.late {
		if u.late {
			return 1
		}
		return -1
	}
	if u.priority != o.priority {
		return cmp.Compare(u.priority, o.priority)
	}
	switch d := u.slack - o.slack; {
	case d < -slackTolerance:
		return -1
	case d > slackTolerance:
		return 1
	}
	return 0
}

// Queues returns the queues of this process by service.
func (s *Scheduler) Queues(now time.Time) map[Key]Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return nil
	}
	out := map[Key]Queue{}
	for _, w := range s.waiting {
		key := KeyOf(w.request.Service)
		q, known := out[key]
		slack := slackOf(now, w.options.StartBy, w.lag)
		if !known || urgencyOf(w.options.Priority, slack).compare(urgencyOf(q.Priority, q.Slack)) < 0 {
			q.Priority, q.Slack = w.options.Priority, slack
		}
		q.Calls++
		out[key] = q
	}
	return out
}

// SetPeerQueues replaces what is known of a peer's waiting calls.
func (s *Scheduler) SetPeerQueues(now time.Time, peer string, queues map[Key]Queue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countTaken(now, peer, s.peerQueues[peer], peerQueues{now, queues})
	defer s.countPeerQueues(now)
	if len(queues) == 0 {
		delete(s.peerQueues, peer)
		return
	}
	s.peerQueues[peer] = peerQueues{now, queues}
}

// MustQueue reports whether a new call has to queue, although an endpoint may have room,
// because calls of this process or of peers that are not less urgent wait already.
func (s *Scheduler) MustQueue(now time.Time, service string, options WaitOptions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingFor(service) > 0 {
		return true
	}
	if len(s.peerQueues) == 0 {
		return false
	}
	lag := s.lagOf(now, order.Entry{Work: order.Work{Service: service, Workspace: options.Workspace}, Since: now, StartBy: options.StartBy})
	own := urgencyOf(options.Priority, slackOf(now, options.StartBy, lag))
	for _, p := range s.peerQueues {
		if head, waits := p.head(now, service); waits && head.compare(own) <= 0 {
			return true
		}
	}
	return false
}

// head returns the urgency of the first waiting call of a service.
func (p peerQueues) head(now time.Time, service string) (u urgency, waits bool) {
	age := now.Sub(p.at)
	q, waits := p.queues[KeyOf(service)]
	if !waits || age > peerQueueTTL {
		return urgency{}, false
	}
	return urgencyOf(q.Priority, q.Slack-age), true
}

// hasTurn reports whether a waiting call may take room at an endpoint now. A process waits one
// slot for each other process that goes before it there, counted from the last change of the
// endpoint's load that others have made. A call of a workspace that used more than its share also
// leaves the others the room that a call of this process freed.
func (s *Scheduler) hasTurn(now time.Time, e *endpointState, req Request) bool {
	w := req.waiter
	if w == nil || len(s.peerQueues) == 0 {
		return true
	}
	count, first := s.processesAhead(now, e, w)
	ahead := time.Duration(count) * turnSlot
	isTurn := now.Sub(s.changedAt[e.key]) >= ahead
	// Otherwise a gateway would hand the room of its own calls to its next ones for as long
	// as it has some, and the shares of others would wait for room that is never offered.
	isTurn = isTurn && (w.lag == 0 || now.Sub(s.freedAt[e.key]) >= min(ahead, maxOffer))
	if !isTurn {
		s.leaveTurn(now, e, req, first)
	}
	return isTurn
}

// processesAhead counts the processes that go before this one at an endpoint, and returns the
// one that goes first.
func (s *Scheduler) processesAhead(now time.Time, e *endpointState, w *waiter) (count int, first processAhead) {
	own := w.urgency(now)
	for name, p := range s.peerQueues {
		head, waits := p.head(now, w.request.Service)
		if !waits {
			continue
		}
		if s.goesBefore(name, head, e, own) {
			count++
			first = first.first(processAhead{name, now.Sub(p.at), head})
		}
	}
	return count, first
}

// goesBefore reports whether a peer goes before this process at an endpoint, by the urgencies of
// their first calls.
func (s *Scheduler) goesBefore(peer string, head urgency, e *endpointState, own urgency) bool {
	order := head.compare(own)
	return order < 0 || order == 0 && rank.Score(peer, e.endpoint.ID) > rank.Score(s.cfg.Name, e.endpoint.ID)
}

// recordChange records when the load that someone has placed on an endpoint changed, if it did.
func (s *Scheduler) recordChange(now time.Time, key Key, before, after Load) {
	if before != after {
		s.changedAt[key] = now
	}
}

// forgetQueues drops the queues of peers that are silent and the times of changes that no
// longer matter.
func (s *Scheduler) forgetQueues(now time.Time) {
	for name, p := range s.peerQueues {
		if now.Sub(p.at) > peerQueueTTL {
			delete(s.peerQueues, name)
		}
	}
	s.countPeerQueues(now)
	old := func(_ Key, at time.Time) bool { return now.Sub(at) > changeTTL }
	maps.DeleteFunc(s.changedAt, old)
	maps.DeleteFunc(s.freedAt, old)
}

const changeTTL = time.Minute // longer than any turn
