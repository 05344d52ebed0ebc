package blame

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// at returns a time in seconds after the epoch of the tests.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// parts returns the parts with these IDs.
func parts(ids ...string) []Part {
	var out []Part
	for _, id := range ids {
		out = append(out, KeyOf(id))
	}
	return out
}

const briefly = 50 * time.Millisecond // how long the calls of these tests run until their engine crashes

// crash records a crash of the first start of an engine.
func crash(l *Ledger, seconds float64, engine string, ids ...string) {
	l.RecordCrash(at(seconds), briefly, engine, 1, parts(ids...))
}

// tell merges the report of one ledger into others.
func tell(seconds float64, from *Ledger, to ...*Ledger) {
	r, _ := from.Report(at(seconds))
	for _, l := range to {
		l.Merge(at(seconds), r)
	}
}

func expectBlocked(t *testing.T, l *Ledger, seconds float64, culprits []Part, ids ...string) {
	t.Helper()
	got, blocked := l.Blocked(at(seconds), parts(ids...))
	slices.Sort(culprits)
	if !blocked || !slices.Equal(got, culprits) {
		t.Fatalf("call %v at %v s: blocked %v for %v, want it blocked for %v", ids, seconds, blocked, got, culprits)
	}
}

func expectSent(t *testing.T, l *Ledger, seconds float64, ids ...string) {
	t.Helper()
	if got, blocked := l.Blocked(at(seconds), parts(ids...)); blocked || got != nil {
		t.Fatalf("call %v at %v s: blocked for %v, want it sent", ids, seconds, got)
	}
}

func stateOf(l *Ledger, seconds float64) uint64 {
	_, state := l.Report(at(seconds))
	return state
}

// expectState expects that an action raises the state or that it leaves it.
func expectState(t *testing.T, l *Ledger, seconds float64, rises bool, action string, do func()) {
	t.Helper()
	before := stateOf(l, seconds)
	do()
	if after := stateOf(l, seconds); (after > before) != rises || after < before {
		t.Fatalf("%s: state went from %d to %d, want it to rise: %v", action, before, after, rises)
	}
}

// Sound calls must not be refused because they share the caller and the first part with
// the calls that crash engines.
func TestCulpritAmongSoundCalls(t *testing.T) {
	l := New()
	for i := range 3 {
		expectSent(t, l, float64(i), "first", "caller", "culprit", "new")
		crash(l, float64(i), fmt.Sprint("e", i), "first", "caller", "culprit", fmt.Sprint("own", i))
		expectSent(t, l, float64(i)+0.1, "first", "caller", "sound")
	}
	expectBlocked(t, l, 3, parts("first", "caller", "culprit"), "first", "caller", "culprit", "new")
	expectSent(t, l, 3, "culprit", "other")
	l.RecordAnswer(at(4), parts("first", "caller", "sound"))
	expectBlocked(t, l, 4, parts("culprit"), "first", "caller", "culprit", "new")
	expectBlocked(t, l, 4, parts("culprit"), "culprit", "other")
	expectSent(t, l, 4, "first", "caller", "sound")
}

// Each process sees only some of the crashes; three at three processes must be enough.
func TestCrashesAtSeveralProcesses(t *testing.T) {
	ledgers := []*Ledger{New(), New(), New()}
	for i, l := range ledgers {
		crash(l, float64(i), fmt.Sprint("e", i), "first", "culprit", fmt.Sprint("own", i))
		l.RecordAnswer(at(3), parts("first"))
		expectSent(t, l, 3, "first", "culprit")
	}
	tell(4, ledgers[0], ledgers[1])
	expectSent(t, ledgers[1], 4, "first", "culprit")
	tell(4, ledgers[1], ledgers[2])
	expectBlocked(t, ledgers[2], 4, parts("culprit"), "first", "culprit")
	tell(4, ledgers[2], ledgers[0], ledgers[1])
	for _, l := range ledgers {
		expectBlocked(t, l, 4, parts("culprit"), "first", "culprit")
	}
}

// When many engines end at once, a first part that all calls share must not stay blocked.
func TestPopularPartInMassCrash(t *testing.T) {
	l := New()
	for i := range 100 {
		crash(l, float64(i)/100, fmt.Sprint("e", i), "first", fmt.Sprint("own", i))
	}
	l.RecordAnswer(at(1), parts("first", "another"))
	expectSent(t, l, 1, "first", "sound")
	for i := range 100 {
		expectSent(t, l, 1, "first", fmt.Sprint("own", i))
	}
}

