package cmds

import (
	"fmt"

	"github.com/mimosalock/mimosalock/internal/tool/faults"
)

type faultsCommand struct {
	Seed    uint64 `long:"seed" default:"1" description:"random seed of the calls and faults"`
	Seconds int    `long:"seconds" default:"60" description:"duration of the run in seconds"`
	Quiet   bool   `long:"quiet" description:"print only the two lines of totals"`
	env     *environment
}

// Execute runs calls while faults are injected and fails on any violation.
func (c *faultsCommand) Execute([]string) error {
	if c.Seconds < 1 {
		return fmt.Errorf("--seconds is %d, must be at least 1", c.Seconds)
	}
	printLine := c.env.printLine
	if c.Quiet {
		printLine = func(string, ...any) {}
	}
	res, err := faults.Run(faults.Options{Seed: c.Seed, Seconds: c.Seconds, PrintLine: printLine})
	if err != nil {
		return err
	}
	c.env.printLine("outcomes=%v first_tries=%d retries=%d", res.Outcomes, res.FirstAttempts, res.Retries)
	c.env.printLine("faults=%d calls=%d repeated_runs=%d violations=%d", res.Faults, res.Calls, res.RepeatedRuns, len(res.Violations))
	if len(res.Violations) > 0 {
		return fmt.Errorf("seed %d: %s", c.Seed, res.Violations[0])
	}
	return nil
}
