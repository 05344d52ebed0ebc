// Package admin serves health checks, metrics, status and the audit trail of
// one process to operators over HTTP.
package admin

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/call/guard"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

const (
	requestTimeout = 10 * time.Second // for reading a request, and for sending its response
	idleTimeout    = time.Minute      // longer than the interval of scrapes
)

// Server is the HTTP server for operators.
type Server struct {
	app *fiber.App
}

// Status is the status of one process.
type Status struct {
	Host          string             `json:"host"`
	DataCentre    string             `json:"data_centre"`
	Role          string             `json:"role"`
	Incarnation   uint64             `json:"incarnation"`
	Ready         bool               `json:"ready"`
	ConfigVersion uint64             `json:"config_version"`
	ConfigAgeMs   int64              `json:"config_age_ms"` // time since the version was confirmed, -1 if it never was
	HostRevision  uint64             `json:"host_revision"`
	Violations    int64              `json:"violations"` // of invariants
	DataCentres   []DataCentreStatus `json:"data_centres"`
	Services      []ServiceStatus    `json:"services"`
	Hosts         []HostStatus       `json:"hosts"`
	Endpoint      any                `json:"endpoint,omitempty"` // status of the endpoint (agent)
	InFlight      int64              `json:"in_flight"`          // calls without a complete response (entry), running and queued calls (agent)
}

// DataCentreStatus is the status of one data centre.
type DataCentreStatus struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	InService bool   `json:"in_service"`
}

// ServiceStatus is the status of one service.
type ServiceStatus struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Agents int    `json:"agents"`
}

// HostStatus is the status of one host in the host list.
type HostStatus struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	Service    string `json:"service"`
	Leaving    bool   `json:"leaving"`
	Suspected  bool   `json:"suspected"`
}

// Route is a path that processes of one role serve.
type Route struct {
	Path    string
	Handler fiber.Handler
}

// New returns a server. It calls status and ready for each request that asks
// for them.
func New(gatherer prometheus.Gatherer, trail *audit.Trail, status func() Status, ready func() bool, routes ...Route) *Server {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true, GETOnly: true, BodyLimit: 1, DisablePreParseMultipartForm: true, // no request has a body
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
	})
	app.Server().ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if state == fasthttp.StateIdle || state == fasthttp.StateClosed {
			guard.Ended(c, state == fasthttp.StateClosed)
		}
	}
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c *fiber.Ctx) error {
		if !ready() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(status()) })
	app.Get("/audit", func(c *fiber.Ctx) error {
		events := trail.Events(c.Query("id"))
		if events == nil {
			events = []audit.Event{}
		}
		return c.JSON(events)
	})
	for _, r := range routes {
		app.Get(r.Path, r.Handler)
	}
	return &Server{app: app}
}

// Serve answers requests until Close.
func (s *Server) Serve(ln net.Listener) error { return s.app.Listener(ln) }

// Close stops the server.
func (s *Server) Close() error { return s.app.Shutdown() }
