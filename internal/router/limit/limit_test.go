package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

var engine = endpt.Endpoint{ID: "e", StartedMs: 5, Service: "s"}

func newLedger(address string) *Ledger {
	return New(Config{Address: address, Metrics: metric.New(), Log: zap.NewNop()})
}

func expectNamed(t *testing.T, l *Ledger, e endpt.Endpoint, rate float64, named bool) {
	t.Helper()
	got, limited := l.Limit(time.Now(), e)
	if limited != named || named && got.Rate != rate {
		t.Errorf("limited %v with a rate of %v, want %v and %v", limited, got.Rate, named, rate)
	}
}

// The end of a limit counts only if the endpoint can have known of its limit.
func TestEndOfLimit(t *testing.T) {
	l, now := newLedger("a"), time.Now()
	l.Hear(now, engine, now.Add(-time.Second), Statement{Named: true, Rate: 3})
	expectNamed(t, l, engine, 3, true)
	l.Hear(now.Add(time.Millisecond), engine, now.Add(-time.Millisecond), Statement{})
	expectNamed(t, l, engine, 3, true)
	l.Hear(now.Add(time.Second), engine, now.Add(time.Millisecond), Statement{})
	expectNamed(t, l, engine, 0, false)
	old := Word{Statement: Statement{Named: true, Rate: 3}, Endpoint: sched.KeyOf("e"), StartedMs: 5, Age: time.Second}
	if l.Merge(now.Add(1500*time.Millisecond), []Word{old}) {
		t.Error("a peer's older word revived a limit that has ended")
	}
	expectNamed(t, l, engine, 0, false)
}

// An endpoint that starts anew has no limit, and what calls to its earlier incarnation
// bring does not give it one.
func TestLimitOfAnotherIncarnation(t *testing.T) {
	l, now := newLedger("a"), time.Now()
	next := engine
	next.StartedMs = 6
	l.Hear(now, engine, now, Statement{Named: true, Rate: 3})
	expectNamed(t, l, next, 0, false)
	l.Hear(now, next, now, Statement{Named: true, Rate: 4})
	l.Hear(now, engine, now, Statement{Named: true, Rate: 9})
	expectNamed(t, l, next, 4, true)
}

// handOut lets processes ask a home for permits every step and returns how many each got.
func handOut(l *Ledger, start time.Time, d time.Duration, asks map[string]Ask, view View) (times []time.Time, got map[string]int) {
	got = map[string]int{}
	for now := start; now.Before(start.Add(d)); now = now.Add(20 * time.Millisecond) {
		for address, a := range asks {
			l.Receive(now, address, Message{Asks: []Ask{a}})
		}
		for _, p := range l.Tick(now, nil, view) {
			for _, a := range p.Message.Answers {
				got[p.To] += a.Granted
				for range a.Granted {
					times = append(times, now)
				}
			}
		}
	}
	return times, got
}

// A home hands out no more than the rate in any 4 s, with what it has saved up.
func TestHomeKeepsToTheRate(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 3, 12, 80} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			l, now := newLedger("home"), time.Now()
			l.Hear(now, engine, now, Statement{Named: true, Rate: rate})
			asks := map[string]Ask{}
			for i := range 40 {
				asks[fmt.Sprint(i)] = Ask{Gate: Gate{Endpoint: sched.KeyOf("e"), Parts: 1}, Calls: 10, Patience: time.Second}
			}
			times, _ := handOut(l, now, 20*time.Second, asks, View{Live: []string{"home"}, Known: 1})
			effective, worst := max(minRate, rate), 0
			for i, at := range times {
				count := 0
				for _, other := range times[i:] {
					if other.Sub(at) < 4*time.Second {
						count++
					}
				}
				worst = max(worst, count)
			}
			if most := 4*effective + effective*savedTime.Seconds() + 1; float64(worst) > most {
				t.Errorf("%d permits in 4 s, want at most %.1f", worst, most)
			}
			if least := int(0.8 * 20 * effective); len(times) < least {
				t.Errorf("%d permits in 20 s, want at least %d", len(times), least)
			}
		})
	}
}

