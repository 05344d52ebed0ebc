package proxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// Silencing one direction must not end the silence of the other. A link that forwarded
// bytes again would leave a gap in the middle of a response.
func TestSilenceIsPermanent(t *testing.T) {
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

// expectByte sends a byte to the client and checks whether it arrives.
func expectByte(t *testing.T, target, client net.Conn, arrives bool) {
	t.Helper()
	if _, err := target.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	timeout := 10 * time.Second
	if !arrives {
		timeout = 100 * time.Millisecond
	}
	_ = client.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(client, make([]byte, 1))
	if (err == nil) != arrives {
		t.Fatalf("byte reached the client: %v, want %v", err == nil, arrives)
	}
}
