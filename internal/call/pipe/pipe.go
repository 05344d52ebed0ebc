// Package pipe sends requests to endpoints over kept HTTP/1.1 connections. It
// never sends a request twice, and its errors tell whether the endpoint may have
// seen it. net/http's transport is not used because it resends some requests by
// itself when a kept connection breaks.
package pipe

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosalock/mimosalock/internal/entry/gone"
)

const (
	readBuffer  = 4 << 10
	inlineWrite = 8 << 10 // larger bodies are written beside reading the answer
	// keepShare is the part of an endpoint's announced idle timeout during which a
	// connection is used again; the rest covers the way there.
	keepShare   = 0.6
	defaultKeep = 2 * time.Second // an endpoint that announces no idle timeout
	maxIdle     = 32              // kept connections for each address
	maxStrays   = 4               // answers of other requests read past on one connection
	maxStray    = 1 << 20         // bytes of one of them
)

// Config bounds the waits of a Pool.
type Config struct {
	DialTimeout time.Duration
	// Unacknowledged closes a connection whose written bytes stay unacknowledged
	// for so long. It finds connections that went silent for good.
	Unacknowledged time.Duration
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	idle map[string][]*conn // the most recently used last
}

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: map[string][]*conn{}} }

// Request is one request, whole in memory.
type Request struct {
	Method string
	Target string // path and query, sent as they are
	Host   string
	Header http.Header
	Body   []byte
	// Mine tells this request's answer from a stray one of an earlier request on
	// the same connection. nil accepts any.
	Mine func(http.Header) bool
	// Fresh asks for a new connection.
	Fresh bool
}

// Response is an answer whose body is read as it arrives.
type Response struct {
	Status int
	Header http.Header
	Dialed bool // the connection is new

	conn    *conn
	body    io.Reader
	pool    *Pool
	close   bool // the endpoint closes the connection afterwards
	written chan error
	stop    func() bool
	once    sync.Once
}

type conn struct {
	net.Conn
	addr string
	in   *bufio.Reader
	keep time.Time // used again until then
}

// Do sends a request and waits for the head of its answer. The connection is
// closed when the context ends.
func (p *Pool) Do(ctx context.Context, addr string, req Request) (*Response, error) {
	c, dialed, err := p.take(ctx, addr, req.Fresh)
	if err != nil {
		return nil, newError("dial", KindUnsent, err)
	}
	r := &Response{conn: c, pool: p, Dialed: dialed, written: make(chan error, 1)}
	r.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.exchange(req); err != nil {
		r.drop()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, newError("exchange", KindBroken, err)
	}
	return r, nil
}

// take returns a kept connection on which nothing happened, or a new one.
func (p *Pool) take(ctx context.Context, addr string, fresh bool) (c *conn, dialed bool, err error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.keep) && gone.Quiet(c.Conn) {
			return c, false, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: p.cfg.DialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, false, err
	}
	p.limitSilence(raw)
	return &conn{Conn: raw, addr: addr, in: bufio.NewReaderSize(raw, readBuffer)}, true, nil
}

func (p *Pool) limitSilence(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || p.cfg.Unacknowledged <= 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// A kernel without the option leaves the callers' own time-outs in force.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.Unacknowledged.Milliseconds()))
	})
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Forget closes the kept connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes kept connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if now.Before(c.keep) {
				live = append(live, c)
				continue
			}
			_ = c.Close()
		}
		if len(live) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = live
	}
}

// exchange writes the request and reads the head of its answer. An endpoint
// may answer before it has read a long body, so that one is written beside.
func (r *Response) exchange(req Request) error {
	if len(req.Body) > inlineWrite {
		go func() { r.written <- write(r.conn, req) }()
	} else {
		err := write(r.conn, req)
		r.written <- err
		if err != nil {
			return err
		}
	}
	for range maxStrays {
		resp, err := readHead(r.conn.in, req.Method)
		if err != nil {
			return err
		}
		if req.Mine == nil || req.Mine(resp.Header) {
			r.adopt(resp)
			return nil
		}
		if resp.Close {
			return errors.New("the connection ended with the answer of another request")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray)); err != nil {
			return err
		}
	}
	return errors.New("too many answers of other requests")
}

func (r *Response) adopt(resp *http.Response) {
	r.Status, r.Header, r.body = resp.StatusCode, resp.Header, resp.Body
	r.close = resp.Close || resp.ProtoMinor == 0
}

func write(c net.Conn, req Request) error {
	out := http.Request{
		Method: req.Method, URL: &url.URL{Opaque: req.Target}, Host: req.Host, Header: req.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(req.Body)),
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

// readHead reads the head of an answer, past interim ones.
func readHead(in *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body. io.EOF is returned only at its complete end.
func (r *Response) Read(b []byte) (int, error) { return r.body.Read(b) }

// SetReadDeadline bounds the wait for further bytes of the body.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Close gives the connection back if the body was read to its end, and closes
// it otherwise. whole tells that it was.
func (r *Response) Close(whole bool) {
	if !whole || r.close || r.conn.in.Buffered() > 0 || !r.sent() {
		r.drop()
		return
	}
	r.once.Do(func() {
		if !r.stop() {
			_ = r.conn.Close()
			return
		}
		_ = r.conn.SetReadDeadline(time.Time{})
		r.conn.keep = time.Now().Add(keepFor(r.Header))
		r.pool.put(r.conn)
	})
}

// sent reports whether the whole request was written.
func (r *Response) sent() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

func (r *Response) drop() {
	r.once.Do(func() {
		r.stop()
		_ = r.conn.Close()
	})
}

// keepFor is how long a connection is used again after an answer.
func keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * keepShare * float64(time.Second))
		}
	}
	return defaultKeep
}
