package local_test

import (
	"testing"
	"time"

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

// changeBound is the target for a change to be in force at all processes.
const changeBound = 5 * time.Second

// Guards against changes that are not followed after the platform has come back from an
// older copy, whose revisions it gives out again.
func TestPlatformComesBackOlder(t *testing.T) {
	for _, test := range []struct {
		name string
		lost int // changes that the copy lacks
	}{{"one change lost", 1}, {"four changes lost", 4}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, local.Options{Entries: 2, PlainWorkers: 2})
			backup := r.Platform.Backup()
			for range test.lost {
				publishAndAwait(t, r)
				addWorkerAndAwait(t, r)
			}
			r.Platform.Restore(backup)
			time.Sleep(200 * time.Millisecond)
			for range test.lost + 1 {
				publishAndAwait(t, r)
				addWorkerAndAwait(t, r)
			}
		})
	}
	t.Run("the configuration service names no epoch and is away for a moment", func(t *testing.T) {
		t.Parallel()
		r := start(t, local.Options{Entries: 2, PlainWorkers: 2})
		r.Platform.HideEpoch()
		backup := r.Platform.Backup()
		for range 3 {
			publishAndAwait(t, r)
		}
		r.Platform.SetDown(true)
		r.Platform.Restore(backup)
		time.Sleep(200 * time.Millisecond)
		r.Platform.SetDown(false)
		publishAndAwait(t, r)
	})
}

func publishAndAwait(t *testing.T, r *local.Fleet) {
	t.Helper()
	if err := r.Publish(func(f *spec.File) { f.Services[1].DeadlineSecs++ }); err != nil {
		t.Fatal(err)
	}
	if _, err := r.WaitVersion(r.Version(), changeBound); err != nil {
		t.Fatal(err)
	}
}

// addWorkerAndAwait adds a worker and waits until all entries list it.
func addWorkerAndAwait(t *testing.T, r *local.Fleet) {
	t.Helper()
	if err := r.AddPlainWorker("galway-a"); err != nil {
		t.Fatal(err)
	}
	r.UploadHosts()
	want := len(r.PlainAgents())
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		missing := 0
		for _, n := range r.Entries() {
			missing += want - len(n.Entry.Base().Roster.Agents(local.PlainService))
		}
		if missing == 0 {
			return
		}
		if time.Since(began) > changeBound {
			t.Fatalf("%d entries of host lists are missing after %v", missing, changeBound)
		}
	}
}
