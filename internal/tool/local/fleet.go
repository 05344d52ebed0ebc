// Package local runs a small fleet in one process on loopback: entries and agents
// with stand-ins (simulated counterparts) for the platform, the model engines and
// the plain workers. The demo, the measuring tools and the tests use it.
package local

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/stand/engsim"
	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
)

// Names and API keys in the configuration of DefaultFile.
const (
	ModelService   = "plans"
	ModelName      = "shellgrit-small"
	PlainService   = "depot"
	Workspace      = "corrib"
	OtherWorkspace = "fernhollow"
	Key            = "demo-key-corrib"
	OtherKey       = "demo-key-fernhollow"
)

const (
	readyTimeout = 20 * time.Second
	firstPort    = 20_000 // ports of a fleet are above this
)

// Options configure a fleet.
type Options struct {
	DataCentres    []spec.DataCentre
	Entries        int // per data centre
	Engines        int // model engines per data centre, each with an agent
	PlainWorkers   int // workers of the plain service per data centre, each with an agent
	Seed           uint64
	Engine         engsim.Config           // QuickEngine if zero
	AdjustSettings func(s *setup.Settings) // changes the settings of every process
	AdjustConfig   func(f *spec.File)      // changes the configuration before its first upload
	FaultLinks     bool                    // put a link that can inject faults before each entry, agent and endpoint
	TLS            setup.TLS               // certificates and keys of all processes
	AdjustEngine   func(c *engsrv.Config)  // changes the configuration of each engine
	Log            *zap.Logger
}

// Fleet is a running fleet with its stand-ins. Its methods are safe for concurrent
// use.
type Fleet struct {
	opts     Options
	ip       string
	ports    atomic.Uint32
	Platform *confsv.Server

	mu      sync.Mutex
	file    spec.File
	version uint64
	rows    []confsv.HostRow
	entries []*Node
	agents  []*Node
}

// HashKey returns the hex SHA-256 of an API key, as the configuration stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// QuickEngine returns the parameters of a fast engine, for tests of the request
// path.
func QuickEngine() engsim.Config {
	c := engsim.Default()
	c.StepBase = 2 * time.Millisecond
	c.StepPerSeq = 10 * time.Microsecond
	c.StepPerPrefill = time.Microsecond
	return c
}

// DefaultFile returns the configuration of a fleet with these data centres.
func DefaultFile(centres []spec.DataCentre) spec.File {
	return spec.File{
		DataCentres: centres,
		Services: []spec.Service{
			{
				Name: ModelService, Kind: spec.KindModel, Models: []string{ModelName}, DeadlineSecs: 120, Floor: 4, MaxConcurrency: 48,
				Classes: []spec.Class{
					{Name: "check", MaxTokens: 64, Priority: 0, QueueMs: 2_000},
					{Name: "plan", Priority: 10, QueueMs: 10_000},
				},
			},
			{
				Name: PlainService, Kind: spec.KindPlain, DeadlineSecs: 20, KeyHorizonSecs: 60, Floor: 8,
				NoRepeat: []spec.NoRepeat{{Methods: []string{"POST"}, Path: "/bookings/**"}},
			},
		},
		Workspaces: []spec.Workspace{
			{Name: Workspace, KeySHA256: HashKey(Key), Weight: 3},
			{Name: OtherWorkspace, KeySHA256: HashKey(OtherKey), Weight: 1},
		},
	}
}

// New starts a fleet and waits until every process is ready.
func New(o Options) (*Fleet, error) {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []spec.DataCentre{{Name: "galway-a", Region: "west"}}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Engine.MaxBatch == 0 {
		o.Engine = QuickEngine()
	}
	platform, err := confsv.New("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Fleet{opts: o, ip: newIP(), Platform: platform, file: DefaultFile(o.DataCentres)}
	if o.AdjustConfig != nil {
		o.AdjustConfig(&r.file)
	}
	if err := r.build(); err != nil {
		r.Close()
		return nil, err
	}
	return r, r.WaitReady(readyTimeout)
}

func (r *Fleet) build() error {
	if err := r.Publish(func(*spec.File) {}); err != nil {
		return err
	}
	for _, d := range r.opts.DataCentres {
		for range r.opts.Engines {
			if err := r.AddEngine(d.Name); err != nil {
				return err
			}
		}
		for range r.opts.PlainWorkers {
			if err := r.AddPlainWorker(d.Name); err != nil {
				return err
			}
		}
	}
	r.UploadHosts()
	for _, d := range r.opts.DataCentres {
		for range r.opts.Entries {
			if err := r.AddEntry(d.Name); err != nil {
				return err
			}
		}
	}
	r.UploadHosts()
	return nil
}

// Publish changes the configuration and uploads it as the next version.
func (r *Fleet) Publish(change func(f *spec.File)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.file)
	r.version++
	b, err := bundle.Build(r.version, r.file)
	if err != nil {
		return err
	}
	values := map[string][]byte{"manifest": b.Raw()}
	for sum, raw := range b.Shards() {
		values["shards/"+sum] = raw
	}
	r.Platform.Put(values)
	return nil
}

