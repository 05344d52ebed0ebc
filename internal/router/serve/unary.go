package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// hedgeShare is the fraction of the first-response target after which an idempotent
	// call without a response is also sent to a second endpoint.
	hedgeShare    = 0.5
	maxUnaryBytes = 8 << 20               // largest response body that is buffered
	minRetryTime  = 20 * time.Millisecond // no retry is made with less time left than this
)

// attempt is the outcome of one send of a call.
type attempt struct {
	lease    *sched.Lease
	verdict  verdict
	response *Response
	body     []byte
	err      error
	took     time.Duration // of an exchange, until the end of the response
	hangup   *httpc.Hangup // of its connection, nil for none or if err or response hold it
	left     *ending       // of what the endpoint may still work on, nil for none
	crashed  bool          // it was broken off, and the endpoint serves nobody since
}

// verdict classifies the outcome of an attempt.
type verdict uint8

const (
	verdictGood   verdict = iota // a valid response
	verdictFailed                // a complete response with a 5xx status
	verdictNotRun                // the call did not run and will not run
	verdictLost                  // no valid response; the call may have run
	verdictWhole                 // a valid response to a streaming call that is no event stream
	verdictUnfit                 // a valid response that cannot continue the stream
)

func (v verdict) String() string {
	return [...]string{"good", "failed", "never", "lost", "whole", "unfit"}[v]
}

// unaryCall is the state of a call whose response is buffered and passed on when it
// is complete.
type unaryCall struct {
	s        *Server
	in       Input
	state    callst.Call
	tried    []string
	sends    int // attempts that may have reached an endpoint
	crashes  int // of endpoints, under the call
	inFlight int // attempts without a result yet
	results  chan attempt
	failed   *attempt // the first 5xx response, passed on if no attempt succeeds
	reason   Reason
}

// serveUnary serves a call with a single, non-streaming response. Idempotent calls
// are retried after failures and hedged when the first response is slow.
func (s *Server) serveUnary(ctx context.Context, in Input) (result Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &unaryCall{s: s, in: in, state: callst.New(in.Call.Kind.Repeatable()), results: make(chan attempt, maxEndpointsTried(in.Call))}
	defer func() { result.Endpoints = u.tried }()
	blocks := s.Blame.Changed()
	if reason := u.send(ctx); reason != ReasonNone {
		return u.notRunResult(reason)
	}
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(in.Call.FirstResponseTarget)))
	defer hedge.Stop()
	for u.inFlight > 0 {
		select {
		case <-blocks:
			blocks = s.Blame.Changed()
			if reason := s.blocked(in.Call); reason != ReasonNone {
				return Result{Outcome: callst.OutcomeUnknown, Reason: reason}
			}
		case <-ctx.Done():
			return u.endedResult(doneReason(ctx))
		case <-hedge.C:
			if in.Call.Kind.Repeatable() && u.mayRetry(ctx) {
				u.retry(ctx, "slow", false)
			}
		case a := <-u.results:
			if result, done := u.handleAttempt(ctx, a); done {
				return result
			}
		}
	}
	return u.finalResult()
}

// maxEndpointsTried bounds the endpoints that a call is sent to, including those that
// it does not reach. Call.MaxAttempts bounds only those that it may have reached.
func maxEndpointsTried(call *desc.Call) int { return max(1, call.MaxAttempts) + extraEndpointsTried }

// extraEndpointsTried is how many more endpoints may be tried when some could not be
// reached or their address now belongs to another endpoint. The call did not reach
// those, so they do not count as attempts.
const extraEndpointsTried = 3

// send reserves an endpoint and starts an attempt there. It does not wait for free
// capacity while another attempt is in flight, as that would delay the handling of
// its response.
func (u *unaryCall) send(ctx context.Context) Reason {
	var lease *sched.Lease
	var reason Reason
	if u.inFlight == 0 {
		lease, reason = u.s.place(ctx, u.in, u.tried)
	} else {
		lease, reason = u.s.tryPlace(u.in, u.tried)
	}
	if reason != ReasonNone {
		return reason
	}
	u.tried = append(u.tried, lease.Endpoint.ID)
	u.inFlight++
	u.sends++
	go func() { u.results <- u.s.exchange(ctx, lease, u.in) }()
	return ReasonNone
}

