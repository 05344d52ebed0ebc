package runner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/mimosalock/mimosalock/internal/agent/engine"
	"github.com/mimosalock/mimosalock/internal/agent/models"
	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

// The agent of an engine must not report ready before it has read which models the
// engine holds: it would refuse their calls.
func TestReadyOnlyWithKnownModels(t *testing.T) {
	orderRequested, sendOrder := make(chan struct{}), make(chan struct{})
	engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/load":
			_, _ = w.Write([]byte(`{"boot":1,"cache_tokens":1000}`))
		case "/v1/streams":
			_, _ = w.Write([]byte(`[]`))
		case "/v1/orders":
			close(orderRequested)
			<-sendOrder
			_, _ = w.Write([]byte(`{"fence":1,"models":["m"]}`))
		}
	}))
	defer engineServer.Close()
	r := newTestRunner(t)
	r.health = health{}
	r.engine = engine.New(strings.TrimPrefix(engineServer.URL, "http://"))
	r.publishModel("m")
	checked := make(chan struct{})
	go func() {
		r.checkEndpoint()
		close(checked)
	}()
	<-orderRequested
	if reason := r.State().ClosedReason; reason == "" {
		t.Error("the agent is ready while it reads the engine's models for the first time")
	}
	close(sendOrder)
	<-checked
	if reason := r.State().ClosedReason; reason != "" {
		t.Errorf("closed after the models were read: %s", reason)
	}
}

// publishModel makes the service one of engines that hold a model.
func (r *testRunner) publishModel(model string) {
	r.t.Helper()
	r.version++
	next, err := bundle.Build(r.version, spec.File{
		DataCentres: []spec.DataCentre{{Name: dataCentre, Region: "north"}},
		Services:    []spec.Service{{Name: service, Kind: spec.KindModel, Models: []string{model}, Floor: 1, MaxConcurrency: 1}},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.Store.Apply(next, "test"); err != nil {
		r.t.Fatal(err)
	}
	r.applyConfig()
}

// A leaving host's engine keeps its models: the generations that still run there need
// them.
func TestLeavingHostGivesNoOrder(t *testing.T) {
	r := newTestRunner(t)
	r.publishModel("m")
	r.mu.Lock()
	r.service.Copies = 1
	r.mu.Unlock()
	member := roster.Member{Host: self, Role: roster.RoleAgent, Service: service}
	version := roster.Version{Revision: 1}
	for _, leaving := range []bool{false, true} {
		member.Leaving = leaving
		version.Revision++
		r.Roster.Update(version, []roster.Member{member})
		r.modelOrders = models.New()
		if _, due := r.nextOrder(models.Order{Fence: 1, Models: []string{"old"}}); due == leaving {
			t.Errorf("leaving %v: order due %v", leaving, due)
		}
	}
}
