// Package invoke runs one started call on its endpoint and stores the response,
// frame by frame, in the call's buffer. A frame is one event of a streamed
// response or one piece of a response body.
package invoke

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/agent/engine"
	"github.com/mimosalock/mimosalock/internal/agent/origin"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	engineReadTimeout = 2 * time.Second // then the stream is resumed on a new connection
	maxResumeTries    = 3
	resumeDelay       = 100 * time.Millisecond
	maxEventBytes     = 1 << 20
	bodyFrameBytes    = 64 << 10
	maxResponseBytes  = 32 << 20
	doneEvent         = "[DONE]"
	maxClosed         = time.Hour
	closedTimeout     = 100 * time.Millisecond // to connect to an endpoint that broke off a call
)

// Job is one started call.
type Job struct {
	Offer    *peerpb.Offer
	Endpoint string
	Buffer   *buffer.Buffer
	Adopted  bool                                  // an earlier agent process started it in the engine
	OnFrame  func(count uint64, gap time.Duration) // called after each frame of a stream
	OnClosed func(wait time.Duration)              // called when the endpoint wants no calls for a while
	Bodies   *memlim.Budget                        // memory for responses that are read as a whole, of all jobs
}

// StreamID returns the identifier of an attempt in the engine. It contains a hash
// of the workspace, so that even an agent without a record of the attempt cannot
// resume it for another workspace.
func StreamID(attempt, workspace string) string {
	return fmt.Sprintf("%s~%016x", attempt, xxhash.Sum64String(attempt+"/"+workspace))
}

// AttemptOf returns the attempt of a StreamID.
func AttemptOf(streamID string) string {
	attempt, _, _ := strings.Cut(streamID, "~")
	return attempt
}

// RunModel runs a call on a model engine to its end. A broken stream is resumed
// from the engine.
func RunModel(ctx context.Context, j Job) *peerpb.End {
	if !j.Offer.Stream {
		return runUnary(ctx, j)
	}
	err := errAdopted
	if !j.Adopted {
		if err = stream(ctx, j, modelRequest(j), acceptAny); isUnsent(err) {
			return unsentEnd(err)
		}
	}
	broken := brokeAtStart(ctx, j, err)
	for try := 0; err != nil && resumable(ctx, err) && try < maxResumeTries; try++ {
		before := j.Buffer.Count()
		err = stream(ctx, j, resumeRequest(j), checkResumed)
		if j.Buffer.Count() > before || errors.Is(err, os.ErrDeadlineExceeded) {
			// The stream makes progress, or the engine holds it and is slow. The
			// deadline of the call limits these retries.
			try = 0
		}
		if err != nil {
			sleep(ctx, resumeDelay)
		}
	}
	return engineEnd(ctx, err, broken && j.Buffer.Count() == 0)
}

var (
	errAdopted   = errors.New("the stream was started by a predecessor") // initial error of an adopted stream, so that it is resumed
	errTruncated = errors.New("the engine ended the stream without its last event")
	errNotHeld   = errors.New("the engine does not hold the stream")
	errRefused   = errors.New("the engine refused to resume the stream")
	errClosed    = errors.New("the engine wants no requests for a while")
)

// resumable reports whether a failed stream may be resumed: the engine may have
// received the request and may still hold the stream.
func resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !errors.Is(err, errNotHeld) && !errors.Is(err, errClosed) && !isUnsent(err)
}

func isUnsent(err error) bool {
	var httpErr *httpc.Error
	return errors.As(err, &httpErr) && httpErr.Kind == httpc.KindUnsent
}

// unsentEnd returns the end of a call that did not reach the endpoint.
func unsentEnd(err error) *peerpb.End {
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Reason: err.Error(), Rerun: true}
}

// brokeAtStart reports whether the engine closed the connection before the first frame of
// the response to a call that this process has sent, or is down after bytes that are no
// response. A silent engine does not count, nor a response that is beyond a limit.
func brokeAtStart(ctx context.Context, j Job, err error) bool {
	if j.Adopted || j.Buffer.Count() > 0 {
		return false
	}
	return httpc.IsBroken(err) || errors.Is(err, errTruncated) || httpc.IsInvalid(err) && httpc.Closed(ctx, j.Endpoint, closedTimeout)
}

// engineEnd returns the end of a call to an engine. After a failure of the
// engine the entry may run the call elsewhere if no frame has reached the caller.
func engineEnd(ctx context.Context, err error, brokeAtStart bool) *peerpb.End {
	switch {
	case err == nil:
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_COMPLETE}
	case ctx.Err() != nil:
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_INTERRUPTED, Reason: context.Cause(ctx).Error()}
	default:
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_INTERRUPTED, Reason: err.Error(), Rerun: true, BrokeAtStart: brokeAtStart}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// modelRequest returns the offered request with the stream identifier.
func modelRequest(j Job) *fasthttp.Request {
	req := offeredRequest(j)
	req.Header.Set("X-Request-Id", StreamID(j.Offer.Attempt, j.Offer.Workspace))
	return req
}

// resumeRequest returns the request that resumes the stream after the frames that
// the buffer already has.
func resumeRequest(j Job) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + j.Endpoint + engine.ResumeTarget(StreamID(j.Offer.Attempt, j.Offer.Workspace), j.Buffer.Count()))
	return req
}

// offeredRequest returns the request of the offer, addressed to the endpoint.
func offeredRequest(j Job) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetMethod(j.Offer.Method)
	for _, h := range j.Offer.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.SetRequestURI(j.Offer.Target)
	req.Header.SetHost(j.Endpoint)
	req.Header.Set("Connection", "close")
	req.SetBodyRaw(j.Offer.Body)
	return req
}

