package mirror

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// exchange is a registry with a few copies of it. Answers and deltas that were long under way
// arrive in any order, some of them twice.
type exchange struct {
	t        *testing.T
	registry *registry
	epochs   map[uint64]*registry // as each epoch ended
	copies   []*follower
	delayed  []func()
	choices  []byte // what happens next, and to which copy
}

// follower is a process: its copy, and what it has been told of the copy's changes.
type follower struct {
	*Mirror
	told map[string]string
}

func newFollower() *follower { return &follower{newMirror(), map[string]string{}} }

// take takes over changes that the copy reports.
func (f *follower) take(changes []Item) {
	for _, it := range changes {
		delete(f.told, it.Key)
		if !it.Deleted {
			f.told[it.Key] = state(it)
		}
	}
}

func newExchange(t *testing.T, choices []byte) *exchange {
	r := newRegistry()
	return &exchange{
		t: t, registry: r, epochs: map[uint64]*registry{0: r}, choices: choices,
		copies: []*follower{newFollower(), newFollower(), newFollower(), newFollower()},
	}
}

// choose returns a number below n.
func (x *exchange) choose(n int) int {
	if len(x.choices) == 0 {
		return 0
	}
	c := int(x.choices[0])
	x.choices = x.choices[1:]
	return c % n
}

func (x *exchange) play() {
	for len(x.choices) > 0 {
		before := make([]Position, len(x.copies))
		for i, c := range x.copies {
			before[i] = c.Position()
		}
		started := x.step()
		for i, c := range x.copies {
			if c != started {
				expectNotBack(x.t, before[i], c.Position())
			}
			expectComplete(x.t, x.epochs[c.Position().Epoch], c.Mirror)
			expectTold(x.t, c)
		}
	}
}

// step does one thing and returns the copy that began anew by it, if any.
func (x *exchange) step() (started *follower) {
	i := x.choose(len(x.copies))
	c, peer := x.copies[i], x.copies[x.choose(len(x.copies))]
	key := fmt.Sprint(x.choose(4))
	switch x.choose(11) {
	case 0:
		x.registry.put(key, "ready 1")
	case 1:
		x.registry.put(key, fmt.Sprintf("ready %d", len(x.choices))) // often a renewal
	case 2:
		x.registry.put(key, "draining 1")
	case 3:
		x.registry.remove(key)
	case 4, 5:
		x.send(x.read(c))
	case 6:
		p := c.Position()
		d := peer.Since(p.Epoch, p.Cursor)
		x.send(func() { c.take(c.Merge(d)) })
	case 7:
		p := peer.Position()
		x.send(func() { c.Confirm(p) })
	case 8:
		s := peer.Newest()
		x.send(func() { c.take(c.Follow(s)) })
	case 9:
		started = newFollower()
		x.copies[i] = started
	case 10:
		x.rewind()
	}
	return started
}

// read returns what the registry answers now to a copy.
func (x *exchange) read(c *follower) func() {
	r, own := x.registry, c.Position()
	p := Position{Epoch: r.epoch, Cursor: r.revision, AsOf: time.Now(), Reader: "r"}
	if own.Cursor == 0 || own.Epoch != r.epoch || x.choose(4) == 0 {
		list := r.list()
		return func() {
			if p.Cursor > 0 {
				c.take(c.Replace(list, p))
			}
		}
	}
	changes := slices.Clone(r.history[own.Cursor:])
	return func() { c.take(c.Apply(changes, p)) }
}

// send lets a message arrive at once or later, and perhaps another one that is under way.
func (x *exchange) send(arrive func()) {
	if x.choose(2) == 0 {
		arrive()
		return
	}
	x.delayed = append(x.delayed, arrive)
	i := x.choose(len(x.delayed))
	x.delayed[i]()
	if x.choose(3) > 0 { // otherwise it arrives once more
		x.delayed = slices.Delete(x.delayed, i, i+1)
	}
}

