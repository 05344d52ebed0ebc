package sched

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/router/order"
)

// maxWaiting limits the calls that wait in one process. At the target fleet size
// (390 processes) each receives three calls a second, so this is over a minute of work.
const maxWaiting = 256

// WaitOptions determines a waiting call's position in the queue, see order.Entry.
type WaitOptions struct {
	Priority  int           // lower is more urgent
	StartBy   time.Time     // latest start that meets the objective
	Deadline  time.Time     // end of the wait
	Workspace string        // whose share its turn depends on
	Run       time.Duration // expected of this call, 0 if only its route's is known
	Trace     *Trace        // filled in before Wait returns, if not nil
}

// Trace tells why a call waited.
type Trace struct {
	Queued    bool // it had to wait
	Full      bool // too many calls waited already
	Position  int  // in the queue of its service when it began to wait, 0 for the first
	Overtaken int  // calls behind it that were placed before it
	Held      bool // room was held for it
	// Kept and KeptLarger are the tokens that it had to leave free at engines for shorter and
	// for larger calls. ForKept means that there was room but for those.
	Kept, KeptLarger int
	ForKept          bool
	Need             order.Need     // of the shorter calls
	Forecast         order.Forecast // when it began to wait
	Turns            Turns
	Behind           QueuedBehind // if there was room when it began to wait
	Shares           Shares       // of its workspace, when it began to wait
}

type waiter struct {
	request Request
	options WaitOptions
	entry   order.Entry
	rank    order.Rank    // as last sorted
	lag     time.Duration // as last sorted, see lagOf
	unmet   bool          // it found no room until it was held for it
	leftTo  processAhead  // to which it left room at the last look, none if the name is empty
	// leftSince is since when it leaves room to others, zero if it does not.
	leftSince time.Time
	granted   chan *Lease // buffered: sent to with the scheduler locked; nil if the wait is hopeless
}

// Wait places a call, queueing it until an endpoint has room. It returns nil if
// the wait ends without a lease, or immediately if maxWaiting calls are waiting.
func (s *Scheduler) Wait(ctx context.Context, now time.Time, req Request, options WaitOptions) *Lease {
	w := s.enqueue(now, req, options)
	if w == nil {
		return nil
	}
	timer := time.NewTimer(time.Until(options.Deadline))
	defer timer.Stop()
	select {
	case l := <-w.granted:
		return l
	case <-ctx.Done():
	case <-timer.C:
	}
	return s.dequeue(ctx, w)
}

func (s *Scheduler) enqueue(now time.Time, req Request, options WaitOptions) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if options.Trace == nil {
		options.Trace = &Trace{}
	}
	w := &waiter{request: req, options: options, entry: s.newEntry(now, req, options), granted: make(chan *Lease, 1)}
	w.request.waiter = w
	s.arrivals++
	if len(s.waiting) >= maxWaiting {
		options.Trace.Full = true
		return nil
	}
	s.book.QueueBegins(now, req.Service)
	s.waiting = append(s.waiting, w)
	s.placeWaiting(now)
	if len(w.granted) == 0 {
		held, turns := options.Trace.Held, options.Trace.Turns
		*options.Trace = s.trace(now, req, w.entry)
		options.Trace.Held, options.Trace.Turns = held, turns
	}
	return w
}

// newEntry describes a call to the order.
func (s *Scheduler) newEntry(now time.Time, req Request, options WaitOptions) order.Entry {
	work := req.Work
	work.Service, work.Priority, work.Tokens = req.Service, options.Priority, req.MemoryTokens
	_, limited := s.limitedRoom(now, req, options.Priority, now)
	return order.Entry{Work: work, Number: s.arrivals, Since: now, StartBy: options.StartBy, Deadline: options.Deadline, OwnRun: options.Run, InTurn: limited}
}

// trace describes the state that a call finds as it begins to wait.
func (s *Scheduler) trace(now time.Time, req Request, e order.Entry) Trace {
	forecast := s.forecast(now, e)
	k := s.roomKept(now, req)
	t := Trace{Queued: true, Position: forecast.Ahead, Forecast: forecast, Kept: k.shorter, KeptLarger: k.larger, Need: k.need, Behind: s.queuedBehind(now, req), Shares: s.sharesOf(now, e.Work)}
	if len(k.scarce) > 0 {
		req.Work.Run = 0 // nothing is kept for a call of unknown run time
		t.ForKept = s.hasRoom(now, req)
	}
	return t
}

func (s *Scheduler) hasRoom(now time.Time, req Request) bool {
	for _, e := range s.endpoints {
		if s.admits(now, e, &req) == Admitted {
			return true
		}
	}
	return false
}

// forecast returns how long a call is expected to wait.
func (s *Scheduler) forecast(now time.Time, e order.Entry) order.Forecast {
	excess := s.excessOf(now, e.Service)
	rank := e.Rank(now, excess)
	var ahead []order.Entry
	for _, w := range s.waiting {
		if w.entry.Service == e.Service && w.entry.Rank(now, excess).Compare(rank) < 0 {
			ahead = append(ahead, w.entry)
		}
	}
	return s.book.Forecast(now, e, ahead)
}

// Forecast returns how long a call is expected to wait if it is queued now.
func (s *Scheduler) Forecast(now time.Time, req Request, options WaitOptions) order.Forecast {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forecast(now, s.newEntry(now, req, options))
}

