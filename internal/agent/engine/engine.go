// Package engine is a client of a model engine's control API: load reports, model
// orders, running streams, cancel and resume. docs/PLATFORM.md describes the
// protocol.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/models"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
)

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 8 << 20
)

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	addr string
	pool *httpc.Pool
}

// Load is an engine's load report. Its figures lag behind the actual state.
type Load struct {
	Boot        uint64  `json:"boot"` // differs after each restart of the engine
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	CacheTokens int     `json:"cache_tokens"` // capacity of the KV cache
	CacheUsed   int     `json:"cache_used"`   // in tokens
	MaxBatch    int     `json:"max_batch"`
	Preemptions int     `json:"preemptions"` // since the engine's start
	StepMillis  float64 `json:"step_ms"`
}

// Stream is a running generation of the engine.
type Stream struct {
	ID             string `json:"id"`
	PromptTokens   int    `json:"prompt_tokens"`
	ProducedTokens int    `json:"produced_tokens"`
}

// New returns a client of the engine at the address.
func New(addr string) *Client {
	return &Client{addr: addr, pool: httpc.New(httpc.Config{DialTimeout: callTimeout})}
}

// Load reads the load report.
func (c *Client) Load() (Load, error) {
	var out Load
	return out, c.call(http.MethodGet, "/v1/load", nil, &out)
}

// Streams lists the running streams.
func (c *Client) Streams() ([]Stream, error) {
	var out []Stream
	return out, c.call(http.MethodGet, "/v1/streams", nil, &out)
}

// Order reads the model order that the engine accepted last.
func (c *Client) Order() (models.Order, error) {
	var out models.Order
	return out, c.call(http.MethodGet, "/v1/orders", nil, &out)
}

// SendOrder sends a model order. The engine refuses it if it has accepted one with
// a higher fence.
func (c *Client) SendOrder(o models.Order) error {
	return c.call(http.MethodPost, "/v1/orders", &o, nil)
}

// Cancel cancels a stream and frees its memory in the engine, within the time limit. It reports
// whether the engine knows the stream: one that has just been sent may be read later.
func (c *Client) Cancel(limit time.Duration, id string) (known bool, err error) {
	status, err := c.callWithin(limit, http.MethodPost, "/v1/streams/"+url.PathEscape(id)+"/cancel", nil, nil)
	return err == nil && status != http.StatusNotFound, err
}

// ResumeTarget returns the path and query that resume a stream at the event with
// index from.
func ResumeTarget(id string, from uint64) string {
	return "/v1/streams/" + url.PathEscape(id) + "?from=" + strconv.FormatUint(from, 10)
}

// call sends in as JSON, if it is not nil, and decodes the response into out. A
// response with status 404 is not an error and leaves out unchanged.
func (c *Client) call(method, path string, in, out any) error {
	_, err := c.callWithin(callTimeout, method, path, in, out)
	return err
}

// callWithin is call with a time limit. It returns the status of the response too.
func (c *Client) callWithin(limit time.Duration, method, path string, in, out any) (int, error) {
	status, raw, err := c.exchange(limit, method, path, in)
	switch {
	case err != nil:
	case status == http.StatusNotFound:
		return status, nil
	case status >= http.StatusMultipleChoices:
		err = fmt.Errorf("status %d", status)
	case out != nil:
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		return status, fmt.Errorf("engine: %s %s: %w", method, path, err)
	}
	return status, nil
}

// exchange sends in as JSON, if it is not nil, and returns the response within the time limit.
func (c *Client) exchange(limit time.Duration, method, path string, in any) (status int, raw []byte, err error) {
	// Responses name no request: on a kept connection, a late copy of one would answer the next
	// request.
	req := httpc.Request{Method: method, Target: path, Host: c.addr, Header: http.Header{"User-Agent": {""}}, NewConn: true, Close: true}
	if in != nil {
		if req.Body, err = json.Marshal(in); err != nil {
			return 0, nil, err
		}
		req.Header.Set("Content-Type", "application/json")
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	resp, err := c.pool.Do(ctx, c.addr, req)
	if err != nil {
		return 0, nil, err
	}
	raw, err = resp.ReadAll(maxResponseBytes)
	return resp.Status, raw, err
}
