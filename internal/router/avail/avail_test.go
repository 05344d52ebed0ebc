package avail

import (
	"fmt"
	"testing"
	"time"
)

var one = Incarnation{ID: "e", StartedMs: 1}

// The words of one start of an endpoint must not be taken for those of another.
func TestWordsOfOtherIncarnations(t *testing.T) {
	l, now := New(), time.Now()
	l.Hear(now, one, Leaving{})
	l.Hear(now, one, Closed{Until: now.Add(time.Minute)})
	for _, other := range []Incarnation{{"e", 2}, {"e", 0}, {"f", 1}} {
		if l.IsLeaving(now, other) || l.ClosedFor(now, other) > 0 {
			t.Errorf("%v got the words of %v", other, one)
		}
	}
	if !l.IsLeaving(now, one) || l.ClosedFor(now, one) != time.Minute {
		t.Errorf("leaving %v, closed for %v, want both", l.IsLeaving(now, one), l.ClosedFor(now, one))
	}
}

// An earlier time must not reopen an endpoint: its answers may overtake each other.
func TestClosedUntilTheLatestTime(t *testing.T) {
	l, now := New(), time.Now()
	for i, step := range []struct {
		until time.Duration
		news  bool
	}{{2 * time.Second, true}, {time.Second, false}, {2 * time.Second, false}, {3 * time.Second, true}} {
		if news := l.Hear(now, one, Closed{Until: now.Add(step.until)}); news != step.news {
			t.Errorf("word %d is news: %v, want %v", i, news, step.news)
		}
	}
	for at, want := range map[time.Duration]time.Duration{0: 3 * time.Second, 2 * time.Second: time.Second, 3 * time.Second: 0, time.Hour: 0} {
		if got := l.ClosedFor(now.Add(at), one); got != want {
			t.Errorf("closed for %v after %v, want %v", got, at, want)
		}
	}
}

// Endpoints that restart all the time, or claim to, must not fill the memory, and must not
// push out what newer ones say.
func TestMemoryIsBounded(t *testing.T) {
	for name, reason := range map[string]func(now time.Time) Reason{
		"leaving":         func(time.Time) Reason { return Leaving{} },
		"closed for long": func(now time.Time) Reason { return Closed{Until: now.Add(time.Hour)} },
	} {
		t.Run(name, func(t *testing.T) {
			l, now := New(), time.Now()
			for i := range 2 * maxIncarnations {
				now = now.Add(time.Millisecond)
				inc := Incarnation{ID: fmt.Sprint(i % 7), StartedMs: int64(i)}
				l.Hear(now, inc, reason(now))
				if newest := l.records[inc]; newest.ended(now) || len(l.records) > maxIncarnations {
					t.Fatalf("word %d: %d records, the newest is %+v, want at most %d and all of the newest", i, len(l.records), newest, maxIncarnations)
				}
				if before := (Incarnation{ID: fmt.Sprint((i - 100) % 7), StartedMs: int64(i - 100)}); i >= 100 && l.records[before].ended(now) {
					t.Fatalf("word %d pushed out the word a hundred before", i)
				}
			}
		})
	}
	t.Run("what has ended goes first", func(t *testing.T) {
		l, now := New(), time.Now()
		l.Hear(now, one, Leaving{})
		for i := range maxIncarnations {
			now = now.Add(100 * time.Millisecond)
			l.Hear(now, Incarnation{ID: "closed", StartedMs: int64(i)}, Closed{Until: now.Add(time.Second)})
		}
		if !l.IsLeaving(now, one) {
			t.Error("an endpoint that leaves was forgotten for closed times that have ended")
		}
	})
}

// What an endpoint said must end at some time, also for one whose start nobody knows.
func TestLeavingEnds(t *testing.T) {
	l, now := New(), time.Now()
	l.Hear(now, Incarnation{ID: "e"}, Leaving{})
	if l.IsLeaving(now.Add(leavingTTL+time.Second), Incarnation{ID: "e"}) {
		t.Error("the endpoint is leaving for ever")
	}
	now = now.Add(2 * leavingTTL)
	if !l.Hear(now, Incarnation{ID: "e"}, Leaving{}) || !l.IsLeaving(now, Incarnation{ID: "e"}) {
		t.Error("a word after the end of the former one is no news")
	}
}
