package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/conf/view"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

func newInput(tb testing.TB, agents int) Input {
	tb.Helper()
	file := spec.File{
		DataCentres: []spec.DataCentre{
			{Name: "galway-a", Region: "west"},
			{Name: "galway-b", Region: "west"},
			{Name: "mayo-a", Region: "north"},
			{Name: "clare-a", Region: "south", OutOfService: true},
		},
		Services: []spec.Service{{Name: "plans", Kind: spec.KindModel, Models: []string{"m"}}},
	}
	b, err := bundle.Build(1, file)
	if err != nil {
		tb.Fatal(err)
	}
	v, err := view.New(b, nil)
	if err != nil {
		tb.Fatal(err)
	}
	in := Input{View: v, Service: file.Services[0], DataCentre: "galway-a", Suspected: func(string) bool { return false }, Workspace: "w", Prefix: 7}
	in.Rand = rand.New(rand.NewPCG(1, 1))
	for i := range agents {
		centre := file.DataCentres[i%len(file.DataCentres)].Name
		in.Agents = append(in.Agents, roster.Member{Host: fmt.Sprintf("h%d", i), DataCentre: centre, Leaving: i%10 == 9})
	}
	return in
}

func TestSelectsNearestFirstAndEachAgentOnce(t *testing.T) {
	in := newInput(t, 40)
	in.Suspected = func(host string) bool { return host == "h0" }
	p := New(in)
	tierOf := func(m roster.Member) int {
		switch {
		case m.Host == "h0":
			return 2
		case m.DataCentre == "mayo-a":
			return 1
		default:
			return 0
		}
	}
	seen := map[string]bool{}
	last := 0
	for candidates := p.Next(); len(candidates) > 0; candidates = p.Next() {
		for _, m := range candidates {
			if seen[m.Host] || m.Leaving || m.DataCentre == "clare-a" || tierOf(m) < last {
				t.Fatalf("%v must not be selected, or not after an agent of tier %d", m, last)
			}
			seen[m.Host] = true
			last = tierOf(m)
		}
	}
	usable := 0
	for _, m := range in.Agents {
		if !m.Leaving && m.DataCentre != "clare-a" {
			usable++
		}
	}
	if len(seen) != usable {
		t.Fatalf("%d of %d usable agents were selected", len(seen), usable)
	}
}

func TestAllEntriesSelectSamePrefixOwner(t *testing.T) {
	owner := ""
	for seed := range uint64(10) {
		in := newInput(t, 40)
		in.Rand = rand.New(rand.NewPCG(seed, 1))
		candidates := New(in).Next()
		if owner == "" {
			owner = candidates[0].Host
		}
		if candidates[0].Host != owner {
			t.Fatalf("entries disagree on the prefix owner: %s and %s", owner, candidates[0].Host)
		}
	}
}

func TestBest(t *testing.T) {
	result := func(host string, order int, admits bool, wait, slots uint32) ProbeResult {
		return ProbeResult{Member: roster.Member{Host: host}, Order: order, Reply: &peerpb.ProbeReply{Admits: admits, WaitMs: wait, FreeSlots: slots}}
	}
	cases := []struct {
		name    string
		results []ProbeResult
		want    string
	}{
		{"none", nil, ""},
		{"none admits", []ProbeResult{result("a", 0, false, 0, 9)}, ""},
		{"shortest wait", []ProbeResult{result("a", 0, true, 50, 9), result("b", 1, true, 10, 1)}, "b"},
		{"owner of the prefix", []ProbeResult{result("b", 1, true, 0, 9), result("a", 0, true, 0, 6)}, "a"},
		{"far more room", []ProbeResult{result("a", 0, true, 0, 2), result("b", 1, true, 0, 9)}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, _ := Best(c.results); got.Member.Host != c.want {
				t.Fatalf("best is %q, want %q", got.Member.Host, c.want)
			}
		})
	}
}

// BenchmarkPlan measures the selection of the first round of candidates.
func BenchmarkPlan(b *testing.B) {
	for _, agents := range []int{12, 160, 1600} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			in := newInput(b, agents)
			b.ReportAllocs()
			for b.Loop() {
				New(in).Next()
			}
		})
	}
}
