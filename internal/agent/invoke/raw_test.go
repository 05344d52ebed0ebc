package invoke

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// rawResponse is what an endpoint writes before it closes the connection.
type rawResponse struct {
	data  string
	reset bool // close with a RST instead of a FIN
}

// rawEndpoint returns the address of a server that answers each request with the bytes
// that answer returns.
func rawEndpoint(t *testing.T, answer func(*http.Request) rawResponse) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn.(*net.TCPConn), answer)
		}
	}()
	return ln.Addr().String()
}

func serveRaw(conn *net.TCPConn, answer func(*http.Request) rawResponse) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r := answer(req)
	_, _ = conn.Write([]byte(r.data))
	if r.reset {
		time.Sleep(5 * time.Millisecond) // a RST discards what the peer has not read yet
		_ = conn.SetLinger(0)
	}
}

// runRaw runs a job to its end and returns that with the head and the frames that were
// stored.
func runRaw(run func(context.Context, Job) *peerpb.End, j Job) (*peerpb.End, *peerpb.Head, []string) {
	j.Buffer, j.OnFrame = buffer.New("ws", 0), func(uint64, time.Duration) {}
	if j.Bodies == nil {
		j.Bodies = memlim.New(64 << 20)
	}
	if j.OnClosed == nil {
		j.OnClosed = func(time.Duration) {}
	}
	end := run(context.Background(), j)
	reader, _ := j.Buffer.Attach("s", 0, 1<<20)
	var frames []string
	for f, ok := reader.Next(); ok; f, ok = reader.Next() {
		frames = append(frames, string(f.Data))
	}
	return end, reader.Head(), frames
}
