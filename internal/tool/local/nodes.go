package local

import (
	"fmt"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/node/agent"
	"github.com/mimosalock/mimosalock/internal/node/base"
	"github.com/mimosalock/mimosalock/internal/node/entry"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
	"github.com/mimosalock/mimosalock/internal/stand/plain"
	"github.com/mimosalock/mimosalock/internal/stand/proxy"
)

// Node is one entry, or one agent with its stand-in endpoint.
type Node struct {
	Settings        setup.Settings
	CallerAddr      string // entry: the address that callers dial
	HostRow         confsv.HostRow
	Entry           *entry.Entry
	Agent           *agent.Agent
	Engine          *engsrv.Server
	Plain           *plain.Server
	ReplacedEngines []*engsrv.Server // engines stopped by ReplaceEngine
	Dead            bool             // the agent was killed and not replaced
	Link            *proxy.Link      // agent: before its peer address; entry: before its listen address
	EndpointLink    *proxy.Link      // between agent and endpoint
}

// SetLeaving marks a node in the host list as leaving or as live.
func (r *Fleet) SetLeaving(n *Node, leaving bool) {
	r.mu.Lock()
	n.HostRow.State = "live"
	if leaving {
		n.HostRow.State = "leaving"
	}
	r.mu.Unlock()
	r.UploadHosts()
}

func (r *Fleet) settings(centre, host string) setup.Settings {
	s := setup.Defaults()
	s.Host, s.DataCentre = host, centre
	s.Platform = r.Platform.Addr()
	s.TLS = r.opts.TLS
	s.Peer, s.Listen, s.Admin = r.freeAddr(), r.freeAddr(), r.freeAddr()
	// Engines start warm unless AdjustEngine changes that.
	s.TrustWarmRestart = r.opts.Engine.ColdFactor == 0 || r.opts.AdjustEngine == nil
	if r.opts.AdjustSettings != nil {
		r.opts.AdjustSettings(&s)
	}
	return s
}

// AddEntry starts an entry. Its peers learn of it after UploadHosts.
func (r *Fleet) AddEntry(centre string) error {
	r.mu.Lock()
	host := fmt.Sprintf("entry-%s-%d", centre, len(r.entries)+1)
	r.mu.Unlock()
	s := r.settings(centre, host)
	e, err := entry.New(s, r.opts.Log)
	if err != nil {
		return err
	}
	n := &Node{Settings: s, Entry: e, CallerAddr: s.Listen, HostRow: confsv.HostRow{Host: host, DataCentre: centre, Role: "entry", Address: s.Peer, State: "live"}}
	if r.opts.FaultLinks {
		if n.Link, err = proxy.New(s.Listen); err != nil {
			return err
		}
		n.CallerAddr = n.Link.Addr()
	}
	r.mu.Lock()
	r.entries = append(r.entries, n)
	r.mu.Unlock()
	return nil
}

// AddEngine starts a model engine with its agent. Its peers learn of it after
// UploadHosts.
func (r *Fleet) AddEngine(centre string) error {
	cfg := engsrv.Config{Model: ModelName, Engine: r.opts.Engine, Seed: r.opts.Seed, Warm: true}
	if r.opts.AdjustEngine != nil {
		r.opts.AdjustEngine(&cfg)
	}
	engine, err := engsrv.New("127.0.0.1:0", cfg)
	if err != nil {
		return err
	}
	return r.addAgent(centre, &Node{Engine: engine}, ModelService, engine.Addr())
}

// AddPlainWorker starts a plain worker with its agent. Its peers learn of it after
// UploadHosts.
func (r *Fleet) AddPlainWorker(centre string) error {
	worker, err := plain.New("127.0.0.1:0")
	if err != nil {
		return err
	}
	return r.addAgent(centre, &Node{Plain: worker}, PlainService, worker.Addr())
}

func (r *Fleet) addAgent(centre string, n *Node, service, endpoint string) error {
	r.mu.Lock()
	host := fmt.Sprintf("%s-%s-%d", service, centre, len(r.agents)+1)
	r.mu.Unlock()
	s := r.settings(centre, host)
	var err error
	s.Service, s.Endpoint = service, endpoint
	row := confsv.HostRow{Host: host, DataCentre: centre, Role: "agent", Service: service, Address: s.Peer, State: "live"}
	if r.opts.FaultLinks {
		if n.Link, err = proxy.New(s.Peer); err != nil {
			return err
		}
		if n.EndpointLink, err = proxy.New(endpoint); err != nil {
			return err
		}
		row.Address, s.Endpoint = n.Link.Addr(), n.EndpointLink.Addr()
	}
	if n.Agent, err = agent.New(s, r.opts.Log); err != nil {
		return err
	}
	n.Settings, n.HostRow = s, row
	r.mu.Lock()
	r.agents = append(r.agents, n)
	r.mu.Unlock()
	return nil
}

// KillEntry stops an entry at once: its callers' connections break.
func (r *Fleet) KillEntry(n *Node) {
	if n.Link != nil {
		n.Link.Close()
	}
	n.Entry.Stop()
}

// KillAgent stops an agent at once. Its endpoint keeps running.
func (r *Fleet) KillAgent(n *Node) {
	r.mu.Lock()
	n.Dead = true
	r.mu.Unlock()
	n.Agent.Stop()
	if n.Link != nil {
		n.Link.Cut()
	}
}

// StartAgent replaces a killed agent by a new one at the same addresses. It
// retries while that fails, for example while the ports are still in use.
func (r *Fleet) StartAgent(n *Node) error {
	var err error
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		var a *agent.Agent
		if a, err = agent.New(n.Settings, r.opts.Log); err == nil {
			r.mu.Lock()
			n.Agent, n.Dead = a, false
			r.mu.Unlock()
			return nil
		}
	}
	return err
}

// ReplaceEngine stops a node's engine and starts a new, cold one at its address. It
// retries while that fails.
func (r *Fleet) ReplaceEngine(n *Node) error {
	cfg := engsrv.Config{Model: ModelName, Engine: r.opts.Engine, Seed: r.opts.Seed}
	addr := n.Engine.Addr()
	n.Engine.Close()
	var err error
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		var e *engsrv.Server
		if e, err = engsrv.New(addr, cfg); err == nil {
			r.mu.Lock()
			n.ReplacedEngines = append(n.ReplacedEngines, n.Engine)
			n.Engine = e
			r.mu.Unlock()
			return nil
		}
	}
	return err
}

// GenerationCount returns how many generations were submitted to the node's
// engines, including replaced ones.
func (r *Fleet) GenerationCount(n *Node) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := len(n.Engine.Submissions())
	for _, e := range n.ReplacedEngines {
		total += len(e.Submissions())
	}
	return total
}

// GenerationSpans returns when the node's engines, replaced ones included, have worked on generations.
func (r *Fleet) GenerationSpans(n *Node) []engsrv.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := n.Engine.Spans()
	for _, e := range n.ReplacedEngines {
		spans = append(spans, e.Spans()...)
	}
	return spans
}

func (n *Node) base() *base.Base {
	if n.Agent != nil {
		return n.Agent.Base()
	}
	return n.Entry.Base()
}
