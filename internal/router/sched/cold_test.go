package sched

import (
	"testing"
	"testing/synctest"
	"time"
)

// The times of earlier sends must not accumulate for a service without a limit on
// calls to cold endpoints.
func TestSendTimesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(1)
		s.Put(time.Now(), engine("e", "a1"))
		for range 1000 {
			expectPlaced(t, s, request(100), "e").Release(time.Now(), OutcomeSuccess)
			time.Sleep(coldWindow)
		}
		if n := len(s.endpoints["e"].recentSends); n > 1 {
			t.Fatalf("%d send times are kept, want those of the last %v", n, coldWindow)
		}
	})
}
