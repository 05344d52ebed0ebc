package buffer

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// op is one step of a random history.
type op struct {
	Kind    uint8 // append, attach, read, ack, drop, finish
	Session uint8
	Number  uint8 // index or text, depending on Kind
}

// expectedReader is a Reader with the position and window end that it should have.
type expectedReader struct {
	reader          *Reader
	next, windowEnd uint64
}

const window = 4

// matchesOracle applies a history to a Buffer and compares every frame read with
// a plain slice.
func matchesOracle(history []op) bool {
	b := New("w", 0)
	var frames []string
	dropped, finished := uint64(0), false
	readers := map[uint8]*expectedReader{}
	for _, s := range history {
		m := readers[s.Session]
		switch s.Kind {
		case 0:
			if finished {
				continue
			}
			text := fmt.Sprintf("frame-%d-%d", len(frames), s.Number)
			frames = append(frames, text)
			b.Append([]byte(text))
		case 1:
			next := uint64(s.Number) % 12
			r, ok := b.Attach(fmt.Sprint(s.Session), next, window)
			if ok != (next >= dropped && next <= uint64(len(frames))) {
				return false
			}
			if ok {
				readers[s.Session] = &expectedReader{reader: r, next: next, windowEnd: next + window}
			}
		case 2:
			if m == nil {
				continue
			}
			f, ok := m.reader.Next()
			want := m.next < uint64(len(frames)) && m.next < m.windowEnd && m.next >= dropped
			if ok != want || (ok && (f.Index != m.next || string(f.Data) != frames[m.next])) {
				return false
			}
			if ok {
				m.next++
			}
			if end := m.reader.End(); (end != nil) != (finished && m.next == uint64(len(frames))) {
				return false
			}
		case 3:
			if m != nil {
				m.reader.Ack(m.next, window)
				m.windowEnd = max(m.windowEnd, m.next+window)
			}
		case 4:
			below := min(uint64(s.Number)%8, uint64(len(frames)))
			b.DropBefore(below)
			dropped = max(dropped, below)
		case 5:
			b.Finish(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_COMPLETE})
			finished = true
		}
	}
	return b.Count() == uint64(len(frames))
}

func TestReadersSeeEveryFrameOnceInOrder(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.Rng.Seed(2)
	params.MinSuccessfulTests = 2000
	params.MaxSize = 80
	properties := gopter.NewProperties(params)
	ops := gen.SliceOf(gen.Struct(reflect.TypeOf(op{}), map[string]gopter.Gen{
		"Kind":    gen.Weighted([]gen.WeightedGen{{Weight: 8, Gen: gen.UInt8Range(0, 3)}, {Weight: 1, Gen: gen.UInt8Range(4, 5)}}),
		"Session": gen.UInt8Range(0, 2), "Number": gen.UInt8(),
	}))
	properties.Property("frames agree with the oracle", prop.ForAll(matchesOracle, ops))
	properties.TestingRun(t)
}

func TestNewReaderReplacesOldOneOfSession(t *testing.T) {
	b := New("w", 0)
	b.Append([]byte("x"))
	old, _ := b.Attach("s", 0, window)
	other, _ := b.Attach("t", 0, window)
	if _, ok := b.Attach("s", 0, window); !ok {
		t.Fatal("second reader of the session was not attached")
	}
	if !old.Replaced() || other.Replaced() {
		t.Fatalf("replaced: old %v, other %v", old.Replaced(), other.Replaced())
	}
	if _, ok := old.Next(); ok {
		t.Fatal("a replaced reader got a frame")
	}
}
