package blame

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const repeatBytes = 400 // as much as most reports may take

func randomParts(n int) []Part {
	parts := make([]Part, n)
	for i := range parts {
		parts[i] = Part(rand.Uint64())
	}
	return parts
}

var exampleCrashes = Report{
	Crashes: []Crash{
		{Engine: 0xffffffff, Parts: []Part{1, 0xffffffffffffffff, 7}, Age: 3 * time.Second, Ran: 70 * time.Millisecond},
		{Engine: 2, Parts: []Part{7, 9}, Age: 0, Ran: commonLoss},
		{Engine: 3, Parts: []Part{9}, Age: time.Hour},
	},
	Answers: []Answer{{Part: 1, Age: 20 * time.Millisecond}, {Part: 9, Age: time.Minute}},
}

// Guards against a report that peers read differently from what was meant.
func TestCrashEncoding(t *testing.T) {
	want := exampleCrashes
	want.Answers = []Answer{{Part: 1, Age: 20*time.Millisecond + answerTransit}, {Part: 9, Age: time.Minute + answerTransit}}
	raw := Encode(exampleCrashes, MaxReportBytes)
	got, err := Decode(raw)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded %+v, error %v, want %+v", got, err, want)
	}
	for size := range len(raw) {
		if r, err := Decode(raw[:size]); err == nil && len(r.Crashes) == len(want.Crashes) {
			t.Fatalf("%d of %d bytes were accepted as the whole report", size, len(raw))
		}
	}
}

// Guards against versions that cannot read each other's reports: to one that does not know of
// run times they are crashes without parts, which blame nothing.
func TestRunTimesAreCrashesWithoutParts(t *testing.T) {
	withRan := Report{Crashes: []Crash{{Engine: 1, Parts: []Part{7}, Ran: 70 * time.Millisecond}}}
	without := Report{Crashes: []Crash{{Engine: 1, Parts: []Part{7}}}}
	want := append(Encode(without, MaxReportBytes), 0, 0, 0, 70, 0, 0)
	if got := Encode(withRan, MaxReportBytes); !slices.Equal(got, want) {
		t.Errorf("encoded as %v, want %v", got, want)
	}
	l := New()
	for i := range uint32(5) {
		l.Merge(at(float64(i)), Report{Crashes: []Crash{{Engine: i}}})
	}
	if len(l.records) > 0 || l.Blocks() > 0 {
		t.Errorf("%d records and %d blocks of crashes without parts", len(l.records), l.Blocks())
	}
}

// Guards against innocent parts that are blocked because the answers were left out, and
// against reports that exceed a packet.
func TestCrashesThatDoNotFit(t *testing.T) {
	var r Report
	for i := range 500 {
		c := Crash{Engine: uint32(i), Parts: randomParts(5)}
		r.Crashes = append(r.Crashes, c)
		r.Answers = append(r.Answers, Answer{Part: c.Parts[2]})
	}
	for _, most := range []int{repeatBytes, MaxReportBytes} {
		raw := Encode(r, most)
		got, err := Decode(raw)
		if err != nil || len(raw) > most || len(raw) < most*3/4 {
			t.Fatalf("%d bytes, error %v, want at most %d and few less", len(raw), err, most)
		}
		if n := len(got.Crashes); !reflect.DeepEqual(got.Crashes, r.Crashes[:n]) || len(got.Answers) != n {
			t.Fatalf("the report holds %d crashes and %d answers, want the first crashes with an answer each", n, len(got.Answers))
		}
	}
}

// A crash under a call with many parts must reach peers, and must not hide the crashes
// after it.
func TestCrashWithManyPartsIsReported(t *testing.T) {
	many := make([]Part, 48)
	for i := range many {
		many[i] = Part(1 + i)
	}
	for _, r := range []Report{
		{Crashes: []Crash{{Engine: 1, Parts: many}}},
		{Crashes: []Crash{{Engine: 1, Parts: many}, {Engine: 2, Parts: []Part{100}}, {Engine: 3, Parts: []Part{100}}}},
	} {
		got, err := Decode(Encode(r, repeatBytes))
		if err != nil || len(got.Crashes) != len(r.Crashes) {
			t.Errorf("%d of %d crashes arrive, error %v", len(got.Crashes), len(r.Crashes), err)
		}
	}
}

// Guards against damaged reports that are merged.
func TestInvalidCrashes(t *testing.T) {
	for name, raw := range map[string][]byte{
		"empty":                    {},
		"count of parts too great": {0xff, 0xff, 0x03, 1, 2, 3},
		"truncated part":           {1, 0, 0, 0},
		"truncated engine":         {0, 0, 0, 1},
		"no such part":             {0, 0, 0, 0, 1, 0, 1, 0},
		"crash age too great":      {0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0x7f, 0},
		"answer age too great":     {1, 0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0x7f},
	} {
		t.Run(name, func(t *testing.T) {
			if r, err := Decode(raw); err == nil {
				t.Fatalf("decoded as %+v", r)
			}
		})
	}
}

// Guards against a crash of the gateway itself on a damaged report.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(exampleCrashes, MaxReportBytes))
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 1, 0})
	f.Add([]byte{0, 0, 0, 0, 1, 0xff, 0xff, 0x7f, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil {
			return
		}
		if len(r.Crashes) > len(raw)/6 || len(r.Answers) > len(raw)/9 {
			t.Fatalf("%d crashes and %d answers in %d bytes", len(r.Crashes), len(r.Answers), len(raw))
		}
		again, err := Decode(Encode(r, 10*len(raw)+16))
		if err != nil || !reflect.DeepEqual(again.Crashes, r.Crashes) {
			t.Fatalf("decoded %+v, encoded again %+v, error %v", r, again, err)
		}
	})
}
