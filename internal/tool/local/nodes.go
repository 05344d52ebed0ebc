package local

import (
	"fmt"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/node/agent"
	"github.com/mimosalock/mimosalock/internal/node/base"
	"github.com/mimosalock/mimosalock/internal/node/entry"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/stand/cutter"
	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
	"github.com/mimosalock/mimosalock/internal/stand/plain"
)

// Node is one process with its stand-in.
type Node struct {
	Settings setup.Settings
	Callers  string // the address that callers dial, of an entry
	Row      confsv.HostRow
	Entry    *entry.Entry
	Agent    *agent.Agent
	Engine   *engsrv.Server
	Plain    *plain.Server
	Retired  []*engsrv.Server // dead engines of the node
	Dead     bool             // the agent was killed and not replaced
	Link     *cutter.Link     // before the peer address of an agent, or the callers' address of an entry
	Endpoint *cutter.Link     // between agent and endpoint
}

// SetLeaving marks a node in the host list.
func (r *Rig) SetLeaving(n *Node, leaving bool) {
	r.mu.Lock()
	n.Row.State = "live"
	if leaving {
		n.Row.State = "leaving"
	}
	r.mu.Unlock()
	r.Relist()
}

func (r *Rig) settings(centre, host string) setup.Settings {
	s := setup.Defaults()
	s.Host, s.DataCentre = host, centre
	s.Platform = r.Platform.Addr()
	s.TLS = r.opts.TLS
	s.Peer, s.Listen, s.Admin = r.freeAddr(), r.freeAddr(), r.freeAddr()
	s.TrustWarmRestart = r.opts.Engine.ColdFactor == 0 || r.opts.EngineIO == nil
	if r.opts.Adjust != nil {
		r.opts.Adjust(&s)
	}
	return s
}

// AddEntry starts an entry. Relist makes it known.
func (r *Rig) AddEntry(centre string) error {
	r.mu.Lock()
	host := fmt.Sprintf("entry-%s-%d", centre, len(r.entries)+1)
	r.mu.Unlock()
	s := r.settings(centre, host)
	e, err := entry.New(s, r.opts.Log)
	if err != nil {
		return err
	}
	n := &Node{Settings: s, Entry: e, Callers: s.Listen, Row: confsv.HostRow{Host: host, DataCentre: centre, Role: "entry", Address: s.Peer, State: "live"}}
	if r.opts.Links {
		if n.Link, err = cutter.New(s.Listen); err != nil {
			return err
		}
		n.Callers = n.Link.Addr()
	}
	r.mu.Lock()
	r.entries = append(r.entries, n)
	r.mu.Unlock()
	return nil
}

// AddEngine starts a model engine with its agent. Relist makes it known.
func (r *Rig) AddEngine(centre string) error {
	cfg := engsrv.Config{Model: ModelName, Engine: r.opts.Engine, Seed: r.opts.Seed, Warm: true}
	if r.opts.EngineIO != nil {
		r.opts.EngineIO(&cfg)
	}
	engine, err := engsrv.New("127.0.0.1:0", cfg)
	if err != nil {
		return err
	}
	return r.addAgent(centre, &Node{Engine: engine}, ModelService, engine.Addr())
}

// AddPlain starts a plain worker with its agent. Relist makes it known.
func (r *Rig) AddPlain(centre string) error {
	worker, err := plain.New("127.0.0.1:0")
	if err != nil {
		return err
	}
	return r.addAgent(centre, &Node{Plain: worker}, PlainService, worker.Addr())
}

func (r *Rig) addAgent(centre string, n *Node, service, endpoint string) error {
	r.mu.Lock()
	host := fmt.Sprintf("%s-%s-%d", service, centre, len(r.agents)+1)
	r.mu.Unlock()
	s := r.settings(centre, host)
	var err error
	s.Service, s.Endpoint = service, endpoint
	row := confsv.HostRow{Host: host, DataCentre: centre, Role: "agent", Service: service, Address: s.Peer, State: "live"}
	if r.opts.Links {
		if n.Link, err = cutter.New(s.Peer); err != nil {
			return err
		}
		if n.Endpoint, err = cutter.New(endpoint); err != nil {
			return err
		}
		row.Address, s.Endpoint = n.Link.Addr(), n.Endpoint.Addr()
	}
	if n.Agent, err = agent.New(s, r.opts.Log); err != nil {
		return err
	}
	n.Settings, n.Row = s, row
	r.mu.Lock()
	r.agents = append(r.agents, n)
	r.mu.Unlock()
	return nil
}

// KillEntry ends an entry process at once: its callers' connections break.
func (r *Rig) KillEntry(n *Node) {
	if n.Link != nil {
		n.Link.Close()
	}
	n.Entry.Stop()
}

// KillAgent ends an agent process at once. Its endpoint lives on.
func (r *Rig) KillAgent(n *Node) {
	r.mu.Lock()
	n.Dead = true
	r.mu.Unlock()
	n.Agent.Stop()
	if n.Link != nil {
		n.Link.Cut()
	}
}

// StartAgent starts a successor of a killed agent at the same addresses.
func (r *Rig) StartAgent(n *Node) error {
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

// ReplaceEngine starts a new, cold engine process at the address of a dead one.
func (r *Rig) ReplaceEngine(n *Node) error {
	cfg := engsrv.Config{Model: ModelName, Engine: r.opts.Engine, Seed: r.opts.Seed}
	addr := n.Engine.Addr()
	n.Engine.Close()
	var err error
	for limit := time.Now().Add(readyTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		var e *engsrv.Server
		if e, err = engsrv.New(addr, cfg); err == nil {
			r.mu.Lock()
			n.Retired = append(n.Retired, n.Engine)
			n.Engine = e
			r.mu.Unlock()
			return nil
		}
	}
	return err
}

// Seen returns how many generations the node's engines saw, dead ones too.
func (r *Rig) Seen(n *Node) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := len(n.Engine.Seen())
	for _, e := range n.Retired {
		total += len(e.Seen())
	}
	return total
}

func (n *Node) base() *base.Base {
	if n.Agent != nil {
		return n.Agent.Base()
	}
	return n.Entry.Base()
}
