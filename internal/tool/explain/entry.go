package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	entry "github.com/mimosalock/mimosalock/internal/entry/explain"
	"github.com/mimosalock/mimosalock/internal/entry/quota"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
)

// FetchEntry asks the entry whose administration port has an address.
func FetchEntry(address string, q entry.Query) (a entry.Answer, err error) {
	return a, get(address, entry.Path+"?"+q.Encode(), &a)
}

// WriteEntry prints an entry's answer as text.
func WriteEntry(out io.Writer, a entry.Answer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("result\t%s", entryResult(a.Result))
	if a.Result != a.Placement {
		line("agents\t%s", entryResult(a.Placement))
	}
	line("entry\t%s, data centre %s, configuration version %d", a.Entry, a.DataCentre, a.ConfigVersion)
	line("call\tservice %s, model %s, class %s, priority %d, waits at most %s", a.Service, cmp.Or(a.Model, "-"), a.Class, a.Priority, age(int64(a.MaxQueueMs)))
	line("quota\tworkspace %s, its part at one of %d entries: requests %s; tokens %s", a.Workspace, a.Entries, allowanceText(a.Quota.Requests), allowanceText(a.Quota.Tokens))
	line("ages\tconfiguration %s, host list %s", age(a.ConfigAgeMs), age(a.HostListAgeMs))
	line("counts\t%s", countsText(a.Counts))
	if len(a.Unanswered) > 0 {
		line("silent\t%s", strings.Join(a.Unanswered, ", "))
	}
	for _, n := range a.Notes {
		line("note\t%s", n)
	}
	line("")
	line("AGENT\tDATA CENTRE\tTIER\tPROBED\tADMITS\tWAIT\tFREE SLOTS\tRETRY-AFTER\tCONFIG\tUP FOR\tHEARTBEAT\tREASON")
	for _, agent := range a.Agents {
		line("%s\t%s\t%s\t%s\t%s", agent.Host, agent.DataCentre, tierText(agent), roundText(agent), probeText(agent.Probe))
	}
	if more := a.OfAgents - len(a.Agents); more > 0 {
		line("%d more", more)
	}
	return w.Flush()
}

func entryResult(r relay.Result) (text string) {
	switch r.Kind {
	case relay.KindOffered:
		text = "offered to " + r.Agent + ", which would start it now"
	case relay.KindQueued:
		text = fmt.Sprintf("offered to %s, which would queue it, expected wait %s", r.Agent, age(r.WaitMs))
	case relay.KindRefused:
		text = fmt.Sprintf("refused with status %d: %s, Retry-After %s", r.Status, r.Reason, age(r.RetryAfterMs))
	default:
		text = "undecided: " + r.Reason
	}
	if r.Incomplete {
		text += "; a call would probe further agents"
	}
	return text
}

func allowanceText(a quota.Allowance) string {
	if a.PerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%.1f left at %g a second", a.Left, a.PerSecond)
}

func countsText(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return cmp.Or(strings.Join(parts, ", "), "no agents")
}

func tierText(a relay.ExplainedAgent) string {
	if a.Excluded != "" {
		return "excluded: " + string(a.Excluded)
	}
	return a.Tier
}

func roundText(a relay.ExplainedAgent) string {
	how := "random"
	if a.Owner {
		how = "owner"
	}
	switch {
	case a.Probe == nil:
		return "-"
	case a.Round == 0:
		return "not needed"
	}
	return fmt.Sprintf("round %d, %s", a.Round, how)
}

func probeText(p *relay.ExplainedProbe) string {
	switch {
	case p == nil:
		return "-\t-\t-\t-\t-\t-\t-\t-"
	case !p.Answered:
		return "-\t-\t-\t-\t-\t-\t-\tno answer"
	}
	return fmt.Sprintf("%v\t%s\t%d\t%s\t%d\t%s\t%s\t%s", p.Admits, age(int64(p.WaitMs)), p.FreeSlots, age(int64(p.RetryAfterMs)), p.ConfigVersion,
		age(p.UptimeMs), age(p.BeatAgeMs), cmp.Or(p.Reason, "-"))
}
