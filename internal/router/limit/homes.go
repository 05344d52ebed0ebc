package limit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// View is which processes there are, as one of them sees it.
type View struct {
	Live  []string // addresses of those that are alive, this one included, in order
	Known int      // number of those that were alive within the last minute, this one included
}

const (
	// answerTimeout is a few times the round trip between data centres.
	answerTimeout = 300 * time.Millisecond
	// maxUnanswered is the number of unanswered questions in a row after which a process is
	// no home until it answers one. It is then asked every probeInterval.
	maxUnanswered = 2
	probeInterval = 3 * time.Second
	// A home announces itself to successors others every announceInterval.
	successors       = 3
	announceInterval = 500 * time.Millisecond
	// partitionFactor times the share of the known processes that a home sees is the part of
	// the rate that it hands out. Homes of separate parts of a fleet then hand out at most
	// partitionFactor times the rate together.
	partitionFactor = 1.5

	// In a fleet of more than maxOneHome processes, an endpoint has one home for each
	// ratePerHome requests a second that it accepts, since each permit takes messages.
	maxOneHome  = 12
	ratePerHome = 10.0
	maxParts    = 16
)

// homes assigns each limited endpoint to a process.
type homes struct {
	own       string
	ownHash   uint64
	view      View
	cache     map[Gate]string
	questions map[string]*question // by address
}

// question is what this process asked a home and got no answer to yet.
type question struct {
	gate       Gate
	asked      time.Time // the oldest unanswered one, zero if there is none
	unanswered int
	silent     bool
	probeAt    time.Time // of a silent process
}

func newHomes(own string) homes {
	return homes{own: own, ownHash: xxhash.Sum64String(own), view: View{Live: []string{own}, Known: 1}, cache: map[Gate]string{}, questions: map[string]*question{}}
}

// update replaces the view and finds the processes that do not answer.
func (h *homes) update(now time.Time, v View) {
	if !slices.Equal(v.Live, h.view.Live) {
		clear(h.cache)
	}
	h.view = v
	for address, q := range h.questions {
		if _, live := slices.BinarySearch(v.Live, address); !live {
			delete(h.questions, address)
			continue
		}
		if q.silent || q.asked.IsZero() || now.Sub(q.asked) < answerTimeout {
			continue
		}
		q.asked = time.Time{}
		if q.unanswered++; q.unanswered >= maxUnanswered {
			q.silent, q.probeAt = true, now.Add(probeInterval)
			clear(h.cache)
		}
	}
}

// dueProbes returns the silent processes that are to be asked again, each with a gate.
func (h *homes) dueProbes(now time.Time) map[string]Gate {
	due := map[string]Gate{}
	for address, q := range h.questions {
		if q.silent && !now.Before(q.probeAt) {
			q.probeAt = now.Add(probeInterval)
			due[address] = q.gate
		}
	}
	return due
}

func (h *homes) isSilent(address string) bool {
	q := h.questions[address]
	return q != nil && q.silent
}

// gate returns the gate at which this process asks for permits.
func (h *homes) gate(key sched.Key, rate float64) Gate {
	parts := h.parts(rate)
	return Gate{Endpoint: key, Part: uint8(h.ownHash % uint64(parts)), Parts: parts}
}

// parts returns the number of gates of an endpoint that accepts a rate.
func (h *homes) parts(rate float64) uint8 {
	if len(h.view.Live) <= maxOneHome {
		return 1
	}
	return uint8(min(maxParts, max(1, math.Ceil(rate/ratePerHome))))
}

// of returns the address of a gate's home.
func (h *homes) of(g Gate) string {
	if home, known := h.cache[g]; known {
		return home
	}
	name := g.name()
	best, bestScore := h.own, rank.Score(h.own, name)
	for _, address := range h.view.Live {
		if h.isSilent(address) {
			continue
		}
		if score := rank.Score(address, name); score > bestScore {
			best, bestScore = address, score
		}
	}
	h.cache[g] = best
	return best
}

func (g Gate) name() string { return fmt.Sprintf("%x/%d/%d", g.Endpoint, g.Part, g.Parts) }

// successors returns the processes that would be a gate's home after this one.
func (h *homes) successors(g Gate) []string {
	others := slices.DeleteFunc(slices.Clone(h.view.Live), func(address string) bool { return address == h.own || h.isSilent(address) })
	ranked := rank.Hosts(others, g.name())
	return ranked[:min(successors, len(ranked))]
}

// Home returns the address of the process that this one asks for an endpoint's permits.
func (l *Ledger) Home(key sched.Key) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := 0.0
	if w := l.words[key]; w != nil {
		rate = w.Rate
	}
	return l.homes.of(l.homes.gate(key, rate))
}

func (h *homes) isOwn(g Gate) bool { return h.of(g) == h.own }

// asked records that a process was asked something.
func (h *homes) asked(now time.Time, address string, g Gate) {
	q := h.questions[address]
	if q == nil {
		q = &question{gate: g}
		h.questions[address] = q
	}
	if q.asked.IsZero() {
		q.asked = now
	}
}

// answered records that a process has answered.
func (h *homes) answered(address string) {
	if h.isSilent(address) {
		clear(h.cache)
	}
	delete(h.questions, address)
}

// share returns the part of a rate that this process may hand out as a home.
func (h *homes) share() float64 {
	live := len(h.view.Live)
	for _, q := range h.questions {
		if q.silent {
			live--
		}
	}
	return min(1, partitionFactor*float64(max(1, live))/float64(max(1, h.view.Known)))
}
