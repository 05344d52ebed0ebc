package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mimosalock/mimosalock/internal/tool/sizing"
)

// RunLoadgen is the command line of loadgen. It returns the exit code.
func RunLoadgen(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "role" {
		return Run(args[1:], stdout, stderr) // an entry or agent that an experiment starts as a child process
	}
	env := &environment{stdout: stdout, stderr: stderr}
	return runCommand("loadgen", "loadgen measures mimosalock on one machine. Engines, services and the platform are stand-ins (fakes).", []command{
		{"faults", "Run calls while faults are injected", "A small fleet whose links are cut, stalled, delayed and silenced and whose agents and engines are replaced.", &faultsCommand{env: env}},
		{"recover", "Measure recovery from failures", "How long streams stall for each kind of failure, how fast a configuration change spreads, and service while a data centre is taken out and brought back.", &recoverCommand{env: env}},
		{"policy", "Compare admission and routing policies", "Seeded workloads on simulated engines in virtual time.", &policyCommand{env: env}},
		{"capacity", "Measure the cost of each role by fleet size and streams", "Writes the figures behind docs/CAPACITY.md.", &capacityCommand{env: env}},
	}, args, env)
}

type capacityCommand struct {
	JSON    string `long:"json" description:"file to write the raw figures to"`
	Page    string `long:"page" description:"file to write the page to, docs/CAPACITY.md"`
	From    string `long:"from" description:"raw figures of an earlier run, to write the page without measuring"`
	Fleet   []int  `long:"fleet" description:"number of processes of an idle fleet; repeat it for several sizes, at least four are recommended" default:"16" default:"32" default:"64" default:"128"`
	Streams []int  `long:"streams" description:"number of concurrent streams; repeat it for several sizes, at least four are recommended" default:"16" default:"32" default:"64" default:"128"`
	env     *environment
}

// loadReport reads the figures of an earlier run if --from names one, and measures
// otherwise.
func (c *capacityCommand) loadReport() (sizing.Report, error) {
	if c.From == "" {
		return sizing.Run(sizing.Options{FleetSizes: c.Fleet, StreamCounts: c.Streams, PrintLine: c.env.printLine})
	}
	var rep sizing.Report
	raw, err := os.ReadFile(c.From)
	if err != nil {
		return rep, err
	}
	if err := json.Unmarshal(raw, &rep); err != nil {
		return rep, fmt.Errorf("%s: %w", c.From, err)
	}
	return rep, nil
}

// Execute writes the raw figures and the page, or prints the page.
func (c *capacityCommand) Execute([]string) error {
	if len(c.Fleet) < 2 || len(c.Streams) < 2 {
		return fmt.Errorf("--fleet and --streams need at least two sizes each to fit a slope")
	}
	rep, err := c.loadReport()
	if err != nil {
		return err
	}
	if c.JSON != "" {
		raw, err := json.MarshalIndent(rep, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, raw, 0o644); err != nil {
			return err
		}
	}
	page := rep.Page()
	if c.Page != "" {
		return os.WriteFile(c.Page, []byte(page), 0o644)
	}
	c.env.printLine("%s", page)
	return nil
}
