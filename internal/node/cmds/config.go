package cmds

import (
	"cmp"
	"fmt"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/check"
	"github.com/mimosalock/mimosalock/internal/conf/diff"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

type pathArgs struct {
	Paths []string `positional-arg-name:"PATH" required:"1" description:"service files, or folders of *.service.jsonc"`
}

type checkCommand struct {
	Args pathArgs `positional-args:"yes"`
	env  *environment
}

// Execute validates the files and prints every fault.
func (c *checkCommand) Execute([]string) error {
	settings, settingsErr := c.env.checkSettings(c.Args.Paths)
	res, err := c.env.checkServiceFiles(c.Args.Paths)
	if err = cmp.Or(err, settingsErr); err != nil {
		return err
	}
	c.env.printLine("%d service files, %d settings files, %d data centres, %d services, %d workspaces: no faults",
		res.Files, settings, len(res.Merged.DataCentres), len(res.Merged.Services), len(res.Merged.Workspaces))
	return nil
}

// checkServiceFiles validates the service files at the paths and prints every fault.
func (e *environment) checkServiceFiles(paths []string) (check.Result, error) {
	res, err := check.Paths(paths)
	if err != nil {
		return res, err
	}
	if res.Files == 0 {
		return res, fmt.Errorf("no service files (*%s) in %v", check.Suffix, paths)
	}
	for _, f := range res.Faults {
		e.printLine("%s", f)
	}
	if len(res.Faults) > 0 {
		return res, errReported
	}
	return res, nil
}

type publishCommand struct {
	Args     pathArgs `positional-args:"yes"`
	Out      string   `long:"out" required:"yes" description:"folder to write the manifest and shards to"`
	Previous string   `long:"previous" description:"folder of the previous version, by default the output folder"`
	DryRun   bool     `long:"dry-run" description:"print the differences without writing"`
	env      *environment
}

// Execute prints the differences from the previous version and writes the next one.
func (c *publishCommand) Execute([]string) error {
	res, err := c.env.checkServiceFiles(c.Args.Paths)
	if err != nil {
		return err
	}
	previousDir := c.Previous
	if previousDir == "" {
		previousDir = c.Out
	}
	previous, err := bundle.Open(previousDir)
	if err != nil {
		return err
	}
	var previousFile spec.File
	version := uint64(1)
	if previous != nil {
		if previousFile, err = previous.File(); err != nil {
			return err
		}
		version = previous.Version() + 1
	}
	lines := diff.Lines(previousFile, res.Merged)
	for _, l := range lines {
		c.env.printLine("%s", l)
	}
	if len(lines) == 0 {
		c.env.printLine("no change from version %d: nothing written", version-1)
		return nil
	}
	next, err := bundle.Build(version, res.Merged)
	if err != nil {
		return err
	}
	if !c.DryRun {
		if err := next.Save(c.Out); err != nil {
			return err
		}
	}
	c.env.printLine("version=%d shards=%d bytes=%d", version, len(next.Shards()), next.Bytes())
	return nil
}
