package serve

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/begun"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// streamCall is the state of one streaming call. Only its event loop accesses the
// fields, except finalMoveSent. Sends and moves run in goroutines of their own, at
// most one at a time, and report on a channel.
type streamCall struct {
	s              *Server
	in             Input
	state          callst.Call
	tried          []string          // IDs of the endpoints that were chosen
	began          time.Time         // the last send before the response began
	sends          int               // attempts that may have reached an endpoint, without resumes from a copy
	source         *source           // the current one, nil before the first and after a loss
	left           *ending           // end of the source or send before, which the next send waits for; nil for none
	events         int               // sent to the caller
	sourceEvents   int               // of the current source, sent to the caller
	sourceBegan    time.Time         // when the first of them arrived
	reports        chan opReport     // outcomes of sends and moves
	opPending      bool              // a send or a move is in progress
	movedCopy      *remoteCopy       // the complete copy made when the current source was stopped, nil if none
	spareCopy      *remoteCopy       // the partial copy made before a move of the current source failed, nil if none
	finalMoveSent  atomic.Bool       // a final move was requested, which stops the current source
	stop           stopState         // what the last final move of the current source has said of the run; stays runMaybeStopped
	stopUnknown    time.Time         // when stop became runMaybeStopped
	sourceEnded    bool              // the body of the last source ended regularly while its final move was in progress
	at             position          // how far the caller has received the response
	failedTargets  []string          // IDs of engines that the KV cache could not be copied to
	answerRecorded time.Time         // when its prompt was last recorded as answered
	blocks         <-chan struct{}   // closed when more is blocked
	crashes        int               // of endpoints, under the call
	successor      *sched.Lease      // reserved for the next send, while a silent endpoint is given up; nil otherwise
	giveUpSend     func()            // ends the send in progress, nil if it must not be
	found          chan *sched.Lease // result of the wait for another endpoint
	stopSeeking    func()            // ends that wait, nil if none is in progress
	silenceLogged  bool              // that the endpoint is silent, and why it is waited for
	stallTimer     *time.Timer
	holdTimer      *time.Timer // ends moveOnHold
	moveOnHold     bool        // no move is started for now, even if its endpoint is leaving
	moveBegun      bool        // a move off the current source was attempted
	leavingSince   time.Time   // when the current source's endpoint was first seen leaving, zero if it was not
	stays          bool        // the current source was expected to end before its leaving endpoint
	whole          *attempt    // a response that is no event stream, passed on if no attempt brings one
	reason         Reason      // why the last source or attempt was lost
	lastEventAt    time.Time   // arrival of the last event

	firstEvent time.Duration // since the call arrived
	longestGap time.Duration
}

// serveStream serves a call whose response is an event stream.
func (s *Server) serveStream(ctx context.Context, in Input) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &streamCall{
		s: s, in: in, state: callst.New(in.Call.Kind.Repeatable()), reports: make(chan opReport, 1), found: make(chan *sched.Lease, 1),
		at: newPosition(in.Call.LastEventID), stallTimer: time.NewTimer(time.Hour), holdTimer: time.NewTimer(time.Hour),
	}
	defer c.cleanup()
	c.blocks = s.Blame.Changed()
	if in.Call.LastEventID != "" {
		software, known := s.beginningOf(ctx, in.Call)
		if !known {
			return c.finalResult(ReasonUnknownVersion)
		}
		c.in.Software = software
	}
	c.startAttempt(ctx)
	for {
		result, done := c.handleNext(ctx)
		if done {
			c.recordEvents(result)
			result.FirstEvent, result.LongestGap, result.Endpoints = c.firstEvent, c.longestGap, c.tried
			return result
		}
	}
}

// cleanup releases the timers, the source and the copies. A send or move that is
// still in progress ends with the context, and what it reports is released then.
func (c *streamCall) cleanup() {
	c.stallTimer.Stop()
	c.holdTimer.Stop()
	for _, id := range streamIDs(c.in.Call) {
		c.s.Begun.End(begun.KeyOf(id))
	}
	if c.source != nil {
		c.leaveSource(outcomeNone, leftAtEnd)
	}
	c.endSearch()
	c.s.discardCopy(c.movedCopy)
	c.s.discardCopy(c.spareCopy)
	go c.s.stopRun(c.in, c.takeLeft(), nil)
	if c.opPending {
		go func() {
			o := <-c.reports
			left := o.attempt.left
			if o.source != nil {
				left = c.s.leave(c.in.Call, o.source.lease.Endpoint, leftAtEnd, o.source.close(time.Now(), outcomeNone))
			}
			c.s.discardCopy(o.movedCopy)
			c.s.discardCopy(o.spareCopy)
			go c.s.stopRun(c.in, left, nil)
		}()
	}
}