// rewind brings the registry back as it was some changes before.
func (x *exchange) rewind() {
	if x.registry.revision == 0 {
		return
	}
	ended := *x.registry
	x.epochs[ended.epoch] = &ended
	x.registry.rewind(ended.revision - uint64(x.choose(int(min(ended.revision, 6)))))
	x.epochs[x.registry.epoch] = x.registry
}

func expectNotBack(t *testing.T, before, after Position) {
	t.Helper()
	if after.Version().Before(before.Version()) || after.Epoch == before.Epoch && after.Cursor < before.Cursor {
		t.Fatalf("position %+v came after %+v", after, before)
	}
}

// expectTold checks that the reported changes add up to the contents of the copy.
func expectTold(t *testing.T, f *follower) {
	t.Helper()
	var told []string
	for key, s := range f.told {
		told = append(told, key+"="+s)
	}
	slices.Sort(told)
	if held := content(f.Mirror); !slices.Equal(told, held) {
		t.Fatalf("the copy reported %v, it holds %v", told, held)
	}
}

// Late, repeated and reordered answers of the registry and of peers took copies back to older
// contents under a newer position, so that processes that started from them kept those.
func FuzzAnswersInAnyOrder(f *testing.F) {
	for seed := range uint64(50) {
		f.Add(choicesOf(seed, 600))
	}
	f.Fuzz(func(t *testing.T, choices []byte) { newExchange(t, choices).play() })
}

// Guards against an answer to a watch that arrives after a peer's newer copy and undoes it: a
// process that starts from the copy then acts on what was changed, taken away or removed.
func TestOvertakenAnswerIsIgnored(t *testing.T) {
	const key = "a"
	for _, test := range []struct {
		name         string
		early, late  Item // changes of one key; the registry's answer holds the first one only
		want         []string
		answerHolds2 bool // the answer holds both, and was overtaken by another item's change
	}{
		{name: "changed", early: Item{Key: key, Value: []byte("old 1")}, late: Item{Key: key, Value: []byte("new 1")}, want: []string{"a=new"}},
		{name: "removed", early: Item{Key: key, Value: []byte("ready 2")}, late: Item{Key: key, Deleted: true}},
		{name: "removed before it was put", early: Item{Key: key, Deleted: true}, late: Item{Key: key, Value: []byte("ready 3")}, want: []string{"a=ready"}},
		{name: "whole answer", early: Item{Key: key, Value: []byte("old 1")}, late: Item{Key: key, Value: []byte("new 1")}, want: []string{"a=new"}, answerHolds2: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, m, peer := newRegistry(), newMirror(), newMirror()
			r.put(key, "ready 1")
			r.readBy(m, time.Now())
			r.readBy(peer, time.Now())
			asked := m.Position().Cursor
			r.write(test.early)
			answer := slices.Clone(r.history[asked:])
			r.write(test.late)
			if test.answerHolds2 {
				answer = slices.Clone(r.history[asked:])
			}
			r.readBy(peer, time.Now())
			m.Merge(peer.Since(0, asked))
			if changes := m.Apply(answer, Position{Cursor: answer[len(answer)-1].Revision, AsOf: time.Now()}); len(changes) > 0 {
				t.Errorf("the overtaken answer changed %v", changes)
			}
			expectContent(t, m, test.want...)
			started := newMirror()
			started.Merge(m.Since(0, 0))
			expectContent(t, started, test.want...)
		})
	}
}

// An answer that is newer than the peer's copy in part is taken over in that part.
func TestOvertakenInPart(t *testing.T) {
	r, m, peer := newRegistry(), newMirror(), newMirror()
	r.put("a", "one 1")
	r.readBy(m, time.Now())
	r.readBy(peer, time.Now())
	r.remove("a")
	r.put("b", "one 1")
	r.readBy(peer, time.Now())
	r.put("a", "two 1")
	r.put("b", "two 1")
	m2 := m.Position().Cursor
	answer := slices.Clone(r.history[m2:])
	m.Merge(peer.Since(0, m2))
	m.Apply(answer, Position{Cursor: r.revision, AsOf: time.Now()})
	expectContent(t, m, "a=two", "b=two")
	expectComplete(t, r, m)
}
