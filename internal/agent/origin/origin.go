// Package origin sends one request to an endpoint over a connection of its own.
// It never sends twice, and its errors are of httpc.Error, which tells whether the
// endpoint may have seen the request.
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

// Response is an answer whose body is read as it arrives.
type Response struct {
	resp        fasthttp.Response
	conn        net.Conn
	readTimeout time.Duration
}

// Do sends a request to the address. silence bounds every wait for bytes of the
// answer. The connection is closed when the context ends.
func Do(ctx context.Context, addr string, req *fasthttp.Request, silence time.Duration) (*Response, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &httpc.Error{Op: "dial", Kind: httpc.KindUnsent, Err: err}
	}
	r := &Response{conn: conn, readTimeout: silence}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := r.exchange(req); err != nil {
		stop()
		_ = conn.Close()
		return nil, &httpc.Error{Op: "exchange", Kind: httpc.KindMaybeSent, Err: err}
	}
	return r, nil
}

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

// Close closes the connection, whatever was read.
func (r *Response) Close() { _ = r.conn.Close() }

// timeoutReader renews the read deadline with each read.
type timeoutReader struct {
	conn    net.Conn
	timeout time.Duration
}

// Read reads from the connection within the silence.
func (p timeoutReader) Read(b []byte) (int, error) {
	if err := p.conn.SetReadDeadline(time.Now().Add(p.timeout)); err != nil {
		return 0, err
	}
	return p.conn.Read(b)
}