// dequeue removes a call from the queue. A lease that was granted before the removal
// is returned, unless ctx has ended: then it is released.
func (s *Scheduler) dequeue(ctx context.Context, w *waiter) *Lease {
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	if s.waitingFor(w.request.Service) == 0 {
		s.book.QueueEnds(w.request.Service)
	}
	s.endTurn(time.Now(), w)
	s.mu.Unlock()
	select {
	case l := <-w.granted:
		if l != nil && ctx.Err() != nil {
			l.Release(time.Now(), OutcomeNone)
			return nil
		}
		return l
	default:
		return nil
	}
}

// maxTries limits the waiting calls that look at all endpoints in one pass. Calls that need as
// much as one without room do not look.
const maxTries = 8

// placeWaiting places waiting calls in the order of their ranks. Calls without room may be
// passed over for a time; then they hold the room that becomes free.
func (s *Scheduler) placeWaiting(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	s.sortWaiting(now)
	passes := map[string]*pass{}
	left := make([]*waiter, 0, len(s.waiting))
	for _, w := range s.waiting {
		p := passes[w.request.Service]
		if p == nil {
			p = &pass{}
			passes[w.request.Service] = p
		}
		if !s.settle(now, p, w) {
			left = append(left, w)
		}
	}
	s.waiting = left
	for service, p := range passes {
		if p.left == 0 {
			s.book.QueueEnds(service)
		}
	}
}

func (s *Scheduler) sortWaiting(now time.Time) {
	for _, w := range s.waiting {
		w.rank = w.entry.Rank(now, s.excessOf(now, w.request.Service))
		w.lag = s.lagOf(now, w.entry)
	}
	slices.SortFunc(s.waiting, func(x, y *waiter) int { return x.rank.Compare(y.rank) })
}

// settle places a waiting call or ends its wait. It returns false if the call goes on waiting.
func (s *Scheduler) settle(now time.Time, p *pass, w *waiter) bool {
	w.leftTo = processAhead{}
	if p.mayTry(w) {
		if l, ok := s.tryPlace(now, w.request); ok {
			s.endTurn(now, w)
			p.placed()
			s.book.Placed(now, w.request.Service)
			w.granted <- l
			return true
		}
		p.tries = append(p.tries, w)
		if len(p.tries) == 1 {
			p.free = s.mostFree(now, w.request)
		}
	}
	s.noteTurn(now, w)
	if !w.unmet && w.entry.Holds(now) {
		w.unmet = true
		s.book.Unmet(now, w.entry.Work)
	}
	p.hold(now, w)
	if room, limited := s.limitedRoom(now, w.request, w.options.Priority, w.entry.Since); limited && !room.hasProspect(p.left, w.options.Deadline.Sub(now)) {
		s.endTurn(now, w)
		w.granted <- nil
		return true
	}
	p.left++
	p.waiting = append(p.waiting, w)
	return false
}

// pass is one look at the waiting calls of a service.
type pass struct {
	left    int       // calls that go on waiting
	waiting []*waiter // these calls
	tries   []*waiter // that found no room
	free    int       // tokens free at the engine with the most, once a call found no room
	holder  *waiter   // the first of them that holds room, nil if none does
}

// mayTry reports whether a call may look for room now and has a chance to find some.
func (p *pass) mayTry(w *waiter) bool {
	if len(p.tries) >= maxTries || p.holder != nil && !w.entry.MayPass(p.holder.entry) {
		return false
	}
	if len(p.tries) > 0 && w.request.MemoryTokens > p.free {
		return false
	}
	return !slices.ContainsFunc(p.tries, func(f *waiter) bool { return w.entry.NeedsAsMuch(f.entry) && w.request.hasTargetsOf(f.request) })
}

// hasTargetsOf reports whether two calls of a service may use the same endpoints.
func (r Request) hasTargetsOf(o Request) bool {
	return r.Software == o.Software && r.Purpose == o.Purpose && slices.Equal(r.Regions, o.Regions) && slices.Equal(r.Exclude, o.Exclude)
}

// hold lets a call without room hold what becomes free, if it is time. One that is restricted
// to some endpoints does not, as others may use the rest.
func (p *pass) hold(now time.Time, w *waiter) {
	restricted := len(w.request.Regions) > 0 || !w.entry.InTurn && (len(w.request.Exclude) > 0 || w.request.Software != "")
	if p.holder == nil && w.entry.Holds(now) && !restricted {
		p.holder, w.options.Trace.Held = w, true
	}
}

// placed records that the calls that wait were passed over.
func (p *pass) placed() {
	for _, o := range p.waiting {
		o.options.Trace.Overtaken++
	}
}

// mostFree returns the free memory of the engine of a service with the most, in tokens. All of
// an idle one is free for a call of any size.
func (s *Scheduler) mostFree(now time.Time, req Request) (most int) {
	for _, e := range s.endpoints {
		if !s.usable(now, e, Request{Service: req.Service}) {
			continue
		}
		load := s.load(e)
		if req.EngineTokens == 0 || load == (Load{}) {
			return math.MaxInt
		}
		most = max(most, int(runMemoryShare*float64(req.EngineTokens))-load.MemoryTokens)
	}
	return most
}

// Waiting returns the number of calls waiting for an endpoint of the service.
func (s *Scheduler) Waiting(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitingFor(service)
}

func (s *Scheduler) waitingFor(service string) (count int) {
	for _, w := range s.waiting {
		if w.request.Service == service {
			count++
		}
	}
	return count
}
