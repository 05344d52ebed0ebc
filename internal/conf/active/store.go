// Package active holds the active configuration version. A version is applied
// completely or not at all, and never replaces a newer one.
package active

import (
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/view"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
)

// Store holds the view of the active configuration version. It is safe for
// concurrent use.
type Store struct {
	mu          sync.Mutex
	current     *view.View
	confirmedAt time.Time     // when the configuration service last confirmed the version
	changed     chan struct{} // closed when the next version is applied
	fleetOnly   bool
	trail       *audit.Trail
}

// New returns an empty store. fleetOnly marks a store of data centres and
// services without workspaces.
func New(fleetOnly bool, trail *audit.Trail) *Store {
	return &Store{changed: make(chan struct{}), fleetOnly: fleetOnly, trail: trail}
}

// FleetOnly reports whether the store holds no workspaces.
func (s *Store) FleetOnly() bool { return s.fleetOnly }

// View returns the active version, nil before the first one is applied.
func (s *Store) View() *view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Apply activates a bundle if its version is higher than the active one, and
// reports whether it did. from names the source of the bundle for the audit
// trail.
func (s *Store) Apply(b *bundle.Bundle, from string) (bool, error) {
	previous := s.View()
	if b.Version() <= previous.Version() {
		return false, nil
	}
	next, err := view.New(b, previous)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Version()
	if next.Version() <= old {
		return false, nil
	}
	s.current = next
	invar.Check(s.current.Version() > old, "config_only_rises", "version went from %d to %d", old, s.current.Version())
	close(s.changed)
	s.changed = make(chan struct{})
	s.trail.Record(audit.Event{Kind: audit.KindConfigApplied, Subject: "config", Version: next.Version(), Reason: "from " + from})
	return true, nil
}

// Confirm records that the configuration service confirmed the version age ago,
// directly or through a peer. It ignores other versions, and confirmations
// older than the last one.
func (s *Store) Confirm(version uint64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	if version == s.current.Version() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Age returns the time since the version was last confirmed, and false if it
// never was.
func (s *Store) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt), !s.confirmedAt.IsZero()
}

// Changed returns a channel that is closed when the next version is applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
