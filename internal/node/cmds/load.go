package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mimosalock/mimosalock/internal/tool/capac"
)

// RunLoadgen is the command line of loadgen.
func RunLoadgen(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "role" {
		return Run(args[1:], stdout, stderr) // a process of an experiment
	}
	env := &environment{stdout: stdout, stderr: stderr}
	return runCommand("loadgen", "loadgen measures mimosalock on one machine with stand-ins.", []command{
		{"faults", "Run calls under faults", "A small fleet over links that are cut, stalled, delayed and silenced.", &faultsCommand{env: env}},
		{"recover", "Measure recovery", "How long streams stall for each kind of death; service while a data centre leaves and returns.", &recoverCommand{env: env}},
		{"policy", "Compare admission and routing policies", "Seeded work on small engine models in virtual time.", &policyCommand{env: env}},
		{"capacity", "Measure what each role costs by size", "Writes the figures behind docs/CAPACITY.md.", &capacityCommand{env: env}},
	}, args, env)
}

type capacityCommand struct {
	JSON    string `long:"json" description:"file for the raw figures"`
	Page    string `long:"page" description:"file for the page, docs/CAPACITY.md"`
	From    string `long:"from" description:"raw figures of an earlier run: write the page and measure nothing"`
	Fleet   []int  `long:"fleet" description:"processes of an idle fleet; give at least four" default:"16" default:"32" default:"64" default:"128"`
	Streams []int  `long:"streams" description:"streams at once; give at least four" default:"16" default:"32" default:"64" default:"128"`
	env     *environment
}

// loadReport measures, or reads an earlier run.
func (c *capacityCommand) loadReport() (capac.Report, error) {
	if c.From == "" {
		return capac.Run(capac.Options{Fleet: c.Fleet, Streams: c.Streams, Say: c.env.printLine})
	}
	var rep capac.Report
	raw, err := os.ReadFile(c.From)
	if err != nil {
		return rep, err
	}
	if err := json.Unmarshal(raw, &rep); err != nil {
		return rep, fmt.Errorf("%s: %w", c.From, err)
	}
	return rep, nil
}

// Execute measures and writes the page.
func (c *capacityCommand) Execute([]string) error {
	if len(c.Fleet) < 2 || len(c.Streams) < 2 {
		return fmt.Errorf("a slope needs at least two sizes of --fleet and of --streams")
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
