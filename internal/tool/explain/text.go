package explain

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mimosalock/mimosalock/internal/router/sched"
	"github.com/mimosalock/mimosalock/internal/router/serve"
)

// Write prints an answer as text.
func Write(out io.Writer, a Answer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("result\t%s", resultText(a))
	line("gateway\t%s", a.Gateway)
	line("route\t%s to %s, priority %d, configuration version %d", a.Route, a.Service, a.Priority, a.ConfigVersion)
	line("call\tworkspace %s, regions %s, %d tokens of memory%s", cmp.Or(a.Workspace, "none"), cmp.Or(strings.Join(a.Regions, ","), "all"), a.MemoryTokens, callText(a))
	line("ages\tregistry %s; loads of %d peers %s; %d region reports %s; %d queue reports up to %s", age(a.RegistryAge),
		a.Sources.Peers, span(a.Sources.PeersNew, a.Sources.PeersOld), a.Sources.Regions, span(a.Sources.RegionNew, a.Sources.RegionOld), a.Sources.Queues, age(a.Sources.QueueOld))
	for _, t := range a.OtherTargets {
		line("also\t%s, weight %d", t.Service, t.Weight)
	}
	for _, n := range a.Notes {
		line("note\t%s", n)
	}
	line("")
	line("ENDPOINT\tDATA CENTRE\tSTATE\tCOST\tTERMS\tCALLS\tMEMORY\tUNREAD\tAGES: PEERS, REGION, PACE")
	for _, e := range a.Endpoints {
		line("%s\t%s\t%s\t%.3f\t%s\t%d/%d\t%d\t%d\t%s, %s, %s", e.ID, e.DataCentre, state(e), e.Cost, termsText(e.Terms), e.Load.Calls, e.Slots,
			e.Load.MemoryTokens, e.Load.PrefillTokens, age(e.PeersAge), age(e.RegionAge), age(e.PaceAge))
	}
	if more := a.OfEndpoints - len(a.Endpoints); more > 0 {
		line("%d more", more)
	}
	return w.Flush()
}

func resultText(a Answer) string {
	p := a.Result
	switch p.Kind {
	case serve.KindEndpoint:
		others := -1 // without the endpoint itself
		for _, e := range a.Endpoints {
			if e.MayGet {
				others++
			}
		}
		if others > 0 {
			return fmt.Sprintf("placed at %s or, by the random part of the cost, at one of %d others marked may_get", p.Endpoint, others)
		}
		return "placed at " + p.Endpoint
	case serve.KindQueued:
		expected := "unknown"
		if p.ExpectedWait >= 0 {
			expected = age(p.ExpectedWait)
		}
		kept := ""
		if p.ForKept {
			kept = "; there is room, but it is kept for other calls"
		}
		return fmt.Sprintf("queued behind %d calls, expected wait %s, refused after %s%s", p.Position, expected, age(p.WaitsAtMost), kept)
	}
	return fmt.Sprintf("refused: %s, Retry-After %s", p.Reason, age(p.RetryAfter))
}

func callText(a Answer) (text string) {
	if a.MaxUnreadTokens > 0 {
		text += fmt.Sprintf(", at most %d unread prompt tokens", a.MaxUnreadTokens)
	}
	if a.Short {
		text += ", short"
	}
	if a.MustQueue {
		text += ", must queue: others wait"
	}
	return text
}

func state(e sched.Explained) string {
	switch {
	case e.Exclusion != "" && e.Detail != "":
		return e.Exclusion + ": " + e.Detail
	case e.Exclusion != "":
		return e.Exclusion
	case e.MayGet:
		return "may_get"
	}
	return "room"
}

func termsText(t sched.Terms) string {
	var parts []string
	for _, term := range []struct {
		name  string
		value float64
	}{
		{"memory", t.Memory},
		{"unread", t.Unread},
		{"calls", t.Calls},
		{"distance", t.Distance},
		{"pace", t.Pace},
		{"failures", t.Failures},
		{"moves", t.Moves},
		{"unreachable", t.Unreachable},
		{"unlisted", t.Unlisted},
	} {
		if term.value != 0 {
			parts = append(parts, fmt.Sprintf("%s %.3f", term.name, term.value))
		}
	}
	return cmp.Or(strings.Join(parts, " "), "-")
}

// age formats milliseconds. A negative number means that there is no such input.
func age(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func span(newest, oldest int64) string {
	if newest < 0 {
		return "-"
	}
	return age(newest) + " to " + age(oldest)
}
