// Package live holds the active routing table.
package live

import (
	"sync/atomic"

	"github.com/mimosalock/mimosalock/internal/conf/routes"
)

// Holder holds the active table and replaces it only by newer versions. It is
// safe for concurrent use.
type Holder struct{ current atomic.Pointer[routes.Table] }

// New returns a Holder without a table.
func New() *Holder { return &Holder{} }

// Current returns the active table, nil before the first one is applied.
func (h *Holder) Current() *routes.Table { return h.current.Load() }

// Apply activates a table if it is newer than the active one, and reports
// whether it did.
func (h *Holder) Apply(t *routes.Table) bool {
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
