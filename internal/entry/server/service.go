package server

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/agent/invoke"
	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/ticket"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/entry/route"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const maxIdempotencyKeyBytes = 255

// callService proxies a call to a plain service.
func (srv *Server) callService(c *fiber.Ctx, w spec.Workspace) error {
	name := strings.Clone(c.Params("name"))
	s, ok := srv.relay.Store.View().Service(name)
	if !ok || s.Kind != spec.KindPlain {
		return requestError(fiber.StatusNotFound, "service_not_found", fmt.Sprintf("plain service %q does not exist", name))
	}
	if len(c.BodyRaw()) > s.BodyLimitBytes() {
		return requestError(fiber.StatusRequestEntityTooLarge, "request_too_large", fmt.Sprintf("the body exceeds %d bytes", s.BodyLimitBytes()))
	}
	target, path, err := serviceTarget(string(c.Context().RequestURI()), name)
	if err != nil {
		return err
	}
	key := strings.Clone(c.Get("Idempotency-Key"))
	if len(key) > maxIdempotencyKeyBytes {
		return requestError(fiber.StatusBadRequest, "invalid_key", fmt.Sprintf("the idempotency key exceeds %d bytes", maxIdempotencyKeyBytes))
	}
	body, err := srv.ownBody(c, w)
	if err != nil {
		return err
	}
	if err := srv.admit(w, name); err != nil {
		return err
	}
	id := callid.NewCall()
	offer := plainOffer(s, w)
	offer.Method, offer.Target, offer.Body = strings.Clone(c.Method()), target, body
	offer.Headers, offer.NoRepeat, offer.IdempotencyKey = srv.serviceHeaders(c, w, id), !s.Repeatable(c.Method(), path), key
	ctx, stop := srv.callContext(c, s)
	defer stop()
	session := relay.New(srv.relay, relay.Call{ID: id, Service: s, Workspace: w, Offer: offer, Buffered: true, Fingerprint: fingerprint(w, offer)})
	response, end := srv.readResponse(ctx, c, w, session)
	return srv.respond(c, session, response, end)
}

// plainOffer returns the part of an offer for a call to a plain service that entries and agents
// decide by.
func plainOffer(s spec.Service, w spec.Workspace) *peerpb.Offer {
	return &peerpb.Offer{
		Service: s.Name, Workspace: w.Name, Weight: uint32(w.QueueWeight()), QueueMs: uint32(spec.DefaultMaxQueueTime.Milliseconds()),
		Class: "plain", DeadlineMs: uint32(s.Deadline().Milliseconds()),
	}
}

// serviceTarget returns the request target that the service receives and its
// unescaped path. It refuses dot segments, since the no-repeat rules would otherwise
// be matched against a different path than the one that the service resolves.
func serviceTarget(uri, name string) (target, path string, err error) {
	rest, ok := strings.CutPrefix(uri, "/services/"+name)
	if !ok || !strings.HasPrefix(rest, "/") {
		return "", "", requestError(fiber.StatusBadRequest, "invalid_path", "the request target must begin with /services/"+name+"/")
	}
	rawPath, _, _ := strings.Cut(rest, "?")
	path, unescapeErr := url.PathUnescape(rawPath)
	if unescapeErr != nil {
		return "", "", requestError(fiber.StatusBadRequest, "invalid_path", unescapeErr.Error())
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return "", "", requestError(fiber.StatusBadRequest, "invalid_path", "dot segments are not allowed in the path")
		}
	}
	return rest, path, nil
}

// serviceHeaders returns the headers for the service: those of the caller, without
// hop-by-hop and reserved headers, and those that the entry adds.
func (srv *Server) serviceHeaders(c *fiber.Ctx, w spec.Workspace, id string) []*peerpb.Header {
	connectionHeaders := strings.Split(strings.ToLower(c.Get(fiber.HeaderConnection)), ",")
	connectionHeaders = lo.Map(connectionHeaders, func(n string, _ int) string { return strings.TrimSpace(n) })
	var out []*peerpb.Header
	for k, v := range c.Request().Header.All() {
		name := string(k)
		lower := strings.ToLower(name)
		if invoke.HopByHop(name) || lo.Contains(connectionHeaders, lower) || isReservedHeader(lower) {
			continue
		}
		out = append(out, &peerpb.Header{Name: name, Value: string(v)})
	}
	return append(out,
		&peerpb.Header{Name: "Mimosalock-Workspace", Value: w.Name},
		&peerpb.Header{Name: "Mimosalock-Call", Value: id},
		&peerpb.Header{Name: "X-Forwarded-For", Value: strings.Clone(c.IP())},
	)
}

// isReservedHeader reports whether a header is consumed or set by the entry or the
// agent and therefore not copied from the caller. The name must be in lower case.
func isReservedHeader(lower string) bool {
	switch lower {
	case "authorization", "host", "content-length", "expect", "x-forwarded-for", "mimosalock-workspace", "mimosalock-call":
		return true
	}
	return false
}

// ticketRequest is the body of a request for a ticket. encoding/json puts the name of
// this type into error messages that callers receive.
type ticketRequest struct {
	Service string `json:"service"`
}

type ticketReply struct {
	Ticket     string `json:"ticket"`
	ValidForMs int64  `json:"valid_for_ms"`
}

// issueTicket issues an idempotency key that names the only agent process that may
// run the call.
func (srv *Server) issueTicket(c *fiber.Ctx, w spec.Workspace) error {
	var req ticketRequest
	body, err := srv.plainBody(c, w)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return requestError(fiber.StatusBadRequest, "invalid_json", err.Error())
	}
	s, ok := srv.relay.Store.View().Service(req.Service)
	if !ok || s.Kind != spec.KindPlain {
		return requestError(fiber.StatusNotFound, "service_not_found", fmt.Sprintf("plain service %q does not exist", req.Service))
	}
	if err := srv.admit(w, s.Name); err != nil {
		return err
	}
	plan := route.New(route.Input{
		View: srv.relay.Store.View(), Service: s, Agents: srv.relay.Roster.Agents(s.Name), DataCentre: srv.relay.DataCentre,
		Suspected: srv.relay.Roster.Suspected, Workspace: w.Name, Rand: rand.New(rand.NewPCG(rand.Uint64(), 1)),
	})
	for candidates := plan.Next(); len(candidates) > 0; candidates = plan.Next() {
		for _, m := range candidates {
			if t, ok := srv.requestTicket(m, s, w); ok {
				return c.JSON(ticketReply{Ticket: t.String(), ValidForMs: s.KeyHorizon().Milliseconds()})
			}
		}
	}
	return notRunError(fiber.StatusServiceUnavailable, "no endpoint of the service admits calls", time.Second)
}

// requestTicket probes an agent and returns a ticket that names it. It returns false
// if the agent cannot be reached or does not admit calls.
func (srv *Server) requestTicket(m roster.Member, s spec.Service, w spec.Workspace) (ticket.Ticket, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := srv.relay.Pool.Get(ctx, m.Address)
	if err != nil {
		return ticket.Ticket{}, false
	}
	reply, err := conn.Probe(ctx, &peerpb.ProbeRequest{Service: s.Name, Workspace: w.Name, Weight: uint32(w.QueueWeight()), QueueMs: 1000})
	if err != nil {
		srv.relay.Pool.Drop(conn)
		return ticket.Ticket{}, false
	}
	srv.relay.Pool.Put(conn)
	return ticket.New(m.DataCentre, m.Host, reply.Incarnation, reply.Beat), reply.Admits
}
