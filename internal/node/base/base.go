// Package base assembles the parts that entries and agents share: configuration,
// membership, connections to peers and the admin server.
package base

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/mimosalock/mimosalock/internal/call/guard"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/active"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/fleet/clock"
	"github.com/mimosalock/mimosalock/internal/fleet/config"
	"github.com/mimosalock/mimosalock/internal/fleet/gossip"
	"github.com/mimosalock/mimosalock/internal/fleet/hosts"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/mtls"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/admin"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
	"github.com/mimosalock/mimosalock/internal/ops/invar"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const sweepInterval = 5 * time.Second

// Base holds the shared parts of one process.
type Base struct {
	Settings setup.Settings
	Role     setup.Role
	Clock    *clock.Clock
	Trail    *audit.Trail
	Metrics  *metric.Set
	Store    *active.Store
	Roster   *roster.Roster
	Pool     *link.Pool
	Gossip   *gossip.Node
	Blame    *blame.Ledger  // nil at agents
	Messages *memlim.Budget // memory for peers' messages and, at agents, for the bodies of calls
	Log      *zap.Logger

	serverTLS    *tls.Config
	configReader *config.Reader
	hosts        *hosts.Watcher
	admin        *admin.Server
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
}

// New builds the parts without running them. Start runs them.
func New(s setup.Settings, role setup.Role, log *zap.Logger) (*Base, error) {
	tlsConfigs, err := mtls.Load(s.TLS)
	if err != nil {
		return nil, err
	}
	if tlsConfigs.Server == nil {
		log.Warn("no_tls_keys", zap.String("warning", "no TLS keys are set: peers are not authenticated, use loopback only"), zap.String("peer", s.Peer))
	}
	i := do.New()
	var crashes *blame.Ledger
	if role == setup.RoleEntry {
		crashes = blame.New()
	}
	provide(i, s, role, crashes, tlsConfigs, log)
	pool := do.MustInvoke[*link.Pool](i)
	do.MustInvoke[*metric.Set](i).RegisterTraffic(pool.Traffic)
	ctx, cancel := context.WithCancel(context.Background())
	return &Base{
		Settings: s, Role: role, Log: log, serverTLS: tlsConfigs.Server, ctx: ctx, cancel: cancel,
		Clock:        do.MustInvoke[*clock.Clock](i),
		Trail:        do.MustInvoke[*audit.Trail](i),
		Metrics:      do.MustInvoke[*metric.Set](i),
		Store:        do.MustInvoke[*active.Store](i),
		Roster:       do.MustInvoke[*roster.Roster](i),
		Pool:         pool,
		Gossip:       do.MustInvoke[*gossip.Node](i),
		Blame:        crashes,
		Messages:     memlim.New(s.MessageMemory(role)),
		configReader: do.MustInvoke[*config.Reader](i),
		hosts:        do.MustInvoke[*hosts.Watcher](i),
	}, nil
}

