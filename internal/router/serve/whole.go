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
	"github.com/mimosalock/mimosalock/internal/call/pipe"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

const (
	// hedgeShare is the part of the objective after which an idempotent call that
	// has no answer is sent to a second endpoint as well.
	hedgeShare   = 0.5
	maxWhole     = 8 << 20 // bytes of an answer that is held until it is whole
	retryReserve = 20 * time.Millisecond
)

// attempt is what one send of a call came to.
type attempt struct {
	lease   *book.Lease
	verdict verdict
	answer  *Answer
	body    []byte
	err     error
}

// verdict says what an attempt proves.
type verdict uint8

const (
	verdictGood   verdict = iota // a whole answer of the endpoint
	verdictFailed                // a whole answer that reports a failure of the endpoint
	verdictNever                 // it did not run and never will
	verdictLost                  // it may have run
)

func (v verdict) String() string { return [...]string{"good", "failed", "never", "lost"}[v] }

// wholeCall is the state of a call whose answer is passed on when it is whole.
type wholeCall struct {
	s       *Server
	in      Input
	state   claim.Call
	tried   []string
	sends   int // attempts that may have reached an endpoint
	open    int
	results chan attempt
	failed  *attempt // an endpoint's own failure, passed on if nothing better comes
	reason  Reason
}

// whole serves a call that is answered in one piece. Idempotent calls are
// repeated after failures and sent twice when the first answer is slow.
func (s *Server) whole(ctx context.Context, in Input) (result Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wholeCall{s: s, in: in, state: claim.New(in.Call.Kind.Repeatable()), results: make(chan attempt, maxAttempts(in.Call))}
	defer func() { result.Endpoints = w.tried }()
	if reason := w.send(ctx); reason != ReasonNone {
		return w.refuse(reason)
	}
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(in.Call.FirstAnswer)))
	defer hedge.Stop()
	for w.open > 0 {
		select {
		case <-ctx.Done():
			return Result{Outcome: claim.OutcomeUnknown, Reason: ended(ctx)}
		case <-hedge.C:
			if in.Call.Kind.Repeatable() && w.mayRepeat(ctx) {
				w.resend(ctx, "slow", false)
			}
		case a := <-w.results:
			if result, done := w.settle(ctx, a); done {
				return result
			}
		}
	}
	return w.conclude()
}

func maxAttempts(call *desc.Call) int { return max(1, call.Attempts) + dialAttempts }

// dialAttempts are tries beyond the allowed ones for endpoints that could not be
// reached: nothing was sent to them.
const dialAttempts = 3

// send places the call and sends it on its way. While another attempt is open it
// does not wait for room: that one's answer would wait as well.
func (w *wholeCall) send(ctx context.Context) Reason {
	var lease *book.Lease
	var reason Reason
	if w.open == 0 {
		lease, reason = w.s.place(ctx, w.in, w.tried)
	} else {
		lease, reason = w.s.placeNow(w.in, w.tried)
	}
	if reason != ReasonNone {
		return reason
	}
	w.tried = append(w.tried, lease.Endpoint.ID)
	w.open++
	w.sends++
	go func() { w.results <- w.s.exchange(ctx, lease, w.in) }()
	return ReasonNone
}

// settle takes the result of an attempt. done tells that the call is answered.
func (w *wholeCall) settle(ctx context.Context, a attempt) (result Result, done bool) {
	w.open--
	w.s.logAttempt(w.in.Call, a, len(w.tried))
	switch a.verdict {
	case verdictGood:
		return w.deliver(a), true
	case verdictFailed:
		if w.failed == nil {
			w.failed = &a
		}
	case verdictLost:
		w.state = w.state.WithOffer().WithLost()
		w.reason = ReasonLost
	case verdictNever:
		w.reason = ReasonRefused
		if a.unsent() {
			w.sends--
		}
	}
	repeatable := w.in.Call.Kind.Repeatable() || a.verdict == verdictNever && w.open == 0
	if repeatable && w.state.MayOffer() && w.mayRepeat(ctx) {
		w.resend(ctx, a.verdict.String(), a.unsent())
	}
	return Result{}, false
}

// mayRepeat reports whether another endpoint may be tried.
func (w *wholeCall) mayRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && w.sends < max(1, w.in.Call.Attempts) && len(w.tried) < maxAttempts(w.in.Call) &&
		w.in.Call.Left(time.Now()) > retryReserve
}