// An engine that ends with several calls is one observation.
func TestCallsOfOneEngineStart(t *testing.T) {
	l := New()
	for i := range 20 {
		crash(l, float64(i)/100, fmt.Sprint("e", i%2), "first", "part", fmt.Sprint("own", i))
	}
	expectSent(t, l, 1, "first", "part", "new")
}

// A call that happened to wait for its first event on two crashed engines is sound.
func TestInnocentCallAtTwoCrashes(t *testing.T) {
	l := New()
	for i := range 6 {
		crash(l, float64(i), fmt.Sprint("e", i), "first", "culprit", fmt.Sprint("own", i))
		if i%3 == 0 {
			crash(l, float64(i), fmt.Sprint("e", i), "first", "innocent")
		}
		l.RecordAnswer(at(float64(i)+0.5), parts("first"))
	}
	expectSent(t, l, 6, "first", "innocent")
	expectBlocked(t, l, 6, parts("culprit"), "first", "culprit")
}

// The crashes under one culprit must not hide those under another.
func TestTwoCulprits(t *testing.T) {
	l := New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("a", i), "first", "culprit1", fmt.Sprint("own", i))
		crash(l, float64(i), fmt.Sprint("b", i), "first", "culprit2", fmt.Sprint("own", i))
	}
	l.RecordAnswer(at(3), parts("first", "own0", "own1", "own2"))
	expectBlocked(t, l, 3, parts("culprit1"), "first", "culprit1")
	expectBlocked(t, l, 3, parts("culprit2"), "first", "culprit2")
	expectBlocked(t, l, 3, parts("culprit1", "culprit2"), "culprit2", "culprit1")
	expectSent(t, l, 3, "first", "sound")
}

// Few engines that restart under the same ID must be counted once for each start.
func TestRestartsOfOneEngine(t *testing.T) {
	l := New()
	for i := range 3 {
		expectSent(t, l, float64(i), "culprit")
		l.RecordCrash(at(float64(i)), briefly, "e", int64(i), parts("culprit", fmt.Sprint("own", i)))
	}
	expectBlocked(t, l, 3, parts("culprit"), "culprit")
}

// A process that has just started must not send what all others block.
func TestNewProcessLearnsFromOneReport(t *testing.T) {
	l, late := New(), New()
	for culprit := range 4 { // more records than a report holds, several of one engine
		for i := range 12 {
			crash(l, float64(i), fmt.Sprint("e", culprit, i/3), "first", fmt.Sprint("culprit", culprit), fmt.Sprint("own", culprit, i))
		}
	}
	l.RecordAnswer(at(5.5), parts("first"))
	l.RecordAnswer(at(12), parts("first"))
	for i := range 100 {
		crash(l, 13, fmt.Sprint("f", i), "first", fmt.Sprint("mass", i))
	}
	l.RecordAnswer(at(14), parts("first"))
	tell(15, l, late)
	for culprit := range 4 {
		id := fmt.Sprint("culprit", culprit)
		expectBlocked(t, late, 15, parts(id), "first", id)
	}
	expectSent(t, late, 15, "first", "sound")
}

// Crashes without end, of calls with very many parts, must not use memory without end
// nor make reports that no datagram holds.
func TestBounds(t *testing.T) {
	l, peer := New(), New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("e", i), "culprit", fmt.Sprint("own", i))
	}
	for i := range 13 {
		var r Report
		for j := range maxCrashes {
			many := make([]Part, 100)
			for k := range many {
				many[k] = Part(1 + (i*maxCrashes+j)*100 + k)
			}
			r.Crashes = append(r.Crashes, Crash{Engine: uint32(i*maxCrashes + j), Parts: many})
			l.RecordAnswer(at(4+float64(i)), many)
		}
		l.Merge(at(4.1+float64(i)), r)
		l.RecordAnswer(at(4.2+float64(i)), r.Crashes[0].Parts)
	}
	if len(l.records) != maxRecords {
		t.Fatalf("%d records, want the ledger full with %d", len(l.records), maxRecords)
	}
	expectSizes(t, l, 30)
	expectBlocked(t, l, 30, parts("culprit"), "culprit")
	r, _ := l.Report(at(30))
	for i := range 100 {
		r.Crashes = append(r.Crashes, Crash{Engine: uint32(i), Parts: []Part{Part(i + 1)}})
	}
	for range 100 {
		r.Answers = append(r.Answers, r.Answers...)[:min(10_000, 2*len(r.Answers))]
	}
	peer.Merge(at(30), r)
	if len(peer.records) > maxCrashes {
		t.Fatalf("%d records taken from one report, want at most %d", len(peer.records), maxCrashes)
	}
	blocked := New()
	for i := range maxRecords + 50 {
		crash(blocked, float64(i), fmt.Sprint("e", i), "one", "two")
	}
	expectSizes(t, blocked, 350)
	expectBlocked(t, blocked, 350, parts("one", "two"), "one", "two")
}

