package server

import (
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// getStream resumes a stream for callers that reconnect with GET, after the last
// event received or, without a Last-Event-ID header, from the beginning.
func (srv *Server) getStream(c *fiber.Ctx, w spec.Workspace) error {
	lastEventID := c.Get("Last-Event-ID")
	if lastEventID == "" {
		id, err := callid.Parse(c.Params("id"))
		if err != nil {
			return requestError(fiber.StatusBadRequest, "invalid_call_id", err.Error())
		}
		return srv.resumeAt(c, w, id, 0)
	}
	return srv.resumeAfter(c, w, lastEventID)
}

// resumeAfter relays the rest of a stream after the event with the given ID.
func (srv *Server) resumeAfter(c *fiber.Ctx, w spec.Workspace, lastEventID string) error {
	id, index, err := callid.ParseEventID(strings.Clone(lastEventID))
	if err != nil {
		return requestError(fiber.StatusBadRequest, "invalid_event_id", err.Error())
	}
	return srv.resumeAt(c, w, id, index+1)
}

// resumeAt relays the rest of a stream, starting with the frame at index next.
func (srv *Server) resumeAt(c *fiber.Ctx, w spec.Workspace, id callid.ID, next uint64) error {
	m, ok := srv.relay.Roster.Find(id.Host)
	if !ok {
		return requestError(fiber.StatusNotFound, "stream_not_found", "the host of this stream has left")
	}
	service, ok := srv.relay.Store.View().Service(m.Service)
	if !ok || service.Kind != spec.KindModel {
		return requestError(fiber.StatusNotFound, "stream_not_found", "no such stream")
	}
	call := relay.Call{ID: id.Call, Service: service, Workspace: w, Offer: &peerpb.Offer{Service: service.Name, Workspace: w.Name, Stream: true}}
	ctx, stop := srv.callContext(c, service)
	s := relay.Resume(srv.relay, call, id, next)
	first := s.Next(ctx)
	if end, ended := first.(relay.End); ended && end.Outcome != callst.OutcomeComplete {
		stop()
		c.Set(callHeader, id.String())
		return &Error{Code: "stream_not_found", Outcome: callst.OutcomeInterrupted, Status: fiber.StatusNotFound, Message: "the rest of this stream is not held: " + end.Reason}
	}
	if !isStream(s.Head()) {
		defer stop()
		if next > 0 {
			s.Close()
			return requestError(fiber.StatusNotFound, "stream_not_found", "the response is not a stream and has no events to resume after")
		}
		return srv.respondBuffered(ctx, c, s, call, first)
	}
	srv.sendStream(ctx, c, stop, s, first, w)
	return nil
}

// cancelStream ends a generation on the caller's request.
func (srv *Server) cancelStream(c *fiber.Ctx, w spec.Workspace) error {
	id, err := callid.Parse(c.Params("id"))
	if err != nil {
		return requestError(fiber.StatusBadRequest, "invalid_call_id", err.Error())
	}
	m, ok := srv.relay.Roster.Find(id.Host)
	if !ok {
		return requestError(fiber.StatusNotFound, "stream_not_found", "the host of this stream has left")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := srv.relay.Pool.Get(ctx, m.Address)
	if err != nil {
		return notRunError(fiber.StatusServiceUnavailable, "the host of this stream does not answer", time.Second)
	}
	reply, err := conn.Revoke(ctx, &peerpb.RevokeRequest{Attempt: id.String(), Workspace: w.Name, Abandon: true})
	if err != nil {
		srv.relay.Pool.Drop(conn)
		return endError(relay.End{Outcome: callst.OutcomeUnknown, Reason: "the host of this stream does not answer: it may have ended"})
	}
	srv.relay.Pool.Put(conn)
	if reply.Fate != peerpb.Fate_FATE_STARTED {
		return requestError(fiber.StatusNotFound, "stream_not_found", "no such stream")
	}
	return c.SendStatus(fiber.StatusNoContent)
}
