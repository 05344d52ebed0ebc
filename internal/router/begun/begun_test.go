package begun

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

func expectFound(t *testing.T, l *Ledger, id, want string) {
	t.Helper()
	if got, found := l.Find(KeyOf(id)); got != want || found != (want != "") {
		t.Errorf("stream %s: version %q, found %v, want %q", id, got, found, want)
	}
}

// Guards against a stream that is forgotten while it runs or shortly after it broke off, and
// against one that another process's word moves to another version.
func TestLedger(t *testing.T) {
	l := New()
	l.Begin(epoch, Stream{KeyOf("a"), "s", "v1"})
	l.Begin(epoch, Stream{KeyOf("a"), "s", "v1"})
	l.Put(epoch, KeyOf("b"), "v1")
	l.Put(epoch, KeyOf("b"), "v2") // its process has sent it elsewhere before its first event
	l.Put(epoch, KeyOf("a"), "v2")
	expectFound(t, l, "a", "v1")
	expectFound(t, l, "b", "v2")
	expectFound(t, l, "c", "")
	if news := l.TakeNews(); len(news) != 1 || len(l.TakeNews()) != 0 || len(l.Running()) != 1 {
		t.Errorf("news %v, running %v, want the stream that began here, as news once", news, l.Running())
	}
	l.End(KeyOf("a"))
	if len(l.Running()) != 0 {
		t.Errorf("running %v after its end", l.Running())
	}
	for s := range 100 {
		l.Put(epoch.Add(time.Duration(s)*time.Second), KeyOf(fmt.Sprint(s)), "v3")
		if s == 59 {
			expectFound(t, l, "a", "v1")
		}
	}
}

// Streams without end must not use memory without end, nor drive out one that runs.
func TestLedgerIsBounded(t *testing.T) {
	l := New()
	l.Begin(epoch, Stream{KeyOf("a"), "s", "v1"})
	for i := range 5 * generationSize {
		l.Begin(epoch, Stream{Key(i + 1), "s", "v2"})
		l.End(Key(i + 1))
	}
	expectFound(t, l, "a", "v1")
	if n := len(l.recent) + len(l.previous); n > 2*generationSize || len(l.news) > maxNews {
		t.Errorf("%d streams and %d news are kept", n, len(l.news))
	}
}
