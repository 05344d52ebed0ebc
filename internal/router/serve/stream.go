package serve

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/claim"
	"github.com/mimosalock/mimosalock/internal/call/desc"
)

const (
	// stallGaps is how many times the objective between events may pass without
	// one before the generation is taken up elsewhere.
	stallGaps  = 5
	leastStall = 900 * time.Millisecond // for routes without an objective
)

// streamRun is the state of one stream. Its loop owns all fields; sends and
// moves run beside it and report on a channel.
type streamRun struct {
	s         *Server
	in        Input
	state     claim.Call
	tried     []string
	sends     int
	source    *source     // the present one, nil before the first and after a loss
	next      chan opened // reports of the step under way
	pending   bool        // a step is under way
	moved     *heldCopy   // the present source was stopped and its memory lies here
	spare     *heldCopy   // what was copied of the present source before its move failed
	moving    atomic.Bool // the present source is being stopped by a final move
	doubtful  bool        // a final move failed: the present source may have been stopped
	ended     bool        // the last source's body was complete, but a move was under way
	begun     bool
	lastID    string
	last      int64    // lastID as a number, -1 if it is none
	avoid     []string // engines that took no copy of the memory
	stall     *time.Timer
	rest      *time.Timer // fires when the source may be left
	resting   bool
	departing bool     // tries to leave the present source have begun
	failure   *attempt // an endpoint's own failure
	reason    Reason
	newest    time.Time // arrival of the newest event

	firstEvent time.Duration // since the call arrived
	longestGap time.Duration
}

// opened reports a step: a new source, a moved memory, or neither.
type opened struct {
	source     *source
	attempt    attempt
	moved      *heldCopy
	spare      *heldCopy // of a move that failed after the first copy
	refused    Reason    // no place was found
	avoid      string    // an engine that took no copy
	doubtful   bool      // a final move failed, and may have stopped the source
	notRunning bool      // the run had ended by itself before it could be moved
}

// stream serves a call that is answered by events.
func (s *Server) stream(ctx context.Context, in Input) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &streamRun{
		s: s, in: in, state: claim.New(in.Call.Kind.Repeatable()), next: make(chan opened, 1),
		lastID: in.Call.LastEventID, last: number(in.Call.LastEventID), stall: time.NewTimer(time.Hour), rest: time.NewTimer(time.Hour),
	}
	defer r.stop()
	r.start(ctx)
	for {
		result, done := r.step(ctx)
		if done {
			result.FirstEvent, result.LongestGap, result.Endpoints = r.firstEvent, r.longestGap, r.tried
			return result
		}
	}
}

// stop releases what the run still holds. A step under way ends with the
// context; its source is closed when it reports.
func (r *streamRun) stop() {
	r.stall.Stop()
	r.rest.Stop()
	if r.source != nil {
		r.source.close(time.Now(), outcomeNone)
	}
	r.s.discard(r.moved)
	r.s.discard(r.spare)
	if r.pending {
		go func() {
			o := <-r.next
			if o.source != nil {
				o.source.close(time.Now(), outcomeNone)
			}
			r.s.discard(o.moved)
			r.s.discard(o.spare)
		}()
	}
}

// step waits for the next thing to happen and acts on it.
func (r *streamRun) step(ctx context.Context) (Result, bool) {
	var events chan item
	var leaving <-chan struct{}
	if r.source != nil {
		events = r.source.events
		if !r.pending && !r.resting && !r.doubtful && r.moved == nil && r.canLeave() {
			leaving = r.source.lease.Leaving()
		}
	}
	select {
	case it := <-events:
		return r.take(ctx, it)
	case <-leaving:
		r.handover(ctx, "leaving")
	case o := <-r.next:
		r.pending = false
		return r.proceed(ctx, o)
	case <-r.rest.C:
		r.resting = false
	case <-r.stall.C:
		return r.stalled(ctx)
	case <-ctx.Done():
		return r.end(ended(ctx)), true
	}
	return Result{}, false
}

