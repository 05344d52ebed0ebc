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

// handover takes a running generation to another engine while its own still
// runs it.
func (r *streamRun) handover(ctx context.Context, why string) {
	d := departure{source: r.source, first: !r.departing, avoid: slices.Clone(r.avoid), spare: r.spare}
	r.departing, r.spare = true, nil
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
	first  bool      // the first try from this endpoint
	avoid  []string  // engines that took no copy of the memory
	spare  *heldCopy // of an earlier try
}

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
// the run and copies the rest. The stream goes on at the target once the source's
// events are read.
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
	held := d.spare
	if held == nil {
		var failed opened
		if held, failed = r.firstCopy(ctx, d); held == nil {
			return failed
		}
	}
	if err := r.catchUp(ctx, src, held); err != nil {
		return r.moveFailed(src, held, false, err)
	}
	copied := time.Now()
	r.moving.Store(true)
	handle, err := r.s.Upstream.Move(ctx, src.lease.Endpoint, r.in.Call.ID, held.target.Endpoint, true)
	if err != nil {
		return r.moveFailed(src, held, true, err)
	}
	held.memory.Handle = handle
	r.s.Meter.Handovers.WithLabelValues("moved").Inc()
	r.s.Log.Info("moved", zap.String("id", r.in.Call.ID), zap.String("from", src.lease.Endpoint.ID), zap.String("to", held.target.Endpoint.ID),
		zap.Duration("copy_took", copied.Sub(held.began)), zap.Duration("stop_took", time.Since(copied)))
	return opened{moved: held}
}

// heldCopy is a copy of a running generation's memory at another engine, with
// the room that it takes there.
type heldCopy struct {
	memory Memory
	target *book.Lease
	began  time.Time
}

// firstCopy finds an engine for the generation and copies its memory there. It
// returns nil and a report if that fails.
func (r *streamRun) firstCopy(ctx context.Context, d departure) (*heldCopy, opened) {
	from := d.source.lease.Endpoint
	target := r.reserve(d.source.lease, d.avoid)
	if target == nil {
		if d.first {
			r.s.Log.Info("no_target", zap.String("id", r.in.Call.ID), zap.String("from", from.ID),
				zap.String("region", from.Region), zap.Int("tokens", r.in.Call.Tokens()))
		}
		return nil, opened{refused: ReasonNoEndpoint}
	}
	began := time.Now()
	// The copy is made also if the call ends meanwhile: only its handle frees it.
	handle, err := r.s.Upstream.Move(context.WithoutCancel(ctx), from, r.in.Call.ID, target.Endpoint, false)
	if err != nil {
		r.logMoveFailed(d.source, target, false, err)
		target.Release(time.Now(), outcomeNone)
		return nil, opened{refused: ReasonLost, avoid: target.Endpoint.ID, notRunning: errors.Is(err, ErrNotRunning)}
	}
	return &heldCopy{memory: Memory{Address: from.Address, Handle: handle}, target: target, began: began}, opened{}
}

// catchUp copies what the run has made meanwhile until that is quick. A link that
// carries the moves of other processes is slow also for a small part, and a run
// that was stopped would stand still for as long.
func (r *streamRun) catchUp(ctx context.Context, src *source, held *heldCopy) error {
	for time.Since(held.began) < longestCatchUp {
		again := time.Now()
		if _, err := r.s.Upstream.Move(ctx, src.lease.Endpoint, r.in.Call.ID, held.target.Endpoint, false); err != nil {
			return err
		}
		if time.Since(again) <= quickCopy {
			return nil
		}
	}
	return nil
}

// moveFailed reports a move that failed after its first copy. If the source did
// not answer, the copy is kept for the case that the stream breaks off: an engine
// that goes on from it counts as the same run. A final move stops the run before it
// copies, so that one that failed leaves it open whether the run goes on.
func (r *streamRun) moveFailed(src *source, held *heldCopy, final bool, err error) opened {
	r.logMoveFailed(src, held.target, final, err)
	switch {
	case errors.Is(err, ErrNotRunning):
		r.s.discard(held)
		return opened{refused: ReasonLost, notRunning: true}
	case errors.Is(err, ErrMoveRefused) && !final:
		r.s.discard(held)
		return opened{refused: ReasonLost, avoid: held.target.Endpoint.ID}
	}
	return opened{refused: ReasonLost, spare: held, doubtful: final}
}

func (r *streamRun) logMoveFailed(src *source, target *book.Lease, final bool, err error) {
	r.s.Meter.Handovers.WithLabelValues("failed").Inc()
	r.s.Log.Info("move_failed", zap.String("id", r.in.Call.ID), zap.String("from", src.lease.Endpoint.ID),
		zap.String("to", target.Endpoint.ID), zap.Bool("final", final), zap.Error(err))
}

// goOn sends the stream to the engine that holds its memory.
func (r *streamRun) goOn(ctx context.Context, held *heldCopy) {
	r.moved, r.spare = nil, nil
	r.resume(ctx, held.target, held.memory)
}

// discard frees a copy that is not needed, nil for none. An engine would keep it
// for many seconds.
func (s *Server) discard(held *heldCopy) {
	if held == nil {
		return
	}
	held.target.Release(time.Now(), outcomeNone)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := s.Upstream.Free(ctx, held.target.Endpoint, held.memory.Handle); err != nil {
			s.Log.Info("copy_not_freed", zap.String("endpoint", held.target.Endpoint.ID), zap.Error(err))
		}
	}()
}

const freeTimeout = time.Second // an engine answers at once
