package server

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/conf/view"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	bytesPerToken   = 4    // for estimating the number of prompt tokens
	prefixHashBytes = 1024 // length of the prompt prefix whose hash selects agents
	maxTokenLimit   = 1 << 20
	maxNameBytes    = 256 // of a caller's text in an error message
	// maxPromptParts is the most messages of a prompt that are remembered under crashes; the ledger
	// of crashes uses fewer.
	maxPromptParts = 1024
)

// generation holds the request fields that the entry reads. All other fields are
// passed to the engine unchanged. encoding/json puts the name of this type into error
// messages that callers receive.
type generation struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
}

// generate serves a chat or text completion.
func (srv *Server) generate(c *fiber.Ctx, w spec.Workspace) error {
	if lastEventID := c.Get("Last-Event-ID"); lastEventID != "" {
		return srv.resumeAfter(c, w, lastEventID)
	}
	body, err := srv.plainBody(c, w)
	if err != nil {
		return err
	}
	req, fields, err := parseGeneration(body)
	if err != nil {
		return srv.refuseFields(c, w, err)
	}
	service, err := serviceOfModel(srv.relay.Store.View(), req.Model)
	if err != nil {
		return err
	}
	if len(body) > service.BodyLimitBytes() {
		return requestError(fiber.StatusRequestEntityTooLarge, "request_too_large", fmt.Sprintf("the body exceeds %d bytes", service.BodyLimitBytes()))
	}
	class := service.Class(req.tokenLimit())
	forwarded, err := srv.withPriority(c, w, body, fields, class.Priority)
	if err != nil {
		return err
	}
	if err := srv.holdCopy(c, w, len(forwarded)); err != nil { // the message to the agent
		return err
	}
	if err := srv.admit(w, service.Name); err != nil {
		return err
	}
	call := newGenerationCall(c, w, service, req, fields, forwarded)
	ctx, stop := srv.callContext(c, service)
	session := relay.New(srv.relay, call)
	if req.Stream {
		return srv.stream(ctx, c, stop, session, call)
	}
	defer stop()
	response, end := srv.readResponse(ctx, c, w, session)
	srv.quota.Charge(w, completionTokens(response))
	return srv.respond(c, session, response, end)
}

// parseGeneration parses and validates a request body. It also returns all fields, which
// are parts of the body.
func parseGeneration(body []byte) (generation, []field, error) {
	var req generation
	if err := json.Unmarshal(body, &req); err != nil {
		var mistyped *json.UnmarshalTypeError
		if errors.As(err, &mistyped) && mistyped.Field != "" {
			return req, nil, requestError(fiber.StatusBadRequest, "invalid_type", err.Error())
		}
		return req, nil, requestError(fiber.StatusBadRequest, "invalid_json", "the body is not a JSON object: "+err.Error())
	}
	if req.Model == "" {
		return req, nil, requestError(fiber.StatusBadRequest, "missing_field", `field "model" is required`)
	}
	for _, n := range []*int{req.MaxTokens, req.MaxCompletionTokens} {
		if n != nil && (*n < 1 || *n > maxTokenLimit) {
			return req, nil, requestError(fiber.StatusBadRequest, "out_of_range", fmt.Sprintf("the token limit %d is out of range 1 to %d", *n, maxTokenLimit))
		}
	}
	fields, err := fieldsOf(body)
	return req, fields, err
}

// tokenLimit returns the lower of the request's token limits, or 0 if it has none.
func (r generation) tokenLimit() int {
	limit := 0
	for _, n := range []*int{r.MaxTokens, r.MaxCompletionTokens} {
		if n != nil && (limit == 0 || *n < limit) {
			limit = *n
		}
	}
	return limit
}

// newGenerationCall returns the call for a generation request. body is the one that is
// forwarded.
func newGenerationCall(c *fiber.Ctx, w spec.Workspace, s spec.Service, req generation, fields []field, body []byte) relay.Call {
	messages := valueOf(fields, "messages")
	prompt := messages
	if len(prompt) == 0 {
		prompt = valueOf(fields, "prompt")
	}
	offer := modelOffer(s, w, req.Model, 1+len(prompt)/bytesPerToken, req.tokenLimit())
	offer.Stream, offer.PrefixHash = req.Stream, xxhash.Sum64(prompt[:min(len(prompt), prefixHashBytes)])
	offer.Method, offer.Target, offer.Body = fiber.MethodPost, strings.Clone(c.Path()), body
	offer.Headers = []*peerpb.Header{{Name: "Content-Type", Value: "application/json"}}
	buffered := !req.Stream || s.Delivery == spec.DeliveryWhole
	return relay.Call{
		ID: callid.NewCall(), Service: s, Workspace: w, Offer: offer, Buffered: buffered,
		PromptParts: promptParts(s.Name, messages), Fingerprint: fingerprint(w, offer),
	}
}

// modelOffer returns the part of an offer for a generation that entries and agents decide by,
// without the prompt's prefix.
func modelOffer(s spec.Service, w spec.Workspace, model string, promptTokens, tokenLimit int) *peerpb.Offer {
	class := s.Class(tokenLimit)
	return &peerpb.Offer{
		Service: s.Name, Model: model, Workspace: w.Name, Weight: uint32(w.QueueWeight()), Class: class.Name, Priority: int32(class.Priority),
		QueueMs: uint32(class.MaxQueueTime().Milliseconds()), PromptTokens: uint32(promptTokens), MaxTokens: uint32(tokenLimit),
		DeadlineMs: uint32(s.Deadline().Milliseconds()),
	}
}