// handleAttempt handles the outcome of an attempt and starts a retry where one is
// allowed. done reports whether the call was answered.
func (u *unaryCall) handleAttempt(ctx context.Context, a attempt) (result Result, done bool) {
	u.inFlight--
	u.s.logAttempt(u.in.Call, a, len(u.tried))
	if a.crashed {
		u.crashes++
	}
	if a.verdict == verdictGood {
		return u.deliver(a), true
	}
	if a.mayHaveRun() {
		u.state = u.state.WithOffer().WithLost()
	}
	switch a.verdict {
	case verdictFailed:
		if u.failed == nil {
			u.failed = &a
		}
	case verdictLost:
		u.reason = ReasonLost
	case verdictNotRun:
		u.reason = ReasonRefused
		if a.notReached() {
			u.sends--
		}
	}
	repeatable := u.in.Call.Kind.Repeatable() || a.verdict == verdictNotRun && u.inFlight == 0
	if repeatable && u.state.MayOffer() && u.mayRetry(ctx) {
		u.retry(ctx, a.verdict.String(), a.notReached())
	}
	return Result{}, false
}

// mayRetry reports whether the limits on attempts and time allow another attempt.
func (u *unaryCall) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && u.crashes < maxCrashesPerCall && u.sends < max(1, u.in.Call.MaxAttempts) && len(u.tried) < maxEndpointsTried(u.in.Call) &&
		u.in.Call.Remaining(time.Now()) > minRetryTime
}

// retry starts an attempt at another endpoint. It takes a retry from the budget
// unless free, which is for replacing an attempt that did not reach its endpoint.
func (u *unaryCall) retry(ctx context.Context, trigger string, free bool) {
	if !free && !u.s.Retries.TryRetry(time.Now(), u.in.Call.Service) {
		u.s.Log.Info("repeat_denied", zap.String("id", u.in.Call.ID), zap.String("service", u.in.Call.Service), zap.String("why", "retry budget used up"))
		return
	}
	u.s.Metrics.Retries.WithLabelValues(trigger).Inc()
	if reason := u.send(ctx); reason != ReasonNone {
		u.s.Log.Info("repeat_denied", zap.String("id", u.in.Call.ID), zap.String("service", u.in.Call.Service), zap.Stringer("why", reason))
	}
}

// finalResult returns the result of a call without a valid response.
func (u *unaryCall) finalResult() Result {
	switch {
	case u.failed != nil:
		return u.deliver(*u.failed)
	case u.state.Outcome() == callst.OutcomeNotRun:
		return u.notRunResult(ReasonRefused)
	}
	return Result{Outcome: callst.OutcomeUnknown, Reason: u.reason}
}

// endedResult returns the result of a call whose context has ended. If the process stops,
// the attempts end at once, and tell whether the call was sent.
func (u *unaryCall) endedResult(reason Reason) Result {
	if reason != ReasonStopping {
		return Result{Outcome: callst.OutcomeUnknown, Reason: reason}
	}
	for ; u.inFlight > 0; u.inFlight-- {
		a := <-u.results
		u.s.logAttempt(u.in.Call, a, len(u.tried))
		switch a.verdict {
		case verdictGood:
			return u.deliver(a)
		case verdictNotRun:
		default:
			u.state = u.state.WithOffer().WithLost()
		}
	}
	if u.state.Outcome() == callst.OutcomeNotRun {
		return u.notRunResult(reason)
	}
	return Result{Outcome: callst.OutcomeUnknown, Reason: reason}
}

func (u *unaryCall) notRunResult(reason Reason) Result {
	if reason == ReasonTimeout || reason == ReasonCallerGone {
		return Result{Outcome: callst.OutcomeNotRun, Reason: reason}
	}
	return Result{Outcome: callst.OutcomeNotRun, Reason: reason, RetryAfter: u.s.retryAfter(u.in.Call, reason)}
}

func (u *unaryCall) deliver(a attempt) Result {
	u.in.Sink.Begin(a.response)
	if err := u.in.Sink.Write(a.body); err != nil {
		return Result{Outcome: callst.OutcomeInterrupted, Reason: ReasonCallerGone}
	}
	result := Result{Outcome: callst.OutcomeComplete}
	if a.verdict == verdictGood && a.response.Status < http.StatusMultipleChoices {
		result.Ran = a.took
	}
	return result
}

