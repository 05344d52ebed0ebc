package limit

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// permitTTL is how long a permit may be used. It is short, as a home hands out new ones
	// without knowing whether the earlier ones were used.
	permitTTL = 400 * time.Millisecond
	// answerMargin is how long an Ask and its Answer are under way.
	answerMargin = 100 * time.Millisecond
	// maxPatience bounds how long a home keeps an Ask.
	maxPatience = 2 * time.Second
)

// need is what this process needs and has of the permits for one endpoint.
type need struct {
	permits   []time.Time // when each expires, oldest first
	wantedAt  time.Time
	asked     int       // permits of the last Ask that are still to come
	askUntil  time.Time // when the home forgets that Ask
	answerBy  time.Time // when the Ask is repeated, zero if it was answered
	gate      Gate      // that was asked
	home      string    // of that gate
	notBefore time.Time // of the next Ask: the home has no more permits for this process
	priority  int       // of the last Ask
	refused   time.Time // when the home last had no permits for this process, zero if never
	// refusedPriority is the priority of the calls that got none.
	refusedPriority int
}

// held returns the number of permits that can be used.
func (n *need) held(now time.Time) int {
	for len(n.permits) > 0 && !now.Before(n.permits[0]) {
		n.permits = n.permits[1:]
	}
	return len(n.permits)
}

// queued returns the number of permits that the home is expected to grant.
func (n *need) queued(now time.Time) int {
	if now.Before(n.askUntil) {
		return n.asked
	}
	return 0
}

// ask asks the homes for the permits that this process lacks.
func (l *Ledger) ask(now time.Time, demand map[sched.Key]sched.Demand, out outbox) {
	for key, d := range demand {
		if !l.isNamed(key) {
			continue
		}
		n := l.needs[key]
		if n == nil {
			n = &need{}
			l.needs[key] = n
		}
		n.wantedAt = now
		gate := l.homes.gate(key, l.words[key].Rate)
		home := l.homes.of(gate)
		missing := d.Calls - n.held(now)
		if missing <= 0 || home == n.home && n.mustWait(now, d.Priority) || !n.mustAsk(now, missing, gate, home) {
			continue
		}
		patience := min(maxPatience, d.Patience-answerMargin)
		n.asked, n.gate, n.home, n.askUntil, n.answerBy = missing, gate, home, now.Add(patience), now.Add(answerTimeout)
		n.priority = d.Priority
		l.cfg.Metrics.Permits.WithLabelValues("asked").Add(float64(missing))
		a := Ask{Gate: gate, Calls: missing, Priority: d.Priority, Patience: patience}
		if home == l.cfg.Address {
			l.receiveAsk(now, home, a)
			continue
		}
		l.homes.asked(now, home, gate)
		m := out.to(home)
		m.Asks = append(m.Asks, a)
	}
}

// mustWait reports whether calls of a priority must wait until the home may be asked again.
func (n *need) mustWait(now time.Time, priority int) bool {
	return now.Before(n.notBefore) && (n.refused.IsZero() || priority >= n.refusedPriority)
}

// mustAsk reports whether the last Ask does not cover the missing permits.
func (n *need) mustAsk(now time.Time, missing int, gate Gate, home string) bool {
	return gate != n.gate || home != n.home || missing > n.queued(now) || !n.answerBy.IsZero() && now.After(n.answerBy)
}

// receiveAnswer records the permits that a home has granted.
func (l *Ledger) receiveAnswer(now time.Time, a Answer) {
	n := l.needs[a.Gate.Endpoint]
	if n == nil || a.Gate != n.gate {
		return
	}
	for range a.Granted {
		n.permits = append(n.permits, now.Add(permitTTL))
	}
	n.asked, n.answerBy = a.Queued, time.Time{}
	if a.Again > 0 {
		n.notBefore = now.Add(a.Again)
		if n.refused, n.refusedPriority = now, n.priority; a.NotHome {
			n.refused = time.Time{}
		}
	}
}
