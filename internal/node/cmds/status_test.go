package cmds

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

func TestStatusAndExplain(t *testing.T) {
	r, err := local.New(local.Options{Entries: 1, Engines: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	res := client.New(local.Key).Generate(ctx, r.Entries()[0].CallerAddr, local.ModelName, "len=3", 0)
	if res.Outcome != client.OutcomeComplete {
		t.Fatalf("outcome %s", res.Outcome)
	}
	entry, agent := r.Entries()[0].Settings.Admin, r.Engines()[0].Settings.Admin
	cases := []struct {
		name  string
		args  []string
		code  int
		texts []string
	}{
		{"status of an entry", []string{"status", "--admin", entry}, 0, []string{"galway-a", "IN SERVICE", local.ModelService}},
		{"status of an agent", []string{"status", "--admin", agent}, 0, []string{`"limit":48`}},
		{"status as JSON", []string{"status", "--json", "--admin", entry}, 0, []string{`"config_version": 1`}},
		{"a call", []string{"explain", "--admin", entry, "--admin", agent, res.CallID}, 0, []string{"call_offered", "call_accepted", "call_started", "complete"}},
		{"an endpoint", []string{"explain", "--admin", entry, r.Engines()[0].HostRow.Host}, 0, []string{"call_offered"}},
		{"an unknown call", []string{"explain", "--admin", entry, "no-such-call"}, 1, []string{"no record"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := invoke(c.args...)
			for _, text := range c.texts {
				if got.code != c.code || !strings.Contains(got.out+got.errOut, text) {
					t.Fatalf("exit code %d, output %s, errors %s", got.code, got.out, got.errOut)
				}
			}
		})
	}
}
