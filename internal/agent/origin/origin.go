// Package origin sends one HTTP request to an endpoint over a new connection. It
// never sends a request twice. Errors of Do are of type *httpc.Error, which says
// whether the endpoint may have received the request.
package origin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 30 * time.Second
	maxHeadBytes = 16 << 10 // of a response, including what was read ahead of its body
)

var errHeadTooLarge = fmt.Errorf("the response's head is larger than %d bytes", maxHeadBytes)

// Response is a response whose body is read as it arrives.
type Response struct {
	resp *http.Response
	conn net.Conn
}

// Do sends a request to the address and returns the response when its headers have
// arrived. readTimeout limits each wait for bytes of the response. The connection
// is closed when the context ends.
func Do(ctx context.Context, addr string, req *fasthttp.Request, readTimeout time.Duration) (*Response, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &httpc.Error{Op: "dial", Kind: httpc.KindUnsent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := exchange(conn, req, readTimeout)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &httpc.Error{Op: "exchange", Kind: httpc.KindMaybeSent, Err: err}
	}
	return &Response{resp: resp, conn: conn}, nil
}

// exchange writes the request and reads the response headers.
func exchange(conn net.Conn, req *fasthttp.Request, readTimeout time.Duration) (*http.Response, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, err
	}
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	src := &timeoutReader{conn: conn, timeout: readTimeout}
	bounded := &io.LimitedReader{R: src, N: maxHeadBytes}
	// fasthttp takes a body that is cut between two chunks for a complete one, and allocates the
	// declared length of a body.
	resp, err := httpc.ReadHead(bufio.NewReaderSize(bounded, maxHeadBytes), string(req.Header.Method()))
	switch {
	case err == nil:
		bounded.N = math.MaxInt64
		return resp, nil
	case errors.Is(src.err, os.ErrDeadlineExceeded):
		// Not wrapped: it would say that the endpoint has begun to answer and is slow.
		return nil, fmt.Errorf("no response headers within %v", readTimeout)
	case src.err != nil: // net/http reports a header line that was cut as a malformed one
		return nil, fmt.Errorf("response headers cut: %w", src.err)
	case bounded.N <= 0:
		return nil, errHeadTooLarge
	}
	return nil, err
}

// Status returns the status code.
func (r *Response) Status() int { return r.resp.StatusCode }

// Header returns the response headers.
func (r *Response) Header() http.Header { return r.resp.Header }

// Body returns the body as a stream. It returns io.EOF only after the complete body.
func (r *Response) Body() io.Reader { return r.resp.Body }

// Close closes the connection, even if the body was not read to its end.
func (r *Response) Close() { _ = r.conn.Close() }

// timeoutReader renews the read deadline before each read and keeps the last error.
type timeoutReader struct {
	conn    net.Conn
	timeout time.Duration
	err     error
}

// Read reads from the connection within the timeout.
func (r *timeoutReader) Read(b []byte) (n int, err error) {
	if r.err = r.conn.SetReadDeadline(time.Now().Add(r.timeout)); r.err != nil {
		return 0, r.err
	}
	n, r.err = r.conn.Read(b)
	return n, r.err
}
