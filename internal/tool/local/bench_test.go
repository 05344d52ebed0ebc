package local_test

import (
	"sync"
	"testing"

	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// BenchmarkStreams relays b.N tokens in 32 concurrent streams. Time and allocations
// include those of the caller and the stand-in engine.
func BenchmarkStreams(b *testing.B) {
	engine := local.QuickEngine()
	engine.StepBase = 100_000 // 0.1 ms
	engine.StepPerSeq = 0
	engine.CacheTokens = 1 << 30
	r, err := local.New(local.Options{Entries: 1, Engines: 1, Engine: engine})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	const streams = 32
	length := max(1, b.N/streams)
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			res := client.New(local.Key).Generate(b.Context(), r.Entries()[0].CallerAddr, local.ModelName, prompt(length), 0)
			if res.Outcome != client.OutcomeComplete {
				b.Errorf("outcome %s", res.Outcome)
			}
		})
	}
	wg.Wait()
}