// handleNext waits for an event, report or timer and handles it. It returns true
// with the result when the call is over.
func (c *streamCall) handleNext(ctx context.Context) (Result, bool) {
	var events chan streamItem
	var leaving, noticed <-chan struct{}
	if c.source != nil {
		events = c.source.events
		if c.leavingSince.IsZero() {
			noticed = c.source.lease.Leaving()
		} else if !c.opPending && !c.moveOnHold && c.movedCopy == nil && c.goesOn() && c.canMove() {
			leaving = c.source.lease.Leaving()
		}
	}
	select {
	case it := <-events:
		c.source.taken(it)
		return c.handleItem(ctx, it)
	case <-noticed:
		c.leavingSince = time.Now()
		if c.in.Call.Kind != desc.KindStream {
			c.source.lease.WithdrawLoad()
		}
	case <-leaving:
		if c.leave() {
			c.startMove(ctx)
		}
	case o := <-c.reports:
		c.opPending, c.giveUpSend = false, nil
		return c.handleReport(ctx, o)
	case <-c.blocks:
		c.blocks = c.s.Blame.Changed()
		if c.at.begun {
			break
		}
		if reason := c.s.blocked(c.in.Call); reason != ReasonNone {
			return c.finalResult(reason), true // before the engine begins to answer and crashes
		}
	case <-c.holdTimer.C:
		c.moveOnHold = false
		c.discardUnusedCopy()
	case <-c.stallTimer.C:
		return c.handleStall(ctx)
	case lease := <-c.found:
		return c.handleFound(ctx, lease)
	case <-ctx.Done():
		return c.endedResult(doneReason(ctx)), true
	}
	return Result{}, false
}

// endedResult returns the result of a call whose context has ended. If the process stops,
// a first send that is in progress ends at once, and tells whether the call was sent.
func (c *streamCall) endedResult(reason Reason) Result {
	if reason == ReasonStopping && c.opPending && !c.at.begun {
		o := <-c.reports
		c.opPending = false
		switch {
		case o.source != nil:
			c.left = c.s.leave(c.in.Call, o.source.lease.Endpoint, leftAtEnd, o.source.close(time.Now(), outcomeNone))
			c.state = c.state.WithOffer().WithLost()
		case o.failReason == ReasonNone:
			c.s.logAttempt(c.in.Call, o.attempt, len(c.tried))
			c.recordFailedSend(o.attempt)
			c.left = o.attempt.left
		}
	}
	return c.finalResult(reason)
}

// handleItem handles an event or the end of the current source.
func (c *streamCall) handleItem(ctx context.Context, it streamItem) (Result, bool) {
	switch {
	case it.err == nil:
		return c.forward(it)
	case !errors.Is(it.err, io.EOF) && ctx.Err() != nil:
		return c.finalResult(doneReason(ctx)), true // broke off because the call is over, not a failure of the endpoint
	case errors.Is(it.err, io.EOF) && !c.endsUnanswered() && c.endIsSure():
		c.leaveSource(outcomeSuccess, "complete")
		return c.complete(), true
	case c.stopPending():
		c.sourceEnded = errors.Is(it.err, io.EOF) && !c.endsUnanswered()
		c.leaveSource(outcomeNone, "moved") // the move's report decides
		c.s.Log.Info("stream_stopped", zap.String("id", c.in.Call.ID), zap.String("after", c.at.lastID), zap.NamedError("end", it.err))
		return Result{}, false
	case c.movedCopy != nil:
		c.leaveSource(outcomeNone, "moved")
		c.resumeFromCopy(ctx, c.movedCopy)
		return Result{}, false
	}
	c.s.Log.Info("stream_broken", zap.String("id", c.in.Call.ID), zap.String("endpoint", c.source.lease.Endpoint.ID),
		zap.String("software", c.source.lease.Endpoint.Software), zap.String("after", c.at.lastID), zap.Int("events", c.sourceEvents), zap.Strings("prompt_parts", c.in.Call.PromptParts), fingerprintField(c.in.Call), zap.Error(it.err))
	if !c.leavingSince.IsZero() {
		c.s.outputs.recordNotice(c.in.Call.Service, time.Since(c.leavingSince))
	}
	if !c.answering() {
		c.s.recordCrash(c.in.Call, c.source.lease.Endpoint, c.source.sent)
	}
	if !c.proven(time.Now()) && c.s.checkCrash(ctx, c.in.Call, c.source.lease.Endpoint, c.source.sent, it.err) {
		c.crashes++
	}
	return c.loseSource(ctx, outcomeFailed, "broken")
}

