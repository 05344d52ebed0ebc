package length

import (
	"math"
	"math/rand/v2"
	"testing"
)

// train records complete generations with random lengths.
func train(c *Curve, calls int, length func() int) {
	for range calls {
		n := length()
		for i := 1; i <= n; i++ {
			c.RecordToken(i)
		}
		c.RecordEnd(n)
	}
}

func TestSurvivalIsLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	exponential := func(mean float64) func() int {
		return func() int { return 1 + int(rng.ExpFloat64()*mean) }
	}
	cases := []struct {
		name            string
		train           func(c *Curve)
		produced, ahead int
		want, tolerance float64
	}{
		{"prior has a heavy tail", func(*Curve) {}, 1000, 1000, 0.77, 0.1},
		{"exponential", func(c *Curve) { train(c, 3000, exponential(200)) }, 100, 200, math.Exp(-1), 0.07},
		{"exponential is memoryless", func(c *Curve) { train(c, 3000, exponential(200)) }, 300, 200, math.Exp(-1), 0.1},
		{"changed workload is learned in 2000 calls", func(c *Curve) {
			train(c, 3000, exponential(1000))
			train(c, 2000, exponential(100))
		}, 50, 100, math.Exp(-1), 0.08},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			curve := New()
			c.train(curve)
			if got := curve.Survival(c.produced, c.ahead, 0); math.Abs(got-c.want) > c.tolerance {
				t.Fatalf("survival %.3f, want %.3f", got, c.want)
			}
		})
	}
}

func TestCancelledCallsDoNotBias(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	curve := New()
	for range 4000 {
		n := 1 + int(rng.ExpFloat64()*400)
		cut := 1 + int(rng.ExpFloat64()*200)
		for i := 1; i <= min(n, cut); i++ {
			curve.RecordToken(i)
		}
		if n <= cut {
			curve.RecordEnd(n)
		}
	}
	if got := curve.Survival(100, 400, 0); math.Abs(got-math.Exp(-1)) > 0.08 {
		t.Fatalf("survival %.3f, want %.3f", got, math.Exp(-1))
	}
}

func TestNoSurvivalBeyondMaxTokens(t *testing.T) {
	if p := New().Survival(10, 60, 64); p != 0 {
		t.Fatalf("survival beyond max_tokens %.3f, want 0", p)
	}
}
