// Package live holds the active routing table.
package live

import (
	"sync/atomic"

	"github.com/mimosalock/mimosalock/internal/conf/routes"
)

// Holder holds the active table and replaces it only by newer versions. It is
// safe for concurrent use.
type Holder struct{ current atomic.Pointer[active] }

type active struct {
	table *routes.Table
	epoch uint64
}

// New returns a Holder without a table.
func New() *Holder { return &Holder{} }

// Current returns the active table, nil before the first one is applied.
func (h *Holder) Current() *routes.Table {
	if a := h.current.Load(); a != nil {
		return a.table
	}
	return nil
}

// Apply activates a table if it is newer than the active one, and reports whether it
// did. epoch is the registry's epoch that the table was read in. After the registry has
// come back from an older copy, a version may be given out again with other contents: the
// one of the later epoch is newer.
func (h *Holder) Apply(t *routes.Table, epoch uint64) bool {
	next := &active{t, epoch}
	for {
		old := h.current.Load()
		if old != nil && (old.table.Version() > t.Version() || old.table.Version() == t.Version() && old.epoch >= epoch) {
			return false
		}
		if h.current.CompareAndSwap(old, next) {
			return true
		}
	}
}
