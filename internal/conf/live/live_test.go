package live

import (
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/routes"
)

func TestOnlyNewerVersionsApply(t *testing.T) {
	h := New()
	if h.Current() != nil {
		t.Fatal("a new holder has a table")
	}
	for _, test := range []struct {
		version, want uint64
		applied       bool
	}{{7, 7, true}, {5, 7, false}, {7, 7, false}, {12, 12, true}} {
		applied := h.Apply(routes.New(routes.Parts{Version: test.version}))
		if applied != test.applied || h.Current().Version() != test.want {
			t.Fatalf("version %d: applied %v, active %d, want %v and %d", test.version, applied, h.Current().Version(), test.applied, test.want)
		}
	}
}
