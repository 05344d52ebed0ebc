// Package agent runs one agent process.
package agent

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/desk"
	"github.com/mimosalock/mimosalock/internal/agent/server"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/node/base"
	"github.com/mimosalock/mimosalock/internal/ops/admin"
)

const drainPollInterval = 20 * time.Millisecond

// Agent is one agent process.
type Agent struct {
	base *base.Base
	desk *desk.Desk
}

// New starts an agent with the settings.
func New(s setup.Settings, log *zap.Logger) (*Agent, error) {
	b, err := base.New(s, setup.RoleAgent, log)
	if err != nil {
		return nil, err
	}
	a := &Agent{base: b, desk: desk.New(desk.Deps{
		Settings: s, Clock: b.Clock, Store: b.Store, Roster: b.Roster, Pool: b.Pool, Trail: b.Trail, Meter: b.Meter, Log: log, Life: b.Context(),
		Refresh: b.Gossip.Refresh,
	})}
	peer := server.New(a.desk, b.Gossip, b.Clock, s.SilenceTimeout(), log)
	if err := b.Start(peer, a.Status, a.ready); err != nil {
		return nil, err
	}
	b.Go(a.desk.Run)
	return a, nil
}

func (a *Agent) ready() bool { return a.desk.State().Closed == "" }

// Status returns the state of the process.
func (a *Agent) Status() admin.Status {
	s := a.base.Status()
	s.Ready = a.ready()
	state := a.desk.State()
	s.Endpoint = state
	s.InFlight = int64(state.Running + state.Waiting)
	return s
}

// Base returns the process's common parts.
func (a *Agent) Base() *base.Base { return a.base }

// Desk returns the process's core.
func (a *Agent) Desk() *desk.Desk { return a.desk }

// Drain takes no new work and waits until everything in flight has ended and
// been read, at most for the last resort of the settings. It reports whether
// all ended.
func (a *Agent) Drain() bool {
	a.desk.Stop()
	for limit := time.Now().Add(a.base.Settings.DrainLimit()); time.Now().Before(limit); time.Sleep(drainPollInterval) {
		if a.desk.Idle() {
			return true
		}
	}
	return a.desk.Idle()
}

// Stop ends the process's work at once.
func (a *Agent) Stop() { a.base.Stop() }
