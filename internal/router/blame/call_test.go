package blame

import (
	"fmt"
	"testing"
)

const repeatedBytes = 400 // of a regular report between processes

// callPart returns the part that a whole call is.
func callPart(n int) string { return fmt.Sprint("call ", n) }

// pass merges an encoded report of one ledger into others.
func pass(t *testing.T, seconds float64, from *Ledger, maxBytes int, to ...*Ledger) {
	t.Helper()
	r, _ := from.Report(at(seconds))
	decoded, err := Decode(Encode(r, maxBytes))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range to {
		l.Merge(at(seconds), decoded)
	}
}

// Guards against a call that crashes endpoints being sent on because there are many others:
// reports that hold only some of them, or a ledger that is full of their further crashes.
func TestManyCallsCrashEndpoints(t *testing.T) {
	const calls, crashesEach = 100, 12
	l, peer := New(), New()
	for n := range crashesEach {
		for i := range calls {
			crash(l, float64(n)+float64(i)/calls, fmt.Sprint("e", n, "-", i), callPart(i))
		}
	}
	for i := range calls {
		expectBlocked(t, l, 12, parts(callPart(i)), callPart(i))
	}
	if l.Blocks() != calls || len(l.records) > maxRecords {
		t.Fatalf("%d blocks in %d records", l.Blocks(), len(l.records))
	}
	for n := range 30 {
		pass(t, 12+float64(n)*0.35, l, repeatedBytes, peer)
	}
	for i := range calls {
		expectBlocked(t, peer, 30, parts(callPart(i)), callPart(i))
	}
}

// Guards against a sound call being shut out that was under way at several crashes and was
// answered in between, by a process that was told of the crashes only.
func TestAnswerToCallIsToldAlone(t *testing.T) {
	a, b, c := New(), New(), New()
	for n := range 3 {
		s := float64(n)
		crash(a, s, fmt.Sprint("e", n), callPart(1))
		pass(t, s+0.1, a, repeatedBytes, b, c)
		a.RecordAnswer(at(s+0.2), parts(callPart(1)))
		pass(t, s+0.3, a, repeatedBytes, b)
		pass(t, s+0.4, b, repeatedBytes, c)
	}
	for _, l := range []*Ledger{a, b, c} {
		expectSent(t, l, 3, callPart(1))
	}
	if r, _ := a.Report(at(60)); len(r.Crashes)+len(r.Answers) > 0 {
		t.Errorf("report %v long after the answer, want an empty one", r)
	}
}

// Guards against reports of all calls that were under way when a data centre failed, for as
// long as crashes are kept.
func TestLoneCrashIsToldForAWhile(t *testing.T) {
	l := New()
	for i := range 50 {
		crash(l, 0, "e", callPart(i))
	}
	if r, _ := l.Report(at(1)); len(r.Crashes) != 50 {
		t.Errorf("%d crashes reported at once, want 50", len(r.Crashes))
	}
	if r, _ := l.Report(at(6)); len(r.Crashes) != 0 {
		t.Errorf("%d crashes reported after 6 s, want none", len(r.Crashes))
	}
	crash(l, 100, "f", callPart(7))
	if r, _ := l.Report(at(200)); len(r.Crashes) != 2 {
		t.Errorf("%d crashes reported of a call under which two endpoints crashed, want 2", len(r.Crashes))
	}
	crash(l, 300, "g", callPart(7))
	expectBlocked(t, l, 300, parts(callPart(7)), callPart(7))
}
