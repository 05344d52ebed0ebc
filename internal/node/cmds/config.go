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

// Execute prints every fault.
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
	Out      string   `long:"out" required:"yes" description:"folder to write manifest and shards to"`
	Previous string   `long:"previous" description:"folder of the previous version, default the output folder"`
	DryRun   bool     `long:"dry-run" description:"show the difference and write nothing"`
	env      *environment
}

// Execute writes the next version.
func (c *publishCommand) Execute([]string) error {
	res, err := c.env.checkServiceFiles(c.Args.Paths)
	if err != nil {
		return err
	}
	from := c.Previous
	if from == "" {
		from = c.Out
	}
	old, err := bundle.Open(from)
	if err != nil {
		return err
	}
	var before spec.File
	version := uint64(1)
	if old != nil {
		if before, err = old.File(); err != nil {
			return err
		}
		version = old.Version() + 1
	}
	lines := diff.Lines(before, res.Merged)
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
