package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/claim"
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
	mu       sync.Mutex
	steps    []step
	sent     []string // endpoint and what it was asked to go on from
	runs     int      // sends that ran
	stop     func()   // ends the run of a source that a final move stopped
	moveErr  error
	moveTime time.Duration

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
	if !sleepFor(ctx, u.moveTime) {
		return "", ctx.Err()
	}
	if u.moveErr != nil {
		return "", u.moveErr
	}
	if final && u.endsItself {
		time.Sleep(reportLag)
		return "", fmt.Errorf("move: %w", ErrNotRunning)
	}
	if final && u.endHidden {
		return "handle", nil
	}
	if final {
		u.mu.Lock()
		stop := u.stop
		u.mu.Unlock()
		stop()
		time.Sleep(reportLag)
	}
	return "handle", nil
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
	b.book = book.New(book.Config{DataCentre: "a1", Region: "a", Entries: one, Draw: func() int64 { return 1 }})
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

func TestWhole(t *testing.T) {
	for _, test := range []struct {
		name     string
		kind     desc.Kind
		attempts int
		steps    []step
		outcome  claim.Outcome
		status   int
		sends    int
	}{
		{"answered", desc.KindOnce, 1, []step{good}, claim.OutcomeComplete, 200, 1},
		{"failure is passed on", desc.KindOnce, 2, []step{failed, good}, claim.OutcomeComplete, 500, 1},
		{"idempotent failure is repeated", desc.KindIdempotent, 2, []step{failed, good}, claim.OutcomeComplete, 200, 2},
		{"two failures, the first is passed on", desc.KindIdempotent, 2, []step{failed, failed}, claim.OutcomeComplete, 500, 2},
		{"no more attempts than allowed", desc.KindIdempotent, 1, []step{failed, good}, claim.OutcomeComplete, 500, 1},
		{"lost, may have run", desc.KindOnce, 3, []step{{err: brokenErr}, good}, claim.OutcomeUnknown, 0, 1},
		{"lost but idempotent", desc.KindIdempotent, 2, []step{{err: brokenErr}, good}, claim.OutcomeComplete, 200, 2},
		{"without the endpoint's proof", desc.KindOnce, 2, []step{{status: 200, unproven: true}, good}, claim.OutcomeUnknown, 0, 1},
		{"shed, another attempt allowed", desc.KindOnce, 2, []step{shed, good}, claim.OutcomeComplete, 200, 2},
		{"shed, the only attempt", desc.KindOnce, 1, []step{shed, good}, claim.OutcomeNotRun, 0, 1},
		{"could not be reached", desc.KindOnce, 1, []step{{err: unsentErr}, good}, claim.OutcomeComplete, 200, 2},
		{"another endpoint has the address", desc.KindOnce, 1, []step{{status: 421, gone: true}, good}, claim.OutcomeComplete, 200, 2},
		{"body breaks off", desc.KindOnce, 2, []step{{status: 200, events: 1, cut: true}, good}, claim.OutcomeUnknown, 0, 1},
		{"slow, a second endpoint is asked", desc.KindIdempotent, 2, []step{{status: 200, wait: 5 * time.Second}, good}, claim.OutcomeComplete, 200, 2},
		{"slow, must not repeat", desc.KindOnce, 2, []step{{status: 200, wait: 5 * time.Second}, good}, claim.OutcomeComplete, 200, 1},
		{"never answered", desc.KindOnce, 2, []step{{status: 200, wait: time.Hour}}, claim.OutcomeUnknown, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(test.steps...)
				result := b.serve(t.Context(), test.kind, test.attempts)
				sent, _ := b.sends()
				if result.Outcome != test.outcome || b.status != test.status || len(sent) != test.sends {
					t.Fatalf("outcome %v status %d after %d sends (%v), want %v %d %d",
						result.Outcome, b.status, len(sent), result.Reason, test.outcome, test.status, test.sends)
				}
				expectAtMostOnce(t, b, test.kind, result)
			})
		})
	}
}

// expectAtMostOnce checks that a call that must not repeat ran once at most, and
// that one which did not run is said so truly.
func expectAtMostOnce(t *testing.T, b *bench, kind desc.Kind, result Result) {
	t.Helper()
	_, runs := b.sends()
	if !kind.Repeatable() && runs > 1 {
		t.Fatalf("the call ran %d times", runs)
	}
	if !kind.Repeatable() && result.Outcome == claim.OutcomeNotRun && runs > 0 {
		t.Fatal("a call that ran is said not to have run")
	}
}

