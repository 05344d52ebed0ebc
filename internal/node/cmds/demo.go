package cmds

import (
	"fmt"

	"github.com/mimosalock/mimosalock/internal/tool/demo"
)

type demoCommand struct {
	Calls int    `long:"calls" default:"40" description:"number of calls"`
	Seed  uint64 `long:"seed" default:"1" description:"random seed of the calls"`
	Serve bool   `long:"serve" description:"run until interrupted, for manual requests"`
	env   *environment
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	if c.Calls < 1 {
		return fmt.Errorf("--calls is %d, must be at least 1", c.Calls)
	}
	ctx, stop := signalContext()
	defer stop()
	if c.Serve {
		return demo.Serve(ctx, c.Seed, c.env.stdout)
	}
	return demo.Run(ctx, demo.Options{Calls: c.Calls, Seed: c.Seed}, c.env.stdout)
}
