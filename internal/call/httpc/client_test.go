package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// serveRaw starts a TCP server. handle gets each connection and its number,
// from 0.
func serveRaw(t *testing.T, handle func(n int, c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func readRequest(in *bufio.Reader) string {
	r, err := http.ReadRequest(in)
	if err != nil {
		return ""
	}
	body, _ := io.ReadAll(r.Body)
	return r.Method + " " + r.RequestURI + " " + string(body)
}

func newPool() *Pool { return New(Config{DialTimeout: time.Second, UserTimeout: time.Second}) }

func get(p *Pool, addr, id string) (*Response, []byte, error) {
	r, err := p.Do(context.Background(), addr, Request{
		Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r)
	r.Close(err == nil)
	return r, body, err
}

func TestResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for _, test := range []struct {
		name, raw string
		body      string
		wantErr   bool // reading the header or the body fails
		reused    bool // the next request uses the same connection
	}{
		{"length", head + "Content-Length: 2\r\n\r\nhi", "hi", false, true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", false, true},
		{"until the end of the connection", head + "\r\nhi", "hi", false, false},
		{"Connection: close", head + "Connection: close\r\nContent-Length: 2\r\n\r\nhi", "hi", false, false},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nhi", "hi", false, true},
		{"bytes after the response", head + "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", "hi", false, false},
		{"response to another request first", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nz" + head + "Content-Length: 2\r\n\r\nhi", "hi", false, true},
		{"only a response to another request", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nz", "", true, false},
		{"without an ID", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", true, false},
		{"truncated body", head + "Content-Length: 5\r\n\r\nhi", "hi", true, false},
		{"truncated chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", "hi", true, false},
		{"not HTTP", "hello\r\n\r\n", "", true, false},
		{"part of a head first", "HTTP/1.1 503 Busy\r\nX: " + head + "Content-Length: 2\r\n\r\nhi", "", true, false},
		{"part of a status line first", "HTTP/1.1 503 Bu" + head + "Content-Length: 2\r\n\r\nhi", "", true, false},
		{"protocol version in a header", head + "Upgrade: HTTP/2.0\r\nX: HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "hi", false, true},
		{"conflicting lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := serveRaw(t, func(n int, c net.Conn, in *bufio.Reader) {
				if n > 0 {
					return
				}
				if readRequest(in) == "" {
					return
				}
				_, _ = io.WriteString(c, test.raw)
				if test.reused {
					readRequest(in)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nkept")
				}
			})
			p := newPool()
			_, body, err := get(p, addr, "a")
			if (err != nil) != test.wantErr || err == nil && string(body) != test.body {
				t.Fatalf("body %q, error %v, want %q, error %v", body, err, test.body, test.wantErr)
			}
			r, _, err := get(p, addr, "b")
			if reused := err == nil && !r.Dialed; reused != test.reused {
				t.Fatalf("connection reused %v (%v), want %v", reused, err, test.reused)
			}
		})
	}
}

func TestErrorKinds(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	_ = ln.Close()
	reset := serveRaw(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for _, test := range []struct {
		name, addr string
		kind       Kind
	}{{"refused", closed, KindUnsent}, {"reset after the request", reset, KindMaybeSent}} {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := get(newPool(), test.addr, "a")
			var e *Error
			if !errors.As(err, &e) || e.Kind != test.kind {
				t.Fatalf("error %v, want kind %d", err, test.kind)
			}
		})
	}
}

// An idle connection that the endpoint has closed must not be reused: the
// request could be lost, and one that must not repeat could not be sent again.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	addr := serveRaw(t, func(n int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) == "" {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\nKeep-Alive: timeout=60\r\n\r\n")
		if n == 0 {
			_ = c.Close()
			close(closed)
		}
	})
	p := newPool()
	if _, _, err := get(p, addr, "a"); err != nil {
		t.Fatal(err)
	}
	<-closed
	time.Sleep(20 * time.Millisecond) // for the close to arrive over loopback
	if r, _, err := get(p, addr, "a"); err != nil || !r.Dialed {
		t.Fatalf("second request: %v, want a response on a new connection", err)
	}
}

