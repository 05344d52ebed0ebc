package blame

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertyLedgers = 4

// history is what happened to ledgers that exchange reports at random times.
type history struct {
	ledgers  []*Ledger
	now      float64
	crashed  map[Part]time.Time // newest crash of each part
	answered map[Part]time.Time
}

// Processes that disagree send a culprit where others block it, or refuse sound calls.
// A part that was answered after the last of its crashes is sound.
func TestLedgersConverge(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("after all reports, ledgers agree and block no sound part", prop.ForAll(func(steps []uint32) string {
		h := history{crashed: map[Part]time.Time{}, answered: map[Part]time.Time{}}
		for range propertyLedgers {
			h.ledgers = append(h.ledgers, New())
		}
		for _, step := range steps {
			h.play(step)
			if fault := h.soundPartBlocked(); fault != "" {
				return fault
			}
		}
		h.exchangeAll()
		if fault := h.soundPartBlocked(); fault != "" {
			return fault
		}
		return h.disagreement()
	}, gen.SliceOfN(40, gen.UInt32())))
	properties.TestingRun(t)
}

// play carries out a step: of five, two crashes, two merges and an answer.
func (h *history) play(step uint32) {
	h.now += float64(step%7) / 10
	step /= 7
	kind := step % 5
	step /= 5
	l := h.ledgers[step%propertyLedgers]
	step /= propertyLedgers
	switch kind {
	case 0, 1:
		if len(l.records) >= 20 {
			return // a report holds all records, so that the order of merges has no effect
		}
		call := []Part{1 + Part(step%3), 4 + Part(step/3%3), 7 + Part(step/9%4)}
		l.RecordCrash(at(h.now), time.Duration(step%5)*100*time.Millisecond, fmt.Sprint(step/36%5), 1, call)
		for _, p := range call {
			h.crashed[p] = at(h.now)
		}
	case 2:
		call := []Part{1 + Part(step%3), 4 + Part(step/3%3), 7 + Part(step/9%4)}[:1+step/36%3]
		l.RecordAnswer(at(h.now), call)
		for _, p := range call {
			h.answered[p] = at(h.now)
		}
	default:
		tell(h.now, l, h.ledgers[step%propertyLedgers])
	}
}

// exchangeAll passes reports on as long as any of them is news.
func (h *history) exchangeAll() {
	for round := 0; round < 20; round++ {
		before := h.states()
		for _, l := range h.ledgers {
			tell(h.now, l, h.ledgers...)
		}
		if slices.Equal(before, h.states()) {
			return
		}
	}
}

func (h *history) states() []uint64 {
	var out []uint64
	for _, l := range h.ledgers {
		out = append(out, stateOf(l, h.now))
	}
	return out
}

// soundPartBlocked returns what a ledger blocks though that ledger has been told of an
// answer after the last of the crashes.
func (h *history) soundPartBlocked() string {
	for i, l := range h.ledgers {
		for p, answered := range h.answered {
			if answered.Before(h.crashed[p]) || l.answers.newest(p) != answered {
				continue
			}
			if culprits, _ := l.Blocked(at(h.now), allParts()); slices.Contains(culprits, p) {
				return fmt.Sprintf("ledger %d blocks part %d, which was answered after its last crash", i, p)
			}
		}
	}
	return ""
}

// disagreement returns a call on which the ledgers differ, or a part that one of them
// blocks though any of them was told that it is sound.
func (h *history) disagreement() string {
	for i, l := range h.ledgers {
		for _, call := range allCalls() {
			want, _ := h.ledgers[0].Blocked(at(h.now), call)
			got, _ := l.Blocked(at(h.now), call)
			if !slices.Equal(got, want) {
				return fmt.Sprintf("call %v: ledger 0 blocks it for %v, ledger %d for %v", call, want, i, got)
			}
			for _, p := range got {
				if answered, ok := h.answered[p]; ok && !answered.Before(h.crashed[p]) {
					return fmt.Sprintf("ledger %d blocks part %d, which was answered after its last crash", i, p)
				}
			}
		}
	}
	return ""
}

func allParts() []Part {
	var out []Part
	for p := Part(1); p <= 10; p++ {
		out = append(out, p)
	}
	return out
}

// allCalls returns the calls with at most one part of each of the kinds that play gives
// them.
func allCalls() [][]Part {
	var out [][]Part
	for set := range 4 * 4 * 5 {
		var call []Part
		for kind, n := range []int{set % 4, set / 4 % 4, set / 16} {
			if n > 0 {
				call = append(call, Part(3*kind+n))
			}
		}
		out = append(out, call)
	}
	return out
}
