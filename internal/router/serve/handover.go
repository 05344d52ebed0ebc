package serve

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

const (
	outcomeNone   = book.OutcomeNone
	outcomeGood   = book.OutcomeGood
	outcomeFailed = book.OutcomeFailed

	// maxHandovers bounds how often one stream changes its endpoint.
	maxHandovers = 12
	// leastCopied is the expected output, in tokens, from which a copy is kept: a
	// shorter generation ends before an endpoint's notice is over.
	leastCopied = 64
)

// start sends the stream to a new endpoint. It reports on r.next.
func (r *streamRun) start(ctx context.Context) {
	r.pending = true
	r.sends++
	tried := append([]string(nil), r.tried...)
	after := r.lastID
	placed := make(chan string, 1)
	go func() {
		lease, reason := r.s.place(ctx, r.in, tried)
		if lease == nil {
			close(placed)
			r.next <- opened{refused: reason}
			return
		}
		placed <- lease.Endpoint.ID
		src, a := r.s.open(ctx, lease, r.copies(lease), r.shipment(after, nil))
		r.next <- opened{source: src, attempt: a}
	}()
	if id, ok := <-placed; ok {
		r.tried = append(r.tried, id)
		return
	}
	r.sends--
}

func (r *streamRun) shipment(after string, memory *Memory) Shipment {
	return Shipment{
		Call: r.in.Call, Body: r.in.Body, Origin: r.in.Origin,
		Left: r.in.Call.Left(time.Now()), After: after, Memory: memory,
	}
}

// copies chooses an engine that keeps a copy of the generation's memory while
// it runs on the lease's. nil if none has room or the generation is short.
func (r *streamRun) copies(lease *book.Lease) *book.Lease {
	engine := r.in.Service.Engine
	call := r.in.Call
	if engine == nil || !engine.Backups || call.Kind != desc.KindStream || call.Tokens()-call.PromptTokens < leastCopied {
		return nil
	}
	return r.reserve(lease)
}

// reserve takes memory for a copy on an engine other than the lease's and those
// to avoid.
func (r *streamRun) reserve(lease *book.Lease, avoid ...string) *book.Lease {
	n := need(r.in.Call, r.in.Service, append(avoid, lease.Endpoint.ID))
	n.Copy, n.Near = true, lease.Endpoint.DataCentre
	copies, ok := r.s.Book.Take(time.Now(), n)
	if !ok {
		return nil
	}
	return copies
}

// canLeave reports whether the generation can go on elsewhere while its
// endpoint still runs it.
func (r *streamRun) canLeave() bool {
	engine := r.in.Service.Engine
	return engine != nil && r.begun && r.in.Call.Kind == desc.KindStream && len(r.tried) < maxHandovers &&
		(r.usableCopy() != nil || engine.Moves)
}

// canRecover reports whether the stream can go on without its endpoint.
func (r *streamRun) canRecover() bool {
	return r.in.Call.Kind == desc.KindResumableStream || r.usableCopy() != nil
}

// usableCopy returns where a copy of the memory lies, nil if nowhere.
func (r *streamRun) usableCopy() *book.Lease {
	if r.source == nil || r.source.copies == nil {
		return nil
	}
	return r.source.copies
}

// lose gives the present source up and goes on from a copy or, where the kind of
// call allows it, with another run.
func (r *streamRun) lose(ctx context.Context, outcome book.Outcome, why string) (Result, bool) {
	r.reason = ReasonLost
	copies := r.usableCopy()
	if copies != nil {
		r.source.copies = nil
	}
	r.source.close(time.Now(), outcome)
	r.source = nil
	switch {
	case r.pending:
		releaseCopies(copies)
		return Result{}, false // the step under way may still bring a source
	case copies != nil && len(r.tried) < maxHandovers:
		r.s.Meter.Retries.WithLabelValues(why).Inc()
		r.resume(ctx, copies, Memory{Address: copies.Endpoint.Address, Handle: r.in.Call.ID})
		return Result{}, false
	}
	releaseCopies(copies)
	if r.retry(ctx, opened{attempt: attempt{verdict: verdictLost}}) {
		return Result{}, false
	}
	return r.end(ReasonLost), true
}