// Homes of separate parts of a fleet hand out at most one and a half times the rate
// together.
func TestSplitFleet(t *testing.T) {
	now := time.Now()
	for _, parts := range [][]int{{4, 4}, {1, 7}, {2, 3, 3}, {8}, {1, 1, 1, 1, 1, 1, 1, 1}} {
		sum, n := 0.0, 0
		for _, size := range parts {
			var live []string
			for range size {
				live = append(live, fmt.Sprintf("p%02d", n))
				n++
			}
			l := newLedger(live[0])
			l.Hear(now, engine, now, Statement{Named: true, Rate: 10})
			l.Tick(now, nil, View{Live: live, Known: 8})
			sum += l.rate(Gate{Endpoint: sched.KeyOf("e"), Parts: 1})
		}
		if sum > 15 {
			t.Errorf("parts %v hand out %.1f a second, want at most 15", parts, sum)
		}
	}
}

// Permits go to urgent calls first, and are shared out evenly between equally urgent ones.
func TestPermitsByPriority(t *testing.T) {
	l, now := newLedger("home"), time.Now()
	l.Hear(now, engine, now, Statement{Named: true, Rate: 10})
	gate := Gate{Endpoint: sched.KeyOf("e"), Parts: 1}
	asks := map[string]Ask{
		"late": {Gate: gate, Calls: 20, Priority: 5, Patience: time.Second},
		"x":    {Gate: gate, Calls: 20, Priority: 1, Patience: time.Second},
		"y":    {Gate: gate, Calls: 20, Priority: 1, Patience: time.Second},
	}
	_, got := handOut(l, now, 10*time.Second, asks, View{Live: []string{"home"}, Known: 1})
	if got["late"] > 1 || got["x"]+got["y"] < 80 || max(got["x"], got["y"])-min(got["x"], got["y"]) > 10 {
		t.Errorf("permits %v, want nearly all at x and y, in equal parts", got)
	}
}

// A process that gets no permits is told when to ask again, and is not taken for silent.
func TestAnswersOfOthersThanTheHome(t *testing.T) {
	l, now := newLedger("b"), time.Now()
	ask := Ask{Gate: Gate{Endpoint: sched.KeyOf("unknown"), Parts: 1}, Calls: 1, Patience: time.Second}
	l.Receive(now, "c", Message{Asks: []Ask{ask}})
	if !l.Any() {
		t.Fatal("an answer is due, but Any is false")
	}
	answered := false
	for _, p := range l.Tick(now, nil, View{Live: []string{"b"}, Known: 1}) {
		for _, a := range p.Message.Answers {
			answered = p.To == "c" && a.Granted == 0 && a.Again > 0
		}
	}
	if !answered || l.Any() {
		t.Errorf("answered %v, more due %v; want an answer without permits, and no more", answered, l.Any())
	}
}

// While a rate changes, processes may ask at gates of the earlier one. Those must not hand
// out permits beside the new ones.
func TestGatesOfAnEarlierRate(t *testing.T) {
	l, now := newLedger("home"), time.Now()
	view := View{Known: 13}
	for i := range 12 {
		view.Live = append(view.Live, fmt.Sprintf("p%02d", i))
	}
	view.Live = append([]string{"home"}, view.Live...)
	sum := 0
	for _, rate := range []float64{9, 19, 9, 29, 19} {
		l.Hear(now, engine, now, Statement{Named: true, Rate: rate})
		asks := map[string]Ask{}
		for parts := range uint8(4) {
			for part := range parts {
				asks[fmt.Sprint(parts, part)] = Ask{Gate: Gate{Endpoint: sched.KeyOf("e"), Part: part, Parts: parts}, Calls: 30, Patience: time.Second}
			}
		}
		times, _ := handOut(l, now, time.Second, asks, view)
		sum += len(times)
		now = now.Add(time.Second)
		for g := range l.gates {
			if g.Parts != l.homes.parts(rate) {
				t.Errorf("a gate of %d parts is open at a rate of %v", g.Parts, rate)
			}
		}
	}
	if sum == 0 {
		t.Error("no permits were handed out")
	}
}