// complete records that the run has ended and the caller has its whole stream, and returns the
// result.
func (c *streamCall) complete() Result {
	c.s.recordAnswer(c.in.Call)
	c.state = c.state.WithFinish()
	c.s.outputs.recordOutput(c.in.Call, c.at.seq)
	return Result{Outcome: callst.OutcomeComplete, Ran: c.ran()}
}

// ran returns how long the stream took at its endpoints, 0 if only a part of it was asked for.
func (c *streamCall) ran() time.Duration {
	if c.in.Call.LastEventID != "" {
		return 0
	}
	return time.Since(c.began)
}

// answering reports whether an engine has sent an event of the response.
func (c *streamCall) answering() bool { return !c.lastEventAt.IsZero() || c.in.Call.LastEventID != "" }

// endsUnanswered reports whether a generation's source has ended before the first event.
// A crashed engine's response without length or chunks has a regular end.
func (c *streamCall) endsUnanswered() bool {
	return !c.answering() && (len(c.in.Call.PromptParts) > 0 || c.source.response.Unframed)
}

// forward sends an event to the caller.
func (c *streamCall) forward(it streamItem) (Result, bool) {
	c.events++
	c.sourceEvents++
	c.holdMemory()
	if c.sourceEvents == 1 {
		c.sourceBegan = time.Now()
		c.in.Software = c.source.lease.Endpoint.Software
		c.s.recordBeginning(c.in.Call, c.in.Software) // before the caller has the event and may take the stream up elsewhere
	}
	if err := c.in.Sink.Write(it.raw); err != nil {
		return c.finalResult(ReasonCallerGone), true
	}
	now := time.Now()
	c.recordTiming(now)
	if c.proven(now) && now.Sub(c.answerRecorded) >= answerInterval {
		c.answerRecorded = now
		c.s.recordAnswer(c.in.Call)
	}
	c.at = it.at
	c.state = c.state.WithFrame(c.state.Relayed())
	c.resetStallTimer()
	return Result{}, false
}

// proven reports whether the current source has gone on for long enough to show that the
// call does not crash it.
func (c *streamCall) proven(now time.Time) bool {
	return c.sourceEvents > 0 && now.Sub(c.sourceBegan) >= provenAfter
}

// recordTiming updates the metrics for the time to the first event and between events.
func (c *streamCall) recordTiming(now time.Time) {
	if c.lastEventAt.IsZero() {
		c.firstEvent = now.Sub(c.in.Call.Arrived)
		c.s.Metrics.FirstToken.Observe(c.firstEvent.Seconds())
		c.source.lease.PrefillDone()
		if tokens, took, ok := c.source.lease.Read(now); ok {
			c.s.reading.recordRead(c.in.Call.Service, tokens, took)
		}
	} else {
		gap := now.Sub(c.lastEventAt)
		c.longestGap = max(c.longestGap, gap)
		c.s.Metrics.TokenGap.Observe(gap.Seconds())
		c.recordPause(now, gap)
	}
	c.lastEventAt = now
}

// finalResult returns the result of a stream that ends before it is complete. A
// response that is no event stream is passed on to the caller and counts as complete.
func (c *streamCall) finalResult(reason Reason) Result {
	switch {
	case c.at.begun:
		return Result{Outcome: callst.OutcomeInterrupted, Reason: reason}
	case c.whole != nil:
		c.in.Sink.Begin(c.whole.response)
		if err := c.in.Sink.Write(c.whole.body); err != nil {
			return Result{Outcome: callst.OutcomeInterrupted, Reason: ReasonCallerGone}
		}
		return Result{Outcome: callst.OutcomeComplete}
	case c.opPending && c.sends > 0 || c.state.Outcome() != callst.OutcomeNotRun:
		return Result{Outcome: callst.OutcomeUnknown, Reason: reason}
	}
	result := Result{Outcome: callst.OutcomeNotRun, Reason: reason}
	if reason != ReasonTimeout && reason != ReasonCallerGone {
		result.RetryAfter = c.s.retryAfter(c.in.Call, reason)
	}
	return result
}
