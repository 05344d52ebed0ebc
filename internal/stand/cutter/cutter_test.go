package cutter

import (
	"io"
	"net"
	"testing"
	"time"
)

// A way that was silenced stays silent: a link that spoke again would leave bytes
// out in the middle of an answer.
func TestSilenceStays(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	link, err := New(server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	client, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	target, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	expectByte(t, target, client, true)
	link.Silence()
	link.SilenceOneWay(false)
	expectByte(t, target, client, false)
}

// expectByte sends a byte towards the client and checks whether it arrives.
func expectByte(t *testing.T, target, client net.Conn, arrives bool) {
	t.Helper()
	if _, err := target.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	limit := 10 * time.Second
	if !arrives {
		limit = 100 * time.Millisecond
	}
	_ = client.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(client, make([]byte, 1))
	if (err == nil) != arrives {
		t.Fatalf("the byte arrived: %v, want %v", err == nil, arrives)
	}
}
