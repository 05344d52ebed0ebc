// Package mirror holds one process's copy of a registry that it can only read. The
// copy comes from the registry itself or from peers that hold one. It does no I/O.
//
// Most changes of the registry only renew an entry. Copies skip those: two copies
// with the same Version are equal, so a process can tell from the numbers alone whether
// a peer's copy is newer than its own, and whether its own is still current.
//
// A registry may come back from an older copy. It then begins a new epoch, in which it
// gives revisions out again: they can be compared only within one epoch.
package mirror

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Item is one key of the registry.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change that was not just a renewal, or a later one
	Deleted  bool
}

// Version identifies the contents of a copy.
type Version struct {
	Epoch uint64 // rises each time the registry comes back from an older copy
	State uint64 // as in Position
}

// Before reports whether a copy is older than another one.
func (v Version) Before(o Version) bool {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.State, o.State)) < 0
}

// Position tells how complete and how old a copy is.
type Position struct {
	Epoch  uint64    // of the registry; all revisions are of this epoch
	State  uint64    // revision of the newest change in the copy, 0 if the copy is empty
	Cursor uint64    // the copy contains all changes up to this revision; at least State
	AsOf   time.Time // when the registry was last known to hold no newer change
	Reader string    // address of the process that read the registry at AsOf
}

// Version returns the version of the copy.
func (p Position) Version() Version { return Version{p.Epoch, p.State} }

// Delta is what a copy lacks of another one.
type Delta struct {
	Position Position
	Full     bool   // Items are the complete copy; otherwise the changes since the requested cursor
	Items    []Item // deleted ones only if Full is false
}

// Mirror is a process's copy. It is safe for concurrent use.
type Mirror struct {
	isRenewal func(before, after Item) bool

	mu        sync.Mutex
	position  Position
	items     map[string]Item // including deleted ones, which a Delta must contain
	deleted   []string        // keys of deleted items, in the order of deletion
	deltaFrom uint64          // deletions before this revision are not in items
	newest    Step
}

// Step is the change from one state of a copy to the next, in the same epoch.
type Step struct {
	From  uint64 // a copy with this state
	To    Position
	Items []Item // becomes equal to the one at To by these changes
}

// maxDeleted is the number of deleted items that are kept. A peer that lacks an older
// deletion gets the complete copy.
const maxDeleted = 1024

// New returns an empty copy. isRenewal reports whether a change of an item left it
// as it was except for the time of its renewal.
func New(isRenewal func(before, after Item) bool) *Mirror {
	return &Mirror{isRenewal: isRenewal, items: map[string]Item{}}
}

// Position returns the copy's position.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Replace applies a complete listing that was read from the registry and contains
// all changes up to p.Cursor. It returns the items that changed. A listing older than
// the copy is ignored; one of a newer epoch never is.
func (m *Mirror) Replace(list []Item, p Position) (changes []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Epoch < m.position.Epoch || p.Epoch == m.position.Epoch && p.Cursor < m.position.Cursor {
		return nil
	}
	m.enter(p.Epoch)
	changes = m.replaceItems(list, p.Cursor)
	// A listing does not show items that were written and deleted again since the last
	// read. Copies that have seen those differ although no item here has changed.
	p.State = p.Cursor
	m.advance(p)
	m.newest = Step{}
	return changes
}

// Apply applies changes that were read from the registry, from a cursor of the copy up
// to p.Cursor. It returns those that are not renewals. Changes that the copy has or that
// newer ones have replaced are ignored: a peer's copy may have overtaken the answer. So are
// changes of another epoch than the copy's.
func (m *Mirror) Apply(list []Item, p Position) (changes []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Epoch != m.position.Epoch {
		return nil
	}
	from, included := m.position.State, m.position.Cursor
	for _, it := range list {
		if it.Revision > included && m.put(it) {
			changes = append(changes, it)
		}
	}
	m.advance(p)
	m.recordStep(from, changes)
	return changes
}

// Follow applies a peer's newest step if this copy is equal to the one before it. It
// returns the items that changed.
func (m *Mirror) Follow(s Step) []Item {
	if len(s.Items) == 0 || s.From == 0 || m.Position().Version() != (Version{s.To.Epoch, s.From}) {
		return nil
	}
	return m.Merge(Delta{Position: s.To, Items: s.Items})
}

// Newest returns the newest step of the copy, without items if it is not known.
func (m *Mirror) Newest() Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.newest
	if s.To.Version() == m.position.Version() {
		s.To = m.position
	}
	return s
}

