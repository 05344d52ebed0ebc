package httpc

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Response is a response whose body is read as it arrives.
type Response struct {
	Status int
	Header http.Header
	Dialed bool // the connection is new
	// Unframed means that the body has neither a length nor chunks and ends with its
	// connection, so that one that was cut may look complete.
	Unframed bool

	conn            *conn
	body            io.Reader
	pool            *Pool
	closeAfter      bool        // the endpoint closes the connection after this response
	writeDone       chan error  // receives the result of writing the request
	stopCancelWatch func() bool // detaches the connection from the context, whose end closes it
	closeOnce       sync.Once
	hangup          *Hangup // set by closeOnce
}

// exchange writes the request and reads the response header. A long body is
// written concurrently, because an endpoint may respond before it has read all
// of it.
func (r *Response) exchange(req Request) error {
	if len(req.Body) > maxInlineBodyBytes {
		go func() { r.writeDone <- writeRequest(r.conn, req) }()
	} else {
		err := writeRequest(r.conn, req)
		r.writeDone <- err
		if err != nil {
			return err
		}
	}
	for range maxStaleResponses {
		resp, err := r.conn.readHead(req.Method)
		if err != nil {
			return err
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			r.setHead(resp)
			r.closeAfter = r.closeAfter || req.Close
			return nil
		}
		if resp.Close {
			return errors.New("connection closed after a response to another request")
		}
		switch skipped, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleResponseBytes+1)); {
		case err != nil:
			return err
		case skipped > maxStaleResponseBytes:
			return errors.New("a response to another request is too large to skip")
		}
	}
	return errors.New("too many responses to other requests")
}

func (r *Response) setHead(resp *http.Response) {
	r.Status, r.Header, r.body = resp.StatusCode, resp.Header, resp.Body
	r.closeAfter = resp.Close || resp.ProtoMinor == 0
	r.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// ReadAll reads the body of at most a number of bytes and closes the response. After a
// larger one the connection is not used again.
func (r *Response) ReadAll(most int64) ([]byte, error) {
	return r.readAll(most, func(int) {})
}

// readAll is ReadAll with a function that is called with the number of bytes whenever some have
// arrived.
func (r *Response) readAll(most int64, arrived func(bytes int)) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(observedReader{r, arrived}, most+1))
	if err == nil && int64(len(body)) > most {
		body, err = nil, fmt.Errorf("the response's body is larger than %d bytes", most)
	}
	r.Close(err == nil)
	return body, err
}

// observedBytes bounds one read: one of a chunked body waits until its buffer is full.
const observedBytes = 16 << 10

type observedReader struct {
	io.Reader
	arrived func(bytes int)
}

func (o observedReader) Read(b []byte) (int, error) {
	n, err := o.Reader.Read(b[:min(len(b), observedBytes)])
	if n > 0 {
		o.arrived(n)
	}
	return n, err
}

// Read reads the body. It returns io.EOF only after the complete body.
func (r *Response) Read(b []byte) (int, error) { return r.body.Read(b) }

// SetReadDeadline limits the wait for more bytes of the body.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise. complete tells whether the body was read to its end.
func (r *Response) Close(complete bool) {
	if !complete {
		r.stopCancelWatch()
		r.Hangup()
		return
	}
	if r.closeAfter || r.conn.reader.Buffered() > 0 || !r.requestSent() {
		r.closeConn()
		return
	}
	r.closeOnce.Do(func() {
		if !r.stopCancelWatch() {
			_ = r.conn.Close()
			return
		}
		_ = r.conn.SetReadDeadline(time.Time{})
		r.conn.reuseUntil = time.Now().Add(reuseTime(r.Header))
		r.pool.putIdle(r.conn)
	})
}

// Hangup ends the exchange unless it is closed, and returns that end: nil if the response was
// complete or the endpoint has closed its side. It may be called beside Read.
func (r *Response) Hangup() *Hangup {
	r.closeOnce.Do(func() { r.hangup = hangUp(r.conn.Conn) })
	return r.hangup
}

// requestSent reports whether the whole request was written.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false
	}
}

func (r *Response) closeConn() {
	r.closeOnce.Do(func() {
		r.stopCancelWatch()
		_ = r.conn.Close()
	})
}

// reuseTime returns how long a connection may be reused after a response with
// this header.
func reuseTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultReuseTime
}