// resume sends the stream to the engine of the lease, which holds its memory.
// Its copies go to a further engine.
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
		src, a := r.s.open(ctx, at, r.copies(at), r.shipment(after, &memory))
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
// runs it: to the copy if there is one, else by moving its memory.
func (r *streamRun) handover(ctx context.Context, why string) {
	src, after, number := r.source, r.lastID, len(r.tried)
	copies := src.copies
	if copies != nil && isLeaving(copies) {
		copies = nil
	}
	r.s.Log.Info("handover", zap.String("id", r.in.Call.ID), zap.String("endpoint", src.lease.Endpoint.ID),
		zap.String("why", why), zap.String("after", r.lastID), zap.Bool("copied", copies != nil))
	if copies != nil {
		src.copies = nil
		r.tried = append(r.tried, copies.Endpoint.ID)
	}
	r.pending = true
	go func() {
		if copies != nil {
			src, a := r.fromCopy(ctx, copies, after)
			if src != nil {
				r.next <- opened{source: src}
				return
			}
			r.s.logAttempt(r.in.Call, a, number)
		}
		r.next <- r.move(ctx, src)
	}()
}

// fromCopy goes on at the engine that holds a copy of the memory.
func (r *streamRun) fromCopy(ctx context.Context, copies *book.Lease, after string) (*source, attempt) {
	if !r.s.Spend.Repeat(time.Now(), r.in.Call.Service) {
		copies.Release(time.Now(), outcomeNone)
		return nil, attempt{lease: copies, verdict: verdictNever, err: errNoBudget}
	}
	memory := Memory{Address: copies.Endpoint.Address, Handle: r.in.Call.ID}
	return r.s.open(ctx, copies, r.copies(copies), r.shipment(after, &memory))
}

var errNoBudget = errors.New("the retry budget is used up")

const (
	budgetPause    = 100 * time.Millisecond
	budgetPatience = 2 * time.Second // callers abandon a stream after a longer gap
	// restBetween is the pause between two tries to leave an endpoint.
	restBetween = 60 * time.Millisecond
	// copyDelay is how long after its start a generation's copy begins to be of
	// use: the prompt's memory takes some hundred milliseconds to send.
	copyDelay = 300 * time.Millisecond
)

func isLeaving(l *book.Lease) bool {
	select {
	case <-l.Leaving():
		return true
	default:
		return false
	}
}

// move copies the memory while the run goes on, then stops the run and copies
// the rest. The stream goes on at the target once the source's events are read.
func (r *streamRun) move(ctx context.Context, src *source) opened {
	if !r.in.Service.Engine.Moves {
		return opened{refused: ReasonNoEndpoint}
	}
	target := r.reserve(src.lease, r.avoid...)
	if target == nil {
		return opened{refused: ReasonNoEndpoint}
	}
	for _, final := range []bool{false, true} {
		r.moving.Store(final)
		handle, err := r.s.Upstream.Move(ctx, src.lease.Endpoint, r.in.Call.ID, target.Endpoint, final)
		if err != nil {
			r.s.Log.Info("move_failed", zap.String("id", r.in.Call.ID), zap.String("from", src.lease.Endpoint.ID),
				zap.String("to", target.Endpoint.ID), zap.Bool("final", final), zap.Error(err))
			target.Release(time.Now(), outcomeNone)
			return opened{refused: ReasonLost, avoid: target.Endpoint.ID}
		}
		if final {
			return opened{moved: &Memory{Address: src.lease.Endpoint.Address, Handle: handle}, target: target}
		}
	}
	return opened{}
}

// goOn sends the stream to the engine that its memory was moved to.
func (r *streamRun) goOn(ctx context.Context, memory Memory) {
	target := r.target
	r.target, r.moved = nil, nil
	r.resume(ctx, target, memory)
}
