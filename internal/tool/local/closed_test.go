package local_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const (
	closedFor   = 3 * time.Second // what engines say in Retry-After
	closedDelay = 500 * time.Millisecond
	maxClosed   = 2 // requests that may reach a closed engine later than closedDelay
)

// Guards against calls that are sent to an engine before the time at which it has said that
// it wants calls again.
func TestEngineWantsNothingForAWhile(t *testing.T) {
	for _, closed := range []int{1, 2} {
		for name, stream := range map[string]bool{"stream": true, "whole response": false} {
			t.Run(fmt.Sprintf("%d of 2 engines, %s", closed, name), func(t *testing.T) {
				t.Parallel()
				testClosedEngines(t, closed, stream)
			})
		}
	}
}

func testClosedEngines(t *testing.T, closed int, stream bool) {
	r := start(t, local.Options{Entries: 2, Engines: 2, AdjustConfig: func(f *spec.File) {
		f.Services[0].Floor, f.Services[0].MaxConcurrency = 4, 4 // some calls wait
	}})
	for _, n := range r.Engines()[:closed] {
		n.Engine.SetBusy(true, closedFor)
	}
	var mu sync.Mutex
	answered := 0
	var callers sync.WaitGroup
	for i, end := 0, time.Now().Add(closedFor); i < 16; i++ {
		callers.Go(func() {
			for call := 0; time.Now().Before(end); call++ {
				status := generate(t, r.Entries()[i%2].CallerAddr, stream, "rules", fmt.Sprint("plan ", i, call, " len=20"))
				if status == 200 {
					mu.Lock()
					answered++
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	for _, n := range r.Engines()[:closed] {
		expectLeftAlone(t, n.Engine.Refused())
		n.Engine.SetBusy(false, 0)
	}
	if closed < len(r.Engines()) && answered == 0 {
		t.Error("no call was answered by the other engine")
	}
	for _, n := range r.Engines()[:closed] {
		before := len(n.Engine.Submissions())
		eventually(t, "the engine gets calls again", func() bool {
			generate(t, r.Entries()[0].CallerAddr, stream, "rules", fmt.Sprint("plan ", time.Now().UnixNano(), " len=20"))
			return len(n.Engine.Submissions()) > before
		})
	}
}

// expectLeftAlone checks that hardly any request reached an engine after its first refusal.
func expectLeftAlone(t *testing.T, refused []time.Time) {
	t.Helper()
	if len(refused) == 0 {
		t.Error("no request reached the engine")
		return
	}
	late := 0
	for _, at := range refused {
		if since := at.Sub(refused[0]); since > closedDelay && since < closedFor {
			late++
		}
	}
	t.Logf("%d requests, %d of them late", len(refused), late)
	if late > maxClosed {
		t.Errorf("%d of %d requests reached the engine while it was closed, want at most %d", late, len(refused), maxClosed)
	}
}
