// Package server serves the entry's HTTP API for callers: an OpenAI-compatible API
// for model services and a reverse proxy for plain services.
package server

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/gate"
	"github.com/mimosalock/mimosalock/internal/call/guard"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/quota"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/entry/sock"
)

const (
	maxBodyBytes  = 64 << 20
	idleTimeout   = 60 * time.Second
	readTimeout   = 60 * time.Second
	outcomeHeader = "Mimosalock-Outcome"
	callHeader    = "Mimosalock-Call"

	// MaxHeaderBytes is the size of the largest head.
	MaxHeaderBytes = 32 << 10
)

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	relay        relay.Deps
	quota        *quota.Limiter
	writeTimeout time.Duration
	log          *zap.Logger
	app          *fiber.App
	gate         *gate.Gate // calls whose response was not sent completely
	callers      sync.Map   // the connections of these calls, each a net.Conn, to the *held memory
	bodies       *memlim.Budget
	responses    *memlim.Budget // that are read as a whole
	bodyLimit    int            // of one body, in bytes
	refusals     refusalLog
	draining     atomic.Bool
	ctx          context.Context // ends at Close, and with it all calls
	abort        context.CancelCauseFunc
}

// New returns a Server. Writes of a streamed response time out after writeTimeout;
// the caller is then considered disconnected. bodyMemory is for the bodies of all calls, in bytes.
func New(d relay.Deps, writeTimeout time.Duration, bodyMemory int64, log *zap.Logger) *Server {
	srv := &Server{
		relay: d, quota: quota.New(), writeTimeout: writeTimeout, log: log, gate: gate.New(), bodies: memlim.New(bodyMemory),
		responses: memlim.New(bodyMemory / responseShare), bodyLimit: int(min(maxBodyBytes, bodyMemory/bodyCopies)),
	}
	srv.ctx, srv.abort = context.WithCancelCause(context.Background())
	srv.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, BodyLimit: maxBodyBytes, ReadBufferSize: MaxHeaderBytes, IdleTimeout: idleTimeout,
		ReduceMemoryUsage: true, // each response is sent at once, also before a request that was sent ahead
		ReadTimeout:       readTimeout, ErrorHandler: srv.handleError, UnescapePath: false, CaseSensitive: true, StrictRouting: true,
		DisableHeaderNormalizing: false, StreamRequestBody: true, DisablePreParseMultipartForm: true, // bodies are read after the key was checked
	})
	srv.app.Server().ConnState = srv.connState
	srv.app.Use(srv.dropUnreadBody, srv.closeWhileDraining)
	srv.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	srv.app.Get("/readyz", srv.readyz)
	srv.app.Post("/v1/chat/completions", srv.withWorkspace(srv.generate))
	srv.app.Post("/v1/completions", srv.withWorkspace(srv.generate))
	srv.app.Get("/v1/models", srv.withWorkspace(srv.models))
	srv.app.Get("/v1/streams/:id", srv.withWorkspace(srv.getStream))
	srv.app.Delete("/v1/streams/:id", srv.withWorkspace(srv.cancelStream))
	srv.app.Post("/v1/tickets", srv.withWorkspace(srv.issueTicket))
	srv.app.All("/services/:name/*", srv.withWorkspace(srv.callService))
	return srv
}

// Serve accepts connections until Close.
func (srv *Server) Serve(ln net.Listener) error { return srv.app.Listener(ln) }

// Drain makes the Server refuse new calls. Calls in flight continue.
func (srv *Server) Drain() {
	srv.draining.Store(true)
	srv.gate.Close()
}

// InFlight returns the number of calls whose response was not sent completely.
func (srv *Server) InFlight() int64 { return srv.gate.InFlight() }

// Close ends the calls in flight, whose callers get an error, stops accepting
// connections and closes the open ones, waiting for their responses at most for the
// timeout.
func (srv *Server) Close(timeout time.Duration) error {
	srv.abort(errStopped)
	return srv.app.ShutdownWithTimeout(timeout)
}

// closeWhileDraining closes a connection after its next response while the Server
// drains, so that its caller sends no request that the exit would cut.
func (srv *Server) closeWhileDraining(c *fiber.Ctx) error {
	err := c.Next()
	if srv.draining.Load() {
		c.Context().SetConnectionClose()
	}
	return err
}

// connState ends the call of a connection once its response was sent or its connection
// is closed.
func (srv *Server) connState(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	if value, inFlight := srv.callers.LoadAndDelete(conn); inFlight {
		srv.gate.Leave()
		if h, isHeld := value.(*held); isHeld {
			h.free()
		}
	}
	guard.Ended(conn, state == fasthttp.StateClosed)
}

