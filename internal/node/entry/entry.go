// Package entry runs one entry process.
package entry

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/entry/budget"
	"github.com/mimosalock/mimosalock/internal/entry/front"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/fleet/gossip"
	"github.com/mimosalock/mimosalock/internal/node/base"
	"github.com/mimosalock/mimosalock/internal/ops/admin"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	drainPollInterval = 20 * time.Millisecond
	closeTimeout      = time.Second
)

// Entry is one entry process.
type Entry struct {
	base   *base.Base
	front  *front.Front
	budget *budget.Budget
}

// New starts an entry with the settings.
func New(s setup.Settings, log *zap.Logger) (*Entry, error) {
	b, err := base.New(s, setup.RoleEntry, log)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	retries := budget.New()
	e := &Entry{base: b, budget: retries, front: front.New(relay.Deps{
		Centre: s.DataCentre, Silence: s.SilenceTimeout(), Store: b.Store, Roster: b.Roster, Pool: b.Pool, Budget: retries,
		Trail: b.Trail, Meter: b.Meter, Log: log,
	}, s.SlowCallerTimeout(), log)}
	if err := b.Start(&peerServer{gossip: b.Gossip}, e.Status, e.front.Ready); err != nil {
		_ = ln.Close()
		return nil, err
	}
	b.Go(func(context.Context) { _ = e.front.Serve(ln) })
	return e, nil
}

// peerServer answers other processes: an entry only exchanges configuration.
type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	gossip *gossip.Node
}

// Sync exchanges configuration versions.
func (p *peerServer) Sync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return p.gossip.Serve(req), nil
}

// Status returns the state of the process.
func (e *Entry) Status() admin.Status {
	s := e.base.Status()
	s.Ready = e.front.Ready()
	s.InFlight = e.front.InFlight()
	return s
}

// Ready reports whether the entry can serve calls.
func (e *Entry) Ready() bool { return e.front.Ready() }

// Base returns the process's common parts.
func (e *Entry) Base() *base.Base { return e.base }

// Retries returns the first tries and the retries so far.
func (e *Entry) Retries() (firsts, retries int) { return e.budget.Counts() }

// Drain refuses new calls and waits until all in flight are answered, at most
// for the last resort of the settings. It reports whether all were.
func (e *Entry) Drain() bool {
	e.front.Drain()
	for limit := time.Now().Add(e.base.Settings.DrainLimit()); time.Now().Before(limit); time.Sleep(drainPollInterval) {
		if e.front.InFlight() == 0 {
			return true
		}
	}
	return e.front.InFlight() == 0
}

// Stop ends the process's work at once.
func (e *Entry) Stop() {
	e.base.Stop()
	_ = e.front.Close(closeTimeout)
}
