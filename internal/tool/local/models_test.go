package local_test

import (
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/tool/client"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Four models are placed on three engines, one copy each. Guards against a model that
// is not served any more after its engine's host has left.
func TestModelPlacement(t *testing.T) {
	models := []string{local.ModelName, "m1", "m2", "m3"}
	r := start(t, local.Options{Entries: 1, Engines: 3, AdjustConfig: func(f *spec.File) {
		f.Services[0].Models, f.Services[0].Copies, f.Services[0].LoadSpacingMs = models, 1, 1
	}})
	ctx := testContext(t)
	served := func(model string) func() bool {
		return func() bool {
			res := client.New(local.Key).Generate(ctx, r.Entries()[0].CallerAddr, model, prompt(5), 0)
			return res.Outcome == client.OutcomeComplete && res.Tokens == 5
		}
	}
	for _, m := range models {
		eventually(t, m+" is served", served(m))
	}
	r.SetLeaving(r.Engines()[0], true)
	for _, m := range models {
		eventually(t, m+" is served without the first engine", served(m))
	}
}
