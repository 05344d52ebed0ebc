package logs

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// stuck is a target that takes nothing until it is released.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

func TestAsyncNeverBlocks(t *testing.T) {
	target := &stuck{release: make(chan struct{})}
	a := NewAsync(target)
	const lines = 3 * queued
	for range lines {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(target.release)
	a.Close()
	written := int64(strings.Count(target.String(), "line\n"))
	if written+a.Dropped() != lines || a.Dropped() == 0 {
		t.Fatalf("%d lines written and %d dropped, want %d together", written, a.Dropped(), lines)
	}
}

func TestAlikeLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	var dropped int
	log, err := New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log = Sampled(log, func() { dropped++ })
	const lines = 10 * burst
	for range lines {
		log.Info("call", zap.String("id", "x"))
	}
	log.Info("other")
	written := strings.Count(out.String(), "event=call")
	if written+dropped != lines || written > burst+lines/oneIn+1 || !strings.Contains(out.String(), "event=other") {
		t.Fatalf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
}

func TestLines(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "warn")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("quiet")
	log.Warn("loud", zap.String("why", "two words"))
	if got := out.String(); strings.Contains(got, "quiet") || !strings.Contains(got, `event=loud why="two words"`) {
		t.Fatalf("wrote %q", got)
	}
	if _, err := New(&out, "shout"); err == nil {
		t.Fatal("an unknown level was taken")
	}
}