// serviceOfModel returns the service that serves a model.
func serviceOfModel(v *view.View, model string) (spec.Service, error) {
	service, ok := v.ServiceOfModel(model)
	if !ok {
		return service, requestError(fiber.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist", model[:min(len(model), maxNameBytes)]))
	}
	return service, nil
}

// promptParts returns the messages of a chat but the last one, which is the call's own, and at
// most maxPromptParts of them.
func promptParts(service string, messages []byte) []blame.Part {
	if len(messages) == 0 || messages[0] != '[' {
		return nil // a text prompt has no parts, and the engine refuses invalid messages
	}
	var parts []blame.Part
	for m := range elements(messages) {
		if len(parts) > maxPromptParts {
			break
		}
		parts = append(parts, partOf(service, m))
	}
	return parts[:max(0, len(parts)-1)]
}

// partOf returns the Part of a message, without a copy of it.
func partOf(service string, message []byte) blame.Part {
	h := xxhash.New()
	_, _ = h.WriteString(service + "/") // never fails
	_, _ = h.Write(message)
	return blame.Part(h.Sum64())
}

// fingerprint returns the hash of a call's service, workspace, method, target and body.
func fingerprint(w spec.Workspace, offer *peerpb.Offer) blame.Part {
	h := xxhash.New()
	for _, field := range []string{offer.Service, w.Name, offer.Method, offer.Target} {
		_, _ = h.WriteString(field) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(offer.Body)
	return blame.Part(max(1, h.Sum64())) // 0 means unknown
}

// stream serves a call with a streamed response. The HTTP status is sent only with
// the first frame, so that a call that fails before it gets an error status.
func (srv *Server) stream(ctx context.Context, c *fiber.Ctx, stop context.CancelFunc, s *relay.Session, call relay.Call) error {
	first := s.Next(ctx)
	end, ended := first.(relay.End)
	if ended && end.Outcome != callst.OutcomeComplete {
		defer stop()
		return srv.respond(c, s, nil, end)
	}
	if !isStream(s.Head()) || call.Service.Delivery == spec.DeliveryWhole {
		defer stop()
		return srv.respondBuffered(ctx, c, s, call, first)
	}
	srv.sendStream(ctx, c, stop, s, first, call.Workspace)
	return nil
}

// sendStream sends the headers and streams the events, starting with first, after
// the handler has returned.
func (srv *Server) sendStream(ctx context.Context, c *fiber.Ctx, stop context.CancelFunc, s *relay.Session, first relay.Event, w spec.Workspace) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(callHeader, s.Attempt().String())
	c.Status(int(s.Head().GetStatus()))
	events := &eventWriter{conn: c.Context().Conn(), writeTimeout: srv.writeTimeout}
	c.Context().SetBodyStreamWriter(func(body *bufio.Writer) {
		defer stop()
		defer s.Close()
		events.w = body
		srv.quota.Charge(w, events.run(ctx, s, first))
	})
}

// isStream reports whether the response is a stream of server-sent events.
func isStream(h *peerpb.Head) bool {
	for _, header := range h.GetHeaders() {
		if strings.EqualFold(header.Name, fiber.HeaderContentType) {
			return strings.HasPrefix(header.Value, "text/event-stream")
		}
	}
	return false
}

// respondBuffered buffers the response to a streaming request until it is complete.
// It is used for services with whole delivery, and for responses that are not event
// streams, such as errors of the engine.
func (srv *Server) respondBuffered(ctx context.Context, c *fiber.Ctx, s *relay.Session, call relay.Call, first relay.Event) error {
	out := srv.newResponse(c)
	events := &eventWriter{w: bufio.NewWriter(out)}
	for ev := first; ; ev = s.Next(ctx) {
		switch ev := ev.(type) {
		case relay.Frame:
			var err error
			if isStream(s.Head()) { // another attempt may get another kind of response
				events.writeFrame(ev)
				err = events.w.Flush()
			} else {
				_, err = out.Write(ev.Data)
			}
			if err != nil {
				return srv.respond(c, s, nil, srv.abortForMemory(c, call.Workspace, s))
			}
		case relay.Restart:
			out.Reset()
			events = &eventWriter{w: bufio.NewWriter(out)}
		case relay.End:
			srv.quota.Charge(call.Workspace, int(events.nextIndex))
			if isStream(s.Head()) && ev.Outcome == callst.OutcomeComplete {
				events.writeDone()
			}
			if events.w.Flush() != nil {
				srv.refuseResponse(c, call.Workspace)
				ev = relay.End{Outcome: callst.OutcomeUnknown, Reason: responseFullReason}
			}
			return srv.respond(c, s, out, ev)
		}
	}
}

// completionTokens returns the number of output tokens that a response reports, or 0
// if it reports none. If there is no room to decode it, the number is estimated.
func completionTokens(buffer *memlim.Buffer) int {
	body, release, err := buffer.Join()
	if err != nil {
		return buffer.Len() / bytesPerToken
	}
	defer release()
	var response struct {
		Usage struct {
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &response) != nil {
		return 0
	}
	return response.Usage.Completion
}

type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

type modelRow struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the workspace may use.
func (srv *Server) models(c *fiber.Ctx, w spec.Workspace) error {
	list := modelList{Object: "list", Data: []modelRow{}}
	for _, s := range srv.relay.Store.View().Services() {
		if w.Allows(s.Name) {
			list.Data = append(list.Data, lo.Map(s.Models, func(m string, _ int) modelRow {
				return modelRow{ID: m, Object: "model", OwnedBy: s.Name}
			})...)
		}
	}
	slices.SortFunc(list.Data, func(a, b modelRow) int { return cmp.Compare(a.ID, b.ID) })
	return c.JSON(list)
}
