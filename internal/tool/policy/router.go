package policy

import (
	"fmt"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/conf/view"
	"github.com/mimosalock/mimosalock/internal/entry/route"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// router selects the worker of a call and submits the call to it.
type router interface {
	route(sim *simulation, c *call)
}

// roundRobin selects the workers in turn.
type roundRobin struct{ next int }

func (r *roundRobin) route(sim *simulation, c *call) {
	k := sim.workers[r.next%len(sim.workers)]
	r.next++
	k.admission.submit(sim, k, c)
}

// leastInFlight selects the worker with the fewest calls in flight. Its counts are exact,
// as for a single router in front of all workers.
type leastInFlight struct{}

func (leastInFlight) route(sim *simulation, c *call) {
	least := sim.workers[sim.rng.IntN(len(sim.workers))]
	for _, k := range sim.workers {
		if sim.inFlight(k) < sim.inFlight(least) {
			least = k
		}
	}
	least.admission.submit(sim, least, c)
}

// inFlight returns the number of calls in the engine and in the queue before it.
func (sim *simulation) inFlight(k *worker) int {
	n := k.engine.Running() + k.engine.Waiting()
	if f, ok := k.admission.(*fixedLimit); ok {
		n += len(f.waiting)
	}
	return n
}

// twoChoices selects the less loaded of two random workers. The load comes from
// visibleLoad, which lags.
type twoChoices struct{}

func (twoChoices) route(sim *simulation, c *call) {
	a, b := sim.workers[sim.rng.IntN(len(sim.workers))], sim.workers[sim.rng.IntN(len(sim.workers))]
	if b.visibleLoad.inFlight < a.visibleLoad.inFlight {
		a = b
	}
	a.admission.submit(sim, a, c)
}

// oracleRouter selects the worker with the fewest committed tokens. It knows the final
// length of every call.
type oracleRouter struct{}

func (oracleRouter) route(sim *simulation, c *call) {
	best := sim.workers[0]
	for _, k := range sim.workers {
		if k.admission.(*oracleAdmission).committedTokens() < best.admission.(*oracleAdmission).committedTokens() {
			best = k
		}
	}
	best.admission.submit(sim, best, c)
}

// probeRouter runs the production routing of the entry (package route): it plans
// candidates, probes their admission controllers and selects from the replies.
type probeRouter struct {
	view    *view.View
	service spec.Service
	agents  []roster.Member
}

func newProbeRouter(workers int) (*probeRouter, error) {
	f := spec.File{
		DataCentres: []spec.DataCentre{{Name: "galway-a", Region: "west"}},
		Services:    []spec.Service{{Name: "plans", Kind: spec.KindModel, Models: []string{"m"}}},
	}
	b, err := bundle.Build(1, f)
	if err != nil {
		return nil, err
	}
	v, err := view.New(b, nil)
	if err != nil {
		return nil, err
	}
	p := &probeRouter{view: v, service: f.Services[0]}
	for i := range workers {
		p.agents = append(p.agents, roster.Member{Host: fmt.Sprint(i), DataCentre: "galway-a", Role: roster.RoleAgent, Service: "plans"})
	}
	return p, nil
}

func (p *probeRouter) route(sim *simulation, c *call) {
	plan := route.New(route.Input{
		View: p.view, Service: p.service, Agents: p.agents, DataCentre: "galway-a", Suspected: func(string) bool { return false },
		Workspace: c.req.Workspace, Prefix: c.seq.Prefix, Rand: sim.rng,
	})
	var results []route.ProbeResult
	for range route.MaxRoundsPerTier {
		for i, m := range plan.Next() {
			results = append(results, route.ProbeResult{Member: m, Order: i, Reply: sim.probe(sim.workerOfMember(m), c)})
		}
		if route.CanStartNow(results) {
			break
		}
	}
	best, ok := route.Best(results)
	if !ok {
		c.refused = true
		return
	}
	k := sim.workerOfMember(best.Member)
	c.refused = !k.admission.submit(sim, k, c)
}

func (sim *simulation) workerOfMember(m roster.Member) *worker {
	var i int
	_, _ = fmt.Sscan(m.Host, &i)
	return sim.workers[i]
}

func (sim *simulation) probe(k *worker, c *call) *peerpb.ProbeReply {
	controller := k.admission.(*agentAdmission).controller
	d := controller.Probe(sim.clock(), c.req)
	return &peerpb.ProbeReply{
		Admits: d.Verdict != admit.VerdictRefuse, WaitMs: uint32(d.Wait.Milliseconds()),
		FreeSlots: uint32(controller.EstimateFreeSlots(sim.clock())),
	}
}
