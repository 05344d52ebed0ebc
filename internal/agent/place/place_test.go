package place

import (
	"fmt"
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

func members(count int) []roster.Member {
	out := make([]roster.Member, count)
	for i := range out {
		out[i] = roster.Member{Host: fmt.Sprintf("h%d", i)}
	}
	return out
}

func holders(s spec.Service, list []roster.Member, model string) map[string]bool {
	out := map[string]bool{}
	holds := HolderFilter(s, list, model)
	for _, m := range list {
		if holds(m.Host) {
			out[m.Host] = true
		}
	}
	return out
}

func TestCopies(t *testing.T) {
	cases := []struct{ copies, hosts, want int }{{0, 5, 5}, {2, 5, 2}, {9, 5, 5}}
	for _, c := range cases {
		s := spec.Service{Models: []string{"m"}, Copies: c.copies}
		if got := len(holders(s, members(c.hosts), "m")); got != c.want {
			t.Errorf("%d copies on %d hosts: %d hosts hold the model, want %d", c.copies, c.hosts, got, c.want)
		}
	}
}

func TestNewHostMovesFewCopies(t *testing.T) {
	s := spec.Service{Copies: 3}
	moved := 0
	for i := range 20 {
		model := fmt.Sprintf("m%d", i)
		before := holders(s, members(20), model)
		after := holders(s, members(21), model)
		for h := range before {
			if !after[h] {
				moved++
			}
		}
	}
	if moved > 8 { // about 1 in 21 of the 60 copies is expected to move
		t.Fatalf("%d of 60 copies moved, want at most 8", moved)
	}
}