// A second send that finds no room must not hold the first one's answer back.
func TestSecondSendDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(step{status: http.StatusOK, wait: 600 * time.Millisecond})
		for _, id := range []string{"e1", "e2", "e3"} {
			others := slices.DeleteFunc([]string{"e1", "e2", "e3"}, func(o string) bool { return o == id })
			for range 7 { // one place is left on each
				b.book.Take(time.Now(), book.Need{Service: "s", Exclude: others})
			}
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			for range 2 {
				b.book.Take(time.Now(), book.Need{Service: "s"})
			}
		}()
		began := time.Now()
		result := b.serve(t.Context(), desc.KindIdempotent, 2)
		if took := time.Since(began); result.Outcome != claim.OutcomeComplete || took != 600*time.Millisecond {
			t.Fatalf("%v after %v, want the first answer after 600ms", result.Outcome, took)
		}
	})
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		for _, id := range []string{"e1", "e2", "e3"} {
			b.book.Remove(time.Now(), id, time.Time{})
		}
		began := time.Now()
		result := b.serve(t.Context(), desc.KindOnce, 1)
		if result.Outcome != claim.OutcomeNotRun || result.RetryAfter == 0 || time.Since(began) > 0 {
			t.Fatalf("%+v after %v, want a refusal at once with a time to come back", result, time.Since(began))
		}
	})
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		const calls = 200
		for range calls {
			b.then(failed, good)
			b.serve(t.Context(), desc.KindIdempotent, 2)
		}
		sent, _ := b.sends()
		if repeats := len(sent) - calls; repeats > 20+calls/5 {
			t.Fatalf("%d repeats of %d calls, want at most %d", repeats, calls, 20+calls/5)
		}
	})
}

// stream is 40 events, one each 50 ms.
func stream(first, events int) step {
	return step{status: http.StatusOK, first: first, events: events, gap: 50 * time.Millisecond}
}

