package order

import (
	"math/bits"
	"time"
)

// sizeRatio is how many times as much memory a larger call needs. A call that needs little
// more than others finds what one or two of them leave.
const sizeRatio = 2

// sizes are the calls of a service and a priority that came lately by the memory that they
// need, in steps of two. unmet are those that found no room until it was held for them.
type sizes [sizeClasses]struct{ asked, unmet slots }

type sizeKey struct {
	service  string
	priority int
}

const sizeClasses = 32 // up to 2^32 tokens

func sizeClass(tokens int) int { return min(sizeClasses-1, bits.Len(uint(max(0, tokens)))) }

func (b *Book) askSize(now time.Time, w Work) {
	if w.Tokens == 0 {
		return
	}
	key := sizeKey{w.Service, w.Priority}
	if b.sizes[key] == nil {
		b.sizes[key] = &sizes{}
	}
	b.sizes[key][sizeClass(w.Tokens)].asked.add(now, w.Tokens)
}

// Unmet records a call that found no room in the time for which others may pass it.
func (b *Book) Unmet(now time.Time, w Work) {
	if s := b.sizes[sizeKey{w.Service, w.Priority}]; s != nil {
		s[sizeClass(w.Tokens)].unmet.add(now, w.Tokens)
	}
}

// Larger is what calls leave for larger ones that found no room.
type Larger struct {
	Tokens int     // mean of the largest that found no room, 0 if there are none
	Share  float64 // of the engines at which it is left: their part of what all calls need
}

// Larger returns what a call leaves for larger ones that are not less urgent. Memory that
// becomes free in small parts would otherwise always go to small calls: those of other
// processes do not wait for a large one that waits at this process.
func (b *Book) Larger(now time.Time, w Work) (l Larger) {
	if w.Tokens == 0 || b.IsShort(now, w) {
		return l
	}
	part, all := 0, 0
	for class := sizeClasses - 1; class >= 0; class-- {
		asked, unmet, unmetTokens := b.sumSizes(now, w, class)
		all += asked
		if l.Tokens > 0 {
			continue
		}
		part += asked
		if unmet > 0 && float64(unmetTokens/unmet) >= sizeRatio*float64(w.Tokens) {
			l.Tokens = unmetTokens / unmet
			l.Share = float64(part)
		}
	}
	l.Share /= float64(max(1, all))
	return l
}

// sumSizes returns the tokens that the calls of a size asked for, and the number and tokens of
// those that found no room and are not less urgent than a call of the service.
func (b *Book) sumSizes(now time.Time, w Work, class int) (asked, unmet, unmetTokens int) {
	for key, s := range b.sizes {
		if key.service != w.Service {
			continue
		}
		_, tokens, _ := s[class].asked.sum(now)
		asked += tokens
		if key.priority <= w.Priority {
			calls, tokens, _ := s[class].unmet.sum(now)
			unmet, unmetTokens = unmet+calls, unmetTokens+tokens
		}
	}
	return asked, unmet, unmetTokens
}
