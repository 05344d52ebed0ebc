package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/conf/table"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

const (
	// heldShare is the part of the expected output that a generation holds on
	// average while it runs.
	heldShare = 0.6
	// patience is how many times its objective a stream waits for a place. Callers
	// abandon a stream after four times its objective.
	patience = 3
	// wholePatience is the part of the objective that a whole answer waits for a
	// place: its endpoint still needs the rest.
	wholePatience = 0.8
	// startShare is the part of the objective that remains for the endpoint's own
	// work when a call is placed on time.
	startShare = 0.7
)

// need describes the place that a call asks for.
func need(call *desc.Call, service table.Service, exclude []string) book.Need {
	n := book.Need{
		Service: call.Service, Regions: call.Regions, Exclude: exclude, ColdPerSecond: service.ColdPerSecond,
	}
	if service.Engine != nil {
		n.Memory, n.Prompt = service.Engine.MemoryTokens, call.PromptTokens
		n.Tokens = call.PromptTokens + int(heldShare*float64(call.Tokens()-call.PromptTokens))
	}
	return n
}

// place finds an endpoint for the call, waiting for room if there is none.
func (s *Server) place(ctx context.Context, in Input, exclude []string) (*book.Lease, Reason) {
	now := time.Now()
	n := need(in.Call, in.Service, exclude)
	if s.Book.Waiting(in.Call.Service) == 0 {
		if lease, ok := s.Book.Take(now, n); ok {
			return lease, ReasonNone
		}
	}
	usable := s.Book.Usable(now, n)
	if usable == 0 {
		s.logNoPlace(in.Call, ReasonNoEndpoint, usable)
		return nil, ReasonNoEndpoint
	}
	lease := s.Book.Wait(ctx, now, n, waitPlace(in.Call))
	switch {
	case lease != nil:
		return lease, ReasonNone
	case ended(ctx) != ReasonNone:
		return nil, ended(ctx)
	}
	s.logNoPlace(in.Call, ReasonBusy, usable)
	return nil, ReasonBusy
}

// placeNow finds an endpoint that has room at once.
func (s *Server) placeNow(in Input, exclude []string) (*book.Lease, Reason) {
	lease, ok := s.Book.Take(time.Now(), need(in.Call, in.Service, exclude))
	if !ok {
		return nil, ReasonBusy
	}
	return lease, ReasonNone
}

// logNoPlace records what a call that found no place was decided on.
func (s *Server) logNoPlace(call *desc.Call, reason Reason, usable int) {
	s.Log.Info("no_place", zap.String("id", call.ID), zap.String("service", call.Service), zap.Stringer("why", reason),
		zap.Int("usable_endpoints", usable), zap.Int("waiting", s.Book.Waiting(call.Service)), zap.Strings("regions", call.Regions),
		zap.Strings("out_of_service", s.Book.Evacuated()), zap.Int("tokens", call.Tokens()),
		zap.Duration("age", time.Since(call.Arrived)), zap.Uint64("version", call.Version))
}

// waitPlace orders a waiting call and bounds its wait.
func waitPlace(call *desc.Call) book.Place {
	limit := time.Duration(wholePatience * float64(call.FirstAnswer))
	if call.Kind.Streams() {
		limit = patience * call.FirstAnswer
	}
	until := call.Arrived.Add(limit)
	if call.Deadline.Before(until) {
		until = call.Deadline
	}
	return book.Place{
		Priority: call.Priority,
		OnTime:   call.Arrived.Add(time.Duration(startShare * float64(call.FirstAnswer))),
		Until:    until,
	}
}
