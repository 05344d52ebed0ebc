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
		version, epoch, want uint64
		applied              bool
	}{{7, 1, 7, true}, {5, 1, 7, false}, {7, 1, 7, false}, {12, 1, 12, true}, {7, 2, 12, false}, {12, 2, 12, true}, {12, 2, 12, false}, {12, 1, 12, false}, {13, 1, 13, true}} {
		applied := h.Apply(routes.New(routes.Parts{Version: test.version}), test.epoch)
		if applied != test.applied || h.Current().Version() != test.want {
			t.Fatalf("version %d: applied %v, active %d, want %v and %d", test.version, applied, h.Current().Version(), test.applied, test.want)
		}
	}
}
