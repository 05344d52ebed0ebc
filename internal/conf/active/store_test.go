package active

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

func version(n uint64) *bundle.Bundle {
	b, err := bundle.Build(n, spec.File{DataCentres: []spec.DataCentre{{Name: "a", Region: "r"}}})
	if err != nil {
		panic(err)
	}
	return b
}

func TestVersionsOnlyRise(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.Rng.Seed(4)
	properties := gopter.NewProperties(params)
	properties.Property("the highest version offered is active", prop.ForAll(func(offered []uint64) bool {
		s := New(true, audit.New("t", zap.NewNop()))
		highest := uint64(0)
		for _, n := range offered {
			changed := s.Changed()
			applied, err := s.Apply(version(n), "test")
			if err != nil || applied != (n > highest) {
				return false
			}
			highest = max(highest, n)
			select {
			case <-changed:
				if !applied {
					return false
				}
			default:
				if applied {
					return false
				}
			}
			if s.View().Version() != highest {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UInt64Range(1, 20))))
	properties.TestingRun(t)
}

func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(true, audit.New("t", zap.NewNop()))
		if _, known := s.Age(); known {
			t.Fatal("an empty store has a confirmed version")
		}
		if _, err := s.Apply(version(3), "test"); err != nil {
			t.Fatal(err)
		}
		s.Confirm(2, 0) // ignored: another version
		s.Confirm(3, 10*time.Second)
		s.Confirm(3, 20*time.Second) // ignored: older than the last one
		time.Sleep(5 * time.Second)
		if age, known := s.Age(); !known || age != 15*time.Second {
			t.Fatalf("age %v, want 15s", age)
		}
	})
}
