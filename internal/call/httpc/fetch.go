package httpc

import (
	"context"
	"time"
)

// MinRate is the rate in bytes a second at which a response to Fetch must arrive at least: less
// than half of the slowest links, since calls use them too.
const MinRate = 512 << 10

// Fetch sends a request and returns the response with its body of at most a number of bytes. The
// response's head and each further part of the body may take the timeout, and the whole the timeout
// and the time that the bytes take at MinRate, as others decide how many there are. If the body has
// not arrived, the response is returned with the error.
func (p *Pool) Fetch(ctx context.Context, addr string, req Request, timeout time.Duration, most int64) (*Response, []byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ends := time.Now().Add(timeout)
	expiry := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	defer expiry.Stop()
	resp, err := p.Do(ctx, addr, req)
	if err != nil {
		return nil, nil, err
	}
	body, err := resp.readAll(most, func(bytes int) {
		ends = ends.Add(time.Duration(bytes) * time.Second / MinRate)
		expiry.Reset(min(timeout, time.Until(ends)))
	})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return resp, body, err
}
