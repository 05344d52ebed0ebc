// Command 1 shows that a gateway that starts acts on an outdated configuration for good,
// after a store that answered slowly; see claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/mimosalock/mimosalock/review/stand"
)

const (
	// calm is how long the store's answers take, as the site file's page says. slowFactor and
	// slowFor are within the largest dose of platform_slow there: x = 86, for 4.2 s.
	calm       = 4 * time.Millisecond
	slowFactor = 86
	slowFor    = 2500 * time.Millisecond
	// The last but one change is acknowledged while the store is still slow, the last one after.
	firstChange = -250 * time.Millisecond // before the store's answers are fast again
	lastChange  = 50 * time.Millisecond   // after that

	contact     = 4 * time.Second // contact_ms
	propagation = 2500 * time.Millisecond
	grace       = 8 * time.Second

	rounds    = 13
	longest   = 106 * time.Second // no round begins later
	probeHost = "h.example"
)

func main() { os.Exit(run()) }

func run() int {
	record, err := stand.NewRecord("review/1/record.txt")
	if err != nil {
		fmt.Println(err)
		return stand.ExitNotRun
	}
	defer record.Close()
	c := &drill{record: record}
	broken, err := c.play()
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Println(err)
		return stand.ExitNotRun
	case broken > 0:
		fmt.Printf("CONFIG: %d requests were handled as only an older version allows, in round %d\n", broken, c.round)
		return stand.ExitBroken
	}
	fmt.Printf("all requests were handled by the newest version, in %d rounds\n", c.round)
	return stand.ExitHeld
}

// drill is the deployment and what happens to it.
type drill struct {
	record   *stand.Record
	site     *stand.Site
	store    *stand.Store
	gateways []*stand.Gateway
	round    int
	version  int
	routes   []stand.Route
	keys     []string
}

func (c *drill) play() (broken int, err error) {
	began := time.Now()
	if c.store, err = stand.NewStore(); err != nil {
		return 0, err
	}
	c.site = &stand.Site{Zones: map[string]string{}, Store: c.store, Record: c.record}
	for i := range 6 { // the first three are the seeds
		zone := string(rune('a' + i%3))
		c.site.Zones["zone-"+zone] = "region-" + zone
		c.site.Machines = append(c.site.Machines, stand.Machine{
			Name: fmt.Sprintf("edge-%s-%d", zone, 1+i/3), IP: fmt.Sprintf("127.0.0.%d", 21+i), Zone: "zone-" + zone, Region: "region-" + zone,
		})
	}
	if err := c.site.Prepare(); err != nil {
		return 0, err
	}
	defer c.site.Remove()
	for i := range 9 {
		w := &stand.Worker{ID: fmt.Sprintf("i-%d", i), Service: "app", Zone: "zone-" + string(rune('a'+i%3)), Slots: 6, Pause: 10 * time.Millisecond, Record: c.record, Store: c.store}
		if err := w.Start(); err != nil {
			return 0, err
		}
		defer w.Close()
	}
	c.setDelay(calm)
	for i := range rounds {
		c.keys = append(c.keys, fmt.Sprintf("key-%d", i+1))
	}
	c.keys = append(c.keys, "key-kept")
	c.addRoute("look")
	c.put()
	defer func() {
		for _, g := range c.gateways {
			g.Kill()
		}
	}()
	for _, m := range c.site.Machines {
		g, err := c.site.Start(m)
		if err != nil {
			return 0, err
		}
		c.gateways = append(c.gateways, g)
	}
	for _, g := range c.gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Second)
	for c.round = 1; c.round <= rounds && time.Since(began) < longest && broken == 0; c.round++ {
		if broken, err = c.playRound(); err != nil {
			return 0, err
		}
	}
	c.round--
	return broken, nil
}

// playRound makes two changes, as the store's answers become fast again, restarts half of the
// machines as planned, and looks which version each gateway acts on.
func (c *drill) playRound() (broken int, err error) {
	if stand.Troubled() {
		c.setDelay(slowFactor * calm)
	}
	end := time.Now().Add(slowFor)
	sleepUntil(end.Add(-2200 * time.Millisecond))
	restarted := make(chan error, 1)
	go func() { restarted <- c.restartOthers() }()
	sleepUntil(end.Add(firstChange))
	c.routes[0].TimeoutMs++
	c.put()
	sleepUntil(end)
	c.setDelay(calm)
	sleepUntil(end.Add(lastChange))
	name := fmt.Sprintf("new-%d", c.round)
	taken := c.keys[0]
	c.keys = c.keys[1:]
	c.addRoute(name)
	c.put()
	acked := time.Now()
	if err := <-restarted; err != nil {
		return 0, err
	}
	// Each machine is in touch, and the bound is over.
	inTouch := end.Add(contact)
	for _, g := range c.gateways {
		if t := g.Started.Add(contact); t.After(inTouch) {
			inTouch = t
		}
	}
	if t := acked.Add(propagation); t.After(inTouch) {
		inTouch = t
	}
	sleepUntil(inTouch.Add(300 * time.Millisecond))
	for _, g := range c.gateways {
		added := stand.Send(c.record, g.Callers, stand.Call{Method: http.MethodGet, Host: probeHost, Path: "/" + name + "/1", Key: "key-kept", Limit: 2500 * time.Millisecond})
		revoked := stand.Send(c.record, g.Callers, stand.Call{Method: http.MethodGet, Host: probeHost, Path: "/look/1", Key: taken, Limit: 2500 * time.Millisecond})
		if added.Status == http.StatusNotFound {
			broken++
			c.record.Printf("CONFIG: %s answers 404 on a route of version %d, acknowledged %.1f s before", g.Machine.Name, c.version, added.Sent.Sub(acked).Seconds())
		}
		if revoked.Status == http.StatusOK {
			broken++
			c.record.Printf("CONFIG: %s ran a request with a key that version %d took away, acknowledged %.1f s before", g.Machine.Name, c.version, revoked.Sent.Sub(acked).Seconds())
		}
	}
	return broken, nil
}

// restartOthers stops the gateways that are no seeds, as planned work does, and starts them again.
func (c *drill) restartOthers() error {
	errs := make([]error, len(c.gateways))
	var all sync.WaitGroup
	for i, g := range c.gateways[3:] {
		all.Go(func() {
			g.StopProcess(grace)
			next, err := c.site.Start(g.Machine)
			if err == nil {
				c.gateways[3+i] = next
				err = next.AwaitReady(10 * time.Second)
			}
			errs[i] = err
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *drill) setDelay(d time.Duration) {
	c.record.Printf("the store's answers take %v from now on", d)
	c.store.SetDelay(func() time.Duration { return d })
}

func (c *drill) addRoute(name string) {
	c.routes = append(c.routes, stand.Route{Name: name, Host: probeHost, Prefix: "/" + name + "/", Kind: "idempotent", Service: "app", TimeoutMs: 2500, TargetMs: 250, Attempts: 2})
}

// put stores the next version of the configuration.
func (c *drill) put() {
	c.version++
	revision := c.store.Put("op/config", stand.Config{Version: c.version, Routes: c.routes, Services: []string{"app"}, Keys: c.keys}.Value())
	c.record.Printf("the store acknowledges version %d of the configuration at revision %d", c.version, revision)
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
