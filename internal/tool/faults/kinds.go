package faults

import (
	"fmt"
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
	kindUnreachable
	kindCutOneWay
	kindEndpointUnreachable
)

var kinds = []kind{
	kindCut, kindSilence, kindStall, kindDelay, kindCutEndpoint, kindSilenceEndpoint, kindRestartAgent, kindReplaceEngine,
	kindEngineStall, kindEngineCold, kindPlatformDown, kindPlatformStale, kindDrainDataCentre, kindHostLeaving, kindCutCallers,
	kindUnreachable, kindCutOneWay, kindEndpointUnreachable,
}

// injectFault injects a fault of the kind into a random node and returns its
// description. A fault with a duration is ended by a timer.
func (f *run) injectFault(k kind) string {
	agents := f.fleet.Agents()
	engines := f.fleet.Engines()
	a, e := agents[f.rng.IntN(len(agents))], engines[f.rng.IntN(len(engines))]
	span := time.Duration(500+f.rng.IntN(4500)) * time.Millisecond
	switch k {
	case kindCut:
		f.disturb(a, 0)
		a.Link.Cut()
		return "cut the connections to " + a.HostRow.Host
	case kindSilence:
		f.disturb(a, 0)
		a.Link.Silence()
		return "silence the connections to " + a.HostRow.Host
	case kindStall:
		f.disturb(a, span)
		a.Link.SetStalled(true)
		f.scheduleEnd(span, func() { a.Link.SetStalled(false) })
		return "stall the connections to " + a.HostRow.Host
	case kindDelay:
		f.disturb(a, span)
		a.Link.SetDelay(100 * time.Millisecond)
		f.scheduleEnd(span, func() { a.Link.SetDelay(0) })
		return "delay the connections to " + a.HostRow.Host
	case kindCutEndpoint:
		f.disturb(a, 0)
		a.EndpointLink.Cut()
		return "cut the connections to the endpoint of " + a.HostRow.Host
	case kindSilenceEndpoint:
		f.disturb(a, 0)
		a.EndpointLink.Silence()
		return "silence the connections to the endpoint of " + a.HostRow.Host
	case kindRestartAgent:
		f.restartAgent(a)
		return "restart the agent " + a.HostRow.Host
	case kindReplaceEngine:
		if err := f.fleet.ReplaceEngine(e); err != nil {
			f.violation("replace engine: %v", err)
		}
		return "replace the engine of " + e.HostRow.Host
	case kindEngineStall:
		engine := e.Engine
		engine.SetStalled(true)
		f.scheduleEnd(span, func() { engine.SetStalled(false) })
		return "stall the engine of " + e.HostRow.Host
	case kindEngineCold:
		e.Engine.SetCold()
		return "simulate a cold engine at " + e.HostRow.Host
	case kindPlatformDown:
		f.fleet.Platform.SetDown(true)
		f.scheduleEnd(span, func() { f.fleet.Platform.SetDown(false) })
		return "make the platform unavailable"
	case kindPlatformStale:
		f.fleet.Platform.Freeze()
		f.scheduleEnd(span, f.fleet.Platform.Unfreeze)
		return "freeze the platform's configuration"
	case kindDrainDataCentre:
		f.drainDataCentre(e.HostRow.DataCentre)
		return "out of service: " + e.HostRow.DataCentre
	case kindHostLeaving:
		f.fleet.SetLeaving(a, true)
		f.scheduleEnd(span, func() { f.fleet.SetLeaving(a, false) })
		return "mark as leaving: " + a.HostRow.Host
	case kindUnreachable:
		f.disturb(a, span)
		a.Link.SetRefusing(true)
		a.Link.Cut()
		f.scheduleEnd(span, func() { a.Link.SetRefusing(false) })
		return "refuse connections to " + a.HostRow.Host
	case kindCutOneWay:
		toClient := f.rng.IntN(2) == 0
		f.disturb(a, span)
		a.Link.SetCutOneWay(toClient, true)
		f.scheduleEnd(span, func() { a.Link.SetCutOneWay(toClient, false) })
		return fmt.Sprintf("cut the link to %s one way, to the entries: %v", a.HostRow.Host, toClient)
	case kindEndpointUnreachable:
		f.disturb(a, span)
		a.EndpointLink.SetRefusing(true)
		a.EndpointLink.Cut()
		f.scheduleEnd(span, func() { a.EndpointLink.SetRefusing(false) })
		return "refuse connections to the endpoint of " + a.HostRow.Host
	default:
		entries := f.fleet.Entries()
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
	f.disturb(n, 0)
	f.fleet.KillAgent(n)
	defer func() { f.disturb(n, 0) }()
	if err := f.fleet.StartAgent(n); err != nil {
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
	if err := f.fleet.SetOutOfService(centre, true); err != nil {
		f.violation("publish: %v", err)
		return
	}
	version := f.fleet.Version()
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
		if err := f.fleet.SetOutOfService(centre, false); err != nil {
			f.violation("publish: %v", err)
		}
	})
}

// waitInForce waits until the configuration version is in force on every process. It
// returns false if that takes too long.
func (f *run) waitInForce(version uint64) bool {
	_, err := f.fleet.WaitVersion(version, 4*drainTimeout)
	return err == nil
}

// generationsIn returns how many generations the data centre's engines have been
// sent so far.
func (f *run) generationsIn(centre string) int {
	n := 0
	for _, e := range f.fleet.Engines() {
		if e.HostRow.DataCentre == centre {
			n += f.fleet.GenerationCount(e)
		}
	}
	return n
}
