package cmds

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/tool/recov"
)

// rolloutProcesses is the fleet size for measuring how fast a change spreads.
const rolloutProcesses = 128

type recoverCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	env  *environment
}

type recoverReport struct {
	Stalls      []recov.Stall      `json:"stalls"`
	DrainPhases []recov.DrainPhase `json:"moves"`
	Rollouts    []recov.Rollout    `json:"spread"`
}

// Execute measures recovery and prints one line per measurement.
func (c *recoverCommand) Execute([]string) error {
	var rep recoverReport
	var err error
	if rep.Stalls, err = recov.MeasureStalls(); err != nil {
		return err
	}
	if rep.DrainPhases, err = recov.MeasureDrain(); err != nil {
		return err
	}
	if rep.Rollouts, err = recov.MeasureRollouts(rolloutProcesses); err != nil {
		return err
	}
	if c.JSON {
		return c.env.printJSON(rep)
	}
	for _, s := range rep.Stalls {
		c.env.printLine("fault %s: outcome %s, %d tokens, longest gap %v", s.Kind, s.Outcome, s.Tokens, s.Longest.Round(time.Millisecond))
	}
	for _, s := range rep.Rollouts {
		c.env.printLine("configuration change applied by %d processes, %d dead: slowest of 10 took %v, %d calls to the configuration service",
			s.Processes, s.Dead, s.Worst.Round(time.Millisecond), s.Calls)
	}
	for _, m := range rep.DrainPhases {
		c.env.printLine("data centre taken out of service and brought back, phase %s: %d of %d calls complete, p99 token gap %v, stalled %v in total", m.Phase, m.Complete, m.Calls,
			m.GapP99.Round(100*time.Microsecond), m.Stalled.Round(time.Millisecond))
	}
	return nil
}
