package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/ops/admin"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

const adminTimeout = 5 * time.Second

// fetchAdmin reads JSON from the admin server of a process.
func fetchAdmin(addr, path string, out any) error {
	code, body, err := httpc.Get(addr, path, adminTimeout)
	if err != nil {
		return fmt.Errorf("read %s%s: %w", addr, path, err)
	}
	if code != http.StatusOK {
		return fmt.Errorf("read %s%s: status %d", addr, path, code)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("read %s%s: %w", addr, path, err)
	}
	return nil
}

func (e *environment) printJSON(v any) error {
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type statusCommand struct {
	Admin string `long:"admin" required:"yes" description:"admin IP:port of the process"`
	JSON  bool   `long:"json" description:"print JSON"`
	env   *environment
}

// Execute prints the state of one process.
func (c *statusCommand) Execute([]string) error {
	var s admin.Status
	if err := fetchAdmin(c.Admin, "/status", &s); err != nil {
		return err
	}
	if c.JSON {
		return c.env.printJSON(s)
	}
	w := tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)
	row := func(cells ...any) {
		for _, cell := range cells {
			_, _ = fmt.Fprintf(w, "%v\t", cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	row("HOST", "DATA CENTRE", "ROLE", "READY", "CONFIG", "CONFIRMED", "HOST LIST", "IN FLIGHT", "VIOLATIONS")
	row(s.Host, s.DataCentre, s.Role, s.Ready, s.ConfigVersion, formatAge(s.ConfigAgeMs), s.HostRevision, s.InFlight, s.Violations)
	row()
	row("DATA CENTRE", "REGION", "IN SERVICE")
	for _, d := range s.DataCentres {
		row(d.Name, d.Region, d.InService)
	}
	row()
	row("SERVICE", "KIND", "AGENTS")
	for _, r := range s.Services {
		row(r.Name, r.Kind, r.Agents)
	}
	row()
	row("HOST", "DATA CENTRE", "ROLE", "SERVICE", "LEAVING", "SUSPECTED")
	for _, h := range s.Hosts {
		row(h.Host, h.DataCentre, h.Role, h.Service, h.Leaving, h.Suspected)
	}
	if s.Endpoint != nil {
		row()
		row("ENDPOINT")
		raw, err := json.Marshal(s.Endpoint)
		if err != nil {
			return err
		}
		row(string(raw))
	}
	return w.Flush()
}

// formatAge formats the time since the configuration was last confirmed. A negative
// value means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

type explainCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" description:"call ID, its first part, or a host name"`
	} `positional-args:"yes" required:"yes"`
	Admin []string `long:"admin" required:"yes" description:"admin IP:port of a process to ask; may be repeated"`
	JSON  bool     `long:"json" description:"print JSON"`
	env   *environment
}

// processEvents holds the audit events of one process.
type processEvents struct {
	Process string        `json:"process"`
	Events  []audit.Event `json:"events"`
}

// Execute prints the audit events of one call or endpoint, grouped by process.
// Events of different processes are not merged by time, since host clocks differ.
func (c *explainCommand) Execute([]string) error {
	processes := make([]processEvents, 0, len(c.Admin))
	found := false
	for _, addr := range c.Admin {
		s := processEvents{Process: addr}
		if err := fetchAdmin(addr, "/audit?id="+url.QueryEscape(c.Args.ID), &s.Events); err != nil {
			return err
		}
		found = found || len(s.Events) > 0
		processes = append(processes, s)
	}
	if c.JSON {
		return c.env.printJSON(processes)
	}
	w := tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)
	for _, s := range processes {
		_, _ = fmt.Fprintf(w, "%s\n", s.Process)
		for _, e := range s.Events {
			_, _ = fmt.Fprintf(w, "  %s\t%s\t%s\tversion %d\t%s\n", e.At.Format("15:04:05.000"), e.Kind, e.Subject, e.Version, e.Reason)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("no record of %q: the events may have been evicted from the audit trail, or another process holds them", c.Args.ID)
	}
	return nil
}
