// Package logs builds the logger, which writes one line of key=value pairs per
// event.
package logs

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the given level and above.
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
	sampleFirst = 200 // lines per second of one event that are always written; an entry at its target load writes 10
	sampleEvery = 50  // of the lines above that, one in this many is written
)

// Sampled returns a logger that limits the rate of lines with the same event.
// dropped is called for each line that it drops.
func Sampled(log *zap.Logger, dropped func()) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery, zapcore.SamplerHook(
			func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped != 0 {
					dropped()
				}
			}))
	}))
}