func TestReuseTimeFollowsKeepAlive(t *testing.T) {
	for _, test := range []struct {
		value string
		want  time.Duration
	}{
		{"timeout=10", 6 * time.Second}, {"max=5, timeout=5", 3 * time.Second}, {"", defaultReuseTime}, {"timeout=x", defaultReuseTime},
	} {
		if got := reuseTime(http.Header{"Keep-Alive": {test.value}}); got != test.want {
			t.Errorf("%q: reused for %v, want %v", test.value, got, test.want)
		}
	}
}

// An endpoint may respond before it has read a long body. The connection must
// then not be reused, since the endpoint would take the next request for the
// rest of the body.
func TestEarlyResponseToLongBody(t *testing.T) {
	body := strings.Repeat("x", 32<<20) // more than the sockets of both ends buffer
	rest := make(chan int64, 1)
	addr := serveRaw(t, func(n int, c net.Conn, in *bufio.Reader) {
		if n > 0 {
			return
		}
		_, _ = in.Peek(1)
		_, _ = io.WriteString(c, "HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		read, _ := io.Copy(io.Discard, in)
		rest <- read
	})
	p := newPool()
	r, err := p.Do(context.Background(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(body)})
	if err != nil || r.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("response %+v, error %v, want the early 413", r, err)
	}
	r.Close(true)
	if _, err := p.Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}); err == nil {
		t.Fatal("a connection with an unread body was reused")
	}
	if n := <-rest; n > int64(len(body))+1000 {
		t.Fatalf("the endpoint got %d bytes, want no more than the request's %d", n, len(body))
	}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	for _, test := range []struct{ method, target, body string }{
		{"GET", "/a//b/../c?x=%2F&y", ""}, {"POST", "/p/", "hello"}, {"POST", "/p/", strings.Repeat("x", 20<<10)}, {"DELETE", "/x", ""},
	} {
		t.Run(test.method+strconv.Itoa(len(test.body)), func(t *testing.T) {
			got := make(chan string, 1)
			addr := serveRaw(t, func(_ int, c net.Conn, in *bufio.Reader) {
				got <- readRequest(in)
				_, _ = io.WriteString(c, "HTTP/1.1 204 Done\r\n\r\n")
			})
			_, err := newPool().Do(context.Background(), addr, Request{Method: test.method, Target: test.target, Host: "h", Body: []byte(test.body)})
			if err != nil {
				t.Fatal(err)
			}
			if want := test.method + " " + test.target + " " + test.body; <-got != want {
				t.Fatalf("the endpoint did not read the request %q", want)
			}
		})
	}
}

func TestContextCancellationClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := serveRaw(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		readRequest(in)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := newPool().Do(ctx, addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want the context's", err)
	}
	<-closed // the endpoint sees the connection close
}

func TestCloseExpired(t *testing.T) {
	addr := serveRaw(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n")
		}
	})
	p := newPool()
	if _, _, err := get(p, addr, "a"); err != nil {
		t.Fatal(err)
	}
	p.CloseExpired(time.Now().Add(time.Minute))
	if r, _, err := get(p, addr, "a"); err != nil || !r.Dialed {
		t.Fatalf("after CloseExpired: %v, want a new connection", err)
	}
}

// Guards against responses to an earlier request that are taken for those to a later one with
// the same key, and against connections that are given up without need.
func TestExclusiveRequestsAvoidConnectionsOfTheirKey(t *testing.T) {
	addr := serveRaw(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n")
		}
	})
	p := newPool()
	for i, test := range []struct {
		key       string
		exclusive bool
		dialed    bool
	}{
		{"a", true, true},
		{"b", true, false},
		{"a", false, false},
		{"", false, false},
		{"a", true, true},
		{"c", true, false},
		{"", true, false},
		{"b", true, false},
		{"a", true, true},
		{"a", true, true},
		{"d", true, false},
	} {
		r, err := p.Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Key: test.key, Exclusive: test.exclusive})
		if err != nil {
			t.Fatal(err)
		}
		if r.Dialed != test.dialed {
			t.Errorf("request %d, key %q, exclusive %v: new connection %v, want %v", i, test.key, test.exclusive, r.Dialed, test.dialed)
		}
		r.Close(true)
	}
}

