package server

import (
	"errors"
	"net/url"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/explain"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// explainInterval is the least time between two answers, 2 a second: each sends up to 12 probes.
const explainInterval = 500 * time.Millisecond

// noPromptNote tells what an answer for a model call leaves open: a query has no prompt.
const noPromptNote = "the owner is that of an empty prompt: a call's own prompt prefix selects another agent of the tier as its owner"

// Explainer answers operators where calls would be placed now.
type Explainer struct {
	srv     *Server
	host    string // of this entry
	limiter *rate.Limiter
}

// NewExplainer returns the Explainer of the entry on a host.
func (srv *Server) NewExplainer(host string) *Explainer {
	return &Explainer{srv, host, rate.NewLimiter(rate.Every(explainInterval), 1)}
}

// Handle answers one question.
func (x *Explainer) Handle(c *fiber.Ctx) error {
	if !x.limiter.Allow() {
		c.Set(fiber.HeaderRetryAfter, "1")
		return x.refuse(c, "limited", fiber.StatusTooManyRequests, "at most 2 questions a second are answered")
	}
	values, err := url.ParseQuery(string(c.Context().QueryArgs().QueryString()))
	if err != nil {
		return x.refuse(c, "invalid", fiber.StatusBadRequest, err.Error())
	}
	q, err := explain.Parse(values)
	if err != nil {
		return x.refuse(c, "invalid", fiber.StatusBadRequest, err.Error())
	}
	began := time.Now()
	a, err := x.answer(q)
	if err != nil {
		status := fiber.StatusInternalServerError
		if e := (*Error)(nil); errors.As(err, &e) {
			status = e.Status
		}
		return x.refuse(c, "invalid", status, err.Error())
	}
	r := a.Result
	x.srv.relay.Metrics.Explanations.WithLabelValues(r.Kind).Inc()
	x.srv.log.Info("explained", zap.String("service", a.Service), zap.String("model", a.Model), zap.String("workspace", a.Workspace),
		zap.Uint64("version", a.ConfigVersion), zap.String("result", r.Kind), zap.String("agent", r.Agent), zap.String("why", r.Reason),
		zap.Int("agents", a.OfAgents), zap.Int("probed", a.ProbedCount()), zap.Strings("unanswered", a.Unanswered),
		zap.Int64("config_age_ms", a.ConfigAgeMs), zap.Int64("host_list_age_ms", a.HostListAgeMs), zap.Duration("took", time.Since(began)))
	return c.JSON(a)
}

func (x *Explainer) refuse(c *fiber.Ctx, result string, status int, message string) error {
	x.srv.relay.Metrics.Explanations.WithLabelValues(result).Inc()
	return c.Status(status).SendString(message + "\n")
}

// answer describes the call as the handlers of calls do, and explains it.
func (x *Explainer) answer(q explain.Query) (a explain.Answer, err error) {
	d := x.srv.relay
	v := d.Store.View()
	if v == nil {
		return a, notRunError(fiber.StatusServiceUnavailable, "no configuration yet", time.Second)
	}
	w, ok := v.WorkspaceNamed(q.Workspace)
	if !ok {
		return a, requestError(fiber.StatusNotFound, "workspace_not_found", "no workspace has this name")
	}
	service, offer, err := x.offer(q, w)
	if err != nil {
		return a, err
	}
	a = explain.Answer{
		Entry: x.host, DataCentre: d.DataCentre, Service: service.Name, Model: offer.Model, Workspace: w.Name, Class: offer.Class, Priority: offer.Priority,
		MaxQueueMs: offer.QueueMs, Entries: d.Roster.EntryCount(), ConfigVersion: v.Version(), ConfigAgeMs: ageMs(d.Store.Age()), HostListAgeMs: ageMs(d.Roster.Age()),
		Explanation: relay.Explain(x.srv.ctx, d, relay.Call{Service: service, Workspace: w, Offer: offer}),
	}
	a.Quota = x.srv.quota.Check(w, a.Entries)
	a.Result = a.Placement
	refusal := refusalOf(w, service.Name, func() (bool, time.Duration) { return a.Quota.Admits, a.Quota.Wait })
	if x.srv.draining.Load() {
		refusal = drainError()
	}
	if refusal != nil {
		a.Result = relay.Result{Kind: relay.KindRefused, Status: refusal.Status, Reason: refusal.Message, RetryAfterMs: refusal.RetryAfter.Milliseconds()}
	}
	if offer.Model != "" {
		a.Notes = append(a.Notes, noPromptNote)
	}
	return a, nil
}

// offer returns the service of a query and what decides about a call to it.
func (x *Explainer) offer(q explain.Query, w spec.Workspace) (s spec.Service, o *peerpb.Offer, err error) {
	v := x.srv.relay.Store.View()
	if q.Service == "" {
		if s, err = serviceOfModel(v, q.Model); err != nil {
			return s, nil, err
		}
		return s, modelOffer(s, w, q.Model, q.Prompt, q.Output), nil
	}
	s, ok := v.Service(q.Service)
	switch {
	case !ok:
		return s, nil, requestError(fiber.StatusNotFound, "service_not_found", "no service has this name")
	case s.Kind == spec.KindPlain:
		return s, plainOffer(s, w), nil
	case q.Model == "" && len(s.Models) == 1:
		q.Model = s.Models[0]
	}
	if of, ok := v.ServiceOfModel(q.Model); !ok || of.Name != s.Name {
		return s, nil, requestError(fiber.StatusBadRequest, "model_not_found", "name one of the service's models")
	}
	return s, modelOffer(s, w, q.Model, q.Prompt, q.Output), nil
}

// ageMs returns an age in milliseconds, or -1 if it is unknown.
func ageMs(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return age.Milliseconds()
}
