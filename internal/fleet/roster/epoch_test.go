package roster

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a leaving host that gets calls again because the host list came back from a
// copy in which it was live.
func TestLeavingHostOfOlderCopy(t *testing.T) {
	const isLeaving, isLive = true, false
	const restore = 6 * time.Second // until everything that the copy lacks is written again
	cases := []struct {
		name   string
		update func(r *Roster)
		want   bool
	}{
		{"live in the copy", func(r *Roster) { r.Update(Version{2, 12}, row(isLive)) }, isLeaving},
		{"live in the copy, read twice", func(r *Roster) {
			r.Update(Version{2, 12}, row(isLive))
			r.Update(Version{2, 12}, row(isLive))
		}, isLeaving},
		{"missing in the copy, then added as live", func(r *Roster) {
			r.Update(Version{2, 12}, nil)
			r.Update(Version{2, 13}, row(isLive))
		}, isLeaving},
		{"two older copies", func(r *Roster) {
			r.Update(Version{2, 12}, row(isLive))
			r.Update(Version{3, 11}, row(isLive))
			time.Sleep(restore - time.Millisecond)
		}, isLeaving},
		{"written again", func(r *Roster) {
			r.Update(Version{2, 12}, row(isLive))
			r.Update(Version{2, 13}, row(isLeaving))
			time.Sleep(2 * restore)
		}, isLeaving},
		{"shortly before the end of the hold", func(r *Roster) {
			r.Update(Version{2, 12}, row(isLive))
			time.Sleep(restore - time.Millisecond)
		}, isLeaving},
		{"not written again", func(r *Roster) {
			r.Update(Version{2, 12}, row(isLive))
			time.Sleep(restore + time.Millisecond)
		}, isLive},
		{"set to live in the same epoch", func(r *Roster) { r.Update(Version{1, 21}, row(isLive)) }, isLive},
		{"another process of the name", func(r *Roster) {
			members := row(isLive)
			members[0].Address = "127.0.0.1:2"
			r.Update(Version{2, 12}, members)
		}, isLive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRoster()
				r.Update(Version{1, 20}, row(isLeaving))
				c.update(r)
				if m, ok := r.Find("a"); !ok || m.Leaving != c.want || r.Agents("s")[0].Leaving != c.want {
					t.Errorf("leaving %v, want %v", m.Leaving, c.want)
				}
			})
		})
	}
}

// row returns a host list of one agent.
func row(leaving bool) []Member {
	return []Member{{Host: "a", Role: RoleAgent, Service: "s", Address: "127.0.0.1:1", Leaving: leaving}}
}
