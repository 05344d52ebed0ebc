package serve

import (
	"context"
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

// lose gives the present source up and, where the kind of call allows it, goes on
// with another run.
func (r *streamRun) lose(ctx context.Context, outcome book.Outcome) (Result, bool) {
	r.reason = ReasonLost
	r.source.close(time.Now(), outcome)
	r.source = nil
	if r.pending {
		return Result{}, false // the move under way may still bring a source
	}
	if r.spare != nil {
		r.goOn(ctx, r.spare)
		return Result{}, false
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
			r.s.Log.Info("repeat_denied", zap.String("id", r.in.Call.ID), zap.String("service", r.in.Call.Service),
				zap.String("why", "no repeat is left to go on at "+at.Endpoint.ID))
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

const (
	budgetPause    = 100 * time.Millisecond
	budgetPatience = 2 * time.Second // callers abandon a stream after a longer gap
	// restBetween is the pause between two tries to leave an endpoint.
	restBetween = 60 * time.Millisecond
	// settle is how long a generation stays where it just began: until its prompt
	// is read an engine has nothing to move.
	settle = 300 * time.Millisecond
)
