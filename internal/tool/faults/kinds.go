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
	kindRestartAgent
	kindReplaceEngine
	kindEngineStall
	kindEngineCold
	kindPlatformDown
	kindPlatformStale
	kindDrainDataCentre
	kindHostLeaving
	kindCutCallers
)

var kinds = []kind{
	kindCut, kindSilence, kindStall, kindDelay, kindCutEndpoint, kindSilenceEndpoint, kindRestartAgent, kindReplaceEngine,
	kindEngineStall, kindEngineCold, kindPlatformDown, kindPlatformStale, kindDrainDataCentre, kindHostLeaving, kindCutCallers,
}

// injectFault injects a fault of the kind into a random node and returns its
// description. A fault with a duration is ended by a timer.
func (f *run) injectFault(k kind) string {
	agents := f.rig.Agents()
	engines := f.rig.Engines()
	a, e := agents[f.rng.IntN(len(agents))], engines[f.rng.IntN(len(engines))]
	span := time.Duration(500+f.rng.IntN(4500)) * time.Millisecond
	switch k {
	case kindCut:
		a.Link.Cut()
		return "cut the connections to " + a.Row.Host
	case kindSilence:
		a.Link.Silence()
		return "silence the connections to " + a.Row.Host
	case kindStall:
		a.Link.Stall(true)
		f.scheduleEnd(span, func() { a.Link.Stall(false) })
		return "stall the connections to " + a.Row.Host
	case kindDelay:
		a.Link.Delay(100 * time.Millisecond)
		f.scheduleEnd(span, func() { a.Link.Delay(0) })
		return "delay the connections to " + a.Row.Host
	case kindCutEndpoint:
		a.EndpointLink.Cut()
		return "cut the connections to the endpoint of " + a.Row.Host
	case kindSilenceEndpoint:
		a.EndpointLink.Silence()
		return "silence the connections to the endpoint of " + a.Row.Host
	case kindRestartAgent:
		f.restartAgent(a)
		return "restart the agent " + a.Row.Host
	case kindReplaceEngine:
		if err := f.rig.ReplaceEngine(e); err != nil {
			f.violation("replace engine: %v", err)
		}
		return "replace the engine of " + e.Row.Host
	case kindEngineStall:
		engine := e.Engine
		engine.Stall(true)
		f.scheduleEnd(span, func() { engine.Stall(false) })
		return "stall the engine of " + e.Row.Host
	case kindEngineCold:
		e.Engine.Chill()
		return "simulate a cold engine at " + e.Row.Host
	case kindPlatformDown:
		f.rig.Platform.SetDown(true)
		f.scheduleEnd(span, func() { f.rig.Platform.SetDown(false) })
		return "make the platform unavailable"
	case kindPlatformStale:
		f.rig.Platform.Freeze()
		f.scheduleEnd(span, f.rig.Platform.Thaw)
		return "freeze the platform's configuration"
	case kindDrainDataCentre:
		f.drainDataCentre(e.Row.DataCentre)
		return "out of service: " + e.Row.DataCentre
	case kindHostLeaving:
		f.rig.SetLeaving(a, true)
		f.scheduleEnd(span, func() { f.rig.SetLeaving(a, false) })
		return "mark as leaving: " + a.Row.Host
	default:
		entries := f.rig.Entries()
		entries[f.rng.IntN(len(entries))].Link.Cut()
		return "cut the callers' connections to an entry"
	}
}

// scheduleEnd ends a fault after the given time. Run waits for it.
func (f *run) scheduleEnd(after time.Duration, end func()) {
	f.pendingEnds.Add(1)
	time.AfterFunc(after, func() {
		defer f.pendingEnds.Done()
		end()
	})
}

// restartAgent kills an agent and starts a new one in its place. It returns when
// that is done, so restarts never overlap.
func (f *run) restartAgent(n *local.Node) {
	f.rig.KillAgent(n)
	if err := f.rig.StartAgent(n); err != nil {
		f.violation("restart: %v", err)
	}
}

// drainDataCentre takes a data centre out of service, checks that its engines get no
// new generations, and brings it back. Only one drain is in progress at a time.
//
// The check starts drainTimeout after the version is in force on every process.
// Other faults can keep the version from the processes, for example while the
// platform is down; if it is not in force in time, the check is skipped.
func (f *run) drainDataCentre(centre string) {
	if !f.draining.CompareAndSwap(false, true) {
		return
	}
	if err := f.rig.SetOut(centre, true); err != nil {
		f.violation("publish: %v", err)
		return
	}
	version := f.rig.Version()
	f.pendingEnds.Go(func() {
		defer f.draining.Store(false)
		inForce := f.waitInForce(version)
		time.Sleep(drainTimeout)
		if inForce {
			before := f.generationsIn(centre)
			time.Sleep(drainTimeout)
			if after := f.generationsIn(centre); after != before {
				f.violation("%d generations began in %s after it was out of service", after-before, centre)
			}
		}
		if err := f.rig.SetOut(centre, false); err != nil {
			f.violation("publish: %v", err)
		}
	})
}

// waitInForce waits until the configuration version is in force on every process. It
// returns false if that takes too long.
func (f *run) waitInForce(version uint64) bool {
	_, err := f.rig.WaitVersion(version, 4*drainTimeout)
	return err == nil
}

// generationsIn returns how many generations the data centre's engines have been
// sent so far.
func (f *run) generationsIn(centre string) int {
	n := 0
	for _, e := range f.rig.Engines() {
		if e.Row.DataCentre == centre {
			n += f.rig.GenerationCount(e)
		}
	}
	return n
}
