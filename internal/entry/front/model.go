package front

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	bytesPerToken   = 4 // estimate of a prompt's tokens from its bytes
	prefixHashBytes = 1024
	maxTokenLimit   = 1 << 20
)

// generation is the part of a request that the entry reads. All other fields
// pass through to the engine as they are.
type generation struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
}

func (f *Front) generate(c *fiber.Ctx, w spec.Workspace) error {
	if last := c.Get("Last-Event-ID"); last != "" {
		return f.resumeAfter(c, w, last)
	}
	req, fields, err := parseGeneration(c.Body())
	if err != nil {
		return err
	}
	service, ok := f.relay.Store.View().ServiceOfModel(req.Model)
	if !ok {
		return requestError(fiber.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist", req.Model))
	}
	if len(c.Body()) > service.BodyLimitBytes() {
		return requestError(fiber.StatusRequestEntityTooLarge, "request_too_large", fmt.Sprintf("the body exceeds %d bytes", service.BodyLimitBytes()))
	}
	if err := f.admit(w, service.Name); err != nil {
		return err
	}
	call, err := f.newGenerationCall(c, w, service, req, fields)
	if err != nil {
		return err
	}
	ctx, stop := f.callContext(c, service)
	session := relay.New(f.relay, call)
	if req.Stream {
		return f.stream(ctx, c, stop, session, call)
	}
	defer stop()
	body, end := readResponse(ctx, session, nil)
	f.quota.Charge(w, completionTokens(body))
	return f.respond(c, session, body, end)
}

func parseGeneration(body []byte) (generation, map[string]json.RawMessage, error) {
	var req generation
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return req, nil, requestError(fiber.StatusBadRequest, "invalid_json", "the body is not a JSON object: "+err.Error())
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return req, nil, requestError(fiber.StatusBadRequest, "invalid_type", err.Error())
	}
	if req.Model == "" {
		return req, nil, requestError(fiber.StatusBadRequest, "missing_field", `field "model" is required`)
	}
	for _, n := range []*int{req.MaxTokens, req.MaxCompletionTokens} {
		if n != nil && (*n < 1 || *n > maxTokenLimit) {
			return req, nil, requestError(fiber.StatusBadRequest, "out_of_range", fmt.Sprintf("the token limit %d is out of range 1 to %d", *n, maxTokenLimit))
		}
	}
	return req, fields, nil
}

func (r generation) tokenLimit() int {
	limit := 0
	for _, n := range []*int{r.MaxTokens, r.MaxCompletionTokens} {
		if n != nil && (limit == 0 || *n < limit) {
			limit = *n
		}
	}
	return limit
}

func (f *Front) newGenerationCall(c *fiber.Ctx, w spec.Workspace, s spec.Service, req generation, fields map[string]json.RawMessage) (relay.Call, error) {
	class := s.Class(req.tokenLimit())
	if _, set := fields["priority"]; !set || class.Priority != 0 {
		fields["priority"] = json.RawMessage(fmt.Sprint(class.Priority))
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return relay.Call{}, requestError(fiber.StatusBadRequest, "invalid_json", err.Error())
	}
	prompt := cmp.Or(string(fields["messages"]), string(fields["prompt"]))
	offer := &peerpb.Offer{
		Service: s.Name, Model: req.Model, Workspace: w.Name, Weight: uint32(w.QueueWeight()), Stream: req.Stream,
		Class: class.Name, Priority: int32(class.Priority), QueueMs: uint32(class.MaxQueueTime().Milliseconds()),
		PromptTokens: uint32(1 + len(prompt)/bytesPerToken), MaxTokens: uint32(req.tokenLimit()),
		PrefixHash: xxhash.Sum64String(prompt[:min(len(prompt), prefixHashBytes)]),
		DeadlineMs: uint32(s.Deadline().Milliseconds()),
		Method:     fiber.MethodPost, Target: strings.Clone(c.Path()), Body: body,
		Headers: []*peerpb.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	hold := !req.Stream || s.Delivery == spec.DeliveryWhole
	return relay.Call{ID: callid.NewCall(), Service: s, Workspace: w, Offer: offer, Buffered: hold}, nil
}

// stream relays a streamed answer. The status is sent only with the first
// frame, so that a call which ends before it gets an honest status.
func (f *Front) stream(ctx context.Context, c *fiber.Ctx, stop context.CancelFunc, s *relay.Session, call relay.Call) error {
	first := s.Next(ctx)
	end, over := first.(relay.End)
	if over && end.Outcome != callst.OutcomeComplete {
		defer stop()
		return f.respond(c, s, nil, end)
	}
	if !isStream(s.Head()) || call.Service.Delivery == spec.DeliveryWhole {
		defer stop()
		return f.respondBuffered(ctx, c, s, call, first)
	}
	f.sendStream(ctx, c, stop, s, first, call.Workspace)
	return nil
}

// sendStream relays events from the first on, after the handler has returned.
func (f *Front) sendStream(ctx context.Context, c *fiber.Ctx, stop context.CancelFunc, s *relay.Session, first relay.Event, w spec.Workspace) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(callHeader, s.Attempt().String())
	c.Status(int(s.Head().GetStatus()))
	c.Locals(streamingKey, true)
	out := &eventWriter{conn: c.Context().Conn(), writeTimeout: f.writeTimeout}
	c.Context().SetBodyStreamWriter(func(body *bufio.Writer) {
		defer f.inFlight.Add(-1)
		defer stop()
		defer s.Close()
		out.w = body
		f.quota.Charge(w, out.run(ctx, s, first))
	})
}

func isStream(h *peerpb.Head) bool {
	for _, header := range h.GetHeaders() {
		if strings.EqualFold(header.Name, fiber.HeaderContentType) {
			return strings.HasPrefix(header.Value, "text/event-stream")
		}
	}
	return false
}

// respondBuffered keeps the answer until it is complete: whole delivery, or a body that is
// not a stream, such as an error of the engine.
func (f *Front) respondBuffered(ctx context.Context, c *fiber.Ctx, s *relay.Session, call relay.Call, first relay.Event) error {
	var out bytes.Buffer
	streamed := isStream(s.Head())
	held := &eventWriter{w: bufio.NewWriter(&out)}
	for ev := first; ; ev = s.Next(ctx) {
		switch ev := ev.(type) {
		case relay.Frame:
			if streamed {
				held.writeFrame(ev)
			} else {
				out.Write(ev.Data)
			}
		case relay.Restart:
			out.Reset()
			held = &eventWriter{w: bufio.NewWriter(&out)}
		case relay.End:
			f.quota.Charge(call.Workspace, int(held.nextIndex))
			if streamed && ev.Outcome == callst.OutcomeComplete {
				held.writeDone()
			}
			_ = held.w.Flush() // into memory
			return f.respond(c, s, out.Bytes(), ev)
		}
	}
}

func completionTokens(body []byte) int {
	var answer struct {
		Usage struct {
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return 0
	}
	return answer.Usage.Completion
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

func (f *Front) models(c *fiber.Ctx, w spec.Workspace) error {
	list := modelList{Object: "list", Data: []modelRow{}}
	for _, s := range f.relay.Store.View().Services() {
		if w.Allows(s.Name) {
			list.Data = append(list.Data, lo.Map(s.Models, func(m string, _ int) modelRow {
				return modelRow{ID: m, Object: "model", OwnedBy: s.Name}
			})...)
		}
	}
	slices.SortFunc(list.Data, func(a, b modelRow) int { return cmp.Compare(a.ID, b.ID) })
	return c.JSON(list)
}