// SetOutOfService takes a data centre out of service or brings it back.
func (r *Fleet) SetOutOfService(centre string, out bool) error {
	return r.Publish(func(f *spec.File) {
		f.DataCentres = slices.Clone(f.DataCentres)
		for i := range f.DataCentres {
			if f.DataCentres[i].Name == centre {
				f.DataCentres[i].OutOfService = out
			}
		}
	})
}

// Version returns the number of the last published version.
func (r *Fleet) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// UploadHosts uploads the host list, made of the nodes' current rows.
func (r *Fleet) UploadHosts() {
	r.mu.Lock()
	rows := make([]confsv.HostRow, 0, len(r.agents)+len(r.entries))
	for _, n := range slices.Concat(r.agents, r.entries) {
		rows = append(rows, n.HostRow)
	}
	r.mu.Unlock()
	r.Platform.SetHosts(rows)
}

// Entries returns the entry nodes.
func (r *Fleet) Entries() []*Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// Agents returns the agent nodes, in the order in which they were added.
func (r *Fleet) Agents() []*Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.agents)
}

// Engines returns the agents of model engines.
func (r *Fleet) Engines() []*Node { return r.agentsOf(ModelService) }

// PlainAgents returns the agents of plain services.
func (r *Fleet) PlainAgents() []*Node { return r.agentsOf(PlainService) }

func (r *Fleet) agentsOf(service string) []*Node {
	var out []*Node
	for _, n := range r.Agents() {
		if n.Settings.Service == service {
			out = append(out, n)
		}
	}
	return out
}

// fleetCount is the number of fleets started in this process.
var fleetCount atomic.Uint32

// newIP returns a loopback address for one fleet only. On a shared address, a fixed
// port could be in use by another fleet's listener or by an outgoing connection.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)&0x7f, pid&0xff, 1+fleetCount.Add(1)%250)
}

// freeAddr returns an address that this fleet has not used yet.
func (r *Fleet) freeAddr() string {
	return net.JoinHostPort(r.ip, strconv.Itoa(int(firstPort+r.ports.Add(1))))
}

// WaitReady waits until every process is ready.
func (r *Fleet) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.ready() {
			return nil
		}
	}
	return fmt.Errorf("local: the fleet was not ready within %v", limit)
}

func (r *Fleet) ready() bool {
	want := len(r.Agents()) + len(r.Entries())
	for _, n := range r.Entries() {
		if !n.Entry.Ready() || len(n.Entry.Base().Roster.All()) < want {
			return false
		}
	}
	for _, n := range r.Agents() {
		if !n.Agent.Status().Ready {
			return false
		}
	}
	return true
}

// liveAgents returns the agents that are not killed.
func (r *Fleet) liveAgents() []*Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.agents), func(n *Node) bool { return n.Dead })
}

// WaitVersion waits until every entry and every live agent has the configuration
// version in force, and returns how long that took.
func (r *Fleet) WaitVersion(version uint64, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < limit {
		behind := 0
		for _, n := range r.liveAgents() {
			if n.Agent.Base().Store.View().Version() < version {
				behind++
			}
		}
		for _, n := range r.Entries() {
			if n.Entry.Base().Store.View().Version() < version {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start), nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return limit, fmt.Errorf("local: version %d is not in force everywhere after %v", version, limit)
}

// Traffic returns the bytes that all processes have received from and sent to
// their peers so far.
func (r *Fleet) Traffic() int64 {
	total := int64(0)
	for _, n := range slices.Concat(r.Agents(), r.Entries()) {
		received, sent := n.base().Pool.Traffic()
		total += received + sent
	}
	return total
}

// Close stops the fleet and its stand-ins.
func (r *Fleet) Close() {
	for _, n := range r.Entries() {
		r.KillEntry(n)
	}
	for _, n := range r.Agents() {
		n.Agent.Stop()
		if n.Engine != nil {
			n.Engine.Close()
		}
		if n.Plain != nil {
			n.Plain.Close()
		}
		if n.Link != nil {
			n.Link.Close()
			n.EndpointLink.Close()
		}
	}
	r.Platform.Close()
}
