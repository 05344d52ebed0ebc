package serve

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// maxExplained bounds the endpoints of an explanation, about 80 KB as JSON. Those that may get
// the call come first.
const maxExplained = 200

// Explanation tells where a call would be placed now, and why.
type Explanation struct {
	Service         string            `json:"service"`
	MemoryTokens    int               `json:"memory_tokens"` // that the call is expected to hold
	MaxUnreadTokens int               `json:"max_unread_tokens,omitempty"`
	Short           bool              `json:"short,omitempty"`
	MustQueue       bool              `json:"must_queue"` // calls that are not less urgent wait here or at a peer
	Result          Placement         `json:"result"`
	Endpoints       []sched.Explained `json:"endpoints"`
	OfEndpoints     int               `json:"of_endpoints"` // of the service, also those beyond maxExplained
	Sources         sched.Sources     `json:"sources"`
}

// Placement is what would become of the call.
type Placement struct {
	Kind         string `json:"kind"` // endpoint, queued or refused
	Endpoint     string `json:"endpoint,omitempty"`
	Position     int    `json:"position"`           // in the queue, 0 for the first
	ExpectedWait int64  `json:"expected_wait_ms"`   // -1 if the speed of the queue is unknown
	WaitsAtMost  int64  `json:"waits_at_most_ms"`   // then the call is refused
	Reason       string `json:"reason,omitempty"`   // of a refusal
	RetryAfter   int64  `json:"retry_after_ms"`     // of a refusal, without the random part
	ForKept      bool   `json:"for_kept,omitempty"` // there would be room if none were kept for other calls
}

// The kinds of Placement.
const (
	KindEndpoint = "endpoint"
	KindQueued   = "queued"
	KindRefused  = "refused"
)

// Explain tells what would become of a call that came now. It decides about the call on a copy
// of the state, and changes, counts and logs nothing.
func (s *Server) Explain(in Input) Explanation {
	twin := &Server{Deps: s.Deps, runs: s.runs, reading: s.reading.clone(), pauses: s.pauses}
	twin.Scheduler, twin.Metrics, twin.Log = s.Scheduler.Snapshot(), metric.New(), zap.NewNop()
	twin.stopping.Store(s.stopping.Load())
	in.pauses = twin.pauses.of(in.Call)
	now, options := time.Now(), twin.waitOptions(in.Call)
	req := twin.placementRequest(in, nil)
	twin.Scheduler.NoteCall(now, req)
	x := Explanation{Service: req.Service, MemoryTokens: req.MemoryTokens, MaxUnreadTokens: req.MaxUnreadTokens, Short: req.Short}
	x.MustQueue = twin.Scheduler.MustQueue(now, req.Service, options)
	queued := &options
	if !x.MustQueue {
		queued = nil
	}
	x.Endpoints, x.Sources = twin.Scheduler.Explain(now, req, queued)
	x.OfEndpoints = len(x.Endpoints)
	x.Endpoints = x.Endpoints[:min(maxExplained, len(x.Endpoints))]
	x.Result = twin.foresee(now, in, req, options)
	return x
}

// foresee decides about the call like place.
func (s *Server) foresee(now time.Time, in Input, req sched.Request, options sched.WaitOptions) Placement {
	if reason := s.sendBarrier(in.Call); reason != ReasonNone {
		return s.refusal(in, reason)
	}
	switch d := decide(s.Scheduler, now, req, options).(type) {
	case placed:
		return Placement{Kind: KindEndpoint, Endpoint: d.lease.Endpoint.ID}
	case refused:
		return s.refusal(in, d.reason)
	case queues:
		lease, t := s.Scheduler.Queue(now, req, d.options)
		if lease != nil {
			return Placement{Kind: KindEndpoint, Endpoint: lease.Endpoint.ID}
		}
		if !t.Queued {
			reason, _ := unplaced(s.Scheduler, now, req)
			return s.refusal(in, reason)
		}
		p := Placement{Kind: KindQueued, Position: t.Position, ExpectedWait: -1, WaitsAtMost: d.options.Deadline.Sub(now).Milliseconds(), ForKept: t.ForKept}
		if t.Forecast.Known {
			p.ExpectedWait = t.Forecast.Expected.Milliseconds()
		}
		return p
	}
	return Placement{}
}

func (s *Server) refusal(in Input, reason Reason) Placement {
	after := s.retryAfterSpread(in.Call, reason, func(time.Duration) time.Duration { return 0 })
	return Placement{Kind: KindRefused, Reason: reason.String(), RetryAfter: after.Milliseconds()}
}
