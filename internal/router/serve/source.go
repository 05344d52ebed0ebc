package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// eventBuffer and maxReadAhead bound the events read ahead of the caller, whom a slow link may
// keep from taking them: their number, and their bytes unless one alone is larger.
const (
	eventBuffer  = 64
	maxReadAhead = 64 << 10
)

// discardTimeout bounds the wait for a body that nobody gets. It usually arrives with its
// head.
const discardTimeout = 50 * time.Millisecond

// source is one endpoint's response to a streaming call, read event by event.
type source struct {
	lease    *sched.Lease
	sent     time.Time // when the endpoint was sent the request
	response *Response
	events   chan streamItem
	ahead    *semaphore.Weighted // bytes of the events in the channel
	cancel   context.CancelFunc
}

// streamItem is an event of a source, or its end if err is set.
type streamItem struct {
	at  position // after the event
	raw []byte
	err error // io.EOF if the stream arrived completely
}

// open sends the request and returns the response as a source, nil if the attempt failed
// or the response is no event stream. The stream goes on from a position. The request is
// cancelled if givenUp ends before the response begins.
func (s *Server) open(caller, givenUp context.Context, lease *sched.Lease, req SendRequest, at position) (*source, attempt) {
	ctx, cancel := context.WithCancel(caller)
	inTime := context.AfterFunc(givenUp, cancel)
	a, sent := attempt{lease: lease}, time.Now()
	a.response, a.err = s.Upstream.Send(ctx, lease.Endpoint, req)
	if !inTime() && a.err == nil { // its body is cut off already
		a.hangup = a.response.Body.Hangup()
		a.response, a.err = nil, givenUp.Err()
	}
	a.verdict = at.classify(a.response, a.err)
	if a.verdict != verdictGood {
		if at.begun { // nobody gets the body; reading it keeps the connection
			defer time.AfterFunc(discardTimeout, cancel).Stop()
		}
		s.readWholeBody(&a)
		if a.verdict == verdictWhole || a.verdict == verdictFailed {
			s.recordRun(req.Call)
		}
		a.crashed = a.verdict == verdictLost && s.checkCrash(ctx, req.Call, lease.Endpoint, sent, a.err)
		cancel()
		lease.Release(time.Now(), a.leaseOutcome(caller))
		why := a.verdict.String()
		if givenUp.Err() != nil {
			why = "silent"
		}
		a.left = s.leaveAttempt(caller, req.Call, a, why)
		return nil, a
	}
	src := &source{lease: lease, sent: sent, response: a.response, cancel: cancel, events: make(chan streamItem, eventBuffer), ahead: semaphore.NewWeighted(maxReadAhead)}
	go src.read(ctx, at)
	return src, a
}

// readWholeBody reads the body of a response that is not a source. It may be passed on to
// the caller.
func (s *Server) readWholeBody(a *attempt) {
	if a.response == nil {
		return
	}
	if a.verdict == verdictUnfit { // the endpoint may still work on it
		a.response.Body.Close(false)
		return
	}
	var err error
	a.body, err = s.readBody(a.response.Body)
	if err == nil && a.verdict == verdictWhole && a.response.Status == http.StatusOK && a.response.Unframed && len(a.body) == 0 {
		err = io.ErrUnexpectedEOF // a crashed engine's response ends regularly
	}
	if err != nil && (a.verdict == verdictWhole || a.verdict == verdictFailed) {
		a.verdict, a.err = verdictLost, err
	}
}

// read sends the events that follow a position on the channel until the body ends or the
// source is closed.
func (src *source) read(ctx context.Context, at position) {
	r := newContinuation(src.response.Body, at)
	for {
		e, after, err := r.next()
		it := streamItem{at: after, err: err}
		if err == nil {
			it.raw = append([]byte(nil), e.Raw...)
		}
		if err != nil {
			src.response.Body.Close(errors.Is(err, io.EOF))
		}
		if !src.queue(ctx, it) {
			if err == nil {
				src.response.Body.Close(false)
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// queue passes an item on once there is room for it. It returns false if ctx ends first.
func (src *source) queue(ctx context.Context, it streamItem) bool {
	if src.ahead.Acquire(ctx, it.queuedBytes()) != nil {
		return false
	}
	select {
	case src.events <- it:
		return true
	case <-ctx.Done():
		return false
	}
}

// taken makes room for the bytes of an item that has been taken from the channel.
func (src *source) taken(it streamItem) { src.ahead.Release(it.queuedBytes()) }

func (it streamItem) queuedBytes() int64 { return int64(min(len(it.raw), maxReadAhead)) }

// close cancels the request and releases the lease. The endpoint stops work when
// the connection closes. The result is nil if the response was complete or the endpoint has closed
// its side before.
func (src *source) close(now time.Time, outcome sched.Outcome) *httpc.Hangup {
	h := src.response.Body.Hangup()
	src.cancel()
	src.lease.Release(now, outcome)
	return h
}
