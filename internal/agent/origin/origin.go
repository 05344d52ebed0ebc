// Package origin sends one HTTP request to an endpoint over a new connection. It
// never sends a request twice. Errors of Do are of type *httpc.Error, which says
// whether the endpoint may have received the request.
package origin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
)

const (
	dialTimeout     = 2 * time.Second
	writeTimeout    = 30 * time.Second
	readBufferBytes = 16 << 10
)

// Response is a response whose body is read as it arrives.
type Response struct {
	resp        fasthttp.Response
	conn        net.Conn
	readTimeout time.Duration
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
	r := &Response{conn: conn, readTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := r.exchange(req); err != nil {
		stop()
		_ = conn.Close()
		return nil, &httpc.Error{Op: "exchange", Kind: httpc.KindMaybeSent, Err: err}
	}
	return r, nil
}

// exchange writes the request and reads the response headers.
func (r *Response) exchange(req *fasthttp.Request) error {
	if err := r.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	w := bufio.NewWriter(r.conn)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	r.resp.StreamBody = true
	r.resp.SkipBody = req.Header.IsHead()
	return r.resp.ReadLimitBody(bufio.NewReaderSize(timeoutReader{r.conn, r.readTimeout}, readBufferBytes), 0)
}

// Status returns the status code.
func (r *Response) Status() int { return r.resp.StatusCode() }

// Header returns the response headers.
func (r *Response) Header() *fasthttp.ResponseHeader { return &r.resp.Header }

// Body returns the body as a stream.
func (r *Response) Body() io.Reader {
	if body := r.resp.BodyStream(); body != nil {
		return body
	}
	return bytes.NewReader(nil)
}

// Close closes the connection, even if the body was not read to its end.
func (r *Response) Close() { _ = r.conn.Close() }

// timeoutReader renews the read deadline before each read.
type timeoutReader struct {
	conn    net.Conn
	timeout time.Duration
}

// Read reads from the connection within the timeout.
func (r timeoutReader) Read(b []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}