func expectSizes(t *testing.T, l *Ledger, seconds float64) {
	t.Helper()
	if len(l.records) > maxRecords {
		t.Fatalf("%d records, want at most %d", len(l.records), maxRecords)
	}
	if n := len(l.answers.recent) + len(l.answers.previous); n > 2*generationSize {
		t.Fatalf("answers of %d parts outside records, want at most %d", n, 2*generationSize)
	}
	if n := len(l.answers.pinned); n > maxRecords*maxParts {
		t.Fatalf("answers of %d parts in records, want at most %d", n, maxRecords*maxParts)
	}
	r, _ := l.Report(at(seconds))
	if len(r.Crashes) > maxCrashes || len(r.Answers) > maxAnswers {
		t.Fatalf("report of %d crashes and %d answers, want at most %d and %d", len(r.Crashes), len(r.Answers), maxCrashes, maxAnswers)
	}
	for _, c := range r.Crashes {
		if len(c.Parts) > maxParts {
			t.Fatalf("crash with %d parts, want at most %d", len(c.Parts), maxParts)
		}
	}
}

// A full ledger must keep the records that blocks rest on, however old they are.
func TestFullLedgerKeepsBlocks(t *testing.T) {
	l := New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("e", i), "culprit", fmt.Sprint("own", i))
	}
	for i := range 2 * maxRecords {
		crash(l, 3+float64(i)/1000, fmt.Sprint("f", i), fmt.Sprint("single", i))
	}
	expectBlocked(t, l, 4, parts("culprit"), "culprit")
	if last := l.records[len(l.records)-1]; !last.has(KeyOf(fmt.Sprint("single", 2*maxRecords-1))) {
		t.Fatal("the newest record was dropped")
	}
	expectState(t, l, 5, false, "record older than all of a full ledger", func() {
		l.Merge(at(5), Report{Crashes: []Crash{{Engine: 1, Parts: parts("old"), Age: 5 * time.Second}}})
	})
}

// A block must end when its crashes are long past, and processes must not return them to
// each other.
func TestExpiry(t *testing.T) {
	l, peer := New(), New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("e", i), "culprit", fmt.Sprint("own", i))
	}
	tell(3, l, peer)
	expectBlocked(t, l, 599.9, parts("culprit"), "culprit")
	for i := range 400 {
		now := 590 + float64(i)*0.1
		tell(now, l, peer)
		tell(now+0.03, peer, l)
	}
	expectSent(t, l, 600, "culprit")
	expectSent(t, peer, 600.1, "culprit")
	if r, _ := l.Report(at(630)); len(r.Crashes)+len(r.Answers)+len(l.records) != 0 {
		t.Fatalf("report %v after expiry, want an empty one", r)
	}
}

// An answer at any process proves the parts sound, also at processes that are told of the
// crashes later than of the answer.
func TestAnswerLiftsBlockEverywhere(t *testing.T) {
	a, b, c := New(), New(), New()
	for i := range 3 {
		crash(a, float64(i), fmt.Sprint("e", i), "part", fmt.Sprint("own", i))
	}
	tell(3, a, b)
	expectBlocked(t, b, 3, parts("part"), "part")
	c.RecordAnswer(at(4), parts("part", "own0", "own1", "own2"))
	expectState(t, c, 5, true, "merged crashes that a known answer clears", func() { tell(5, a, c) })
	expectState(t, c, 5, false, "the same again", func() { tell(5, a, c) })
	expectSent(t, c, 5, "part")
	expectState(t, b, 6, true, "answer that lifts a block", func() { tell(6, c, b) })
	tell(6, b, a)
	for _, l := range []*Ledger{a, b} {
		expectSent(t, l, 6, "part")
		expectState(t, l, 7, false, "known answer", func() { tell(7, c, l) })
	}
	if r, _ := a.Report(at(7)); len(r.Crashes) != 0 {
		t.Fatalf("reports %v, want no crash all of whose parts were answered", r.Crashes)
	}
}

