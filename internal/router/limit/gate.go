package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// minRate is handed out even if an endpoint accepts less: the end of a limit shows only
	// in responses.
	minRate = 0.25
	// savedTime is for how long a home saves up permits that nobody asks for.
	savedTime = 250 * time.Millisecond

	// A process that gets no permit is told not to ask again for so long that each gate is
	// asked about asksPerPermit times as often as it hands out permits, and asksPerSecond.
	asksPerPermit = 4.0
	asksPerSecond = 8.0
	minAgain      = 100 * time.Millisecond
	maxAgain      = 10 * time.Second
)

// Gate names what a home hands out: the permits for an endpoint, or an equal part of them
// if they are too many for one home.
type Gate struct {
	Endpoint    sched.Key
	Part, Parts uint8
}

// gate hands out permits.
type gate struct {
	permits  float64 // that can be handed out now
	refilled time.Time
	usedAt   time.Time
	// announced is when the processes that would follow as the home were last told of this one.
	announced time.Time
	askers    []*asker
}

// asker is one process that asked for permits.
type asker struct {
	address   string
	calls     int // permits that it waits for
	priority  int
	until     time.Time // when it gives up
	lastGrant time.Time
	granted   int           // permits since the last answer
	again     time.Duration // as in Answer, for the next one
	answerDue bool          // its Ask was not answered yet
}

// receiveAsk records an Ask of a process, which may be this one.
func (l *Ledger) receiveAsk(now time.Time, from string, a Ask) {
	home := l.homes.of(a.Gate)
	switch {
	case a.Calls == 0:
		l.replies[from] = Answer{}
		return
	case home != l.cfg.Address:
		l.probes[home] = a.Gate // the sender may have got no answer from it
		l.replies[from] = Answer{Gate: a.Gate, Again: answerTimeout, NotHome: true}
		return
	case !l.isOpen(a.Gate):
		l.replies[from] = Answer{Gate: a.Gate, Again: answerTimeout, NotHome: true}
		return
	}
	g := l.gates[a.Gate]
	if g == nil {
		g = &gate{permits: 1, refilled: now}
		l.gates[a.Gate] = g
	}
	g.usedAt = now
	g.refill(now, l.rate(a.Gate))
	g.admit(now, from, a, l.rate(a.Gate))
}

// isOpen reports whether the gate is one of those at which the endpoint's permits are handed
// out. If it is not, the word about the limit, its change or its end is under way.
func (l *Ledger) isOpen(g Gate) bool {
	w := l.words[g.Endpoint]
	return w != nil && w.Named && g.Parts == l.homes.parts(w.Rate) && g.Part < g.Parts
}

// rate returns the permits a second that this process hands out.
func (l *Ledger) rate(g Gate) float64 {
	return max(minRate, l.homes.share()*l.words[g.Endpoint].Rate/float64(g.Parts))
}

// admit queues as many of the calls of an Ask as are expected to get a permit before they
// give up.
func (g *gate) admit(now time.Time, from string, ask Ask, rate float64) {
	i := slices.IndexFunc(g.askers, func(a *asker) bool { return a.address == from })
	if i < 0 {
		g.askers = append(g.askers, &asker{address: from})
		i = len(g.askers) - 1
	}
	a := g.askers[i]
	a.calls, a.priority, a.until, a.answerDue, a.again = 0, ask.Priority, now.Add(min(maxPatience, ask.Patience)), true, 0
	room := int(g.permits + rate*a.until.Sub(now).Seconds())
	for a.calls < ask.Calls && a.calls+1+g.ahead(now, a, a.calls+1) <= room {
		a.calls++
	}
	if a.calls < ask.Calls {
		again := time.Duration(float64(len(g.askers)) / (asksPerPermit*rate + asksPerSecond) * float64(time.Second))
		a.again = min(maxAgain, max(minAgain, again))
	}
}

// ahead returns the number of permits that go to others before a process gets its nth:
// all of the more urgent ones, and as many of each equally urgent process.
func (g *gate) ahead(now time.Time, a *asker, n int) (sum int) {
	for _, o := range g.askers {
		switch {
		case o == a || o.priority > a.priority || now.After(o.until):
		case o.priority < a.priority:
			sum += o.calls
		default:
			sum += min(n, o.calls)
		}
	}
	return sum
}

func (g *gate) refill(now time.Time, rate float64) {
	g.permits = min(1+rate*savedTime.Seconds(), g.permits+rate*now.Sub(g.refilled).Seconds())
	g.refilled = now
}

// grant hands out permits and answers the processes that asked.
func (l *Ledger) grant(now time.Time, out outbox) {
	for key, g := range l.gates {
		g.refill(now, l.rate(key))
		handed := g.hand(now)
		l.cfg.Metrics.Permits.WithLabelValues("handed_out").Add(float64(handed))
		for _, a := range g.askers {
			if a.answerDue || a.granted > 0 {
				l.answer(now, key, a, out)
			}
		}
		g.askers = slices.DeleteFunc(g.askers, func(a *asker) bool { return now.Sub(a.until) > maxAgain })
	}
}

// hand hands out what there is: to the most urgent call first, then to the process that
// has waited longest since its last permit.
func (g *gate) hand(now time.Time) (count int) {
	for g.permits >= 1 {
		var next *asker
		for _, a := range g.askers {
			if a.calls > 0 && !now.After(a.until) && (next == nil || a.compare(next) < 0) {
				next = a
			}
		}
		if next == nil {
			break
		}
		g.permits--
		next.calls--
		next.granted++
		next.lastGrant, g.usedAt = now, now
		count++
	}
	return count
}

// compare orders processes by the priority of their calls, then by their last permits.
func (a *asker) compare(o *asker) int {
	return cmp.Or(cmp.Compare(a.priority, o.priority), a.lastGrant.Compare(o.lastGrant))
}

func (l *Ledger) answer(now time.Time, g Gate, a *asker, out outbox) {
	answer := Answer{Gate: g, Granted: a.granted, Queued: a.calls, Again: a.again}
	a.granted, a.again, a.answerDue = 0, 0, false
	if a.address == l.cfg.Address {
		l.receiveAnswer(now, answer)
		return
	}
	m := out.to(a.address)
	m.Answers = append(m.Answers, answer)
}

// announce asks the processes that would follow this one as the home of a gate whether they
// respond. They learn by it that this process is alive: one that forgot it would hand out the
// same permits again.
func (l *Ledger) announce(now time.Time) {
	for key, g := range l.gates {
		if now.Sub(g.announced) < announceInterval {
			continue
		}
		g.announced = now
		for _, address := range l.homes.successors(key) {
			l.probes[address] = key
		}
	}
}

// probe asks processes whether they respond: those that this one wants to know of, and the
// homes that were silent.
func (l *Ledger) probe(now time.Time, out outbox) {
	maps.Copy(l.probes, l.homes.dueProbes(now))
	for address, gate := range l.probes {
		m := out.to(address)
		m.Asks = append(m.Asks, Ask{Gate: gate})
		l.homes.asked(now, address, gate)
	}
	clear(l.probes)
}

// reply answers the processes that this one has no permits for, so that they do not take it
// for silent.
func (l *Ledger) reply(out outbox) {
	for address, answer := range l.replies {
		m := out.to(address)
		m.Answers = append(m.Answers, answer)
	}
	clear(l.replies)
}
