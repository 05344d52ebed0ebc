package pipe

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

// endpoint answers raw bytes. play gets each connection with its number.
func endpoint(t *testing.T, play func(n int, c net.Conn, in *bufio.Reader)) string {
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
				play(n, c, bufio.NewReader(c))
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

func newPool() *Pool { return New(Config{DialTimeout: time.Second, Unacknowledged: time.Second}) }

func get(p *Pool, addr, id string) (*Response, []byte, error) {
	r, err := p.Do(context.Background(), addr, Request{
		Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}},
		Mine: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r)
	r.Close(err == nil)
	return r, body, err
}

func TestAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for _, test := range []struct {
		name, raw string
		body      string
		fails     bool // no head, or the body breaks off
		kept      bool // the next request uses the same connection
	}{
		{"length", head + "Content-Length: 2\r\n\r\nhi", "hi", false, true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", false, true},
		{"until the end of the connection", head + "\r\nhi", "hi", false, false},
		{"close is announced", head + "Connection: close\r\nContent-Length: 2\r\n\r\nhi", "hi", false, false},
		{"interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nhi", "hi", false, true},
		{"bytes after the answer", head + "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", "hi", false, false},
		{"answer of another request first", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nz" + head + "Content-Length: 2\r\n\r\nhi", "hi", false, true},
		{"only the answer of another request", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1\r\n\r\nz", "", true, false},
		{"without an ID", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", true, false},
		{"body cut", head + "Content-Length: 5\r\n\r\nhi", "hi", true, false},
		{"chunks cut", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", "hi", true, false},
		{"no answer in the protocol", "hello\r\n\r\n", "", true, false},
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := endpoint(t, func(n int, c net.Conn, in *bufio.Reader) {
				if n > 0 {
					return
				}
				if readRequest(in) == "" {
					return
				}
				_, _ = io.WriteString(c, test.raw)
				if test.kept {
					readRequest(in)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nkept")
				}
			})
			p := newPool()
			_, body, err := get(p, addr, "a")
			if (err != nil) != test.fails || err == nil && string(body) != test.body {
				t.Fatalf("body %q, error %v, want %q, failure %v", body, err, test.body, test.fails)
			}
			r, _, err := get(p, addr, "b")
			if kept := err == nil && !r.Dialed; kept != test.kept {
				t.Fatalf("connection kept %v (%v), want %v", kept, err, test.kept)
			}
		})
	}
}

func TestErrorsTellWhatWasSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	_ = ln.Close()
	reset := endpoint(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for _, test := range []struct {
		name, addr string
		kind       Kind
	}{{"refused", closed, KindUnsent}, {"reset after the request", reset, KindBroken}} {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := get(newPool(), test.addr, "a")
			var e *Error
			if !errors.As(err, &e) || e.Kind != test.kind {
				t.Fatalf("error %v, want kind %d", err, test.kind)
			}
		})
	}
}

// A kept connection that the endpoint closed meanwhile is not used: a request
// that must not repeat could not be sent again.
func TestIdleConnectionThatWasClosed(t *testing.T) {
	closed := make(chan struct{})
	addr := endpoint(t, func(n int, c net.Conn, in *bufio.Reader) {
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
		t.Fatalf("second request: %v, want an answer on a new connection", err)
	}
}

func TestKeepAliveIsRespected(t *testing.T) {
	for _, test := range []struct {
		value string
		want  time.Duration
	}{
		{"timeout=10", 6 * time.Second}, {"max=5, timeout=5", 3 * time.Second}, {"", defaultKeep}, {"timeout=x", defaultKeep},
	} {
		if got := keepFor(http.Header{"Keep-Alive": {test.value}}); got != test.want {
			t.Errorf("%q: kept for %v, want %v", test.value, got, test.want)
		}
	}
}

// An endpoint may answer before it has read a long body. It must not get other
// bytes where the rest is due.
func TestEarlyAnswerToALongBody(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	rest := make(chan int64, 1)
	addr := endpoint(t, func(n int, c net.Conn, in *bufio.Reader) {
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
		t.Fatalf("answer %+v, error %v, want the early 413", r, err)
	}
	r.Close(true)
	if _, err := p.Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}); err == nil {
		t.Fatal("the connection with an unread body was used again")
	}
	if n := <-rest; n > int64(len(body))+1000 {
		t.Fatalf("the endpoint got %d bytes, want no more than the request's %d", n, len(body))
	}
}

func TestRequestAsSent(t *testing.T) {
	for _, test := range []struct{ method, target, body string }{
		{"GET", "/a//b/../c?x=%2F&y", ""}, {"POST", "/p/", "hello"}, {"POST", "/p/", strings.Repeat("x", 20<<10)}, {"DELETE", "/x", ""},
	} {
		t.Run(test.method+strconv.Itoa(len(test.body)), func(t *testing.T) {
			got := make(chan string, 1)
			addr := endpoint(t, func(_ int, c net.Conn, in *bufio.Reader) {
				got <- readRequest(in)
				_, _ = io.WriteString(c, "HTTP/1.1 204 Done\r\n\r\n")
			})
			_, err := newPool().Do(context.Background(), addr, Request{Method: test.method, Target: test.target, Host: "h", Body: []byte(test.body)})
			if err != nil {
				t.Fatal(err)
			}
			if want := test.method + " " + test.target + " " + test.body; <-got != want {
				t.Fatalf("the endpoint read another request than %q", want)
			}
		})
	}
}

func TestContextEndsTheExchange(t *testing.T) {
	closed := make(chan struct{})
	addr := endpoint(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		readRequest(in)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := newPool().Do(ctx, addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want the context's", err)
	}
	<-closed // the endpoint learns that nobody waits
}

func TestSweep(t *testing.T) {
	addr := endpoint(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n")
		}
	})
	p := newPool()
	if _, _, err := get(p, addr, "a"); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now().Add(time.Minute))
	if r, _, err := get(p, addr, "a"); err != nil || !r.Dialed {
		t.Fatalf("after the sweep: %v, want a new connection", err)
	}
}