// provide registers the constructors of the parts with the injector.
func provide(i do.Injector, s setup.Settings, role setup.Role, crashes *blame.Ledger, tlsConfigs mtls.Configs, log *zap.Logger) {
	do.ProvideValue(i, clock.New())
	do.ProvideValue(i, audit.New(s.Host, log))
	do.ProvideValue(i, metric.New())
	do.ProvideValue(i, link.New(tlsConfigs.Client))
	do.Provide(i, func(i do.Injector) (*active.Store, error) {
		return active.New(role == setup.RoleAgent, do.MustInvoke[*audit.Trail](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*roster.Roster, error) {
		return roster.New(do.MustInvoke[*audit.Trail](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*gossip.Node, error) {
		return gossip.New(s.Host, s.DataCentre, do.MustInvoke[*active.Store](i), do.MustInvoke[*roster.Roster](i), crashes,
			do.MustInvoke[*link.Pool](i), log), nil
	})
	do.Provide(i, func(i do.Injector) (*config.Reader, error) {
		return config.New(s.Platform, s.Host, s.DataCentre, s.ConfigReaders,
			do.MustInvoke[*active.Store](i), do.MustInvoke[*roster.Roster](i), do.MustInvoke[*audit.Trail](i), log), nil
	})
	do.Provide(i, func(i do.Injector) (*hosts.Watcher, error) {
		return hosts.New(s.HostListAddr(), s.HostWatchTimeout(), do.MustInvoke[*roster.Roster](i), log), nil
	})
}

// Start listens for peers and operators and starts the background tasks that
// follow the host list and the configuration. routes are what operators may ask of this role.
func (b *Base) Start(peer peerpb.DRPCPeerServer, status func() admin.Status, ready func() bool, routes ...admin.Route) error {
	peerListener, err := net.Listen("tcp", b.Settings.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	adminListener, err := net.Listen("tcp", b.Settings.Admin)
	if err != nil {
		_ = peerListener.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	_, probes, _ := guard.Split(b.Settings.MaxFDs, mostConns)
	peerPort := b.guardPeers()
	peerListener = peerPort.Listen(b.Pool.CountListener(peerListener))
	if b.serverTLS != nil {
		peerListener = tls.NewListener(peerListener, b.serverTLS)
	}
	peerListener = link.BoundMessages(peerListener, b.Messages, func(c net.Conn) { peerPort.Report(time.Now(), "message", c.RemoteAddr().String()) })
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, peer); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.Options()})
	b.admin = admin.New(b.Metrics.Registry, b.Trail, status, ready, routes...)
	b.Go(func(ctx context.Context) { _ = server.Serve(ctx, peerListener) })
	b.Go(func(context.Context) {
		_ = b.admin.Serve(b.guardHTTP("admin", probes, adminHeadBytes, adminHeadsMemory).Listen(adminListener))
	})
	b.Go(b.hosts.Run)
	b.Go(b.configReader.Run)
	b.Go(b.Gossip.Run)
	b.Go(b.sweepConnections)
	return nil
}

// GuardCallers returns the bounds on callers' connections, whose heads may have a size in bytes.
func (b *Base) GuardCallers(headBytes int) *guard.Port {
	callers, _, _ := guard.Split(b.Settings.MaxFDs, mostConns)
	return b.guardHTTP("callers", callers, headBytes, b.Settings.HeadMemory())
}

func (b *Base) guardHTTP(port string, conns, headBytes int, memory int64) *guard.Port {
	return guard.New(guard.Config{
		Port: port, Conns: conns, HeadBytes: memory, HeadLimit: func() int { return headBytes }, WriteTimeout: b.Settings.SlowCallerTimeout(),
		Metrics: b.Metrics, Log: b.Log,
	})
}

func (b *Base) guardPeers() *guard.Port {
	callers, _, _ := guard.Split(b.Settings.MaxFDs, mostConns)
	return guard.New(guard.Config{
		Port: "peers", Conns: callers / peerShare, WriteTimeout: guard.DefaultWriteTimeout, Metrics: b.Metrics, Log: b.Log,
	})
}

const (
	mostConns        = 1 << 16 // beyond what max_fds allows
	peerShare        = 4       // peers have a quarter of the connections that callers may have
	adminHeadBytes   = 4 << 10 // the server's limit
	adminHeadsMemory = 4 << 20
)

// Context returns a context that Stop cancels.
func (b *Base) Context() context.Context { return b.ctx }

// Go runs a task in a goroutine. The context of the task ends at Stop.
func (b *Base) Go(task func(context.Context)) {
	b.tasks.Add(1)
	go func() {
		defer b.tasks.Done()
		task(b.ctx)
	}()
}

// Stop cancels all tasks and closes the admin server and the idle connections to
// peers. It does not wait for the tasks: a long poll of the platform that is under
// way ends only when the platform answers or the poll times out.
func (b *Base) Stop() {
	b.cancel()
	if b.admin != nil {
		_ = b.admin.Close()
	}
	b.Pool.Close()
}

// sweepConnections periodically closes connections to peers that stayed idle.
func (b *Base) sweepConnections(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.Pool.Sweep()
		}
	}
}

// Status returns the part of the status that does not depend on the role.
func (b *Base) Status() admin.Status {
	v := b.Store.View()
	s := admin.Status{
		Host: b.Settings.Host, DataCentre: b.Settings.DataCentre, Role: string(b.Role), Incarnation: b.Clock.Incarnation(),
		ConfigVersion: v.Version(), ConfigAgeMs: -1, HostRevision: b.Roster.Version().Revision, Violations: invar.Violations(),
		DataCentres: []admin.DataCentreStatus{}, Services: []admin.ServiceStatus{}, Hosts: []admin.HostStatus{},
	}
	if age, ok := b.Store.Age(); ok {
		s.ConfigAgeMs = age.Milliseconds()
	}
	for _, d := range v.DataCentres() {
		s.DataCentres = append(s.DataCentres, admin.DataCentreStatus{Name: d.Name, Region: d.Region, InService: !d.OutOfService})
	}
	for _, service := range v.Services() {
		s.Services = append(s.Services, admin.ServiceStatus{
			Name: service.Name, Kind: string(service.Kind), Agents: len(b.Roster.Agents(service.Name)),
		})
	}
	s.Hosts = lo.Map(b.Roster.All(), func(m roster.Member, _ int) admin.HostStatus {
		return admin.HostStatus{
			Host: m.Host, DataCentre: m.DataCentre, Role: string(m.Role), Service: m.Service, Leaving: m.Leaving,
			Suspected: b.Roster.Suspected(m.Host),
		}
	})
	return s
}
