// Package serve runs a call on the gateway until it ends with a response or is
// refused. It picks an endpoint, sends the call, classifies the response, retries
// where that is safe, and moves running generations off endpoints that are leaving
// (get no new work). Network access is behind the Upstream and Sink interfaces.
package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/routes"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/begun"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/router/retry"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// Upstream is the client for endpoints.
type Upstream interface {
	// Send returns a *httpc.Error of KindUnsent if no part of the request was sent.
	// After any other error the call may have run.
	Send(ctx context.Context, to endpt.Endpoint, s SendRequest) (*Response, error)
	// Move copies the KV cache of a running generation to another engine and
	// returns the handle of the copy. A final move stops the run before it copies.
	// The error is ErrNotRunning if the engine does not run the call, and ErrMoveRefused if it
	// responded that it does not move it, and has not stopped it; ErrNoRoom is one of the latter,
	// with the handle of what the engine keeps if a final move has stopped the run all the same.
	// After any other error, except a *httpc.Error of KindUnsent, a final move may have stopped it.
	Move(ctx context.Context, from endpt.Endpoint, callID string, to endpt.Endpoint, final bool) (handle string, err error)
	// Closed reports whether nothing serves connections at the endpoint's address.
	Closed(ctx context.Context, at endpt.Endpoint) bool
	// Free deletes the copy of a KV cache that an engine holds under a handle.
	Free(ctx context.Context, at endpt.Endpoint, handle string) error
}

// Errors returned by Upstream.Move.
var (
	ErrNotRunning  = errors.New("the engine is not running this call")
	ErrMoveRefused = errors.New("the engine refused to move the call")
	ErrNoRoom      = fmt.Errorf("%w: no room at the target", ErrMoveRefused)
)

// Sink writes the response to the caller.
type Sink interface {
	// Begin takes the status and the headers, before the first Write.
	Begin(resp *Response)
	// Write sends a part of the body without delay.
	Write(b []byte) error
}

// SendRequest is one request to an endpoint on behalf of a call.
type SendRequest struct {
	Call          *desc.Call
	Body          []byte
	CallerRequest any           // the caller's request as the Upstream needs it, opaque here
	TimeLeft      time.Duration // time until the deadline; the endpoint stops work then
	LastEventID   string        // ID of the event to resume after, empty to start from the first
	KVCache       *KVCacheRef   // KV cache to continue from, nil to start with the prompt
}

// KVCacheRef identifies the copy of a generation's KV cache at the engine that
// received it.
type KVCacheRef struct {
	Address string // IP:port of the engine that the cache was copied from
	Handle  string // returned by Upstream.Move
}

// Response is an endpoint's response. Its body must be closed.
type Response struct {
	Status      int
	Header      http.Header
	NotExecuted bool // the endpoint guarantees that the call did not run and will not run
	Misdirected bool // a different endpoint answered: the addressed one no longer has this address
	Verified    bool // the response passed the check that it comes from the endpoint itself, unmodified
	Unframed    bool // the body has neither a length nor chunks: one that was cut may look complete
	Body        Body
}

// Body is the body of a response. Read returns io.EOF only if the body arrived
// completely.
type Body interface {
	io.Reader
	// Close returns the connection to the pool if the body was read to its end.
	Close(complete bool)
	// Hangup closes the connection unless Close was called, and returns that end: nil if the
	// body was read to its end or the endpoint has closed its side. It may be called beside Read.
	Hangup() *httpc.Hangup
}

// Result describes how a call ended.
type Result struct {
	Outcome    callst.Outcome
	Reason     Reason
	RetryAfter time.Duration // for the Retry-After header of calls that did not run, 0 to omit it
	FirstEvent time.Duration // of a stream: time from the call's arrival to its first event
	LongestGap time.Duration // of a stream: longest time between two events
	Ran        time.Duration // from the send to the end of a complete answer, 0 if unknown
	Endpoints  []string      // IDs of the endpoints that were tried, in order
}