// send sends a request to the endpoint and passes on when it wants calls again.
func send(ctx context.Context, j Job, req *fasthttp.Request, readTimeout time.Duration) (*origin.Response, error) {
	resp, err := origin.Do(ctx, j.Endpoint, req, readTimeout)
	if err == nil {
		if wait := closedFor(resp); wait > 0 {
			j.OnClosed(wait)
		}
	}
	return resp, err
}

// closedFor returns for how long the endpoint wants no calls: a 503 may say so in
// Retry-After, in seconds with fractions.
func closedFor(resp *origin.Response) time.Duration {
	if resp.Status() != fasthttp.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(resp.Header().Get(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || !(seconds > 0) { // absent, a date, or no time at all
		return 0
	}
	return time.Duration(min(seconds, maxClosed.Seconds()) * float64(time.Second))
}

// acceptAny accepts every response, errors of the engine included.
func acceptAny(Job, *origin.Response) error { return nil }

// checkResumed returns an error unless the response to a resume request continues the
// response of the call. An error of the engine answers only the resume request.
func checkResumed(j Job, resp *origin.Response) error {
	switch {
	case resp.Status() == fasthttp.StatusNotFound:
		return errNotHeld
	case closedFor(resp) > 0:
		return errClosed
	case resp.Status() != fasthttp.StatusOK || (j.Offer.Stream && !isEventStream(resp)):
		return fmt.Errorf("%w: status %d", errRefused, resp.Status())
	}
	return nil
}

func isEventStream(resp *origin.Response) bool {
	return strings.HasPrefix(resp.Header().Get("Content-Type"), "text/event-stream")
}

// stream sends a request and, if check accepts the response, appends its events to the
// buffer. It returns nil only if the response is complete.
func stream(ctx context.Context, j Job, req *fasthttp.Request, check func(Job, *origin.Response) error) error {
	resp, err := send(ctx, j, req, engineReadTimeout)
	if err != nil {
		return err
	}
	defer resp.Close()
	if err := check(j, resp); err != nil {
		return err
	}
	if !isEventStream(resp) {
		return storeBody(j, resp)
	}
	j.Buffer.SetHead(responseHead(resp))
	last := time.Now()
	for ev, err := range sse.Read(resp.Body(), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		if ev.Data == doneEvent {
			return nil
		}
		j.Buffer.Append([]byte(ev.Data))
		now := time.Now()
		j.OnFrame(j.Buffer.Count(), now.Sub(last))
		last = now
	}
	return errTruncated
}

// storeBody reads a response that is not an event stream, such as an error of the
// engine, and stores it once it is complete.
func storeBody(j Job, resp *origin.Response) error {
	body, release, err := j.Bodies.ReadAll(resp.Body(), maxResponseBytes)
	if err != nil {
		return err
	}
	defer release() // the buffer has its own limit
	j.Buffer.SetHead(responseHead(resp))
	appendBody(j.Buffer, body)
	return nil
}

// runUnary runs a call whose response is one body. Nothing is relayed before the
// body is complete, so after a failure the call may always run elsewhere.
func runUnary(ctx context.Context, j Job) *peerpb.End {
	req, check := modelRequest(j), acceptAny
	if j.Adopted {
		req, check = resumeRequest(j), checkResumed
	}
	resp, err := send(ctx, j, req, deadline(j))
	if err == nil {
		defer resp.Close()
		if err = check(j, resp); err == nil {
			err = storeBody(j, resp)
		}
	}
	if !j.Adopted && isUnsent(err) {
		return unsentEnd(err)
	}
	return engineEnd(ctx, err, brokeAtStart(ctx, j, err))
}

func deadline(j Job) time.Duration {
	return time.Duration(max(1, j.Offer.DeadlineMs)) * time.Millisecond
}

// RunPlain runs a call on a plain service to its end. The request is sent at most
// once.
func RunPlain(ctx context.Context, j Job) *peerpb.End {
	resp, err := send(ctx, j, offeredRequest(j), deadline(j))
	if err == nil {
		defer resp.Close()
		err = storeBody(j, resp)
	}
	switch {
	case err == nil:
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_COMPLETE}
	case isUnsent(err):
		return unsentEnd(err)
	}
	crashed := (httpc.IsBroken(err) || httpc.IsInvalid(err)) && ctx.Err() == nil && httpc.Closed(ctx, j.Endpoint, closedTimeout)
	if j.Offer.NoRepeat {
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error(), BrokeAtStart: crashed}
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_INTERRUPTED, Reason: err.Error(), Rerun: ctx.Err() == nil, BrokeAtStart: crashed}
}

// appendBody appends a body in frames of up to bodyFrameBytes.
func appendBody(b *buffer.Buffer, body []byte) {
	for len(body) > 0 {
		n := min(len(body), bodyFrameBytes)
		b.Append(body[:n])
		body = body[n:]
	}
}

// responseHead returns the status and the headers, without hop-by-hop headers and
// the content length.
func responseHead(resp *origin.Response) *peerpb.Head {
	h := &peerpb.Head{Status: uint32(resp.Status())}
	for name, values := range resp.Header() {
		if HopByHop(name) || name == fasthttp.HeaderContentLength {
			continue
		}
		for _, value := range values {
			h.Headers = append(h.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return h
}

// HopByHop reports whether a header applies to one connection only and must not be
// forwarded.
func HopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade":
		return true
	}
	return false
}
