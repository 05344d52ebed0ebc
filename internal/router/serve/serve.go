// Package serve carries one call to an answer or an honest refusal: it places
// the call, sends it, judges what came back, repeats what may be repeated, and
// moves running generations away from endpoints that leave. Sockets are behind
// Upstream and Sink.
package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/claim"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/conf/table"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/meter"
	"github.com/mimosalock/mimosalock/internal/router/book"
	"github.com/mimosalock/mimosalock/internal/router/spend"
)

// Upstream speaks to endpoints. Its errors are of pipe.Error where the kind
// matters: an error of another type counts as "may have run".
type Upstream interface {
	Send(ctx context.Context, to endpt.Endpoint, s Shipment) (*Answer, error)
	// Move copies a running generation's memory to another engine. A final move
	// stops the run first and returns the memory's handle. The error is
	// ErrNotRunning if the run has ended by itself, and ErrMoveRefused if the engine
	// answered that it cannot move it.
	Move(ctx context.Context, from endpt.Endpoint, callID string, to endpt.Endpoint, final bool) (handle string, err error)
	// Free gives up the copy that an engine holds under a handle.
	Free(ctx context.Context, at endpt.Endpoint, handle string) error
}

// Errors of Move.
var (
	ErrNotRunning  = errors.New("the engine runs no such call")
	ErrMoveRefused = errors.New("the engine refuses the move")
)

// Sink takes the answer for the caller.
type Sink interface {
	Begin(a *Answer)
	// Write passes bytes of the body on without delay.
	Write(b []byte) error
}

// Shipment is one send of a call.
type Shipment struct {
	Call   *desc.Call
	Body   []byte
	Origin any           // what the adapter keeps of the caller's request
	Left   time.Duration // the endpoint stops work after this
	After  string        // resume after this event, empty for the beginning
	Memory *Memory       // go on from a generation's memory, nil to read the prompt
}

// Memory is where a generation's memory lies.
type Memory struct {
	Address string // IP:port of the engine that holds it
	Handle  string
}

// Answer is what an endpoint answered. Its body must be closed.
type Answer struct {
	Status   int
	Header   http.Header
	NeverRan bool // the endpoint promises that the call did not run and never will
	Gone     bool // another endpoint answered: the one that was meant has left its address
	Proven   bool // it carries the endpoint's proof and is framed as its own
	Body     Body
}

// Body is an answer's body. Read returns io.EOF only at its complete end.
type Body interface {
	io.Reader
	// Close gives the connection back if the body was read whole.
	Close(whole bool)
}

// Result is how a call ended.
type Result struct {
	Outcome    claim.Outcome
	Reason     Reason
	RetryAfter time.Duration // for calls that did not run, 0 for none
	FirstEvent time.Duration // of a stream, since the call arrived
	LongestGap time.Duration // between two events of a stream
	Endpoints  []string      // that the call was sent to, in order
}

// Reason tells why a call was not answered by an endpoint.
type Reason uint8

// The reasons.
const (
	ReasonNone       Reason = iota
	ReasonNoEndpoint        // none that may get the call
	ReasonBusy              // none had room in time
	ReasonRefused           // the endpoint promised that it did not run
	ReasonLost              // the endpoint or the way to it failed
	ReasonTimeout           // the deadline passed
	ReasonCallerGone
)

// String returns the name used in logs.
func (r Reason) String() string {
	return [...]string{"none", "no_endpoint", "busy", "refused", "lost", "timeout", "caller_gone"}[r]
}

// Deps are what a Server is built from.
type Deps struct {
	Book     *book.Book
	Spend    *spend.Budget
	Upstream Upstream
	Meter    *meter.Meter
	Log      *zap.Logger
}

// Server is safe for concurrent use.
type Server struct {
	Deps
	lanes *lanes
	usual *durations
}

// New returns a server.
func New(d Deps) *Server { return &Server{Deps: d, lanes: newLanes(), usual: newDurations()} }

// Input is one call with all that is needed to send it.
type Input struct {
	Call    *desc.Call
	Body    []byte
	Origin  any
	Service table.Service
	Sink    Sink
}

// Serve carries one call to its end.
func (s *Server) Serve(ctx context.Context, in Input) Result {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, in.Call.Deadline)
	defer cancel()
	s.Spend.First(began, in.Call.Service)
	var result Result
	if in.Call.Kind.Streams() {
		result = s.stream(ctx, in)
	} else {
		result = s.whole(ctx, in)
	}
	s.Meter.Outcomes.WithLabelValues(string(result.Outcome)).Inc()
	took := time.Since(began)
	s.Meter.CallTime.WithLabelValues(in.Call.Service).Observe(took.Seconds())
	if result.Outcome == claim.OutcomeComplete {
		s.usual.note(in.Call.Route, took)
	}
	return result
}

// FitsIn reports whether a call of the route usually ends within a time, or
// surely does. Nothing is known of a route that has not answered yet: its
// generations do not fit. The length of a generation is never sure.
func (s *Server) FitsIn(call *desc.Call, limit time.Duration, sure bool) bool {
	usual, longest, known := s.usual.of(call.Route)
	switch {
	case call.Kind == desc.KindStream:
		return known && !sure && usual <= limit
	case sure:
		return longest <= limit
	}
	return usual <= limit
}

// ended returns the reason if the context is over.
func ended(ctx context.Context) Reason {
	switch ctx.Err() {
	case nil:
		return ReasonNone
	case context.DeadlineExceeded:
		return ReasonTimeout
	}
	return ReasonCallerGone
}

// retryAfter spreads the return of refused callers: the busier, the later.
func (s *Server) retryAfter(call *desc.Call, reason Reason) time.Duration {
	switch reason {
	case ReasonBusy:
		return busyRetry + time.Duration(s.Book.Waiting(call.Service))*busyRetryEach
	case ReasonNoEndpoint:
		return absentRetry
	}
	return refusedRetry
}

const (
	refusedRetry  = 50 * time.Millisecond // another endpoint may have room at once
	absentRetry   = time.Second           // the registry lists new endpoints within a heartbeat
	busyRetry     = 500 * time.Millisecond
	busyRetryEach = 20 * time.Millisecond // about the pace at which a fleet of a dozen starts calls
)