// A home that does not tell the processes next in line that it is alive is forgotten by
// them, and they hand out the same permits.
func TestHomeAnnouncesItself(t *testing.T) {
	view := View{Known: 13}
	for i := range 13 {
		view.Live = append(view.Live, fmt.Sprintf("p%02d", i))
	}
	gate := Gate{Endpoint: sched.KeyOf("e"), Parts: 1}
	inOrder := rank.Hosts(view.Live, gate.name())
	home, next := newLedger(inOrder[0]), newLedger(inOrder[1])
	start := time.Now()
	home.Hear(start, engine, start, Statement{Named: true, Rate: 3})
	told := map[string]int{}
	for now := start; now.Before(start.Add(5 * announceInterval)); now = now.Add(20 * time.Millisecond) {
		home.Receive(now, inOrder[5], Message{Asks: []Ask{{Gate: gate, Calls: 1, Patience: time.Second}}})
		for _, p := range home.Tick(now, nil, view) {
			if len(p.Message.Asks) == 0 {
				continue
			}
			told[p.To]++
			next.Receive(now, home.cfg.Address, p.Message)
			for _, reply := range next.Tick(now, nil, view) {
				home.Receive(now, p.To, reply.Message)
			}
		}
	}
	for i, address := range inOrder {
		if isNext := i >= 1 && i <= successors; isNext != (told[address] > 0) || told[address] > 5 {
			t.Errorf("number %d in line was told %d times in %v", i, told[address], 5*announceInterval)
		}
	}
}

// A question whether a process responds must not cancel what the sender waits for.
func TestPresenceKeepsTheQueue(t *testing.T) {
	l, now := newLedger("home"), time.Now()
	l.Hear(now, engine, now, Statement{Named: true, Rate: 3})
	gate, view := Gate{Endpoint: sched.KeyOf("e"), Parts: 1}, View{Live: []string{"home"}, Known: 1}
	l.Receive(now, "a", Message{Asks: []Ask{{Gate: gate, Calls: 3, Patience: 2 * time.Second}}})
	granted := 0
	for i := range 60 {
		if i == 2 {
			l.Receive(now, "a", Message{Asks: []Ask{{Gate: gate}}})
		}
		for _, p := range l.Tick(now, nil, view) {
			for _, a := range p.Message.Answers {
				granted += a.Granted
			}
		}
		now = now.Add(20 * time.Millisecond)
	}
	if granted != 3 {
		t.Errorf("%d permits, want 3", granted)
	}
}

// A process whose call was refused asks for a more urgent one at once, and for others only when
// the home said.
func TestUrgentCallIsAskedForAtOnce(t *testing.T) {
	now, key := time.Now(), sched.KeyOf("e")
	view := View{Live: []string{"a", "b"}, Known: 2}
	ledgers := map[string]*Ledger{}
	for _, address := range view.Live {
		ledgers[address] = newLedger(address)
		ledgers[address].Hear(now, engine, now, Statement{Named: true, Rate: 3})
		ledgers[address].Tick(now, nil, view)
	}
	home := ledgers["a"].Home(key)
	asker := ledgers[map[string]string{"a": "b", "b": "a"}[home]]
	for _, step := range []struct {
		calls, priority int
		asks            bool
	}{{4, 3, true}, {5, 3, false}, {6, 1, true}, {7, 1, false}, {7, 0, true}} {
		now = now.Add(20 * time.Millisecond)
		asked := false
		for _, p := range asker.Tick(now, map[sched.Key]sched.Demand{key: {Calls: step.calls, Priority: step.priority, Patience: 500 * time.Millisecond}}, view) {
			asked = asked || p.To == home && slices.ContainsFunc(p.Message.Asks, func(a Ask) bool { return a.Calls > 0 })
			ledgers[p.To].Receive(now, asker.cfg.Address, p.Message)
		}
		for _, p := range ledgers[home].Tick(now, nil, view) {
			ledgers[p.To].Receive(now, home, p.Message)
		}
		if asked != step.asks {
			t.Errorf("%d calls of priority %d: asked %v, want %v", step.calls, step.priority, asked, step.asks)
		}
	}
}

// A limit that an endpoint names after its clock was set back must be kept to.
func TestLimitAfterClockSetBack(t *testing.T) {
	l, now := newLedger("a"), time.Now()
	l.Hear(now, engine, now, Statement{Named: true, Rate: 3})
	next := engine
	next.StartedMs--
	now = now.Add(time.Minute)
	l.Hear(now.Add(time.Millisecond), next, now, Statement{Named: true, Rate: 2})
	expectNamed(t, l, next, 2, true)
}