// take handles one event, or the end, of the present source.
func (r *streamRun) take(ctx context.Context, it item) (Result, bool) {
	switch {
	case it.err == nil:
		return r.forward(it)
	case !errors.Is(it.err, io.EOF) && ctx.Err() != nil:
		return r.end(ended(ctx)), true // broken off with the call: the endpoint is not to blame
	case errors.Is(it.err, io.EOF) && r.moved == nil && r.moving.Load():
		r.source.close(time.Now(), outcomeNone) // stopped by the move, or at its end: the report tells
		r.source, r.ended = nil, true
		return Result{}, false
	case errors.Is(it.err, io.EOF) && r.moved == nil && !r.doubtful:
		r.source.close(time.Now(), outcomeGood)
		r.source = nil
		r.state = r.state.WithFinish()
		return Result{Outcome: claim.OutcomeComplete}, true
	case r.moved != nil:
		r.source.close(time.Now(), outcomeNone)
		r.source = nil
		r.goOn(ctx, r.moved)
		return Result{}, false
	}
	r.s.Log.Info("stream_broken", zap.String("id", r.in.Call.ID), zap.String("endpoint", r.source.lease.Endpoint.ID),
		zap.String("after", r.lastID), zap.Error(it.err))
	return r.lose(ctx, outcomeFailed)
}

// forward passes an event on, unless the caller has it from another source.
func (r *streamRun) forward(it item) (Result, bool) {
	at := number(it.id)
	if at >= 0 && r.last >= 0 && at <= r.last {
		return Result{}, false
	}
	if err := r.in.Sink.Write(it.raw); err != nil {
		return r.end(ReasonCallerGone), true
	}
	now := time.Now()
	r.measure(now)
	r.lastID, r.last = it.id, at
	r.state = r.state.WithFrame(r.state.Relayed())
	r.arm()
	return Result{}, false
}

// measure records when events come.
func (r *streamRun) measure(now time.Time) {
	if r.newest.IsZero() {
		r.firstEvent = now.Sub(r.in.Call.Arrived)
		r.s.Meter.FirstToken.Observe(r.firstEvent.Seconds())
		r.source.lease.Started()
	} else {
		gap := now.Sub(r.newest)
		r.longestGap = max(r.longestGap, gap)
		r.s.Meter.TokenGap.Observe(gap.Seconds())
	}
	r.newest = now
}

// arm restarts the watch for a source that went silent.
func (r *streamRun) arm() {
	r.stall.Reset(max(leastStall, stallGaps*r.in.Call.Gap))
}

func (r *streamRun) stalled(ctx context.Context) (Result, bool) {
	if r.moved != nil && r.source != nil { // stopped, but its end does not arrive
		r.source.close(time.Now(), outcomeNone)
		r.source = nil
		r.goOn(ctx, r.moved)
		return Result{}, false
	}
	if r.pending || r.source == nil {
		r.arm()
		return Result{}, false
	}
	r.s.Log.Info("stream_silent", zap.String("id", r.in.Call.ID), zap.String("endpoint", r.source.lease.Endpoint.ID),
		zap.String("after", r.lastID))
	resumable := r.in.Call.Kind == desc.KindResumableStream || r.spare != nil
	if !resumable || !r.s.Spend.Left(time.Now(), r.in.Call.Service) {
		r.arm()
		return Result{}, false // the endpoint may still go on; nothing else could
	}
	return r.lose(ctx, outcomeFailed)
}