// resend tries another endpoint. One that takes the place of an attempt that
// was never sent costs no budget.
func (w *wholeCall) resend(ctx context.Context, why string, free bool) {
	if !free && !w.s.Spend.Repeat(time.Now(), w.in.Call.Service) {
		w.s.Log.Info("repeat_denied", zap.String("id", w.in.Call.ID), zap.String("service", w.in.Call.Service), zap.String("why", "retry budget used up"))
		return
	}
	w.s.Meter.Retries.WithLabelValues(why).Inc()
	if reason := w.send(ctx); reason != ReasonNone {
		w.s.Log.Info("repeat_denied", zap.String("id", w.in.Call.ID), zap.String("service", w.in.Call.Service), zap.Stringer("why", reason))
	}
}

// conclude ends a call without a good answer.
func (w *wholeCall) conclude() Result {
	switch {
	case w.failed != nil:
		return w.deliver(*w.failed)
	case w.state.Outcome() == claim.OutcomeNotRun:
		return w.refuse(ReasonRefused)
	}
	return Result{Outcome: claim.OutcomeUnknown, Reason: w.reason}
}

func (w *wholeCall) refuse(reason Reason) Result {
	if reason == ReasonTimeout || reason == ReasonCallerGone {
		return Result{Outcome: claim.OutcomeNotRun, Reason: reason}
	}
	return Result{Outcome: claim.OutcomeNotRun, Reason: reason, RetryAfter: w.s.retryAfter(w.in.Call, reason)}
}

func (w *wholeCall) deliver(a attempt) Result {
	w.in.Sink.Begin(a.answer)
	if err := w.in.Sink.Write(a.body); err != nil {
		return Result{Outcome: claim.OutcomeInterrupted, Reason: ReasonCallerGone}
	}
	return Result{Outcome: claim.OutcomeComplete}
}

// exchange sends a call to the lease's endpoint and reads the whole answer.
func (s *Server) exchange(ctx context.Context, lease *book.Lease, in Input) attempt {
	a := attempt{lease: lease}
	a.answer, a.err = s.Upstream.Send(ctx, lease.Endpoint, Shipment{
		Call: in.Call, Body: in.Body, Origin: in.Origin, Left: in.Call.Left(time.Now()),
	})
	if a.err == nil {
		a.body, a.err = readWhole(a.answer.Body)
	}
	a.verdict = judge(a.answer, a.err)
	lease.Release(time.Now(), a.lesson(ctx))
	return a
}

func readWhole(body Body) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(body, maxWhole+1))
	if err == nil && len(whole) > maxWhole {
		err = errors.New("the answer is larger than 8 MB")
	}
	body.Close(err == nil)
	return whole, err
}

// judge says what an answer, or its absence, proves.
func judge(answer *Answer, err error) verdict {
	switch {
	case unsent(err):
		return verdictNever
	case err != nil:
		return verdictLost
	case answer.NeverRan:
		return verdictNever
	case answer.Status >= http.StatusInternalServerError:
		return verdictFailed
	case !answer.Proven:
		return verdictLost
	}
	return verdictGood
}

func unsent(err error) bool {
	var broken *pipe.Error
	return errors.As(err, &broken) && broken.Kind == pipe.KindUnsent
}

// unsent reports whether the attempt never reached the endpoint that was meant.
func (a attempt) unsent() bool { return unsent(a.err) || a.gone() }

// gone reports whether another endpoint answered in place of the one meant.
func (a attempt) gone() bool { return a.answer != nil && a.answer.Gone }

// lesson is what an attempt taught about its endpoint. An attempt that the
// caller or a faster one ended teaches nothing.
func (a attempt) lesson(ctx context.Context) book.Outcome {
	switch {
	case a.err != nil && ctx.Err() != nil:
		return book.OutcomeNone
	case a.gone():
		return book.OutcomeGone
	case a.unsent():
		return book.OutcomeUnusable
	case a.verdict == verdictLost || a.verdict == verdictFailed:
		return book.OutcomeFailed
	case a.verdict == verdictNever:
		return book.OutcomeNone
	}
	return book.OutcomeGood
}

func (s *Server) logAttempt(call *desc.Call, a attempt, number int) {
	s.Meter.Attempts.WithLabelValues(a.verdict.String()).Inc()
	if a.verdict == verdictGood {
		return
	}
	status := 0
	if a.answer != nil {
		status = a.answer.Status
	}
	s.Log.Info("attempt", zap.String("id", call.ID), zap.String("service", call.Service), zap.Stringer("kind", call.Kind),
		zap.String("endpoint", a.lease.Endpoint.ID), zap.String("address", a.lease.Endpoint.Address),
		zap.Int("number", number), zap.Stringer("verdict", a.verdict), zap.Int("status", status), zap.Error(a.err),
		zap.Duration("age", time.Since(call.Arrived)), zap.Uint64("version", call.Version))
}
