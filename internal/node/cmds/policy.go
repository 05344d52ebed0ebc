package cmds

import (
	"fmt"
	"text/tabwriter"

	"github.com/mimosalock/mimosalock/internal/tool/policy"
)

type policyCommand struct {
	Seed  uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds int    `long:"seeds" default:"20" description:"number of seeds of the main table"`
	Large bool   `long:"large" description:"also compare on 160 workers"`
	Plot  string `long:"plot" description:"folder to write SVG plots to"`
	JSON  bool   `long:"json" description:"print JSON"`
	env   *environment
}

// Execute compares the policies and prints tables, figures and bounds.
func (c *policyCommand) Execute([]string) error {
	printLine := c.env.printLine
	if c.JSON {
		printLine = func(string, ...any) {}
	}
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds is %d, must be at least 1", c.Seeds)
	}
	rep, err := policy.Run(policy.Options{Seed: c.Seed, Seeds: c.Seeds, Large: c.Large, PrintLine: printLine})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := rep.Plot(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return c.env.printJSON(rep)
	}
	return c.print(rep)
}

func (c *policyCommand) print(rep policy.Report) error {
	w := tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\t\n", args...) }
	row("POLICY\tCOMPLETE\tREFUSED\tPREEMPTIONS/GENERATION\tUSEFUL TOKENS/S\tGAP P95 ms\tGAP P99 ms\tCHECK FIRST TOKEN P99 ms\tFIRST TOKEN P99 ms\tSTALL s/GENERATION")
	for _, name := range policy.Names() {
		printFigures(row, rep.Main[name].Mean)
	}
	if len(rep.Large) > 0 {
		row("160 workers")
		for _, f := range rep.Large {
			printFigures(row, f)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	cold, fair := rep.Cold, rep.Fair
	c.env.printLine("cold start: overloaded steps %d (round robin with 32 slots %d, no limit %d); warm after %.1f s, the oracle after %.1f s",
		cold.OverloadedSteps, cold.RoundRobinOverloadedSteps, cold.UnlimitedOverloadedSteps, cold.WarmUpSecs, cold.OracleWarmUpSecs)
	c.env.printLine("engine reset to cold: detected after %.2f s, %d calls started above its capacity; false detections before: %d", cold.ResetDetectionSecs, cold.CallsOnReset, cold.FalseCollapses)
	c.env.printLine("one workspace sends 10x: p99 first token of the others' check calls %.0f -> %.0f ms, refused share of the others %.4f, its own %.2f",
		fair.OthersCheckP99BeforeMs, fair.OthersCheckP99DuringMs, fair.OthersRefusedShare, fair.HeavyRefusedShare)
	for _, o := range rep.Overload {
		c.env.printLine("%gx of capacity, %s: %.0f useful tokens/s, p99 first token of check calls %.0f ms, refused share %.2f", o.CapacityFactor, o.Policy, o.UsefulTokensPS, o.CheckFirstTokenP99Ms, o.RefusedShare)
	}
	bounds := rep.Bounds()
	met := 0
	for _, b := range bounds {
		state := "red"
		if b.Met {
			state, met = "met", met+1
		}
		c.env.printLine("bound %s: %s (%s)", b.Name, state, b.Detail)
	}
	c.env.printLine("bounds=%d met=%d", len(bounds), met)
	return nil
}

func printFigures(row func(string, ...any), f policy.Figures) {
	row("%s\t%d\t%d\t%.4f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f", f.Policy, f.Complete, f.Refused, f.PreemptionsPerGeneration, f.UsefulTokensPS, f.GapP95Ms, f.GapP99Ms,
		f.CheckFirstTokenP99Ms, f.FirstTokenP99Ms, f.StallSecondsPerGeneration)
}
