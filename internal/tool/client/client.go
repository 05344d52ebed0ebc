// Package client is a caller for tests and measurements. It checks that a stream
// consists of the tokens of one generation, in order and without gap or repeat.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
)

const maxBodyBytes = 1 << 30 // of a response that is not a stream

// Outcome is how a call ended, as the caller was told.
type Outcome string

// The values of Outcome. NotRun means that the call certainly did not run, Unknown that it
// may have run, and Interrupted that only part of the response was delivered. Broken is
// this package's own value for a response that ended without stating an outcome.
const (
	OutcomeComplete    Outcome = "complete"
	OutcomeNotRun      Outcome = "not_run"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeInterrupted Outcome = "interrupted"
	OutcomeBroken      Outcome = "broken"
)

// Client makes calls with one workspace's API key. It never retries a request.
// It is safe for concurrent use.
type Client struct {
	OnToken func(count int) // called after each token of any stream with the number received so far; may be nil
	key     string
	pool    *httpc.Pool
}

// New returns a client that uses the API key.
func New(key string) *Client {
	return &Client{key: key, pool: httpc.New(httpc.Config{})}
}

// Result is what the caller received, and how long it took.
type Result struct {
	Outcome     Outcome
	Status      int
	CallID      string
	LastEventID string // ID of the last event of a stream, for Resume
	Tokens      int
	Generation  string          // named by the stand-in engine in the text of each token
	Body        []byte          // of a response that is not a stream
	Err         error           // failure of the connection
	ResponseErr error           // first error found in the content of the response
	FirstToken  time.Duration   // time from the request to the first token
	Gaps        []time.Duration // between successive tokens
	Total       time.Duration
	RetryAfter  time.Duration
}

// Generate requests a streamed completion. It is limited to maxTokens if that is
// positive.
func (c *Client) Generate(ctx context.Context, addr, model, prompt string, maxTokens int) Result {
	req := map[string]any{"model": model, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}}}
	if maxTokens > 0 {
		req["max_tokens"] = maxTokens
	}
	body, err := json.Marshal(req)
	if err != nil {
		return Result{Err: err}
	}
	return c.postStream(ctx, addr, body, Result{})
}

// Resume continues a stream whose connection broke, at any entry.
func (c *Client) Resume(ctx context.Context, addr string, previous Result) Result {
	return c.postStream(ctx, addr, []byte("{}"), previous)
}

// postStream sends the request and adds the response to r.
func (c *Client) postStream(ctx context.Context, addr string, body []byte, r Result) Result {
	header := http.Header{}
	if r.LastEventID != "" {
		header.Set("Last-Event-ID", r.LastEventID)
	}
	start := time.Now()
	resp, err := c.do(ctx, addr, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		r.Outcome, r.Err = OutcomeBroken, err
		return r
	}
	r.Status, r.CallID = resp.Status, resp.Header.Get("Mimosalock-Call")
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.readResponse(r, resp)
	}
	r.readEvents(resp, start, c.OnToken)
	resp.Close(r.Err == nil)
	r.Total = time.Since(start)
	return r
}

// readEvents reads the events of a stream to its end.
func (r *Result) readEvents(body io.Reader, start time.Time, onToken func(int)) {
	last := start
	r.Outcome = OutcomeBroken
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		switch {
		case err != nil:
			r.Err = err
			return
		case ev.Data == "[DONE]":
			r.Outcome = OutcomeComplete
		case ev.Type == "error":
			r.Outcome = parseErrorOutcome(ev.Data)
		case r.Outcome != OutcomeBroken:
			r.setResponseErr("event after the end of the stream: %s", ev.Data)
		default:
			now := time.Now()
			if r.Tokens == 0 {
				r.FirstToken = now.Sub(start)
			} else {
				r.Gaps = append(r.Gaps, now.Sub(last))
			}
			last = now
			r.LastEventID = ev.LastEventID
			r.checkToken(ev.Data)
			if onToken != nil {
				onToken(r.Tokens)
			}
		}
	}
}

// setResponseErr records an error in the response, unless there is one already.
func (r *Result) setResponseErr(format string, args ...any) {
	if r.ResponseErr == nil {
		r.ResponseErr = fmt.Errorf(format, args...)
	}
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

// checkToken checks one event and counts its token. The stand-in engine writes each
// token's text as "generation:index".
func (r *Result) checkToken(data string) {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		r.setResponseErr("event is not JSON: %v", err)
		return
	}
	if len(ch.Choices) == 0 || ch.Choices[0].Delta.Content == "" {
		return
	}
	generation, index, ok := strings.Cut(strings.TrimSpace(ch.Choices[0].Delta.Content), ":")
	n, err := strconv.Atoi(index)
	switch {
	case !ok || err != nil:
		r.setResponseErr("token %q has no index", ch.Choices[0].Delta.Content)
	case r.Generation != "" && r.Generation != generation:
		r.setResponseErr("token %d is from generation %s, earlier ones from %s", n, generation, r.Generation)
	case n != r.Tokens:
		r.setResponseErr("token %d received at position %d", n, r.Tokens)
	}
	r.Generation = generation
	r.Tokens++
}

// Call sends one call to a plain service. The stand-in worker counts the runs of
// each call by its label.
func (c *Client) Call(ctx context.Context, addr, method, path, idempotencyKey, label string, body []byte) Result {
	header := http.Header{"X-Call": {label}}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.do(ctx, addr, method, path, header, body)
	if err != nil {
		return Result{Outcome: OutcomeBroken, Err: err}
	}
	return c.readResponse(Result{Status: resp.Status, CallID: resp.Header.Get("Mimosalock-Call")}, resp)
}

// readResponse reads a response that is not a stream and adds it to r.
func (c *Client) readResponse(r Result, resp *httpc.Response) Result {
	var err error
	r.Body, err = resp.ReadAll(maxBodyBytes)
	if err != nil {
		r.Outcome, r.Err = OutcomeBroken, err
		return r
	}
	r.Outcome = Outcome(resp.Header.Get("Mimosalock-Outcome"))
	if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	if r.Outcome == "" {
		r.setResponseErr("status %d without the Mimosalock-Outcome header", r.Status)
	}
	return r
}

func (c *Client) do(ctx context.Context, addr, method, path string, header http.Header, body []byte) (*httpc.Response, error) {
	header.Set("Authorization", "Bearer "+c.key)
	header.Set("Content-Type", "application/json")
	return c.pool.Do(ctx, addr, httpc.Request{Method: method, Target: path, Host: addr, Header: header, Body: body})
}

// parseErrorOutcome returns the outcome in the data of an error event.
func parseErrorOutcome(data string) Outcome {
	var body struct {
		Error struct {
			Outcome Outcome `json:"outcome"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return OutcomeBroken
	}
	return body.Error.Outcome
}

// Ticket requests a ticket for calls to a plain service: an idempotency key that
// names the agent that will run the call.
func (c *Client) Ticket(ctx context.Context, addr, service string) (string, error) {
	body := fmt.Appendf(nil, `{"service":%q}`, service)
	resp, err := c.do(ctx, addr, http.MethodPost, "/v1/tickets", http.Header{}, body)
	if err != nil {
		return "", err
	}
	raw, err := resp.ReadAll(maxBodyBytes)
	if err != nil {
		return "", err
	}
	var reply struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&reply); err != nil {
		return "", err
	}
	if reply.Ticket == "" {
		return "", fmt.Errorf("client: response without a ticket: status %d", resp.Status)
	}
	return reply.Ticket, nil
}
