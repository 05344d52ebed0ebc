// Package routes holds one version of the routing configuration: routes by host
// name and path, services, and workspaces by key. A Table is immutable.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/desc"
)

// Target is a service that receives a share of a route's calls.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host name and path prefix to services.
type Route struct {
	Name                string
	Host                string
	Prefix              string // begins and ends with a slash
	Kind                desc.Kind
	Timeout             time.Duration // maximum time that a caller waits
	FirstResponseTarget time.Duration // target time to the response or its first event
	EventGapTarget      time.Duration // target time between events
	Priority            int           // 0 is served first
	Targets             []Target
	MaxAttempts         int      // maximum number of endpoints that one call is sent to
	Public              bool     // calls need no key
	Regions             []string // regions that may serve the calls, empty for all
}

// Engine describes the inference engines of a service.
type Engine struct {
	Slots            int           // calls that one engine runs at the same time
	MemoryTokens     int           // size of one engine's KV cache, in tokens
	CanMoveMemory    bool          // running generations can move to another engine with their KV cache
	TokensPerEvent   int           // output tokens that one event of a stream holds, 0 if not known
	MoveTimePerToken time.Duration // to transfer one token of KV cache within a data centre
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name                  string
	MaxColdCallsPerSecond float64 // calls per second to one cold endpoint, 0 for no limit
	Engine                *Engine // nil for a service without inference engines
}

// NoPriority marks a workspace that does not override the priority of routes.
const NoPriority = -1

// Workspace is a customer with its API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int      // overrides the route's priority unless it is NoPriority
	Regions  []string // regions that may serve the calls, empty for all
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // maximum time until the headers of a request are complete
	IdleTimeout   time.Duration // maximum time between requests on an open connection
}

// Table is one version of the routing configuration, indexed for lookups.
type Table struct {
	version     uint64
	hosts       map[string][]Route // by host name in lower case, longest prefix first
	services    map[string]Service
	workspaces  map[string]Workspace // by key
	keyRequired bool                 // see Parts.KeyRequired
	limits      Limits
}

// Parts is the content of a Table.
type Parts struct {
	Version     uint64
	Routes      []Route
	Services    []Service
	Workspaces  []Workspace
	KeyRequired bool // calls need a workspace's key, unless their route is public
	Limits      Limits
}

// New returns a Table of the parts.
func New(p Parts) *Table {
	t := &Table{
		version: p.Version, limits: p.Limits, keyRequired: p.KeyRequired,
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

// Version returns the configuration version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits { return t.limits }

// KeyRequired reports whether calls need a workspace's key, unless their route is
// public.
func (t *Table) KeyRequired() bool { return t.keyRequired }

// Match returns the route with the longest prefix that matches the path. The
// host may include a port.
func (t *Table) Match(host, path string) (Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') { // not a colon of an IPv6 address
		host = host[:at]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by name. A service that is not configured has no
// engines and no limits.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// WorkspaceNamed returns a workspace by name. It looks at all keys: calls use Workspace.
func (t *Table) WorkspaceNamed(name string) (Workspace, bool) {
	for _, w := range t.workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Target chooses one of the route's services by weight. draw is a random
// number, uniform in [0, 1).
func (r Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := int(draw * float64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}

// AllowedRegions returns the regions that both lists allow. An empty list allows all
// regions; ok is false if no region is left.
func AllowedRegions(route, workspace []string) (regions []string, ok bool) {
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
