package roster

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

func newRoster() *Roster { return New(audit.New("t", zap.NewNop())) }

func agents(hosts ...string) []Member {
	var out []Member
	for _, h := range hosts {
		out = append(out, Member{Host: h, Role: RoleAgent, Service: "s"})
	}
	return out
}

func TestOlderRevisionsAreIgnoredUntilReset(t *testing.T) {
	cases := []struct {
		name    string
		updates func(r *Roster)
		want    int
	}{
		{"newer", func(r *Roster) { r.Update(Version{Revision: 6}, agents("a", "b")) }, 2},
		{"older", func(r *Roster) { r.Update(Version{Revision: 4}, agents("a", "b")) }, 1},
		{"older between current ones", func(r *Roster) {
			for range 20 {
				r.Update(Version{Revision: 4}, agents("a", "b"))
				time.Sleep(10 * time.Second)
				r.Update(Version{Revision: 5}, agents("a"))
			}
		}, 1},
		{"revision count restarted", func(r *Roster) {
			for range 8 {
				r.Update(Version{Revision: 1}, agents("a", "b"))
				time.Sleep(10 * time.Second)
			}
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRoster()
				r.Update(Version{Revision: 5}, agents("a"))
				c.updates(r)
				if got := len(r.Agents("s")); got != c.want {
					t.Fatalf("%d agents, want %d", got, c.want)
				}
			})
		})
	}
}

func TestSuspicionEndsByTimeoutOrTrust(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster()
		r.Suspect("a", "test")
		r.Suspect("b", "test")
		r.Suspect("b", "again")
		r.Trust("a")
		if r.Suspected("a") || !r.Suspected("b") {
			t.Fatalf("suspected: a %v, b %v", r.Suspected("a"), r.Suspected("b"))
		}
		time.Sleep(minSuspicion)
		if !r.Suspected("b") {
			t.Fatal("second suspicion did not last longer than the first")
		}
		time.Sleep(minSuspicion)
		if r.Suspected("b") {
			t.Fatal("suspicion of b did not end after twice minSuspicion")
		}
	})
}

// A host list that comes back from an older copy gives its revisions out again, with other
// contents.
func TestHostListComesBackOlder(t *testing.T) {
	for _, test := range []struct {
		name  string
		epoch uint64 // of the older copy
	}{{"no epoch", 0}, {"next epoch", 1}} {
		t.Run(test.name, func(t *testing.T) {
			r := newRoster()
			r.Update(Version{Revision: 20}, agents("a"))
			r.Update(Version{test.epoch, 19}, nil)
			r.Update(Version{test.epoch, 20}, agents("b"))
			if got := r.Agents("s"); len(got) != 1 || got[0].Host != "b" {
				t.Errorf("agents %v, want b", got)
			}
		})
	}
}

// A list of the next epoch counts at once though its revision is lower, and a replica that
// still serves the epoch before does not bring back the old one.
func TestEpochGoesBeforeRevision(t *testing.T) {
	r := newRoster()
	r.Update(Version{1, 20}, agents("a"))
	r.Update(Version{2, 12}, agents("b"))
	r.Update(Version{1, 21}, agents("a"))
	if got := r.Agents("s"); len(got) != 1 || got[0].Host != "b" {
		t.Errorf("agents %v, want b", got)
	}
}
