package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

func TestJudge(t *testing.T) {
	three := []string{"a", "b", "c"}
	key := "k"
	first := rank.Hosts(three, key)[0]
	second := rank.Hosts(three, key)[1]
	without := slices.DeleteFunc(slices.Clone(three), func(h string) bool { return h == first })
	settled := Position{Present: three, Age: time.Hour, Listed: true, Horizon: time.Minute}
	cases := []struct {
		name   string
		self   string
		change func(p *Position)
		want   Verdict
		ask    []string
	}{
		{"owner", first, func(*Position) {}, VerdictRun, nil},
		{"another worker", second, func(*Position) {}, VerdictNotMine, nil},
		{"just started", first, func(p *Position) { p.Age = time.Second }, VerdictUnknown, nil},
		{"list never read", first, func(p *Position) { p.Listed = false }, VerdictStale, nil},
		{"list too old", first, func(p *Position) { p.ListAge = 40 * time.Second }, VerdictStale, nil},
		{"heir of one that left", second, func(p *Position) { p.Present, p.Past = without, [][]string{three} }, VerdictRun, []string{first}},
		{"joined", first, func(p *Position) { p.Past = [][]string{without} }, VerdictRun, []string{second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := settled
			p.Self = c.self
			c.change(&p)
			v, ask := Judge(p, key)
			if v != c.want || !slices.Equal(ask, c.ask) {
				t.Fatalf("verdict %d asking %v, want %d asking %v", v, ask, c.want, c.ask)
			}
		})
	}
}