// exchange sends a call to the lease's endpoint and reads the complete response.
func (s *Server) exchange(ctx context.Context, lease *sched.Lease, in Input) attempt {
	a, began := attempt{lease: lease}, time.Now()
	a.response, a.err = s.Upstream.Send(ctx, lease.Endpoint, SendRequest{
		Call: in.Call, Body: in.Body, CallerRequest: in.CallerRequest, TimeLeft: in.Call.Remaining(time.Now()),
	})
	if a.err == nil {
		a.body, a.err = s.readBody(a.response.Body)
	}
	if a.err == nil && a.response.Unframed && len(a.body) == 0 && len(in.Call.PromptParts) > 0 {
		a.err = io.ErrUnexpectedEOF // a crashed engine's response ends regularly
	}
	a.verdict, a.took = classify(a.response, a.err), time.Since(began)
	lease.Release(time.Now(), a.leaseOutcome(ctx))
	switch {
	case a.verdict == verdictGood:
		s.recordAnswer(in.Call)
	case a.verdict == verdictFailed:
		s.recordRun(in.Call)
	case a.err != nil && ctx.Err() == nil && a.beganAnswer():
		s.recordCrash(in.Call, lease.Endpoint, began)
	}
	a.crashed = a.verdict == verdictLost && s.checkCrash(ctx, in.Call, lease.Endpoint, began, a.err)
	s.leaveAttempt(ctx, in.Call, a, a.verdict.String())
	return a
}

// beganAnswer reports whether the endpoint broke off a successful response, and not the
// gateway for its own limits.
func (a attempt) beganAnswer() bool {
	return a.response != nil && !a.response.NotExecuted && a.response.Status < http.StatusMultipleChoices &&
		!errors.Is(a.err, memlim.ErrFull) && !errors.Is(a.err, memlim.ErrTooLarge)
}

// readBody reads a body that is passed on as a whole.
func (s *Server) readBody(body Body) ([]byte, error) {
	data, release, err := s.Bodies.ReadAll(body, maxUnaryBytes)
	release() // only bodies that are still being read count, since those may have no end
	body.Close(err == nil)
	return data, err
}

// classify returns the verdict on a response or an error.
func classify(resp *Response, err error) verdict {
	switch {
	case unsent(err):
		return verdictNotRun
	case err != nil:
		return verdictLost
	case resp.NotExecuted:
		return verdictNotRun
	case resp.Status >= http.StatusInternalServerError:
		return verdictFailed
	case !resp.Verified:
		return verdictLost
	}
	return verdictGood
}

// unsent reports whether the error means that no part of the request was sent.
func unsent(err error) bool {
	var sendErr *httpc.Error
	return errors.As(err, &sendErr) && sendErr.Kind == httpc.KindUnsent
}

// mayHaveRun reports whether the endpoint may have begun to work on the call. Only a refusal
// that says so, or a request that was not sent, rules it out.
func (a attempt) mayHaveRun() bool { return a.verdict != verdictNotRun }

// notReached reports whether the call never reached the endpoint it was addressed to.
func (a attempt) notReached() bool { return unsent(a.err) || a.misdirected() }

// misdirected reports whether a different endpoint answered than the addressed one.
func (a attempt) misdirected() bool { return a.response != nil && a.response.Misdirected }

// leaseOutcome returns what an attempt says about its endpoint's health: nothing if
// it was cancelled by the caller or because another attempt was faster.
func (a attempt) leaseOutcome(ctx context.Context) sched.Outcome {
	switch {
	case a.err != nil && ctx.Err() != nil:
		return sched.OutcomeNone
	case a.misdirected():
		return sched.OutcomeReplaced
	case a.notReached():
		return sched.OutcomeUnreachable
	case a.verdict == verdictLost || a.verdict == verdictFailed || a.verdict == verdictUnfit:
		return sched.OutcomeFailed
	case a.verdict == verdictNotRun:
		return sched.OutcomeNone
	}
	return sched.OutcomeSuccess
}

func (s *Server) logAttempt(call *desc.Call, a attempt, number int) {
	s.Metrics.Attempts.WithLabelValues(a.verdict.String()).Inc()
	if a.verdict == verdictGood || a.verdict == verdictWhole {
		return
	}
	status := 0
	if a.response != nil {
		status = a.response.Status
	}
	s.Log.Info("attempt", zap.String("id", call.ID), zap.String("service", call.Service), zap.Stringer("kind", call.Kind),
		zap.String("endpoint", a.lease.Endpoint.ID), zap.String("address", a.lease.Endpoint.Address),
		zap.Int("number", number), zap.Stringer("verdict", a.verdict), zap.Int("status", status), zap.Strings("prompt_parts", call.PromptParts), fingerprintField(call), zap.Error(a.err),
		zap.Duration("age", time.Since(call.Arrived)), zap.Uint64("version", call.Version))
}