// A connection does not remember more than maxKeys keys.
func TestConnectionClosesAfterManyKeys(t *testing.T) {
	addr := serveRaw(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n")
		}
	})
	p := newPool()
	dials := 0
	for i := range 2*maxKeys + 1 {
		r, err := p.Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Key: strconv.Itoa(i), Exclusive: true})
		if err != nil {
			t.Fatal(err)
		}
		if r.Dialed {
			dials++
		}
		r.Close(true)
	}
	if dials != 3 {
		t.Errorf("%d connections for %d requests, want 3", dials, 2*maxKeys+1)
	}
}

// Guards against responses that were cut, at whatever byte, and look whole.
func TestCutResponses(t *testing.T) {
	const interim = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
	const stale = "HTTP/1.1 503 Busy\r\nId: z\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno"
	for _, test := range []struct {
		name, before, status, framing, body string
		unframed                            bool
	}{
		{"length", "", "200 OK", "Content-Length: 5\r\n", "hello", false},
		{"chunks", "", "200 OK", "Transfer-Encoding: chunked\r\n", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", false},
		{"chunks with a trailer", "", "200 OK", "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n", "5\r\nhello\r\n0\r\nSum: 1\r\n\r\n", false},
		{"no framing", "", "200 OK", "", "hello", true},
		{"failure", "", "404 None", "Content-Length: 5\r\n", "hello", false},
		{"failure without framing", "", "404 None", "", "hello", true},
		{"refusal", "", "503 Busy", "Not-Executed: 1\r\nContent-Length: 5\r\n", "hello", false},
		{"refusal without framing", "", "503 Busy", "Not-Executed: 1\r\n", "hello", true},
		{"without a body", "", "204 None", "", "", false},
		{"length 0", "", "503 Busy", "Content-Length: 0\r\n", "", false},
		{"folded header", "", "200 OK", "Content-Length: 5\r\nX: a\r\n b\r\n", "hello", false},
		{"after an interim response", interim, "200 OK", "Content-Length: 5\r\n", "hello", false},
		{"after a response to another request", stale, "200 OK", "Content-Length: 5\r\n", "hello", false},
	} {
		head := test.before + "HTTP/1.1 " + test.status + "\r\nId: a\r\n" + test.framing + "\r\n"
		raw := head + test.body
		for _, reset := range []bool{false, true} {
			t.Run(test.name+" reset "+strconv.FormatBool(reset), func(t *testing.T) {
				t.Parallel()
				addr := serveRaw(t, func(n int, c net.Conn, in *bufio.Reader) {
					readRequest(in)
					_, _ = io.WriteString(c, raw[:n])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				p := newPool()
				for n := range len(raw) + 1 {
					r, err := p.Do(context.Background(), addr, Request{
						Method: http.MethodGet, Target: "/", Host: "h", NewConn: true, Matches: func(h http.Header) bool { return h.Get("Id") == "a" },
					})
					var body []byte
					if err == nil {
						body, err = r.ReadAll(100)
					}
					whole := n == len(raw) || test.unframed && !reset && n >= len(head)
					if err == nil && !whole {
						t.Errorf("cut after %d of %d bytes: complete, %d %q", n, len(raw), r.Status, body)
					}
					if err != nil && whole && !reset {
						t.Errorf("whole after %d of %d bytes: %v", n, len(raw), err)
					}
					if r != nil && (n < len(head) || r.Unframed != test.unframed) {
						t.Errorf("cut after %d bytes, the head has %d: response %d, unframed %v, want %v", n, len(head), r.Status, r.Unframed, test.unframed)
					}
				}
			})
		}
	}
}