func (m *Mirror) recordStep(from uint64, changes []Item) {
	if m.position.State > from {
		m.newest = Step{From: from, To: m.position, Items: changes}
	}
}

// Merge applies a peer's Delta, which was requested with the copy's position. It
// returns the items that changed. A delta that holds nothing newer is ignored, and so is
// an incomplete one of another epoch.
func (m *Mirror) Merge(d Delta) (changes []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.position.Version().Before(d.Position.Version()) || d.Position.Epoch != m.position.Epoch && !d.Full {
		return nil
	}
	m.enter(d.Position.Epoch)
	from := m.position.State
	if d.Full {
		changes = m.replaceItems(d.Items, d.Position.Cursor)
	} else {
		for _, it := range d.Items {
			if it.Revision <= m.items[it.Key].Revision {
				continue
			}
			// A change even if the item is the same as before: it may have been deleted and
			// written again, which this process or one that asks it may have seen in part.
			m.put(it)
			m.items[it.Key] = it
			if it.Deleted {
				m.recordDeletion(it.Key)
			}
			changes = append(changes, it)
		}
	}
	m.advance(d.Position)
	if d.Full {
		m.newest = Step{}
	} else {
		m.recordStep(from, changes)
	}
	return changes
}

// Confirm records a peer's position. If the peer's copy is equal, this copy is as
// current as the peer's.
func (m *Mirror) Confirm(p Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Version() == m.position.Version() && p.State > 0 {
		m.advance(p)
	}
}

// Since returns what a copy with the given epoch and cursor lacks.
func (m *Mirror) Since(epoch, cursor uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Position: m.position, Full: epoch != m.position.Epoch || cursor < m.deltaFrom || cursor == 0}
	for _, it := range m.items {
		if d.Full && !it.Deleted || !d.Full && it.Revision > cursor {
			d.Items = append(d.Items, it)
		}
	}
	return d
}

// enter begins a new epoch: nothing is left of the positions of the one before. The items
// stay until the listing that follows replaces them.
func (m *Mirror) enter(epoch uint64) {
	if epoch == m.position.Epoch {
		return
	}
	m.position = Position{Epoch: epoch}
	m.deltaFrom, m.deleted, m.newest = 0, nil, Step{}
	for key, it := range m.items {
		if it.Deleted {
			delete(m.items, key)
			continue
		}
		it.Revision = 0
		m.items[key] = it
	}
}

// replaceItems makes the copy equal to a complete listing. Peers with an older cursor
// get the complete copy from now on.
func (m *Mirror) replaceItems(list []Item, cursor uint64) (changes []Item) {
	listed := make(map[string]bool, len(list))
	for _, it := range list {
		listed[it.Key] = true
		if m.put(it) {
			changes = append(changes, it)
		}
	}
	for key, it := range m.items {
		if !listed[key] && !it.Deleted {
			gone := Item{Key: key, Revision: cursor, Deleted: true}
			m.put(gone)
			changes = append(changes, gone)
		}
	}
	m.deltaFrom = max(m.deltaFrom, cursor)
	return changes
}

// put stores an item and reports whether that changed the copy.
func (m *Mirror) put(it Item) bool {
	before, known := m.items[it.Key]
	switch {
	case it.Deleted && (!known || before.Deleted):
		return false
	case known && !it.Deleted && !before.Deleted && m.isRenewal(before, it):
		if before.Revision == 0 { // of an earlier epoch
			m.items[it.Key] = it
		}
		return false
	}
	m.items[it.Key] = it
	m.position.State = max(m.position.State, it.Revision)
	if it.Deleted {
		m.recordDeletion(it.Key)
	}
	return true
}

func (m *Mirror) recordDeletion(key string) {
	m.deleted = append(slices.DeleteFunc(m.deleted, func(k string) bool { return k == key }), key)
	if len(m.deleted) <= maxDeleted {
		return
	}
	oldest := m.deleted[0]
	m.deleted = m.deleted[1:]
	if it := m.items[oldest]; it.Deleted {
		m.deltaFrom = max(m.deltaFrom, it.Revision)
		delete(m.items, oldest)
	}
}

// advance moves the position forward, never back.
func (m *Mirror) advance(p Position) {
	m.position.State = max(m.position.State, p.State)
	m.position.Cursor = max(m.position.Cursor, p.Cursor, m.position.State)
	if p.AsOf.After(m.position.AsOf) {
		m.position.AsOf, m.position.Reader = p.AsOf, p.Reader
	}
}