// Ready reports whether the entry can serve calls.
func (srv *Server) Ready() bool {
	return !srv.draining.Load() && srv.relay.Store.View() != nil && srv.relay.Roster.Version().Revision > 0
}

func (srv *Server) readyz(c *fiber.Ctx) error {
	if !srv.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// handler serves one call of an authenticated workspace.
type handler func(c *fiber.Ctx, w spec.Workspace) error

// withWorkspace wraps a handler. It refuses calls while draining, counts the call as in
// flight until its response is sent, and authenticates the workspace.
func (srv *Server) withWorkspace(next handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		if !srv.gate.Enter() {
			return drainError()
		}
		srv.callers.Store(c.Context().Conn(), &held{})
		w, err := srv.authenticate(c)
		if err == nil {
			err = srv.readBody(c, w)
		}
		if err != nil {
			return err
		}
		return next(c, w)
	}
}

// authenticate returns the workspace of the request's API key.
func (srv *Server) authenticate(c *fiber.Ctx) (spec.Workspace, error) {
	v := srv.relay.Store.View()
	if v == nil {
		return spec.Workspace{}, notRunError(fiber.StatusServiceUnavailable, "no configuration yet", time.Second)
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return spec.Workspace{}, requestError(fiber.StatusUnauthorized, "invalid_api_key", "send the workspace's key as a bearer token")
	}
	w, ok := v.Workspace(key)
	if !ok {
		return spec.Workspace{}, requestError(fiber.StatusUnauthorized, "invalid_api_key", "the key is not known")
	}
	w.Name = strings.Clone(w.Name)
	return w, nil
}

// admit checks that the workspace may use the service and counts the request
// against the workspace's limits.
func (srv *Server) admit(w spec.Workspace, service string) error {
	refusal := refusalOf(w, service, func() (bool, time.Duration) { return srv.quota.Admit(w, srv.relay.Roster.EntryCount()) })
	if refusal != nil {
		return refusal
	}
	return nil
}

// refusalOf returns the refusal of a call that the workspace may not make, or that is
// beyond its limits, which are asked only if it may; nil if there is none.
func refusalOf(w spec.Workspace, service string, admit func() (bool, time.Duration)) *Error {
	if !w.Allows(service) {
		return requestError(fiber.StatusForbidden, "permission_denied", "the workspace may not use service "+service)
	}
	if ok, wait := admit(); !ok {
		return notRunError(fiber.StatusTooManyRequests, "the workspace's limit is reached", wait)
	}
	return nil
}

// callContext returns a context that is cancelled at the service's deadline, when the
// caller closes its connection, or at Close.
func (srv *Server) callContext(c *fiber.Ctx, s spec.Service) (context.Context, context.CancelFunc) {
	ctx, cancelTimeout := context.WithTimeoutCause(srv.ctx, s.Deadline(), errDeadline)
	ctx, cancel := context.WithCancelCause(ctx)
	go sock.WatchClose(ctx, c.Context().Conn(), func() { cancel(errCallerGone) })
	return ctx, func() {
		cancel(nil)
		cancelTimeout()
	}
}

// Causes of a cancelled call context. Their texts are sent to callers and agents.
var (
	errDeadline   = errors.New("the deadline of the service is over")
	errCallerGone = errors.New("the caller went away")
	errStopped    = errors.New("this entry stopped before the call had ended")
)

// respond sends a complete response, or returns an error if the call ended without a complete
// response. The call holds its body no longer. A nil response is empty.
func (srv *Server) respond(c *fiber.Ctx, s *relay.Session, response *memlim.Buffer, end relay.End) error {
	c.Request().ResetBody()
	srv.heldBy(c).freeBody()
	c.Set(callHeader, s.Attempt().String())
	if end.Outcome != callst.OutcomeComplete {
		return endError(end)
	}
	c.Set(outcomeHeader, string(end.Outcome))
	head := s.Head()
	c.Status(int(head.GetStatus()))
	for _, h := range head.GetHeaders() {
		if strings.EqualFold(h.Name, fiber.HeaderContentType) {
			c.Set(h.Name, h.Value)
			continue
		}
		c.Response().Header.Add(h.Name, h.Value)
	}
	if response != nil && response.Len() > 0 {
		c.Context().SetBodyStream(response.Reader(), response.Len())
	}
	return nil
}