// Reason is why a call got no complete response from an endpoint.
type Reason uint8

// Reasons in a Result.
const (
	ReasonNone           Reason = iota
	ReasonNoEndpoint            // no endpoint may receive the call
	ReasonBusy                  // no endpoint had free capacity in time
	ReasonRefused               // the call was not sent, or the endpoint guaranteed that it did not run
	ReasonLost                  // the endpoint or the connection to it failed
	ReasonTimeout               // the deadline passed
	ReasonCallerGone            // the caller disconnected
	ReasonStopping              // the process stops
	ReasonPromptBlocked         // engines crash under a part of the prompt
	ReasonLimited               // all endpoints name limits that are used up
	ReasonCallBlocked           // endpoints crash under this very call
	ReasonUnknownVersion        // nobody knows which version of the software began the stream that the caller takes up
)

// ErrStopping is the cause of a context that ends because the process stops.
var ErrStopping = errors.New("the process stops")

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "no_endpoint", "busy", "refused", "lost", "timeout", "caller_gone", "stopping", "prompt_blocked", "limited", "call_blocked", "unknown_version"}[r]
}

// isBlock reports whether the call must not be sent to any endpoint, as they crash under it.
func (r Reason) isBlock() bool { return r == ReasonPromptBlocked || r == ReasonCallBlocked }

// Deps are the dependencies of a Server.
type Deps struct {
	Scheduler *sched.Scheduler
	Retries   *retry.Budget
	Blame     *blame.Ledger
	Begun     *begun.Ledger
	Origins   Origins
	Upstream  Upstream
	Bodies    *memlim.Budget // memory for endpoints' responses that are read as a whole
	Metrics   *metric.Set
	Log       *zap.Logger
}

// Server serves calls. It is safe for concurrent use.
type Server struct {
	Deps
	moveLocks *moveLocks
	stops     *semaphore.Weighted // runs that are being stopped
	durations *durationStats
	outputs   *outputStats
	runs      *runTimes
	reading   *readStats
	pauses    *pauseStats
	checks    singleflight.Group // of endpoints that broke off a call, by ID
	stopping  atomic.Bool
}

// Stop makes the server send no more calls. Those that wait for an endpoint are refused
// when one has room for them.
func (s *Server) Stop() { s.stopping.Store(true) }

// New returns a server.
func New(d Deps) *Server {
	return &Server{Deps: d, moveLocks: newMoveLocks(), stops: semaphore.NewWeighted(maxStops), durations: newDurationStats(), outputs: newOutputStats(), runs: newRunTimes(), reading: newReadStats(), pauses: newPauseStats()}
}

// Input is a call with everything needed to serve it.
type Input struct {
	Call          *desc.Call
	Body          []byte
	CallerRequest any
	Service       routes.Service
	Software      string // version that began the stream and must go on with it, any if empty
	Sink          Sink
	pauses        sched.Pauses // set by Serve
}

// Serve runs a call until it is answered, refused or cancelled.
func (s *Server) Serve(ctx context.Context, in Input) Result {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, in.Call.Deadline)
	defer cancel()
	s.Retries.RecordFirst(start, in.Call.Service)
	in.pauses = s.pauses.of(in.Call)
	var result Result
	switch {
	case doneReason(ctx) != ReasonNone:
		result = Result{Outcome: callst.OutcomeNotRun, Reason: doneReason(ctx)}
	case in.Call.Kind.Streams():
		result = s.serveStream(ctx, in)
	default:
		result = s.serveUnary(ctx, in)
	}
	s.Metrics.Outcomes.WithLabelValues(string(result.Outcome)).Inc()
	took := time.Since(start)
	s.Metrics.CallDuration.WithLabelValues(in.Call.Service).Observe(took.Seconds())
	if result.Outcome == callst.OutcomeComplete {
		s.durations.record(in.Call.Route, took)
	}
	if result.Ran > 0 {
		s.runs.record(in.Call, result.Ran)
	}
	return result
}

