package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

func TestDecide(t *testing.T) {
	three := []string{"a", "b", "c"}
	key := "k"
	first := rank.Hosts(three, key)[0]
	second := rank.Hosts(three, key)[1]
	without := slices.DeleteFunc(slices.Clone(three), func(h string) bool { return h == first })
	settled := State{Current: three, Uptime: time.Hour, ListRead: true, Retention: time.Minute}
	cases := []struct {
		name   string
		self   string
		change func(p *State)
		want   Verdict
		ask    []string
	}{
		{"owner", first, func(*State) {}, VerdictRun, nil},
		{"not the owner", second, func(*State) {}, VerdictNotOwner, nil},
		{"just started", first, func(p *State) { p.Uptime = time.Second }, VerdictUnknown, nil},
		{"list never read", first, func(p *State) { p.ListRead = false }, VerdictStaleList, nil},
		{"list too old", first, func(p *State) { p.ListAge = 40 * time.Second }, VerdictStaleList, nil},
		{"earlier owner left", second, func(p *State) { p.Current, p.Past = without, [][]string{three} }, VerdictRun, []string{first}},
		{"new host became owner", first, func(p *State) { p.Past = [][]string{without} }, VerdictRun, []string{second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := settled
			p.Self = c.self
			c.change(&p)
			v, ask := Decide(p, key)
			if v != c.want || !slices.Equal(ask, c.ask) {
				t.Fatalf("verdict %d asking %v, want %d asking %v", v, ask, c.want, c.ask)
			}
		})
	}
}
