// Package logs builds the logger: one line of key=value pairs for each event.
package logs

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes lines of the level and above.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logs: level %q: %w", level, err)
	}
	format := zap.NewProductionEncoderConfig()
	format.TimeKey = "time"
	format.MessageKey = "event"
	format.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(format), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

const (
	burst = 200 // lines of one event in a second that are all written; an entry at the target's size writes 10
	oneIn = 50  // of the lines above that
)

// Sampled bounds the lines of each event. dropped is told of each line left out.
func Sampled(log *zap.Logger, dropped func()) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, burst, oneIn, zapcore.SamplerHook(
			func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped != 0 {
					dropped()
				}
			}))
	}))
}