// ExpectedToEndWithin reports whether the call is expected to end within the limit,
// judging by the mean duration of earlier calls on its route. For a call of KindStream,
// whose length is unpredictable, it is false before a call of its route has completed.
// Single calls may take many times the mean.
func (s *Server) ExpectedToEndWithin(call *desc.Call, limit time.Duration) bool {
	mean, _, known := s.durations.estimate(call.Route)
	return mean <= limit && (known || call.Kind != desc.KindStream)
}

// LikelyToEndWithin is ExpectedToEndWithin by a high estimate, which about 1 in 100 calls
// exceeds. It is false for a call of KindStream and before a call of its route has
// completed.
func (s *Server) LikelyToEndWithin(call *desc.Call, limit time.Duration) bool {
	_, high, known := s.durations.estimate(call.Route)
	return known && high <= limit && call.Kind != desc.KindStream
}

// doneReason returns why the context is done, or ReasonNone if it is not.
func doneReason(ctx context.Context) Reason {
	switch ctx.Err() {
	case nil:
		return ReasonNone
	case context.DeadlineExceeded:
		return ReasonTimeout
	}
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return ReasonStopping
	}
	return ReasonCallerGone
}

// retryAfter returns how long a refused caller should wait before a retry. If all
// endpoints name limits, or have been full for a while, that is when there may be room. It is
// spread, so that callers do not come back at the same moment.
func (s *Server) retryAfter(call *desc.Call, reason Reason) time.Duration {
	return s.retryAfterSpread(call, reason, rand.N[time.Duration])
}

// retryAfterSpread is retryAfter with a function that draws the spread, below a limit.
func (s *Server) retryAfterSpread(call *desc.Call, reason Reason, draw func(limit time.Duration) time.Duration) time.Duration {
	if wait, limited := s.Scheduler.LimitedWait(time.Now(), sched.Request{Service: call.Service, Regions: call.Regions}); limited && !reason.isBlock() {
		return max(refusedRetryAfter, wait+draw(wait/2+limitedRetrySpread))
	}
	switch {
	case reason.isBlock():
		return blockedRetryAfter
	case reason == ReasonBusy:
		return s.busyRetryAfter(call, draw)
	case reason == ReasonNoEndpoint, reason == ReasonUnknownVersion:
		return noEndpointRetryAfter
	}
	return refusedRetryAfter
}

// busyRetryAfter returns when the call is expected to find room if it comes again.
func (s *Server) busyRetryAfter(call *desc.Call, draw func(limit time.Duration) time.Duration) time.Duration {
	now, again := time.Now(), *call
	again.Arrived, again.Deadline = now, now.Add(call.Deadline.Sub(call.Arrived))
	req := s.placementRequest(Input{Call: &again}, nil)
	wait := time.Duration(s.Scheduler.Waiting(call.Service)) * busyRetryPerWaiting
	if f := s.Scheduler.Forecast(now, req, s.waitOptions(&again)); f.Known {
		wait = min(f.Expected, maxBusyRetryAfter)
	}
	wait = max(busyRetryAfter, wait)
	return wait + draw(wait/2)
}

const (
	refusedRetryAfter    = 50 * time.Millisecond // another endpoint may have free capacity already
	noEndpointRetryAfter = time.Second           // a new endpoint is in the registry within one heartbeat
	// blockedRetryAfter is long: a call is blocked until endpoints no longer crash under it.
	blockedRetryAfter = time.Minute
	// limitedRetrySpread spreads out the callers that are told to come back when there is
	// room within a limit.
	limitedRetrySpread  = 500 * time.Millisecond
	busyRetryAfter      = 500 * time.Millisecond
	busyRetryPerWaiting = 20 * time.Millisecond // about the interval at which 12 endpoints start calls
	maxBusyRetryAfter   = 10 * time.Second      // the speed of a queue is known for that long
)
