// Command 3 shows that a gateway that is stopped as planned cuts a sound stream off whose
// worker is silent for a while; see claim.txt.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/mimosalock/mimosalock/review/stand"
)

const (
	grace  = 8 * time.Second // grace_s
	events = 10
	// preempted is how long the worker takes to read a preempted request in again. Callers
	// abandon a stream after a gap of two seconds at the earliest.
	preempted = 1300 * time.Millisecond
	streams   = 10
	every     = 100 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record, err := stand.NewRecord("review/3/record.txt")
	if err != nil {
		fmt.Println(err)
		return stand.ExitNotRun
	}
	defer record.Close()
	lost, err := play(record)
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Println(err)
		return stand.ExitNotRun
	case lost > 0:
		fmt.Printf("LOST: %d of %d streams were cut during a planned stop, while their worker was at work\n", lost, streams)
		return stand.ExitBroken
	}
	fmt.Println("all streams were completed during the planned stop")
	return stand.ExitHeld
}

func play(record *stand.Record) (lost int, err error) {
	store, err := stand.NewStore()
	if err != nil {
		return 0, err
	}
	site := &stand.Site{Zones: map[string]string{}, Store: store, Record: record}
	var engines []*engine
	for i, name := range []string{"a", "b", "c"} {
		zone := "zone-" + name
		site.Zones[zone] = "region-" + name
		site.Machines = append(site.Machines, stand.Machine{Name: "edge-" + name + "-1", IP: fmt.Sprintf("127.0.0.%d", 31+i), Zone: zone, Region: "region-" + name})
		e := &engine{record: record}
		w := &stand.Worker{ID: "i-" + name, Service: "pool", Zone: zone, Slots: 24, Engine: true, Record: record, Store: store, Answer: e.answer}
		if err := w.Start(); err != nil {
			return 0, err
		}
		defer w.Close()
		engines = append(engines, e)
	}
	if err := site.Prepare(); err != nil {
		return 0, err
	}
	defer site.Remove()
	store.Put("op/config", stand.Config{
		Version: 1, Engines: []string{"pool"}, Keys: []string{"key-1"},
		Routes: []stand.Route{{
			Name: "check", Host: "h.example", Prefix: "/check/", Kind: "streaming", Resume: true, Service: "pool", TimeoutMs: 6000, TargetMs: 1500, Attempts: 2,
			Regions: []string{"region-a"},
		}},
	}.Value())
	var gateways []*stand.Gateway
	defer func() {
		for _, g := range gateways {
			g.Kill()
		}
	}()
	for _, m := range site.Machines {
		g, err := site.Start(m)
		if err != nil {
			return 0, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second) // longer than contact_ms: nothing is disrupted from here on
	return stopDuringStreams(record, gateways[0], engines)
}

// stopDuringStreams begins streams at a gateway, stops it as planned, and returns how many
// streams ended without their end although their worker was at work.
func stopDuringStreams(record *stand.Record, g *stand.Gateway, engines []*engine) (lost int, err error) {
	results := make([]stand.Result, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			results[i] = stand.Send(record, g.Callers, stand.Call{
				Method: http.MethodPost, Host: "h.example", Path: "/check/1", Key: "key-1", Body: "check", Limit: 6 * time.Second,
				Headers: map[string]string{"Model-Id": "m", "Token-Count": "2200,40", "Prefix-Hash": "5c1e07a2:2000,91bd3f06:200"},
			})
		})
		time.Sleep(every)
	}
	g.Signal(syscall.SIGTERM)
	term := time.Now()
	all.Wait()
	whole := 0
	for _, res := range results {
		ended := res.Ended.Sub(term)
		switch {
		case res.Status == http.StatusOK && res.Whole:
			whole++
		case res.Status == http.StatusOK && ended > 0 && ended < grace*5/6 && !brokenOff(engines, res.ID):
			lost++
			record.Printf("LOST: %s was cut %.2f s after SIGTERM and %.2f s after it was sent; its worker had not broken it off", res.ID, ended.Seconds(), res.Ended.Sub(res.Sent).Seconds())
		}
	}
	record.Printf("%d of %d streams are whole, %d lost", whole, streams, lost)
	if whole+lost < streams {
		return 0, errors.New("a stream ended in another way")
	}
	return lost, nil
}

func brokenOff(engines []*engine, id string) bool {
	for _, e := range engines {
		if e.hasBrokenOff(id) {
			return true
		}
	}
	return false
}

// engine answers with a stream of events. Under trouble it preempts every third stream once.
type engine struct {
	record *stand.Record

	mu     sync.Mutex
	count  int
	broken map[string]bool
}

func (e *engine) hasBrokenOff(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken[id]
}

func (e *engine) answer(out http.ResponseWriter, r *http.Request, id string) bool {
	e.mu.Lock()
	e.count++
	preempts := stand.Troubled() && e.count%3 == 0
	e.mu.Unlock()
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	for n := 1; n <= events; n++ {
		pause := 120 * time.Millisecond
		if n == events-1 && preempts {
			pause = preempted
			e.record.Printf("the worker preempts %s after event %d and goes on with it after %v", id, n-1, preempted)
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.record.Printf("the worker sees that the connection of %s is closed, after event %d", id, n-1)
			return true
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", n, id, n, events); err != nil {
			return true
		}
		_ = controller.Flush()
	}
	return true
}
