// Package invar checks invariants of the system at run time. A violation is
// counted and logged, and panics in tests.
package invar

import (
	"fmt"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
)

var violations atomic.Int64

// Check records a violation of the named invariant if ok is false.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	msg := fmt.Sprintf(format, args...)
	zap.L().Error("invariant_violated", zap.String("invariant", name), zap.String("detail", msg))
	if testing.Testing() {
		panic("invariant " + name + " violated: " + msg)
	}
}

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Load() }
