// Package httpc is an HTTP/1.1 client that reuses idle connections. It never
// sends a request twice, and its errors tell whether the endpoint may have
// received the request. net/http's Transport is not used because it resends
// some requests by itself when a reused connection breaks.
package httpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosalock/mimosalock/internal/entry/sock"
)

const (
	readBufferBytes    = 4 << 10
	maxInlineBodyBytes = 8 << 10 // larger bodies are written concurrently with reading the response
	// idleTimeoutShare is the fraction of an endpoint's announced idle timeout
	// during which a connection is reused. The rest leaves time for the next
	// request to arrive before the endpoint closes the connection.
	idleTimeoutShare      = 0.6
	defaultReuseTime      = 2 * time.Second // for endpoints that announce no idle timeout
	maxIdlePerAddress     = 32
	maxStaleResponses     = 4        // responses to other requests that one exchange may skip
	maxStaleResponseBytes = 1 << 20  // of the body of a response to another request; after a longer one the connection is closed
	maxHeadBytes          = 64 << 10 // of a response, including what was read ahead of its body
	maxKeys               = 1024     // of the requests on one connection, which is closed after them
)

// Config holds the timeouts of a Pool.
type Config struct {
	DialTimeout time.Duration
	// UserTimeout closes a connection if data that was written to it stays
	// unacknowledged for this long (TCP_USER_TIMEOUT). It detects peers that
	// became unreachable without closing the connection.
	UserTimeout time.Duration
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	seed maphash.Seed // of conn.keys
	mu   sync.Mutex
	idle map[string][]*conn // most recently used last
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, seed: maphash.MakeSeed(), idle: map[string][]*conn{}}
}

// Request is one request, completely in memory.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response with this header belongs to this request
	// and not to an earlier one on the same connection. nil accepts every
	// response.
	Matches func(http.Header) bool
	// Key is shared by requests whose responses Matches does not tell apart.
	Key string
	// Exclusive excludes connections that have carried a request with the same key, since
	// the endpoint may repeat its response to that one.
	Exclusive bool
	// NewConn requests a new connection instead of an idle one.
	NewConn bool
	// Close closes the connection after the response, and tells the endpoint so.
	Close bool
}

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

type conn struct {
	net.Conn
	addr       string
	reader     *bufio.Reader // of headReader
	head       *headReader
	reuseUntil time.Time
	keys       []uint64 // hashes of the keys of the requests that it has carried
}

// headReader reads from a connection, and bounds what is read while a response's head
// is awaited: an endpoint may send lines without end.
type headReader struct {
	src     io.Reader
	left    int // bytes until the limit
	limited bool
}

var errHeadTooLarge = fmt.Errorf("the response's head is larger than %d bytes", maxHeadBytes)

func (h *headReader) Read(b []byte) (int, error) {
	if !h.limited {
		return h.src.Read(b)
	}
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.src.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

// limit starts the bound for one head, and unlimit ends it.
func (h *headReader) limit()   { h.limited, h.left = true, maxHeadBytes }
func (h *headReader) unlimit() { h.limited = false }

// Do sends a request and waits for the response header. The connection is
// closed when the context ends.
func (p *Pool) Do(ctx context.Context, addr string, req Request) (*Response, error) {
	key := maphash.String(p.seed, req.Key)
	c, dialed, err := p.acquire(ctx, addr, req, key)
	if err != nil {
		return nil, newError("dial", KindUnsent, err)
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, newError("send", KindUnsent, context.Cause(ctx))
	}
	if !slices.Contains(c.keys, key) {
		c.keys = append(c.keys, key)
	}
	r := &Response{conn: c, pool: p, Dialed: dialed, writeDone: make(chan error, 1)}
	r.stopCancelWatch = context.AfterFunc(ctx, func() { r.Hangup() })
	if err := r.exchange(req); err != nil {
		r.stopCancelWatch()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		failure := newError("exchange", KindMaybeSent, err)
		failure.Hangup = r.Hangup()
		return nil, failure
	}
	return r, nil
}

// acquire returns an idle connection that suits the request, is still open and has no
// unread data, or a new one. key is the hash of the request's key.
func (p *Pool) acquire(ctx context.Context, addr string, req Request, key uint64) (c *conn, dialed bool, err error) {
	for !req.NewConn {
		c := p.popIdle(addr, func(c *conn) bool { return !req.Exclusive || !slices.Contains(c.keys, key) })
		if c == nil {
			break
		}
		if time.Now().Before(c.reuseUntil) && sock.IsIdle(c.Conn) {
			return c, false, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: p.cfg.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, false, err
	}
	p.setUserTimeout(raw)
	head := &headReader{src: raw}
	return &conn{Conn: raw, addr: addr, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, true, nil
}

// setUserTimeout applies Config.UserTimeout to a connection.
func (p *Pool) setUserTimeout(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || p.cfg.UserTimeout <= 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without kernel support, only the context and SetReadDeadline limit the wait.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.UserTimeout.Milliseconds()))
	})
}

// popIdle removes the most recently used of the idle connections that suit and returns it,
// nil if there is none.
func (p *Pool) popIdle(addr string, suits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if suits(c) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddress || len(c.keys) >= maxKeys {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes idle connections whose reuse time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		unexpired := list[:0]
		for _, c := range list {
			if now.Before(c.reuseUntil) {
				unexpired = append(unexpired, c)
				continue
			}
			_ = c.Close()
		}
		if len(unexpired) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = unexpired
	}
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

func writeRequest(c net.Conn, req Request) error {
	out := http.Request{
		Method: req.Method, URL: &url.URL{Opaque: req.Target}, Host: req.Host, Header: req.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(req.Body)), Close: req.Close,
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	var buf bytes.Buffer
	if err := out.Write(&buf); err != nil {
		return err
	}
	_, err := c.Write(buf.Bytes())
	return err
}

// readHead reads the header of the final response. With the interim ones before it, it is
// bounded.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.limit()
	defer c.head.unlimit()
	resp, err := ReadHead(c.reader, method)
	if err == nil && joined(resp) {
		return nil, errJoinedHeads
	}
	return resp, err
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
