package httpc

import (
	"context"
	"net/http"
	"time"
)

const maxGetBytes = 64 << 20 // of a body that Get returns

// Get reads a path and query from an address over a connection of its own, within the time that
// Fetch allows.
func Get(addr, target string, timeout time.Duration) (status int, body []byte, err error) {
	resp, body, err := New(Config{DialTimeout: timeout}).Fetch(context.Background(), addr, Request{
		Method: http.MethodGet, Target: target, Host: addr, Header: http.Header{"User-Agent": {""}}, Close: true,
	}, timeout, maxGetBytes)
	if resp == nil {
		return 0, nil, err
	}
	return resp.Status, body, err
}
