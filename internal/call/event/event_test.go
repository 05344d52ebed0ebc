package event

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader(t *testing.T) {
	for _, test := range []struct {
		name, body string
		ids        []string
		end        error
	}{
		{"whole events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", []string{"1", "2"}, io.EOF},
		{"mixed line ends", "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\nid: 3\n\n", []string{"1", "2", "3"}, io.EOF},
		{"without id", "data: a\n\n", []string{""}, io.EOF},
		{"unknown field first", "weight-versions: 3\nid: 7\ndata: a\n\n", []string{"7"}, io.EOF},
		{"ends inside an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, io.ErrUnexpectedEOF},
		{"empty", "", nil, io.EOF},
		{"too large", "data: " + strings.Repeat("x", maxEventBytes+1), nil, ErrTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectEvents(t, New(strings.NewReader(test.body)), test.body, test.ids, test.end)
			expectEvents(t, New(iotest.OneByteReader(strings.NewReader(test.body))), test.body, test.ids, test.end)
		})
	}
}

// Comments keep a connection alive and are no events.
func TestComment(t *testing.T) {
	for raw, want := range map[string]bool{
		": wait\n\n": true, ":\r\n\r\n": true, "\n\n": true, ": a\n: b\n\n": true,
		"data: a\n\n": false, ": a\ndata: b\n\n": false, "id: 1\n\n": false, "text\n\n": false,
	} {
		if e, err := New(strings.NewReader(raw)).Next(); err != nil || e.Comment != want || string(e.Raw) != raw {
			t.Errorf("%q: event %+v, error %v, want comment %v", raw, e, err, want)
		}
	}
}

// expectEvents reads all events and checks that no byte was changed or lost.
func expectEvents(t *testing.T, r *Reader, body string, ids []string, end error) {
	t.Helper()
	var raw strings.Builder
	for i := 0; ; i++ {
		e, err := r.Next()
		if err != nil {
			if !errors.Is(err, end) || i != len(ids) {
				t.Fatalf("event %d: error %v, want %d events and %v", i, err, len(ids), end)
			}
			break
		}
		if i >= len(ids) || e.ID != ids[i] {
			t.Fatalf("event %d has ID %q, want %q", i, e.ID, ids)
		}
		raw.Write(e.Raw)
	}
	if !strings.HasPrefix(body, raw.String()) {
		t.Fatalf("events contain %q, the body is %q", raw.String(), body)
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n\r\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		r := New(strings.NewReader(body))
		var raw strings.Builder
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			raw.Write(e.Raw)
		}
		if !strings.HasPrefix(body, raw.String()) {
			t.Fatalf("events contain %q, the body is %q", raw.String(), body)
		}
	})
}
