package stand

import "cmp"

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, TargetMs               int
	Attempts                          int
	Resume                            bool
	Regions                           []string
}

// Config is a version of the operator's configuration with one tenant.
type Config struct {
	Version  int
	Routes   []Route
	Engines  []string // services of model workers
	Services []string // others
	Keys     []string // of the tenant
	// ColdPerSecond, ColdStart (seconds) and LinkMbps are those of the engines, 0 for 38, 1 and 24,000.
	ColdPerSecond, ColdStart, LinkMbps float64
}

// Value returns the configuration as the store holds it.
func (c Config) Value() map[string]any {
	var routes, services []any
	for _, r := range c.Routes {
		route := map[string]any{
			"name": r.Name, "hostname": r.Host, "path_prefix": r.Prefix, "route_type": r.Kind, "backend": r.Service, "timeout_ms": r.TimeoutMs,
			"target_latency_ms": r.TargetMs, "max_attempts": r.Attempts, "priority": 1,
		}
		if r.Kind == "streaming" {
			route["gap_target_ms"], route["session_affinity"] = 180, true
		}
		if r.Resume {
			route["stream_resume"] = true
		}
		if len(r.Regions) > 0 {
			route["allowed_regions"] = r.Regions
		}
		routes = append(routes, route)
	}
	for _, name := range c.Engines {
		services = append(services, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 222, "cold_per_s": cmp.Or(c.ColdPerSecond, 38), "cold_start_s": cmp.Or(c.ColdStart, 1),
			"engine": map[string]any{"batch_slots": 24, "kv_capacity": 34206, "kv_bytes": 163840, "bandwidth_mbps": cmp.Or(c.LinkMbps, 24000), "moves": true},
		})
	}
	for _, name := range c.Services {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 100})
	}
	return map[string]any{
		"version": c.Version, "routes": routes, "backends": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": c.Keys}},
	}
}
