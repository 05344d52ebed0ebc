package memlim

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// endless is a body without end.
type endless struct{ sent int }

func (e *endless) Read(b []byte) (int, error) {
	e.sent += len(b)
	return len(b), nil
}

func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name string
		src  io.Reader
		most int
		size int
		err  error
	}{
		{"empty", strings.NewReader(""), 10, 0, nil},
		{"at the limit", strings.NewReader(strings.Repeat("x", 20_000)), 20_000, 20_000, nil},
		{"above the limit", strings.NewReader(strings.Repeat("x", 20_001)), 20_000, 0, ErrTooLarge},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 3000))), 3000, 3000, nil},
		{"breaks off", io.MultiReader(strings.NewReader(strings.Repeat("x", 20_000)), iotest.ErrReader(broken)), 30_000, 0, broken},
		{"without end", &endless{}, 40_000, 0, ErrTooLarge},
		{"without end, above the budget", &endless{}, 1 << 40, 0, ErrFull},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := New(100_000)
			body, release, err := b.ReadAll(test.src, test.most)
			if !errors.Is(err, test.err) || len(body) != test.size {
				t.Fatalf("%d bytes, error %v, want %d and %v", len(body), err, test.size, test.err)
			}
			release()
			if used := b.used.Load(); used != 0 {
				t.Fatalf("%d bytes of the budget are in use after the release", used)
			}
		})
	}
}

// Bodies without end must leave room for the small ones of other calls, and the budget
// is free again once they have been given up.
func TestBudgetIsShared(t *testing.T) {
	b := New(100_000)
	_, release, err := b.ReadAll(bytes.NewReader(make([]byte, 60_000)), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := b.ReadAll(bytes.NewReader(make([]byte, 60_000)), 1<<20); !errors.Is(err, ErrFull) {
		t.Fatalf("error %v, want %v", err, ErrFull)
	}
	if _, _, err := b.ReadAll(bytes.NewReader(make([]byte, 5_000)), 1<<20); err != nil {
		t.Fatalf("a small body was refused: %v", err)
	}
	release()
	if _, _, err := b.ReadAll(bytes.NewReader(make([]byte, 60_000)), 1<<20); err != nil {
		t.Fatalf("after the release: %v", err)
	}
}