// An answer before a crash says nothing about it.
func TestAnswerBeforeCrash(t *testing.T) {
	l := New()
	for i := range 3 {
		l.RecordAnswer(at(float64(i)), parts("part"))
		crash(l, float64(i)+0.1, fmt.Sprint("e", i), "part")
	}
	expectSent(t, l, 3, "part")
	crash(l, 4, "e3", "part")
	crash(l, 5, "e4", "part")
	expectBlocked(t, l, 5, parts("part"), "part")
}

// Repetitions must not set off messages: every process sends one for each new state.
func TestStateRisesOnlyForNews(t *testing.T) {
	l, peer := New(), New()
	for i := range 3 {
		expectState(t, l, 3, true, "crash", func() { crash(l, float64(i), fmt.Sprint("e", i), "first", "part", fmt.Sprint(i)) })
		expectState(t, l, 3, false, "same crash", func() { crash(l, 4, fmt.Sprint("e", i), fmt.Sprint(i), "part", "first", "part") })
	}
	expectState(t, peer, 5, true, "first report", func() { tell(5, l, peer) })
	expectState(t, peer, 5, false, "same report", func() { tell(5, l, peer) })
	expectState(t, l, 5, true, "answer", func() { l.RecordAnswer(at(5), parts("first")) })
	for i := range 100 {
		now := 6 + float64(i)
		expectState(t, l, now, false, "further answer", func() { l.RecordAnswer(at(now), parts("first", "else")) })
		expectState(t, peer, now, i == 0, "report of it", func() { tell(now, l, peer) })
	}
}

// Ages leave out the time under way: an answer that circulates must not seem newer and
// newer until it clears the crashes after it.
func TestCirculatingAnswer(t *testing.T) {
	a, b := New(), New()
	crash(a, 0, "e0", "part", "own")
	a.RecordAnswer(at(1), parts("part"))
	for i := range 3 {
		crash(a, 2+float64(i)/10, fmt.Sprint("f", i), "part")
	}
	for i := range 2000 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		r, _ := from.Report(at(3 + float64(i)*0.05))
		to.Merge(at(3+float64(i)*0.05+0.04), r)
	}
	expectBlocked(t, a, 110, parts("part"), "part")
	expectBlocked(t, b, 110, parts("part"), "part")
}

// A malformed report must not clear or block anything.
func TestMalformedReports(t *testing.T) {
	l := New()
	for _, age := range []time.Duration{expiry, math.MaxInt64, reportAge} {
		for engine := range uint32(3) {
			l.Merge(at(0), Report{Crashes: []Crash{{Engine: engine, Parts: parts("old"), Age: age}, {Engine: engine}, {Engine: engine, Parts: []Part{0}}}})
		}
	}
	if len(l.records) != 0 {
		t.Fatalf("%d records, want none of those without parts or too old", len(l.records))
	}
	for engine := range uint32(3) {
		l.Merge(at(float64(engine)), Report{Crashes: []Crash{{Engine: engine, Parts: parts("part"), Age: math.MinInt64, Ran: math.MinInt64}}})
	}
	expectBlocked(t, l, 2, parts("part"), "part")
	expectBlocked(t, l, 599, parts("part"), "part")
	l.Merge(at(3), Report{Answers: []Answer{{KeyOf("part"), math.MaxInt64}, {KeyOf("part"), time.Hour}}})
	expectBlocked(t, l, 3, parts("part"), "part")
	l.Merge(at(4), Report{Answers: []Answer{{KeyOf("part"), math.MinInt64}}})
	expectSent(t, l, 4, "part")
	for i := range 3 {
		crash(l, 5+float64(i), fmt.Sprint("f", i), "part")
	}
	expectBlocked(t, l, 7, parts("part"), "part")
}

