package cmds

import (
	"github.com/jessevdk/go-flags"

	entry "github.com/mimosalock/mimosalock/internal/entry/explain"
	"github.com/mimosalock/mimosalock/internal/tool/explain"
)

type explainCallCommand struct {
	Address   string `long:"address" description:"IP:port of a gateway that serves peers and metrics"`
	Host      string `long:"host" description:"gateway: host name of the call"`
	Path      string `long:"path" description:"gateway: path of the call"`
	Parts     string `long:"parts" description:"gateway: parts of the prompt, ID:TOKENS,..., the last one the call's own"`
	Admin     string `long:"admin" description:"admin IP:port of an entry, instead of --address"`
	Service   string `long:"service" description:"entry: service of the call"`
	Model     string `long:"model" description:"entry: model of the call"`
	Workspace string `long:"workspace" description:"name of the workspace, none for a call to a gateway without a key"`
	Prompt    int    `long:"prompt" description:"prompt tokens"`
	Output    int    `long:"output" description:"most output tokens"`
	JSON      bool   `long:"json" description:"print JSON"`
	env       *environment
}

// Execute prints where a gateway or an entry would place a call now.
func (c *explainCallCommand) Execute([]string) error {
	gateway := c.Address != "" && c.Host != "" && c.Path != "" && c.Service == "" && c.Model == ""
	atEntry := c.Admin != "" && c.Workspace != "" && (c.Service != "" || c.Model != "") && c.Host == "" && c.Path == "" && c.Parts == ""
	switch {
	case atEntry && c.Address == "":
		return c.askEntry()
	case gateway && c.Admin == "":
		return c.askGateway()
	}
	return &flags.Error{Type: flags.ErrRequired, Message: "explain-call needs either --address, --host and --path of a call to a gateway, " +
		"or --admin, --workspace and --service or --model of a call to an entry"}
}

func (c *explainCallCommand) askGateway() error {
	q := explain.Query{Host: c.Host, Path: c.Path, Workspace: c.Workspace, Prompt: c.Prompt, Output: c.Output, Parts: c.Parts}
	answer, err := explain.Fetch(c.Address, q)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.env.printJSON(answer)
	}
	return explain.Write(c.env.stdout, answer)
}

func (c *explainCallCommand) askEntry() error {
	q := entry.Query{Workspace: c.Workspace, Service: c.Service, Model: c.Model, Prompt: c.Prompt, Output: c.Output}
	answer, err := explain.FetchEntry(c.Admin, q)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.env.printJSON(answer)
	}
	return explain.WriteEntry(c.env.stdout, answer)
}
