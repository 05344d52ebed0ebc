package cmds

import (
	"time"

	"github.com/mimosalock/mimosalock/internal/tool/recov"
)

const spreadProcesses = 128 // processes

type recoverCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	env  *environment
}

type recoverReport struct {
	Stalls []recov.Stall  `json:"stalls"`
	Moves  []recov.Move   `json:"moves"`
	Spread []recov.Spread `json:"spread"`
}

// Execute measures recovery and prints a line for each figure.
func (c *recoverCommand) Execute([]string) error {
	var rep recoverReport
	var err error
	if rep.Stalls, err = recov.Stalls(); err != nil {
		return err
	}
	if rep.Moves, err = recov.Moves(); err != nil {
		return err
	}
	if rep.Spread, err = recov.Spreads(spreadProcesses); err != nil {
		return err
	}
	if c.JSON {
		return c.env.printJSON(rep)
	}
	for _, s := range rep.Stalls {
		c.env.printLine("%s: %s, %d tokens, longest gap %v", s.Kind, s.Outcome, s.Returned, s.Longest.Round(time.Millisecond))
	}
	for _, s := range rep.Spread {
		c.env.printLine("change in force on %d processes, %d dead: %v at worst of 10, %d calls to the configuration service",
			s.Processes, s.Dead, s.Worst.Round(time.Millisecond), s.Calls)
	}
	for _, m := range rep.Moves {
		c.env.printLine("data centre %s: %d of %d calls complete, gap p99 %v, stalled %v", m.Phase, m.Complete, m.Calls,
			m.Gap99.Round(100*time.Microsecond), m.Stalled.Round(time.Millisecond))
	}
	return nil
}
