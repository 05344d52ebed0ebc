package runner

import (
	"testing"
	"testing/synctest"

	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Guards against a leaving host that accepts calls again because the host list no longer
// contains it. Entries may have an older list.
func TestLeavingHostIsRemovedFromList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRunner(t)
		member := roster.Member{Host: self, DataCentre: dataCentre, Role: roster.RoleAgent, Service: service, Leaving: true}
		r.list(1, member)
		r.expectRefused(r.offer(), peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "host is leaving")
		r.list(2)
		r.expectRefused(r.offer(), peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "host is leaving")
		member.Leaving = false
		r.list(3, member)
		r.expectAccepted(r.offer())
	})
}

// list applies a host list.
func (r *testRunner) list(revision uint64, members ...roster.Member) {
	r.Roster.Update(roster.Version{Epoch: 1, Revision: revision}, members)
	r.maintain()
}
