// Package live holds the table in force.
package live

import (
	"sync/atomic"

	"github.com/mimosalock/mimosalock/internal/conf/table"
)

// Holder is safe for concurrent use. The table in force only moves upwards.
type Holder struct{ current atomic.Pointer[table.Table] }

// New returns a holder without a table.
func New() *Holder { return &Holder{} }

// Current returns the table in force, nil before the first.
func (h *Holder) Current() *table.Table { return h.current.Load() }

// Apply puts a table in force if it is newer than the present one.
func (h *Holder) Apply(t *table.Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version() >= t.Version() {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			return true
		}
	}
}
