// Package entry assembles an entry, the process that takes callers' requests and
// relays the responses of agents.
package entry

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/entry/explain"
	"github.com/mimosalock/mimosalock/internal/entry/recall"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/entry/retry"
	"github.com/mimosalock/mimosalock/internal/entry/server"
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
	base     *base.Base
	server   *server.Server
	recaller *recall.Recaller
	retries  *retry.Budget
}

// New builds and starts an entry.
func New(s setup.Settings, log *zap.Logger) (*Entry, error) {
	b, err := base.New(s, setup.RoleEntry, log)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	retries := retry.New()
	recaller := recall.New(recall.Deps{Host: s.Host, Context: b.Context(), Timeout: s.OrphanTimeout(), Roster: b.Roster, Pool: b.Pool, Metrics: b.Metrics, Log: log})
	e := &Entry{base: b, recaller: recaller, retries: retries, server: server.New(relay.Deps{
		DataCentre: s.DataCentre, SilenceTimeout: s.SilenceTimeout(), Store: b.Store, Roster: b.Roster, Pool: b.Pool, Retries: retries, Recaller: recaller, Blame: b.Blame,
		Trail: b.Trail, Metrics: b.Metrics, Log: log,
	}, s.SlowCallerTimeout(), s.BodyMemory(), log)}
	explaining := admin.Route{Path: explain.Path, Handler: e.server.NewExplainer(s.Host).Handle}
	if err := b.Start(&peerServer{gossip: b.Gossip, recaller: recaller}, e.Status, e.server.Ready, explaining); err != nil {
		_ = ln.Close()
		return nil, err
	}
	b.Go(func(context.Context) { _ = e.server.Serve(b.GuardCallers(server.MaxHeaderBytes).Listen(ln)) })
	return e, nil
}

// peerServer is the Peer service of an entry.
type peerServer struct {
	peerpb.DRPCPeerUnimplementedServer
	gossip   *gossip.Node
	recaller *recall.Recaller
}

// Revoke takes over an attempt that an entry which stops has left, and whose agent does not know it yet.
func (p *peerServer) Revoke(_ context.Context, req *peerpb.RevokeRequest) (*peerpb.RevokeReply, error) {
	return &peerpb.RevokeReply{Fate: peerpb.Fate_FATE_UNKNOWN}, p.recaller.TakeOver(req)
}

// Sync exchanges configuration versions.
func (p *peerServer) Sync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return p.gossip.Serve(req), nil
}

// Status returns the state shown to operators.
func (e *Entry) Status() admin.Status {
	s := e.base.Status()
	s.Ready = e.server.Ready()
	s.InFlight = e.server.InFlight()
	return s
}

// Ready reports whether the entry can serve calls.
func (e *Entry) Ready() bool { return e.server.Ready() }

// Base returns the parts that entries and agents share.
func (e *Entry) Base() *base.Base { return e.base }

// RetryCounts returns the numbers of first attempts and of retries since the start.
func (e *Entry) RetryCounts() (firstAttempts, retries int) { return e.retries.Counts() }

// Drain refuses new calls and waits until all calls in flight have ended, at most
// for the drain limit of the settings. It reports whether all ended in time.
func (e *Entry) Drain() bool {
	e.server.Drain()
	for deadline := time.Now().Add(e.base.Settings.DrainLimit()); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if e.server.InFlight() == 0 {
			return true
		}
	}
	return e.server.InFlight() == 0
}

// Stop aborts all work without waiting for calls in flight. Agents are told of the calls that it ends.
func (e *Entry) Stop() {
	_ = e.server.Close(closeTimeout)
	e.recaller.Stop()
	e.base.Stop()
}
