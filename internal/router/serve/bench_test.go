package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/pipe"
	"github.com/mimosalock/mimosalock/internal/conf/table"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/meter"
	"github.com/mimosalock/mimosalock/internal/router/book"
	"github.com/mimosalock/mimosalock/internal/router/spend"
)

// step is how an endpoint answers one send.
type step struct {
	status   int
	neverRan bool
	gone     bool
	unproven bool
	err      error
	wait     time.Duration
	first    int // number of the first event
	events   int // events of a stream
	gap      time.Duration
	cut      bool // the body breaks off
	hang     bool // the body falls silent
}

// reportLag is how long after the end of a stopped stream its move is reported.
const reportLag = 20 * time.Millisecond

// upstream is a stand-in for endpoints.
type upstream struct {
	mu      sync.Mutex
	steps   []step
	sent    []string // endpoint and what it was asked to go on from
	runs    int      // sends that ran
	stop    func()   // ends the run of a source that a final move stopped
	moveErr error
	// moveTimes are how long moves take, in order; the last one repeats.
	moveTimes []time.Duration
	moves     []time.Time   // when moves were asked for
	moveGood  int           // moves that succeed before moveErr
	freed     int           // copies that were given up
	stopLate  time.Duration // how long after the order a final move stops its run

	endHidden  bool // a stopped run's stream falls silent and does not end
	endsItself bool // the run ends just before a final move reaches it
}

func (u *upstream) Send(ctx context.Context, to endpt.Endpoint, s Shipment) (*Answer, error) {
	u.mu.Lock()
	what := to.ID
	if s.After != "" {
		what += " after " + s.After
	}
	if s.Memory != nil {
		what += " from " + s.Memory.Handle
	}
	u.sent = append(u.sent, what)
	st := step{status: http.StatusServiceUnavailable, neverRan: true}
	if len(u.steps) > 0 {
		st, u.steps = u.steps[0], u.steps[1:]
	}
	u.mu.Unlock()
	if !sleepFor(ctx, st.wait) {
		return nil, &pipe.Error{Op: "exchange", Kind: pipe.KindBroken, Err: ctx.Err()}
	}
	if st.err != nil {
		return nil, st.err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !st.neverRan && !st.gone {
		u.runs++
	}
	return &Answer{
		Status: st.status, Header: http.Header{}, NeverRan: st.neverRan || st.gone, Gone: st.gone, Proven: !st.unproven,
		Body: u.body(ctx, st),
	}, nil
}

func (u *upstream) Move(ctx context.Context, _ endpt.Endpoint, _ string, _ endpt.Endpoint, final bool) (string, error) {
	u.mu.Lock()
	u.moves = append(u.moves, time.Now())
	fails := u.moveErr != nil && len(u.moves) > u.moveGood
	stop := u.stop
	u.mu.Unlock()
	if final && !u.endsItself && !u.endHidden {
		time.AfterFunc(u.stopLate, stop)
	}
	if !sleepFor(ctx, u.moveTime()) {
		return "", ctx.Err()
	}
	if fails {
		return "", u.moveErr
	}
	if final && u.endsItself {
		time.Sleep(reportLag)
		return "", fmt.Errorf("move: %w", ErrNotRunning)
	}
	if final && !u.endHidden {
		time.Sleep(reportLag)
	}
	return "handle", nil
}

func (u *upstream) Free(context.Context, endpt.Endpoint, string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.freed++
	return nil
}

func (u *upstream) moveTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.moveTimes) == 0 {
		return 0
	}
	d := u.moveTimes[0]
	if len(u.moveTimes) > 1 {
		u.moveTimes = u.moveTimes[1:]
	}
	return d
}

// then sets how further sends are answered.
func (u *upstream) then(steps ...step) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.steps = steps
}

// sends returns what was sent, and how many calls ran.
func (u *upstream) sends() (sent []string, runs int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.sent), u.runs
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// body streams events. A source that is stopped ends like a complete one, which
// is the harder case: only the move tells that it is not.
func (u *upstream) body(ctx context.Context, st step) Body {
	r, w := io.Pipe()
	stopped := make(chan struct{})
	u.stop = sync.OnceFunc(func() { close(stopped) })
	go func() {
		for i := st.first; i < st.first+st.events; i++ {
			select {
			case <-time.After(st.gap):
			case <-stopped:
				_ = w.Close()
				return
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		}
		if st.hang {
			<-ctx.Done()
		}
		if st.cut {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		_ = w.Close()
	}()
	return &pipeBody{r}
}

type pipeBody struct{ *io.PipeReader }

func (b *pipeBody) Close(bool) { _ = b.PipeReader.Close() }

// sink records the answer.
type sink struct {
	bytes.Buffer
	status int
	gone   bool
}

func (s *sink) Begin(a *Answer) { s.status = a.Status }

func (s *sink) Write(b []byte) error {
	if s.gone {
		return errors.New("the caller has gone")
	}
	_, err := s.Buffer.Write(b)
	return err
}

type bench struct {
	*upstream
	*sink
	book   *book.Book
	server *Server
}

func newBench(steps ...step) *bench {
	b := &bench{upstream: &upstream{steps: steps, stop: func() {}}, sink: &sink{}}
	one := func() int { return 1 }
	b.book = book.New(book.Config{DataCentre: "a1", Region: "a", Name: "me", Entries: one, Draw: func() int64 { return 1 }})
	for _, id := range []string{"e1", "e2", "e3"} {
		b.book.Put(time.Now(), endpt.Endpoint{ID: id, Born: 1, Service: "s", Address: id + ":1", DataCentre: "a1", Region: "a", Slots: 4})
	}
	b.server = New(Deps{
		Book: b.book, Upstream: b.upstream, Meter: meter.New(), Log: zap.NewNop(),
		Spend: spend.New(spend.Config{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second, Entries: one}),
	})
	return b
}

func (b *bench) serve(ctx context.Context, kind desc.Kind, attempts int) Result {
	now := time.Now()
	service := table.Service{Name: "s"}
	if kind.Streams() {
		service.Engine = &table.Engine{Slots: 4, MemoryTokens: 10_000, Moves: true, MoveTime: 50 * time.Microsecond}
	}
	return b.server.Serve(ctx, Input{Service: service, Sink: b.sink, Call: &desc.Call{
		ID: "id", Kind: kind, Service: "s", Route: "r", Attempts: attempts, Arrived: now, Deadline: now.Add(10 * time.Second),
		FirstAnswer: time.Second, Gap: 180 * time.Millisecond, PromptTokens: 1000, OutputTokens: 400,
	}})
}

var (
	unsentErr = &pipe.Error{Op: "dial", Kind: pipe.KindUnsent, Err: errors.New("refused")}
	brokenErr = &pipe.Error{Op: "exchange", Kind: pipe.KindBroken, Err: io.ErrUnexpectedEOF}
	good      = step{status: http.StatusOK}
	shed      = step{status: http.StatusServiceUnavailable, neverRan: true}
	failed    = step{status: http.StatusInternalServerError}
)
