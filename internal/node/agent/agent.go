// Package agent assembles an agent, the process beside one endpoint that admits
// calls, runs them on the endpoint and relays the responses to entries.
package agent

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/runner"
	"github.com/mimosalock/mimosalock/internal/agent/server"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/node/base"
	"github.com/mimosalock/mimosalock/internal/ops/admin"
)

const drainPollInterval = 20 * time.Millisecond

// Agent is one agent process.
type Agent struct {
	base   *base.Base
	runner *runner.Runner
}

// New builds and starts an agent.
func New(s setup.Settings, log *zap.Logger) (*Agent, error) {
	b, err := base.New(s, setup.RoleAgent, log)
	if err != nil {
		return nil, err
	}
	a := &Agent{base: b, runner: runner.New(runner.Deps{
		Settings: s, Clock: b.Clock, Store: b.Store, Roster: b.Roster, Pool: b.Pool, Trail: b.Trail, Metrics: b.Metrics, Log: log, Context: b.Context(),
		RefreshFromPeers: b.Gossip.Refresh, Requests: b.Messages,
	})}
	peer := server.New(a.runner, b.Gossip, b.Clock, s.SilenceTimeout(), log)
	if err := b.Start(peer, a.Status, a.ready); err != nil {
		b.Stop()
		return nil, err
	}
	b.Go(a.runner.Run)
	return a, nil
}

func (a *Agent) ready() bool { return a.runner.State().ClosedReason == "" }

// Status returns the state shown to operators.
func (a *Agent) Status() admin.Status {
	s := a.base.Status()
	s.Ready = a.ready()
	state := a.runner.State()
	s.Endpoint = state
	s.InFlight = int64(state.Running + state.Waiting)
	return s
}

// Base returns the parts that entries and agents share.
func (a *Agent) Base() *base.Base { return a.base }

// Runner returns the part that admits and runs calls.
func (a *Agent) Runner() *runner.Runner { return a.runner }

// Drain refuses new calls and waits until every call has ended and no entry reads a
// response or has yet to read one, at most for the drain limit of the settings. It
// reports whether that was reached in time.
func (a *Agent) Drain() bool {
	a.runner.Stop()
	for deadline := time.Now().Add(a.base.Settings.DrainLimit()); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if a.runner.Idle() {
			return true
		}
	}
	return a.runner.Idle()
}

// Stop aborts all work without waiting for calls in flight.
func (a *Agent) Stop() { a.base.Stop() }
