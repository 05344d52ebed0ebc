package spend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const width = 10 * time.Second

func newBudget(entries int) *Budget {
	return New(Config{Ratio: 0.2, Allowance: 54, Window: width, Entries: func() int { return entries }})
}

func TestRepeatsGrowWithFirstSends(t *testing.T) {
	for _, test := range []struct{ firsts, entries, want int }{
		{0, 6, 9}, {0, 54, 1}, {0, 100, 0}, {100, 6, 29}, {5, 54, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBudget(test.entries)
			for range test.firsts {
				b.First(time.Now(), "s")
			}
			got := 0
			for b.Left(time.Now(), "s") && b.Repeat(time.Now(), "s") {
				got++
			}
			if got != test.want {
				t.Fatalf("%d first sends among %d processes allow %d repeats, want %d", test.firsts, test.entries, got, test.want)
			}
		})
	}
}

func TestWindowSlides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(54)
		expectRepeat(t, b, true)
		expectRepeat(t, b, false)
		time.Sleep(width / 2)
		expectRepeat(t, b, false)
		time.Sleep(width/2 + time.Second)
		expectRepeat(t, b, true)
	})
}

func expectRepeat(t *testing.T, b *Budget, want bool) {
	t.Helper()
	if got := b.Repeat(time.Now(), "s"); got != want {
		t.Fatalf("repeat allowed %v, want %v", got, want)
	}
}

// Processes that cannot see each other keep to the shared bound together.
func TestSumOfBlindProcesses(t *testing.T) {
	const processes = 6
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("sum within the bound in each window", prop.ForAll(func(steps []uint16) bool {
		lawful := true
		synctest.Test(t, func(*testing.T) { lawful = keepsBound(steps, processes) })
		return lawful
	}, gen.SliceOfN(300, gen.UInt16())))
	properties.TestingRun(t)
}

// keepsBound plays first sends and repeats of several processes and counts both
// in the sliding window.
func keepsBound(steps []uint16, processes int) bool {
	budgets := make([]*Budget, processes)
	for i := range budgets {
		budgets[i] = newBudget(processes)
	}
	var firsts, repeats []time.Time
	for _, step := range steps {
		now := time.Now()
		b := budgets[int(step)%processes]
		switch step / 64 % 4 {
		case 0:
			b.First(now, "s")
			firsts = append(firsts, now)
		case 1, 2:
			if b.Repeat(now, "s") {
				repeats = append(repeats, now)
			}
		default:
			time.Sleep(time.Duration(step%700) * time.Millisecond)
		}
		// The windows of the budget move in steps of a twentieth.
		if n := since(repeats, width-width/buckets); float64(n) > 0.2*float64(since(firsts, width))+54 {
			return false
		}
	}
	return true
}

func since(times []time.Time, age time.Duration) int {
	n := 0
	for _, at := range times {
		if time.Since(at) < age {
			n++
		}
	}
	return n
}
