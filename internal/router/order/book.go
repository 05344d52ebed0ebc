package order

import (
	"maps"
	"time"
)

const (
	// kindTTL is how long a kind counts as present among the calls of its service. It is
	// longer than rateWindow, so that a rare kind does not change the order of the others
	// with each of its calls.
	kindTTL = time.Minute
	// maxKinds limits the memory for kinds: routes times the priorities of their workspaces.
	maxKinds = 512
)

// kind stands for calls that are expected to be alike.
type kind struct {
	service, route string
	priority       int
}

// arrivals are the calls of a kind that came lately.
type arrivals struct {
	run    time.Duration // expected of the newest call, 0 if unknown
	last   time.Time     // arrival of the newest
	recent slots
}

// Book holds which kinds of calls came lately, what workspaces asked for and used, and how
// fast queues move. It is not safe for concurrent use.
type Book struct {
	kinds    map[kind]*arrivals
	accounts map[account]*usage
	told     toldReports
	flows    map[string]*flow // by service, of queues that are not empty
	sizes    map[sizeKey]*sizes
}

// New returns an empty Book.
func New() *Book {
	return &Book{kinds: map[kind]*arrivals{}, accounts: map[account]*usage{}, told: toldReports{}, flows: map[string]*flow{}, sizes: map[sizeKey]*sizes{}}
}

// Arrive records a call that looks for an endpoint.
func (b *Book) Arrive(now time.Time, w Work) {
	b.demand(now, w)
	b.askSize(now, w)
	k := kind{w.Service, w.Route, w.Priority}
	a := b.kinds[k]
	if a == nil {
		if len(b.kinds) >= maxKinds {
			maps.DeleteFunc(b.kinds, func(_ kind, a *arrivals) bool { return now.Sub(a.last) > kindTTL })
		}
		if len(b.kinds) >= maxKinds {
			return
		}
		a = &arrivals{}
		b.kinds[k] = a
	}
	a.last = now
	a.recent.add(now, w.Tokens)
	if w.Run > 0 {
		a.run = w.Run
	}
}

// Need is what calls of some kinds need together.
type Need struct {
	Calls      int           // that came within rateWindow
	MeanTokens int           // of one call
	Busy       float64       // tokens that this process's calls use at the same time, on average
	Age        time.Duration // of the newest of them
}

// Shorter returns the need of the calls that a call leaves room for: those of its service
// that run at most a quarter as long and are not less urgent. It is empty if the call's run
// time is unknown.
func (b *Book) Shorter(now time.Time, w Work) (n Need) {
	sum := 0
	for k, a := range b.kinds {
		if k.service != w.Service || k.priority > w.Priority || !(Work{Run: a.run}).IsShortBeside(w.Run) {
			continue
		}
		calls, tokens, _ := a.recent.sum(now)
		if calls == 0 {
			continue
		}
		if age := now.Sub(a.last); n.Calls == 0 || age < n.Age {
			n.Age = age
		}
		n.Calls += calls
		sum += tokens
		n.Busy += float64(tokens) * a.run.Seconds() / rateWindow.Seconds()
	}
	if n.Calls > 0 {
		n.MeanTokens = sum / n.Calls
	}
	return n
}

// IsShort reports whether a call is short compared with some other calls of its service.
func (b *Book) IsShort(now time.Time, w Work) bool {
	for k, a := range b.kinds {
		if k.service == w.Service && now.Sub(a.last) < kindTTL && w.IsShortBeside(a.run) {
			return true
		}
	}
	return false
}
