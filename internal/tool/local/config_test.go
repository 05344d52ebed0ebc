package local_test

import (
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Guards against processes that lose the configuration version in force, or new ones
// that do not get it from their peers, while the configuration service fails or serves
// an older or invalid version.
func TestConfigurationThroughOutages(t *testing.T) {
	cases := []struct {
		name  string
		fault func(r *local.Fleet, old []byte)
	}{
		{"service down", func(r *local.Fleet, _ []byte) { r.Platform.SetDown(true) }},
		{"service serves an older version", func(r *local.Fleet, old []byte) { put(r, old) }},
		{"service serves half a manifest", func(r *local.Fleet, old []byte) { put(r, old[:len(old)/2]) }},
		{"service names shards that it lacks", func(r *local.Fleet, _ []byte) {
			put(r, []byte(`{"version":9,"shards":[{"kind":"fleet","sha256":"00","bytes":1}]}`))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 2, PlainWorkers: 2})
			old := r.Platform.Value("manifest")
			if err := r.Publish(func(f *spec.File) { f.Services[1].DeadlineSecs = 33 }); err != nil {
				t.Fatal(err)
			}
			if _, err := r.WaitVersion(2, testTimeout); err != nil {
				t.Fatal(err)
			}
			c.fault(r, old)
			if err := r.AddPlainWorker("galway-a"); err != nil {
				t.Fatal(err)
			}
			r.UploadHosts()
			if _, err := r.WaitVersion(2, testTimeout); err != nil {
				t.Fatal(err)
			}
			for _, n := range r.Agents() {
				s, _ := n.Agent.Base().Store.View().Service(local.PlainService)
				if v := n.Agent.Base().Store.View().Version(); v != 2 || s.DeadlineSecs != 33 {
					t.Fatalf("%s has version %d", n.HostRow.Host, v)
				}
			}
		})
	}
}

func put(r *local.Fleet, manifest []byte) {
	r.Platform.Put(map[string][]byte{"manifest": manifest})
}
