package logs

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

func TestAsyncNeverBlocks(t *testing.T) {
	target := &blockedWriter{release: make(chan struct{})}
	a := NewAsync(target)
	const lines = 3 * maxQueuedLines
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

func TestSampling(t *testing.T) {
	var out bytes.Buffer
	var dropped int
	log, err := New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log = Sampled(log, func() { dropped++ })
	const lines = 10 * sampleFirst
	for range lines {
		log.Info("call", zap.String("id", "x"))
	}
	log.Info("other")
	written := strings.Count(out.String(), "event=call")
	if written+dropped != lines || written > sampleFirst+lines/sampleEvery+1 || !strings.Contains(out.String(), "event=other") {
		t.Fatalf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
}

func TestFormatAndLevel(t *testing.T) {
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
		t.Fatal("New accepted an unknown level")
	}
}
