package serve

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
)

const (
	outputEWMAWeight = 0.1 // weight of the newest stream in the moving averages
	// highOutputDeviations is how many mean deviations above the mean the high estimate of a
	// stream's length lies. About 1 in 20 streams is longer.
	highOutputDeviations = 2.5
	// keptNotices is how many of a service's newest notices count.
	keptNotices = 8
	// stayMargin is how long before the expected end of its engine a stream must be expected
	// to end to stay there.
	stayMargin = 150 * time.Millisecond
	// stayRecheck is the interval at which a stream that stays is judged again.
	stayRecheck = 100 * time.Millisecond
	minPaceSpan = 3 // gaps between events from which an engine's pace is known
)

// outputStats learns, by route, how many events streams have for each token that is expected of
// them, and by service how long engines serve after the notice that they leave.
type outputStats struct {
	mu      sync.Mutex
	routes  map[string]outputStat
	notices map[string][]time.Duration
}

// outputStat holds moving averages of events per expected token and of its deviation.
type outputStat struct{ mean, deviation float64 }

func newOutputStats() *outputStats {
	return &outputStats{routes: map[string]outputStat{}, notices: map[string][]time.Duration{}}
}

// recordOutput records a complete stream.
func (o *outputStats) recordOutput(call *desc.Call, events int64) {
	expected := call.EstimatedTokens() - call.PromptTokens
	if expected <= 0 || events <= 0 {
		return
	}
	ratio := float64(events) / float64(expected)
	o.mu.Lock()
	defer o.mu.Unlock()
	s, known := o.routes[call.Route]
	if !known {
		o.routes[call.Route] = outputStat{mean: ratio, deviation: ratio / 2}
		return
	}
	diff := ratio - s.mean
	s.mean += outputEWMAWeight * diff
	s.deviation += outputEWMAWeight * (math.Abs(diff) - s.deviation)
	o.routes[call.Route] = s
}

// highEvents returns how many events the call's stream is expected to have at most, 0 if
// unknown.
func (o *outputStats) highEvents(call *desc.Call) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.routes[call.Route]
	return int64((s.mean + highOutputDeviations*s.deviation) * float64(call.EstimatedTokens()-call.PromptTokens))
}

// recordNotice records how long an engine went on after its notice.
func (o *outputStats) recordNotice(service string, notice time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := append(o.notices[service], notice)
	o.notices[service] = all[max(0, len(all)-keptNotices):]
}

// notice returns the shortest notice that engines of the service gave lately, 0 if unknown.
func (o *outputStats) notice(service string) (shortest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, n := range o.notices[service] {
		if i == 0 || n < shortest {
			shortest = n
		}
	}
	return shortest
}

// forecast is what is expected of a stream whose engine leaves. Durations are 0 if unknown.
type forecast struct {
	events, expected int64         // made so far, and at most in all
	gap              time.Duration // between events at this engine
	remaining        time.Duration // until the stream's end
	engineLeft       time.Duration // until the engine's end
}

// stays reports whether the stream is expected to end before its engine.
func (f forecast) stays() bool {
	return f.remaining > 0 && f.engineLeft > 0 && f.remaining+stayMargin <= f.engineLeft
}

func (f forecast) fields() []zap.Field {
	return []zap.Field{
		zap.Int64("events", f.events), zap.Int64("expected_events", f.expected), zap.Duration("event_gap", f.gap),
		zap.Duration("remaining", f.remaining), zap.Duration("engine_left", f.engineLeft),
	}
}

// forecast estimates the ends of the stream and of its leaving engine.
func (c *streamCall) forecast(now time.Time) forecast {
	f := forecast{events: c.at.seq, expected: c.s.outputs.highEvents(c.in.Call)}
	if notice := c.s.outputs.notice(c.in.Call.Service); notice > 0 {
		f.engineLeft = notice - now.Sub(c.leavingSince)
	}
	if c.sourceEvents > minPaceSpan {
		f.gap = c.lastEventAt.Sub(c.sourceBegan) / time.Duration(c.sourceEvents-1)
	}
	// A stream longer than expected may go on for any time.
	f.remaining = time.Duration(max(0, f.expected-f.events)) * f.gap
	return f
}

// leave starts the move of a generation whose engine leaves, or lets it end there.
func (c *streamCall) leave() (move bool) {
	f := c.forecast(time.Now())
	if !c.moveBegun && f.stays() {
		if !c.stays {
			c.s.Metrics.Handovers.WithLabelValues("stayed").Inc()
			c.s.Log.Info("handover_not_needed", append(f.fields(), zap.String("id", c.in.Call.ID), zap.String("endpoint", c.source.lease.Endpoint.ID))...)
		}
		c.stays = true
		c.source.lease.WithdrawLoad()
		c.holdMoves(stayRecheck)
		return false
	}
	if !c.moveBegun {
		c.s.Log.Info("handover", append(f.fields(), zap.String("id", c.in.Call.ID), zap.String("endpoint", c.source.lease.Endpoint.ID),
			zap.String("why", "leaving"), zap.String("after", c.at.lastID), zap.Bool("stayed", c.stays))...)
	}
	return true
}
