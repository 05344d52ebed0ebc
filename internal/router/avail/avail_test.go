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
		if l.IsLeaving(other) || l.ClosedFor(now, other) > 0 {
			t.Errorf("%v got the words of %v", other, one)
		}
	}
	if !l.IsLeaving(one) || l.ClosedFor(now, one) != time.Minute {
		t.Errorf("leaving %v, closed for %v, want both", l.IsLeaving(one), l.ClosedFor(now, one))
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
				l.Hear(now, Incarnation{ID: fmt.Sprint(i % 7), StartedMs: int64(i)}, reason(now))
			}
			if len(l.records) > maxIncarnations {
				t.Errorf("%d records, want at most %d", len(l.records), maxIncarnations)
			}
			for i := 2*maxIncarnations - 100; i < 2*maxIncarnations; i++ {
				inc := Incarnation{ID: fmt.Sprint(i % 7), StartedMs: int64(i)}
				if !l.IsLeaving(inc) && l.ClosedFor(now, inc) == 0 {
					t.Fatalf("the word of %v, one of the newest, is gone", inc)
				}
			}
		})
	}
	t.Run("what has ended goes first", func(t *testing.T) {
		l, now := New(), time.Now()
		l.Hear(now, one, Leaving{})
		now = now.Add(time.Second)
		for i := range maxIncarnations {
			l.Hear(now, Incarnation{ID: "closed", StartedMs: int64(i)}, Closed{Until: now.Add(time.Second)})
			now = now.Add(time.Second)
		}
		l.Hear(now.Add(-time.Minute), one, Leaving{})
		if !l.IsLeaving(one) {
			t.Error("an endpoint that still says that it leaves was forgotten for closed times that have ended")
		}
	})
}
