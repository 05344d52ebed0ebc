package admit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkProbe measures one admission decision for various numbers of running
// calls. The forecast is recomputed each time.
func BenchmarkProbe(b *testing.B) {
	for _, running := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			ctl := New(Config{Floor: running + 1, Max: running + 1, IsEngine: true, StartWarm: true})
			ctl.RecordMemory(100_000_000, 0, 0)
			now := time.Unix(0, 0)
			for i := range running {
				r := request(fmt.Sprint(i))
				ctl.Offer(now, r)
				ctl.RecordTokens(now, r.ID, 1+i)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(forecastMaxAge)
				ctl.Probe(now, request("probe"))
			}
		})
	}
}
