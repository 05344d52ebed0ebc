package serve

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

const (
	outcomeNone   = book.OutcomeNone
	outcomeGood   = book.OutcomeGood
	outcomeFailed = book.OutcomeFailed

	// firstShare times the objective is the time within which a stream's answer must
	// begin before another endpoint is asked: slow engines are not given up.
	firstShare = 1.5

	// maxHandovers bounds how often one stream changes its endpoint.
	maxHandovers = 12
)

// start sends the stream to a new endpoint. It reports on r.next.
func (r *streamRun) start(ctx context.Context) {
	r.pending = true
	r.sends++
	tried := append([]string(nil), r.tried...)
	after := r.lastID
	patience := r.firstPatience()
	placed := make(chan string, 1)
	go func() {
		lease, reason := r.s.place(ctx, r.in, tried)
		if lease == nil {
			close(placed)
			r.next <- opened{refused: reason}
			return
		}
		placed <- lease.Endpoint.ID
		src, a := r.s.open(ctx, lease, r.shipment(after, nil), patience)
		r.next <- opened{source: src, attempt: a}
	}()
	if id, ok := <-placed; ok {
		r.tried = append(r.tried, id)
		return
	}
	r.sends--
}

// firstPatience is how long an endpoint may take to begin, 0 for no limit. Only
// a stream that may run again is taken elsewhere, while it has attempts left.
func (r *streamRun) firstPatience() time.Duration {
	if r.in.Call.Kind != desc.KindResumableStream || r.sends >= max(1, r.in.Call.Attempts) {
		return 0
	}
	return time.Duration(firstShare * float64(r.in.Call.FirstAnswer))
}

func (r *streamRun) shipment(after string, memory *Memory) Shipment {
	return Shipment{
		Call: r.in.Call, Body: r.in.Body, Origin: r.in.Origin,
		Left: r.in.Call.Left(time.Now()), After: after, Memory: memory,
	}
}

// reserve takes room for the generation on an engine other than the lease's and
// those that refused it.
func (r *streamRun) reserve(lease *book.Lease, avoid []string) *book.Lease {
	n := need(r.in.Call, r.in.Service, append(avoid, lease.Endpoint.ID))
	n.Purpose, n.From = book.PurposeMove, lease.Endpoint
	target, ok := r.s.Book.Take(time.Now(), n)
	if !ok {
		return nil
	}
	return target
}

// canLeave reports whether the generation can go on elsewhere while its
// endpoint still runs it.
func (r *streamRun) canLeave() bool {
	engine := r.in.Service.Engine
	return engine != nil && engine.Moves && r.begun && r.in.Call.Kind == desc.KindStream && len(r.tried) < maxHandovers
}

// lose gives the present source up and, where the kind of call allows it, goes on
// with another run.
func (r *streamRun) lose(ctx context.Context, outcome book.Outcome) (Result, bool) {
	r.reason = ReasonLost
	r.source.close(time.Now(), outcome)
	r.source = nil
	if r.pending {
		return Result{}, false // the move under way may still bring a source
	}
	if r.retry(ctx, opened{attempt: attempt{verdict: verdictLost}}) {
		return Result{}, false
	}
	return r.end(ReasonLost), true
}

// resume sends the stream to the engine of the lease, which holds its memory.
func (r *streamRun) resume(ctx context.Context, at *book.Lease, memory Memory) {
	r.pending = true
	r.tried = append(r.tried, at.Endpoint.ID)
	after := r.lastID
	go func() {
		if !r.spend(ctx) {
			at.Release(time.Now(), outcomeNone)
			r.next <- opened{refused: ReasonBusy}
			return
		}
		src, a := r.s.open(ctx, at, r.shipment(after, &memory), 0)
		r.next <- opened{source: src, attempt: a}
	}()
}

// spend takes a repeat from the budget, waiting a little for one: a stream that
// goes on late is worth more than one that is cut.
func (r *streamRun) spend(ctx context.Context) bool {
	for limit := time.Now().Add(budgetPatience); ; time.Sleep(budgetPause) {
		if r.s.Spend.Repeat(time.Now(), r.in.Call.Service) {
			return true
		}
		if ctx.Err() != nil || time.Now().After(limit) {
			return false
		}
	}
}

// handover takes a running generation to another engine while its own still
// runs it.
func (r *streamRun) handover(ctx context.Context, why string) {
	d := departure{source: r.source, first: !r.departing, avoid: slices.Clone(r.avoid)}
	r.departing = true
	if d.first {
		r.s.Log.Info("handover", zap.String("id", r.in.Call.ID), zap.String("endpoint", d.source.lease.Endpoint.ID),
			zap.String("why", why), zap.String("after", r.lastID))
	}
	r.pending = true
	go func() { r.next <- r.move(ctx, d) }()
}

// departure is one try to leave an endpoint, with what it needs of the run's state.
type departure struct {
	source *source
	first  bool     // the first try from this endpoint
	avoid  []string // engines that took no copy of the memory
}

