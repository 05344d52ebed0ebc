package serve

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/event"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

// sourceBuffer is how many events are read ahead of the caller.
const sourceBuffer = 64

// source is one endpoint's answer to a stream, read event by event.
type source struct {
	lease  *book.Lease
	answer *Answer
	events chan item
	cancel context.CancelFunc
}

type item struct {
	id  string
	raw []byte
	err error // the last item: io.EOF for a complete end
}

// open sends the shipment and returns its answer as a source. The endpoint is
// given up if its answer has not begun within the patience, 0 for no limit.
func (s *Server) open(caller context.Context, lease *book.Lease, ship Shipment, patience time.Duration) (*source, attempt) {
	ctx, cancel := context.WithCancel(caller)
	if patience > 0 {
		defer time.AfterFunc(patience, cancel).Stop()
	}
	a := attempt{lease: lease}
	a.answer, a.err = s.Upstream.Send(ctx, lease.Endpoint, ship)
	a.verdict = judge(a.answer, a.err)
	if a.verdict != verdictGood {
		s.finishFailed(ctx, &a)
		cancel()
		lease.Release(time.Now(), a.lesson(caller))
		return nil, a
	}
	src := &source{lease: lease, answer: a.answer, cancel: cancel, events: make(chan item, sourceBuffer)}
	go src.read(ctx)
	return src, a
}

// finishFailed reads the body of a failure, which is passed on with it.
func (s *Server) finishFailed(ctx context.Context, a *attempt) {
	if a.answer == nil {
		return
	}
	var err error
	a.body, err = readWhole(a.answer.Body)
	if err != nil && a.verdict == verdictFailed && ctx.Err() == nil {
		a.verdict, a.err = verdictLost, err
	}
}

// read passes events on until the body ends or the source is closed.
func (src *source) read(ctx context.Context) {
	r := event.New(src.answer.Body)
	for {
		e, err := r.Next()
		it := item{id: e.ID, err: err}
		if err == nil {
			it.raw = append([]byte(nil), e.Raw...)
		}
		if err != nil {
			src.answer.Body.Close(errors.Is(err, io.EOF))
		}
		select {
		case src.events <- it:
		case <-ctx.Done():
			if err == nil {
				src.answer.Body.Close(false)
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// close ends the source: its endpoint stops work when the connection closes.
func (src *source) close(now time.Time, outcome book.Outcome) {
	src.cancel()
	src.lease.Release(now, outcome)
}
