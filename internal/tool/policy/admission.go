package policy

import (
	"cmp"
	"slices"

	"github.com/mimosalock/mimosalock/internal/agent/admit"
)

// admission decides which calls one worker starts, queues or refuses.
type admission interface {
	// submit starts or queues a call. It reports false if the call is refused.
	submit(sim *simulation, k *worker, c *call) bool
	// tick starts queued calls that fit. It runs every tickInterval and after each step.
	tick(sim *simulation, k *worker)
	// token is called for each generated token.
	token(sim *simulation, k *worker, c *call)
	finished(sim *simulation, k *worker, c *call)
	// report takes the worker's visible load.
	report(k *worker, load loadReport)
}

// unlimited starts every call at once.
type unlimited struct{}

func (unlimited) submit(sim *simulation, k *worker, c *call) bool { sim.start(k, c); return true }
func (unlimited) tick(*simulation, *worker)                       {}
func (unlimited) token(*simulation, *worker, *call)               {}
func (unlimited) finished(*simulation, *worker, *call)            {}
func (unlimited) report(*worker, loadReport)                      {}

// fixedLimit runs up to limit calls at once and queues the rest in order of arrival.
type fixedLimit struct {
	limit   int
	running int
	waiting []*call
}

func (f *fixedLimit) submit(sim *simulation, k *worker, c *call) bool {
	f.waiting = append(f.waiting, c)
	f.tick(sim, k)
	return true
}

func (f *fixedLimit) tick(sim *simulation, k *worker) {
	for len(f.waiting) > 0 && f.running < f.limit {
		c := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.running++
		sim.start(k, c)
	}
}

func (f *fixedLimit) finished(*simulation, *worker, *call) { f.running-- }
func (f *fixedLimit) token(*simulation, *worker, *call)    {}
func (f *fixedLimit) report(*worker, loadReport)           {}

// agentAdmission is the production admission of the agent (package admit).
type agentAdmission struct {
	controller *admit.Controller
}

func (a *agentAdmission) submit(sim *simulation, k *worker, c *call) bool {
	switch a.controller.Offer(sim.clock(), c.req).Verdict {
	case admit.VerdictStart:
		sim.start(k, c)
		return true
	case admit.VerdictWait:
		return true
	default:
		return false
	}
}

func (a *agentAdmission) tick(sim *simulation, k *worker) {
	for _, r := range a.controller.RemoveExpired(sim.clock()) {
		sim.byID[r.ID].refused = true
	}
	for {
		r, ok := a.controller.StartNext(sim.clock())
		if !ok {
			return
		}
		sim.start(k, sim.byID[r.ID])
	}
}

func (a *agentAdmission) token(sim *simulation, _ *worker, c *call) {
	a.controller.RecordTokens(sim.clock(), c.req.ID, c.seq.Produced)
}

func (a *agentAdmission) finished(sim *simulation, _ *worker, c *call) {
	a.controller.RecordFinished(sim.clock(), c.req.ID, c.seq.Produced)
}

func (a *agentAdmission) report(k *worker, load loadReport) {
	a.controller.RecordMemory(k.engine.Config().CacheTokens, load.usedTokens, load.preemptions)
}

// oracleAdmission is the ideal that the other policies are compared with. It knows the final
// length of every call and the engine's current state, and starts a call only if the cache
// memory suffices until all running calls have ended.
type oracleAdmission struct {
	running []*call
	waiting []*call
}

func (o *oracleAdmission) submit(sim *simulation, k *worker, c *call) bool {
	o.waiting = append(o.waiting, c)
	slices.SortStableFunc(o.waiting, func(a, b *call) int { return cmp.Compare(a.req.Priority, b.req.Priority) })
	o.tick(sim, k)
	return true
}

func (o *oracleAdmission) tick(sim *simulation, k *worker) {
	for i := 0; i < len(o.waiting); {
		c := o.waiting[i]
		if sim.now-c.arrival > c.req.MaxWait {
			c.refused = true
			o.waiting = slices.Delete(o.waiting, i, i+1)
			continue
		}
		if len(o.running) >= k.engine.SafeBatch() || !o.fits(k, c) {
			return
		}
		o.waiting = slices.Delete(o.waiting, i, i+1)
		o.running = append(o.running, c)
		sim.start(k, c)
	}
}

// fits reports whether the cache memory suffices if c starts now. Memory use peaks each
// time a call is about to end, so it is computed at those points.
func (o *oracleAdmission) fits(k *worker, c *call) bool {
	all := append(slices.Clone(o.running), c)
	remaining := func(x *call) int { return x.seq.Length - x.seq.Produced }
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(remaining(a), remaining(b)) })
	held := 0
	for _, x := range all {
		held += x.seq.Prompt + x.seq.Produced
	}
	for i, x := range all {
		if held+remaining(x)*(len(all)-i) > k.engine.Config().CacheTokens {
			return false
		}
		held -= x.seq.Prompt + x.seq.Produced
	}
	return true
}

func (o *oracleAdmission) finished(_ *simulation, _ *worker, c *call) {
	if i := slices.Index(o.running, c); i >= 0 {
		o.running = slices.Delete(o.running, i, i+1)
	}
}

func (o *oracleAdmission) token(*simulation, *worker, *call) {}
func (o *oracleAdmission) report(*worker, loadReport)        {}

// committedTokens returns the memory, in tokens, that the running and waiting calls will
// hold at their ends.
func (o *oracleAdmission) committedTokens() int {
	n := 0
	for _, c := range slices.Concat(o.running, o.waiting) {
		n += c.seq.Prompt + c.seq.Length
	}
	return n
}