func TestStream(t *testing.T) {
	cut := stream(0, 10)
	cut.cut = true
	for _, test := range []struct {
		name    string
		kind    desc.Kind
		steps   []step
		outcome claim.Outcome
		events  int
		sent    []string
	}{
		{"whole", desc.KindStream, []step{stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1"}},
		{"cut, must not run again", desc.KindStream, []step{cut, stream(10, 30)}, claim.OutcomeInterrupted, 10, []string{"e1"}},
		{"cut, may be resumed", desc.KindResumableStream, []step{cut, stream(10, 30)}, claim.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"resumed run repeats events", desc.KindResumableStream, []step{cut, stream(5, 35)}, claim.OutcomeComplete, 40, []string{"e1", "e2 after 9"}},
		{"failure before the first event", desc.KindStream, []step{failed}, claim.OutcomeComplete, 0, []string{"e1"}},
		{"shed", desc.KindStream, []step{shed}, claim.OutcomeNotRun, 0, []string{"e1"}},
		{"engine was replaced", desc.KindStream, []step{{status: 421, gone: true}, stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"mute engine, may run again", desc.KindResumableStream, []step{{status: 200, wait: time.Hour}, stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
		{"mute engine, must not run again", desc.KindStream, []step{{status: 200, wait: time.Hour}, stream(0, 40)}, claim.OutcomeUnknown, 0, []string{"e1"}},
		{"lost before the answer", desc.KindStream, []step{{err: brokenErr}, stream(0, 40)}, claim.OutcomeUnknown, 0, []string{"e1"}},
		{"silent, may be resumed", desc.KindResumableStream, []step{{status: 200, events: 5, gap: 3 * time.Second}, stream(0, 40)}, claim.OutcomeComplete, 40, []string{"e1", "e2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(test.steps...)
				result := b.serve(t.Context(), test.kind, 2-len(test.sent)%2)
				expectStream(t, b, result, test.outcome, test.events)
				if sent, _ := b.sends(); !sameEndpoints(sent, test.sent) {
					t.Fatalf("sent to %q, want %q", sent, test.sent)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

// sameEndpoints compares sends but for the numbers of the endpoints, which are
// chosen by load and chance.
func sameEndpoints(got, want []string) bool {
	trim := func(list []string) (out []string) {
		for _, s := range list {
			_, what, _ := strings.Cut(s, " ")
			out = append(out, what)
		}
		return out
	}
	return slices.Equal(trim(got), trim(want))
}

// expectStream checks that the caller got each event once and in order.
func expectStream(t *testing.T, b *bench, result Result, outcome claim.Outcome, events int) {
	t.Helper()
	if result.Outcome != outcome {
		t.Fatalf("outcome %v (%v), want %v", result.Outcome, result.Reason, outcome)
	}
	var want strings.Builder
	for i := range events {
		want.WriteString("id: " + strconv.Itoa(i) + "\ndata: x\n\n")
	}
	if b.String() != want.String() {
		t.Fatalf("the caller got %q, want %d events", b.String(), events)
	}
}

func expectNothingHeld(t *testing.T, b *bench) {
	t.Helper()
	time.Sleep(time.Minute)
	synctest.Wait()
	if loads := b.book.Loads(); len(loads) > 0 {
		t.Fatalf("work is still placed after the end: %v", loads)
	}
}

// A spot notice: the generation moves with its memory and goes on in the same
// answer, without a gap, a repeat or an early end.
func TestNotice(t *testing.T) {
	for _, test := range []struct {
		name     string
		moveErr  error
		moveTime time.Duration
		outcome  claim.Outcome
		events   int
		sends    int
	}{
		{"moved", nil, 100 * time.Millisecond, claim.OutcomeComplete, 40, 2},
		{"no engine takes it", errors.New("no room"), time.Millisecond, claim.OutcomeInterrupted, 30, 1},
		{"the move takes too long", nil, time.Hour, claim.OutcomeInterrupted, 30, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := stream(0, 30)
				first.cut = true
				b := newBench(first)
				b.moveErr, b.moveTime = test.moveErr, test.moveTime
				go func() {
					time.Sleep(510 * time.Millisecond)
					b.leave()
					// What the second engine makes follows the events before the stop, at
					// 510 ms plus two moves.
					b.then(stream(14, 26))
				}()
				expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), test.outcome, test.events)
				if sent, _ := b.sends(); len(sent) != test.sends {
					t.Fatalf("sent to %q, want %d sends", sent, test.sends)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

// A stopped source whose connection went silent does not hold its stream up.
func TestEndOfTheSourceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(step{status: http.StatusOK, events: 12, gap: 50 * time.Millisecond, hang: true})
		b.endHidden, b.moveTime = true, 100*time.Millisecond
		go func() {
			time.Sleep(510 * time.Millisecond)
			b.leave()
			b.then(stream(12, 28))
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 40)
		expectNothingHeld(t, b)
	})
}

// A run that ends by itself while it is being moved is complete.
func TestEndMeetsTheMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(stream(0, 16)) // ends at 800 ms
		b.endsItself, b.moveTime = true, 140*time.Millisecond
		go func() {
			time.Sleep(650 * time.Millisecond)
			b.leave()
		}()
		expectStream(t, b, b.serve(t.Context(), desc.KindStream, 1), claim.OutcomeComplete, 16)
		expectNothingHeld(t, b)
	})
}

// leave takes the endpoint of the first send away.
func (b *bench) leave() {
	sent, _ := b.sends()
	id := strings.Fields(sent[0])[0]
	b.book.Remove(time.Now(), id, time.Time{})
}

func TestCallerLeaves(t *testing.T) {
	for _, kind := range []desc.Kind{desc.KindOnce, desc.KindIdempotent, desc.KindStream, desc.KindResumableStream} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(step{status: http.StatusOK, events: 1000, gap: 50 * time.Millisecond})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(300*time.Millisecond, cancel)
				began := time.Now()
				if result := b.serve(ctx, kind, 1); result.Reason != ReasonCallerGone {
					t.Fatalf("reason %v, want %v", result.Reason, ReasonCallerGone)
				}
				if took := time.Since(began); took != 300*time.Millisecond {
					t.Fatalf("the call went on for %v, want 300ms", took)
				}
				expectNothingHeld(t, b)
			})
		})
	}
}

func TestFitsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		for range 50 {
			b.then(stream(0, 40)) // 2 s
			b.serve(t.Context(), desc.KindStream, 1)
		}
		for _, test := range []struct {
			kind  desc.Kind
			limit time.Duration
			sure  bool
			want  bool
		}{
			{desc.KindStream, 3 * time.Second, false, true},
			{desc.KindStream, time.Second, false, false},
			{desc.KindStream, time.Hour, true, false},
			{desc.KindResumableStream, 3 * time.Second, true, true},
			{desc.KindResumableStream, time.Second, true, false},
		} {
			call := &desc.Call{Kind: test.kind, Route: "r"}
			if got := b.server.FitsIn(call, test.limit, test.sure); got != test.want {
				t.Errorf("%v within %v, sure %v: %v, want %v", test.kind, test.limit, test.sure, got, test.want)
			}
		}
		if b.server.FitsIn(&desc.Call{Kind: desc.KindStream, Route: "new"}, time.Hour, false) {
			t.Error("a generation of an unknown route fits")
		}
	})
}
