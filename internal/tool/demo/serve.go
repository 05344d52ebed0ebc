package demo

import (
	"context"
	"fmt"
	"io"

	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Serve runs a fleet like the demo's until the context ends, then drains it. It
// prints commands to try.
func Serve(ctx context.Context, seed uint64, out io.Writer) error {
	r, err := local.New(local.Options{DataCentres: Centres(), Entries: 1, Engines: 2, PlainWorkers: 2, Seed: seed})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer r.Close()
	n := r.Entries()[0]
	base := "http://" + n.Settings.Listen
	printLine(out, "listen=%s key=%s model=%s", base, local.Key, local.ModelName)
	printLine(out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"a supply plan len=40\"}]}'", base, local.Key, local.ModelName)
	printLine(out, "curl %s/v1/models -H 'Authorization: Bearer %s'", base, local.Key)
	printLine(out, "curl -i -X POST %s/services/%s/bookings/new -H 'Authorization: Bearer %s' -d '{\"tonnes\":4}'", base, local.PlainService, local.Key)
	printLine(out, "mimosalock status --admin %s", n.Settings.Admin)
	<-ctx.Done()
	printLine(out, "draining")
	for _, e := range r.Entries() {
		e.Entry.Drain()
	}
	for _, a := range r.Agents() {
		a.Agent.Drain()
	}
	printLine(out, "done")
	return nil
}
