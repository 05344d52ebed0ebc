package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

// A workspace whose output was far above its limit must not get rid of that by waiting
// until it counts as idle.
func TestDebtOutlivesIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, w := New(), spec.Workspace{Name: "w", TokensPS: 10}
		if ok, _ := l.Admit(w, 1); !ok {
			t.Fatal("the first call was refused")
		}
		l.Charge(w, 100_000) // makes up for itself in almost three hours
		time.Sleep(idleTimeout + sweepInterval + time.Second)
		l.Admit(spec.Workspace{Name: "other", PerSecond: 1}, 1) // sweeps
		if ok, wait := l.Admit(w, 1); ok || wait < time.Hour {
			t.Fatalf("admitted %v, wait %v, want a refusal for more than an hour", ok, wait)
		}
	})
}
