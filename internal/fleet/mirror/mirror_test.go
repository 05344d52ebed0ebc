package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// registry is a registry whose values are "state beat"; a change of the beat alone
// is a renewal.
type registry struct {
	epoch    uint64
	revision uint64
	items    map[string]Item
	history  []Item
}

func newRegistry() *registry { return &registry{items: map[string]Item{}} }

func (r *registry) write(it Item) {
	r.revision++
	it.Revision = r.revision
	delete(r.items, it.Key)
	if !it.Deleted {
		r.items[it.Key] = it
	}
	r.history = append(r.history, it)
}

func (r *registry) put(key, value string) { r.write(Item{Key: key, Value: []byte(value)}) }
func (r *registry) remove(key string)     { r.write(Item{Key: key, Deleted: true}) }

// rewind brings the registry back as it was at a revision.
func (r *registry) rewind(revision uint64) {
	history := r.history[:revision]
	*r = registry{epoch: r.epoch + 1, items: map[string]Item{}}
	for _, it := range history {
		r.write(it)
	}
}

func (r *registry) list() (out []Item) {
	for _, it := range r.items {
		out = append(out, it)
	}
	return out
}

// readBy makes a copy read the registry, as a listing if it is empty.
func (r *registry) readBy(m *Mirror, now time.Time) {
	p := Position{Epoch: r.epoch, Cursor: r.revision, AsOf: now, Reader: "r"}
	own := m.Position()
	if own.Cursor == 0 || own.Epoch != r.epoch {
		m.Replace(r.list(), p)
		return
	}
	m.Apply(r.history[own.Cursor:], p)
}

func newMirror() *Mirror {
	return New(func(a, b Item) bool { return state(a) == state(b) })
}

func state(it Item) string {
	var s, beat string
	_, _ = fmt.Sscan(string(it.Value), &s, &beat)
	return s
}

// content returns the items that are not deleted, without their renewals.
func content(m *Mirror) (out []string) {
	for _, it := range m.Since(m.Position().Epoch, 0).Items {
		out = append(out, it.Key+"="+state(it))
	}
	slices.Sort(out)
	return out
}

func expectContent(t *testing.T, m *Mirror, want ...string) {
	t.Helper()
	if got := content(m); !slices.Equal(got, want) {
		t.Fatalf("the copy holds %v, want %v", got, want)
	}
}

func TestRenewalsAreNotChanges(t *testing.T) {
	r, m := newRegistry(), newMirror()
	r.put("a", "ready 1")
	r.readBy(m, time.Now())
	before := m.Position()
	r.put("a", "ready 2")
	later := time.Now().Add(time.Second)
	r.readBy(m, later)
	after := m.Position()
	if after.State != before.State || after.Cursor != 2 || !after.AsOf.Equal(later) {
		t.Fatalf("position %+v after a renewal, before %+v: want the same state, a later cursor and time", after, before)
	}
}

func TestConfirm(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		peer     Position
		advances bool
	}{
		{"equal copy", Position{State: 5, Cursor: 9, AsOf: now}, true},
		{"newer copy", Position{State: 8, Cursor: 9, AsOf: now}, false},
		{"older copy", Position{State: 4, Cursor: 9, AsOf: now}, false},
		{"older report of an equal copy", Position{State: 5, Cursor: 5, AsOf: now.Add(-time.Minute)}, false},
		{"empty", Position{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newMirror()
			m.Replace(nil, Position{Cursor: 5, AsOf: now.Add(-time.Second)})
			m.Confirm(test.peer)
			if got := m.Position().AsOf.Equal(now); got != test.advances {
				t.Fatalf("position %+v, advanced %v, want %v", m.Position(), got, test.advances)
			}
		})
	}
}

// A deletion that is no longer kept reaches a peer with the complete copy.
func TestOldDeletions(t *testing.T) {
	r, first, second := newRegistry(), newMirror(), newMirror()
	r.put("a", "ready 1")
	r.put("b", "ready 1")
	r.readBy(first, time.Now())
	second.Merge(first.Since(0, 0))
	r.remove("a")
	for i := range 2 * maxDeleted {
		r.put(fmt.Sprint(i), "ready 1")
		r.remove(fmt.Sprint(i))
	}
	r.readBy(first, time.Now())
	delta := first.Since(0, second.Position().Cursor)
	if !delta.Full {
		t.Fatal("the delta is not complete although it lacks a deletion")
	}
	second.Merge(delta)
	expectContent(t, second, "b=ready")
	if kept := len(first.items); kept > maxDeleted+1 {
		t.Fatalf("%d items are kept, want at most %d", kept, maxDeleted+1)
	}
}

// A listing that was read before the copy's newest change must not undo that change.
func TestOlderListingIsIgnored(t *testing.T) {
	r, m := newRegistry(), newMirror()
	r.put("a", "ready 1")
	old, cursor := r.list(), r.revision
	r.readBy(m, time.Now())
	r.remove("a")
	r.readBy(m, time.Now())
	m.Replace(old, Position{Cursor: cursor, AsOf: time.Now()})
	expectContent(t, m)
}

// Copies that read the registry and each other in any order are complete up to the
// cursor that they claim, and copies with the same state are equal.
func TestRandomExchange(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newExchange(t, choicesOf(seed, 1200)).play() })
	}
}

func choicesOf(seed uint64, n int) []byte {
	choices, rng := make([]byte, n), rand.New(rand.NewPCG(seed, 1))
	for i := range choices {
		choices[i] = byte(rng.Uint32())
	}
	return choices
}

// expectComplete compares a copy with the registry's history up to the cursor that
// the copy claims.
func expectComplete(t *testing.T, r *registry, m *Mirror) {
	t.Helper()
	cursor := m.Position().Cursor
	if cursor == 0 {
		return
	}
	then := newRegistry()
	for _, it := range r.history[:cursor] {
		then.write(it)
	}
	var want []string
	for _, it := range then.list() {
		want = append(want, it.Key+"="+state(it))
	}
	slices.Sort(want)
	if got := content(m); !slices.Equal(got, want) {
		t.Fatalf("the copy holds %v up to revision %d, the registry held %v", got, cursor, want)
	}
}

// A step from a state with the same number in another epoch belongs to other contents.
func TestStepOfAnotherEpochIsIgnored(t *testing.T) {
	m := newMirror()
	m.Replace([]Item{{Key: "a", Value: []byte("ready 1"), Revision: 4}}, Position{Epoch: 1, Cursor: 5})
	step := Step{From: 5, To: Position{Epoch: 2, State: 6, Cursor: 6}, Items: []Item{{Key: "b", Value: []byte("ready 1"), Revision: 6}}}
	if changes := m.Follow(step); changes != nil {
		t.Errorf("changes %v from a step of another epoch, want none", changes)
	}
	expectContent(t, m, "a=ready")
	step.To.Epoch = 1
	m.Follow(step)
	expectContent(t, m, "a=ready", "b=ready")
}