const (
	budgetPause    = 100 * time.Millisecond
	budgetPatience = 2 * time.Second // callers abandon a stream after a longer gap
	// restBetween is the pause between two tries to leave an endpoint.
	restBetween = 60 * time.Millisecond
	// settle is how long a generation stays where it just began: until its prompt
	// is read an engine has nothing to move.
	settle = 300 * time.Millisecond
)

// awaitTurn lets the moves of other processes from the same endpoint go first, in
// the order of the processes' names: until they have left it, or for one and a
// half times as long as that should take.
func (r *streamRun) awaitTurn(ctx context.Context, src *source) bool {
	began, id := time.Now(), src.lease.Endpoint.ID
	ahead := time.Duration(r.s.Book.Ahead(began, id).Tokens) * r.in.Service.Engine.MoveTime
	limit := min(longestTurn, ahead*3/2)
	look := time.NewTicker(turnPause)
	defer look.Stop()
	for time.Since(began) < limit && r.s.Book.Ahead(time.Now(), id).Calls > 0 {
		select {
		case <-look.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

const (
	// longestTurn bounds the wait for other processes: endpoints may leave within
	// one and a half seconds of their notice.
	longestTurn = time.Second
	turnPause   = 20 * time.Millisecond // about as often as processes tell each other their load
	// longestCatchUp bounds the time from the first copy to the stop.
	longestCatchUp = 1200 * time.Millisecond
	quickCopy      = 40 * time.Millisecond // a stop for so long fits between two events
)

// move copies the memory while the run goes on, until little is left, then stops
// the run and copies the rest. The stream goes on at the target once the source's events are read.
func (r *streamRun) move(ctx context.Context, d departure) opened {
	src := d.source
	if d.first && !r.awaitTurn(ctx, src) {
		return opened{refused: ended(ctx)}
	}
	leave, ok := r.s.lanes.enter(ctx, src.lease.Endpoint.ID)
	if !ok {
		return opened{refused: ended(ctx)}
	}
	defer leave()
	target := r.reserve(src.lease, d.avoid)
	if target == nil {
		if d.first {
			r.s.Log.Info("no_target", zap.String("id", r.in.Call.ID), zap.String("from", src.lease.Endpoint.ID),
				zap.String("region", src.lease.Endpoint.Region), zap.Int("tokens", r.in.Call.Tokens()))
		}
		return opened{refused: ReasonNoEndpoint}
	}
	began := time.Now()
	if _, err := r.s.Upstream.Move(ctx, src.lease.Endpoint, r.in.Call.ID, target.Endpoint, false); err != nil {
		return r.moveFailed(src, target, false, err)
	}
	if err := r.catchUp(ctx, src, target, began); err != nil {
		return r.moveFailed(src, target, false, err)
	}
	copied := time.Now()
	r.moving.Store(true)
	handle, err := r.s.Upstream.Move(ctx, src.lease.Endpoint, r.in.Call.ID, target.Endpoint, true)
	if err != nil {
		return r.moveFailed(src, target, true, err)
	}
	r.s.Meter.Handovers.WithLabelValues("moved").Inc()
	r.s.Log.Info("moved", zap.String("id", r.in.Call.ID), zap.String("from", src.lease.Endpoint.ID), zap.String("to", target.Endpoint.ID),
		zap.Duration("copy_took", copied.Sub(began)), zap.Duration("stop_took", time.Since(copied)))
	return opened{moved: &Memory{Address: src.lease.Endpoint.Address, Handle: handle}, target: target}
}

// catchUp copies what the run has made meanwhile until that is quick. A link that
// carries the moves of other processes is slow also for a small part, and a run
// that was stopped would stand still for as long.
func (r *streamRun) catchUp(ctx context.Context, src *source, target *book.Lease, began time.Time) error {
	for time.Since(began) < longestCatchUp {
		again := time.Now()
		if _, err := r.s.Upstream.Move(ctx, src.lease.Endpoint, r.in.Call.ID, target.Endpoint, false); err != nil {
			return err
		}
		if time.Since(again) <= quickCopy {
			return nil
		}
	}
	return nil
}

func (r *streamRun) moveFailed(src *source, target *book.Lease, final bool, err error) opened {
	r.s.Meter.Handovers.WithLabelValues("failed").Inc()
	r.s.Log.Info("move_failed", zap.String("id", r.in.Call.ID), zap.String("from", src.lease.Endpoint.ID),
		zap.String("to", target.Endpoint.ID), zap.Bool("final", final), zap.Error(err))
	target.Release(time.Now(), outcomeNone)
	return opened{refused: ReasonLost, avoid: target.Endpoint.ID, notRunning: errors.Is(err, ErrNotRunning)}
}

// goOn sends the stream to the engine that its memory was moved to.
func (r *streamRun) goOn(ctx context.Context, memory Memory) {
	target := r.target
	r.target, r.moved = nil, nil
	r.resume(ctx, target, memory)
}