// proceed takes the report of a step.
func (r *streamRun) proceed(ctx context.Context, o opened) (Result, bool) {
	switch {
	case o.source != nil:
		r.adopt(o.source)
		return Result{}, false
	case o.moved != nil:
		r.moved = o.moved
		if r.source == nil { // it ended before the move reported
			r.goOn(ctx, r.moved)
		}
		return Result{}, false
	case o.notRunning && r.ended:
		r.state = r.state.WithFinish()
		return Result{Outcome: claim.OutcomeComplete}, true
	case o.refused != ReasonNone:
		r.reason = o.refused
		r.spare, r.doubtful = o.spare, o.doubtful
		r.moving.Store(false)
		r.pauseLeaving(restBetween)
		switch {
		case o.spare != nil: // the next try goes on with this copy
		case o.avoid == "":
			r.avoid = nil // all refused: ask them again, as room comes and goes
		default:
			r.avoid = append(r.avoid, o.avoid)
		}
	default:
		r.s.logAttempt(r.in.Call, o.attempt, len(r.tried))
		r.note(o.attempt)
	}
	if r.source != nil {
		return Result{}, false // the handover failed; the present source goes on
	}
	if r.spare != nil && (!r.ended || r.doubtful) {
		r.goOn(ctx, r.spare)
		return Result{}, false
	}
	if r.retry(ctx, o) {
		return Result{}, false
	}
	return r.end(r.reason), true
}

// pauseLeaving keeps the source for a while, also if its endpoint leaves.
func (r *streamRun) pauseLeaving(d time.Duration) {
	r.resting = true
	r.rest.Reset(d)
}

// note records what a failed send proves.
func (r *streamRun) note(a attempt) {
	switch a.verdict {
	case verdictNever:
		r.reason = ReasonRefused
		if a.unsent() {
			r.sends--
		}
	case verdictFailed:
		r.failure = &a
		r.reason = ReasonLost
		r.state = r.state.WithLost()
	case verdictLost:
		r.reason = ReasonLost
		if !r.begun {
			r.state = r.state.WithOffer().WithLost()
		}
	case verdictGood:
	}
}

// retry tries another endpoint for a stream without a source.
func (r *streamRun) retry(ctx context.Context, o opened) bool {
	call := r.in.Call
	if o.refused != ReasonNone || ctx.Err() != nil || len(r.tried) >= maxAttempts(call)+maxHandovers {
		return false
	}
	fresh := !r.begun && r.state.MayOffer() || call.Kind == desc.KindResumableStream
	if !fresh || r.sends >= max(1, call.Attempts) {
		return false
	}
	if !o.attempt.unsent() && !r.s.Spend.Repeat(time.Now(), call.Service) {
		return false
	}
	r.s.Meter.Retries.WithLabelValues(o.attempt.verdict.String()).Inc()
	r.start(ctx)
	return true
}

// adopt makes a source the present one.
func (r *streamRun) adopt(src *source) {
	if r.source != nil {
		r.source.close(time.Now(), outcomeNone)
	}
	if r.begun {
		r.s.Meter.Resumes.Inc()
		r.s.Log.Info("stream_resumed", zap.String("id", r.in.Call.ID), zap.String("endpoint", src.lease.Endpoint.ID), zap.String("after", r.lastID))
	} else {
		r.begun = true
		r.in.Sink.Begin(src.answer)
		r.state = r.state.WithOffer().WithAccept()
	}
	r.s.discard(r.spare)
	r.source, r.moved, r.spare, r.avoid = src, nil, nil, nil
	r.moving.Store(false)
	r.departing, r.doubtful = false, false
	r.pauseLeaving(settle)
	r.arm()
}

// end returns the result of a stream that stops here.
func (r *streamRun) end(reason Reason) Result {
	switch {
	case r.begun:
		return Result{Outcome: claim.OutcomeInterrupted, Reason: reason}
	case r.failure != nil:
		r.in.Sink.Begin(r.failure.answer)
		if err := r.in.Sink.Write(r.failure.body); err != nil {
			return Result{Outcome: claim.OutcomeInterrupted, Reason: ReasonCallerGone}
		}
		return Result{Outcome: claim.OutcomeComplete}
	case r.pending && r.sends > 0 || r.state.Outcome() != claim.OutcomeNotRun:
		return Result{Outcome: claim.OutcomeUnknown, Reason: reason}
	}
	result := Result{Outcome: claim.OutcomeNotRun, Reason: reason}
	if reason != ReasonTimeout && reason != ReasonCallerGone {
		result.RetryAfter = r.s.retryAfter(r.in.Call, reason)
	}
	return result
}

// number returns an event ID as a number, -1 if it is none.
func number(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
