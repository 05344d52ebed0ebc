// Package table is one version of the configuration of direct serving: routes
// by host name and path, services, and workspaces by key. A Table is immutable.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/desc"
)

// Target is one service that a route sends a share of its calls to.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host name and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        desc.Kind
	Timeout     time.Duration // longest time that a caller is kept waiting
	FirstAnswer time.Duration // objective for the answer or its first event
	Gap         time.Duration // objective between events
	Priority    int           // 0 goes first
	Targets     []Target
	Attempts    int  // endpoints that one call may be sent to
	Public      bool // needs no key
	Regions     []string
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int
	MemoryTokens int
	Moves        bool          // running generations can be moved with their memory
	MoveTime     time.Duration // to send the memory of one token to an engine of the same data centre
}

// Service is a group of alike endpoints.
type Service struct {
	Name          string
	ColdPerSecond float64 // calls that one cold endpoint bears, 0 for no limit
	Engine        *Engine // nil for a plain service
}

// NoPriority marks a workspace that leaves the route's priority in force.
const NoPriority = -1

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int // goes before a route's priority, NoPriority for none
	Regions  []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration // until a request's headers are complete
	IdleTime    time.Duration // without a request on an open connection
}

// Table is one version of the configuration.
type Table struct {
	version    uint64
	hosts      map[string][]Route // longest prefix first
	services   map[string]Service
	workspaces map[string]Workspace // by key
	keyed      bool
	limits     Limits
}

// Parts are what a Table is made of.
type Parts struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keyed      bool // calls need a workspace's key, unless their route is public
	Limits     Limits
}

// New indexes the parts.
func New(p Parts) *Table {
	t := &Table{
		version: p.Version, limits: p.Limits, keyed: p.Keyed,
		hosts:      map[string][]Route{},
		services:   make(map[string]Service, len(p.Services)),
		workspaces: map[string]Workspace{},
	}
	for _, r := range p.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range p.Services {
		t.services[s.Name] = s
	}
	for _, w := range p.Workspaces {
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// Version returns the number of the version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what a caller may send.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether calls need a key.
func (t *Table) Keyed() bool { return t.keyed }

// Match returns the route with the longest prefix of the path. The host may
// carry a port.
func (t *Table) Match(host, path string) (Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by its name. One that the version does not describe
// is plain and has no limits.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Workspace returns the holder of a key.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// Target chooses a service of the route. draw is uniform in [0, 1).
func (r Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Homes returns the regions that both lists allow. An empty list allows all;
// ok is false if nothing is left.
func Homes(route, workspace []string) (regions []string, ok bool) {
	switch {
	case len(route) == 0:
		return workspace, true
	case len(workspace) == 0:
		return route, true
	}
	for _, region := range route {
		if slices.Contains(workspace, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}
