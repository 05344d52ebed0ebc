// Command 2 shows that a stream that may run only once runs again after a worker's own
// failure; see claim.txt.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalock/mimosalock/review/stand"
)

const (
	workers = 8
	// failShare of the requests of one worker of eight fail for failFor, within what the site
	// files allow for srv_grey: share 0.14, x 0.45, for 6.5 s.
	failShare = 0.45
	failFor   = 6500 * time.Millisecond
	calls     = 200
	every     = 40 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record, err := stand.NewRecord("review/2/record.txt")
	if err != nil {
		fmt.Println(err)
		return stand.ExitNotRun
	}
	defer record.Close()
	twice, err := play(record)
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Println(err)
		return stand.ExitNotRun
	case twice > 0:
		fmt.Printf("TWICE: %d requests that may run once ran more than once\n", twice)
		return stand.ExitBroken
	}
	fmt.Println("no request ran more than once")
	return stand.ExitHeld
}

func play(record *stand.Record) (twice int, err error) {
	store, err := stand.NewStore()
	if err != nil {
		return 0, err
	}
	site := &stand.Site{
		Machines: []stand.Machine{{Name: "edge-a-1", IP: "127.0.0.11", Zone: "zone-a", Region: "region-a"}},
		Zones:    map[string]string{"zone-a": "region-a"}, Store: store, Record: record,
	}
	if err := site.Prepare(); err != nil {
		return 0, err
	}
	defer site.Remove()
	var pool []*stand.Worker
	var grey failing
	for i := range workers {
		w := &stand.Worker{ID: fmt.Sprintf("i-%d", i), Service: "pool", Zone: "zone-a", Slots: 24, Engine: true, Events: 5, Pause: 20 * time.Millisecond, Record: record, Store: store}
		if i == 0 && stand.Troubled() {
			w.Answer = grey.answer
		}
		if err := w.Start(); err != nil {
			return 0, err
		}
		defer w.Close()
		pool = append(pool, w)
	}
	store.Put("op/config", stand.Config{
		Version: 1, Engines: []string{"pool"}, Keys: []string{"key-1"},
		Routes: []stand.Route{{Name: "plan", Host: "h.example", Prefix: "/plan/", Kind: "streaming", Service: "pool", TimeoutMs: 39000, TargetMs: 1800, Attempts: 2}},
	}.Value())
	g, err := site.Start(site.Machines[0])
	if err != nil {
		return 0, err
	}
	defer g.Kill()
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	grey.begin()
	whole := send(record, g.Callers)
	if whole < calls/2 {
		return 0, fmt.Errorf("only %d of %d requests were answered completely", whole, calls)
	}
	return countTwice(record, pool), nil
}

// failing is when a worker fails.
type failing struct{ until atomic.Int64 }

func (f *failing) begin() { f.until.Store(time.Now().Add(failFor).UnixNano()) }

// answer answers a share of the requests that run with a failure of the worker's own.
func (f *failing) answer(w http.ResponseWriter, _ *http.Request, _ string) bool {
	if time.Now().UnixNano() > f.until.Load() || rand.Float64() >= failShare {
		return false
	}
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "the worker failed\n")
	return true
}

// send sends the calls and returns how many were answered completely and with success.
func send(record *stand.Record, gateway string) (whole int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			res := stand.Send(record, gateway, stand.Call{
				Method: http.MethodPost, Host: "h.example", Path: "/plan/1", Key: "key-1", Body: "plan", Limit: 10 * time.Second,
				Headers: map[string]string{"Model-Id": "m", "Token-Count": "300,20", "Prefix-Hash": "5c1e07a2:200,91bd3f06:100"},
			})
			if res.Status == http.StatusOK && res.Whole {
				mu.Lock()
				whole++
				mu.Unlock()
			}
		})
		time.Sleep(every)
	}
	all.Wait()
	return whole
}

// countTwice returns how many requests ran more than once.
func countTwice(record *stand.Record, pool []*stand.Worker) (twice int) {
	runs := map[string][]string{}
	for _, w := range pool {
		for _, r := range w.Runs() {
			runs[r.ID] = append(runs[r.ID], r.Worker)
		}
	}
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			record.Printf("TWICE: %s ran at %v", id, at)
		}
	}
	record.Printf("%d requests ran, %d of them more than once", len(runs), twice)
	return twice
}
