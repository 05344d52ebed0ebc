package faults

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// kind is a kind of fault.
type kind uint8

const (
	kindCut kind = iota
	kindSilence
	kindStall
	kindDelay
	kindCutEndpoint
	kindSilenceEndpoint
	kindAgentRestart
	kindEngineDeath
	kindEngineStall
	kindEngineCold
	kindPlatformDown
	kindPlatformOld
	kindCentreOut
	kindHostLeaves
	kindCallersCut
)

var kinds = []kind{
	kindCut, kindSilence, kindStall, kindDelay, kindCutEndpoint, kindSilenceEndpoint, kindAgentRestart, kindEngineDeath,
	kindEngineStall, kindEngineCold, kindPlatformDown, kindPlatformOld, kindCentreOut, kindHostLeaves, kindCallersCut,
}

// cause injects a fault and returns what it is. Faults that last end by
// themselves.
func (f *run) cause(k kind) string {
	agents := f.rig.Agents()
	engines := f.rig.Engines()
	a, e := agents[f.rng.IntN(len(agents))], engines[f.rng.IntN(len(engines))]
	span := time.Duration(500+f.rng.IntN(4500)) * time.Millisecond
	switch k {
	case kindCut:
		a.Link.Cut()
		return "cut the links of " + a.Row.Host
	case kindSilence:
		a.Link.Silence()
		return "silence the links of " + a.Row.Host
	case kindStall:
		a.Link.Stall(true)
		f.later(span, func() { a.Link.Stall(false) })
		return "stall the links of " + a.Row.Host
	case kindDelay:
		a.Link.Delay(100 * time.Millisecond)
		f.later(span, func() { a.Link.Delay(0) })
		return "delay the links of " + a.Row.Host
	case kindCutEndpoint:
		a.Endpoint.Cut()
		return "cut the endpoint of " + a.Row.Host
	case kindSilenceEndpoint:
		a.Endpoint.Silence()
		return "silence the endpoint of " + a.Row.Host
	case kindAgentRestart:
		f.restart(a)
		return "restart the agent " + a.Row.Host
	case kindEngineDeath:
		if err := f.rig.ReplaceEngine(e); err != nil {
			f.violation("replace engine: %v", err)
		}
		return "replace the engine of " + e.Row.Host
	case kindEngineStall:
		engine := e.Engine
		engine.Stall(true)
		f.later(span, func() { engine.Stall(false) })
		return "stall the engine of " + e.Row.Host
	case kindEngineCold:
		e.Engine.Chill()
		return "chill the engine of " + e.Row.Host
	case kindPlatformDown:
		f.rig.Platform.SetDown(true)
		f.later(span, func() { f.rig.Platform.SetDown(false) })
		return "the platform is down"
	case kindPlatformOld:
		f.rig.Platform.Freeze()
		f.later(span, f.rig.Platform.Thaw)
		return "the platform serves an older version"
	case kindCentreOut:
		f.drainCentre(e.Row.DataCentre)
		return "take out " + e.Row.DataCentre
	case kindHostLeaves:
		f.rig.SetLeaving(a, true)
		f.later(span, func() { f.rig.SetLeaving(a, false) })
		return "leaving: " + a.Row.Host
	default:
		entries := f.rig.Entries()
		entries[f.rng.IntN(len(entries))].Link.Cut()
		return "cut the callers of an entry"
	}
}

func (f *run) later(after time.Duration, end func()) {
	f.busy.Add(1)
	time.AfterFunc(after, func() {
		defer f.busy.Done()
		end()
	})
}

// restart kills an agent and starts its successor. One restart of an agent at
// a time: a second one waits for the first.
func (f *run) restart(n *local.Node) {
	f.rig.KillAgent(n)
	if err := f.rig.StartAgent(n); err != nil {
		f.violation("restart: %v", err)
	}
}

// drainCentre takes a data centre out and checks that nothing new reaches its
// engines once the change had time to settle. While the platform hides the
// change nobody can know it, so the check waits for the version on every
// process, bounded by the promise only when the platform is up.
func (f *run) drainCentre(centre string) {
	if !f.draining.CompareAndSwap(false, true) {
		return
	}
	if err := f.rig.SetOut(centre, true); err != nil {
		f.violation("publish: %v", err)
		return
	}
	version := f.rig.Version()
	f.busy.Go(func() {
		defer f.draining.Store(false)
		known := f.known(version)
		time.Sleep(settleLimit)
		if known {
			before := f.seenIn(centre)
			time.Sleep(settleLimit)
			if after := f.seenIn(centre); after != before {
				f.violation("%d generations began in %s after it was out of service", after-before, centre)
			}
		}
		if err := f.rig.SetOut(centre, false); err != nil {
			f.violation("publish: %v", err)
		}
	})
}

// known waits until the version is in force on every process.
func (f *run) known(version uint64) bool {
	_, err := f.rig.WaitVersion(version, 4*settleLimit)
	return err == nil
}

func (f *run) seenIn(centre string) int {
	n := 0
	for _, e := range f.rig.Engines() {
		if e.Row.DataCentre == centre {
			n += f.rig.Seen(e)
		}
	}
	return n
}