// Calls that wait must learn of each new block, and of nothing else.
func TestChanged(t *testing.T) {
	l := New()
	expectChange := func(want bool, action string, do func()) {
		t.Helper()
		changed := l.Changed()
		do()
		select {
		case <-changed:
			if !want {
				t.Fatalf("%s: changed", action)
			}
			if l.Changed() == changed {
				t.Fatalf("%s: channel not replaced", action)
			}
		default:
			if want {
				t.Fatalf("%s: not changed", action)
			}
		}
	}
	expectChange(false, "crash", func() { crash(l, 0, "e0", "first", "culprit") })
	expectChange(false, "crash", func() { crash(l, 1, "e1", "first", "culprit") })
	expectChange(true, "block", func() { crash(l, 2, "e2", "first", "culprit") })
	expectChange(false, "further crash", func() { crash(l, 3, "e3", "first", "culprit") })
	expectChange(true, "block of more calls", func() { l.RecordAnswer(at(4), parts("first")) })
	expectChange(false, "end of the block", func() { l.RecordAnswer(at(5), parts("culprit")) })
	for i := range 2 {
		expectChange(false, "crash", func() { crash(l, 5.5+float64(i)/2, fmt.Sprint("f", i), "second") })
	}
	peer := New()
	crash(peer, 7, "f2", "second")
	expectChange(true, "block by a report", func() { tell(8, peer, l) })
	expectChange(false, "expiry", func() { expectSent(t, l, 700, "second") })
}

// A block must stand while other crashes and answers are recorded at the same time.
func TestBlockStandsDuringUpdates(t *testing.T) {
	l, peer := New(), New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("e", i), "culprit", fmt.Sprint("own", i))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 300 {
			other := fmt.Sprint("other", i)
			crash(l, 3, fmt.Sprint("f", i), "first", other)
			l.RecordAnswer(at(4), parts("first", other))
			tell(4, l, peer)
			tell(4, peer, l)
			l.Changed()
		}
	}()
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		default:
		}
		expectBlocked(t, l, 4, parts("culprit"), "culprit")
	}
}

func BenchmarkBlocked(b *testing.B) {
	call := parts("first", "caller", "a", "b", "c", "d")
	empty, two := New(), New()
	for i := range 6 {
		crash(two, float64(i), fmt.Sprint("e", i), "first", fmt.Sprint("culprit", i%2), fmt.Sprint("own", i))
	}
	two.RecordAnswer(at(7), parts("first"))
	for _, test := range []struct {
		name string
		l    *Ledger
	}{{"no rule", empty}, {"two rules", two}} {
		b.Run(test.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				test.l.Blocked(at(8), call)
			}
		})
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	l := full(4)
	call := parts("first", "caller", "a", "b", "c", "d")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.RecordAnswer(at(300+float64(i)/1e6), call)
	}
}

// The cost of one crash more in a full ledger.
func BenchmarkRecordCrash(b *testing.B) {
	for _, n := range []int{4, maxParts} {
		b.Run(fmt.Sprint(n, " parts"), func(b *testing.B) {
			l := full(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.RecordCrash(at(300+float64(i)/1e6), briefly, fmt.Sprint("f", i), 1, callOf(n, i))
			}
		})
	}
}

// full returns a ledger that is full of crashes of calls with n parts.
func full(n int) *Ledger {
	l := New()
	for i := range maxRecords {
		l.RecordCrash(at(float64(i)), briefly, fmt.Sprint("e", i), 1, callOf(n, i))
	}
	return l
}

// callOf returns n parts, half of them of all calls, half of this one.
func callOf(n, i int) []Part {
	out := parts("first")
	for j := 1; j < n/2; j++ {
		out = append(out, Part(j))
	}
	for j := n / 2; j < n; j++ {
		out = append(out, Part(1000+i*maxParts+j))
	}
	return out
}

// A sound call that waited on one of the crashed engines must not extend the block to all
// calls of its caller: none is sent any more, so that no answer lifts it.
func TestInnocentCallDoesNotWidenBlock(t *testing.T) {
	l := New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("e", i), "first", "caller", "culprit", fmt.Sprint("own", i))
	}
	crash(l, 2, "e2", "first", "caller", "innocent")
	expectSent(t, l, 3, "first", "caller", "sound")
}

// Crashes under a second culprit must not extend the block to all calls of its caller.
func TestSecondCulpritDoesNotWidenBlock(t *testing.T) {
	if os.Getenv("KNOWN_RED") == "" {
		t.Skip("known red, entry 12 of KNOWN-RED.txt")
	}
	l := New()
	for i := range 3 {
		crash(l, float64(i), fmt.Sprint("e", i), "first", "caller", "culprit1", fmt.Sprint("own", i))
	}
	crash(l, 3, "f0", "first", "caller", "culprit2")
	expectSent(t, l, 3.1, "first", "caller", "sound")
}
