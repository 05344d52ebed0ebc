package order

import "time"

const (
	// rateWindow is the time over which rates of calls are taken. Bursts are some 6 s long.
	rateWindow = 10 * time.Second
	rateSlots  = 10 // parts of rateWindow
	slotLength = rateWindow / rateSlots
)

// slots counts calls and their tokens within rateWindow.
type slots struct {
	end    time.Time // of what they cover
	calls  [rateSlots]int
	tokens [rateSlots]int
}

func (s *slots) add(now time.Time, tokens int) {
	s.advance(now)
	s.calls[slotOf(now)]++
	s.tokens[slotOf(now)] += tokens
}

// sum returns the calls and tokens of the window, and the most calls in one slot.
func (s *slots) sum(now time.Time) (calls, tokens, most int) {
	if now.Sub(s.end) > rateWindow {
		return 0, 0, 0
	}
	s.advance(now)
	for i := range rateSlots {
		calls += s.calls[i]
		tokens += s.tokens[i]
		most = max(most, s.calls[i])
	}
	return calls, tokens, most
}

// advance clears the slots that have begun since it was last called.
func (s *slots) advance(now time.Time) {
	passed := min(rateSlots, int(now.Truncate(slotLength).Sub(s.end.Truncate(slotLength))/slotLength))
	for i := range max(0, passed) {
		at := slotOf(now.Add(-time.Duration(i) * slotLength))
		s.calls[at], s.tokens[at] = 0, 0
	}
	if now.After(s.end) {
		s.end = now
	}
}

func slotOf(t time.Time) int {
	return int(t.Truncate(slotLength).UnixNano() / int64(slotLength) % rateSlots)
}
