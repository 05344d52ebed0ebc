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
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/routes"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/router/begun"
	"github.com/mimosalock/mimosalock/internal/router/blame"
	"github.com/mimosalock/mimosalock/internal/router/retry"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// reply is what a fakeUpstream does with one send: respond, wait or fail.
type reply struct {
	status      int
	notExecuted bool
	misdirected bool
	unverified  bool
	unframed    bool
	unsent      bool // nothing is sent before the context ends
	err         error
	contentType string
	text        string // sent before the events
	wait        time.Duration
	firstID     int // ID of the first event
	events      int // number of events of a stream
	gap         time.Duration
	noIDs       bool          // the events have no IDs
	breaks      bool          // the connection breaks after the events
	hangs       bool          // nothing follows the events and the body does not end
	hangup      *httpc.Hangup // result of the body's Hangup
	until       int           // the events go on after the position of the send, until this ID; 0: see firstID and events
}

// moveReportDelay is the time from the end of a stopped stream to the response of its
// final move.
const moveReportDelay = 20 * time.Millisecond

// fakeUpstream simulates the endpoints.
type fakeUpstream struct {
	mu      sync.Mutex
	replies []reply  // to the next sends; after the last one sends are refused as overloaded
	sendLog []string // endpoint ID, then the event ID and KV cache handle to resume from, if any
	runs    int      // sends whose call ran
	closed  bool     // nothing serves connections at the endpoints' addresses
	stop    func()   // ends the stream of the newest run, used by final moves
	finish  func()   // completes the newest run
	hang    func()   // makes the newest run silent
	// onFinalMove answers the first final move, if it is set.
	onFinalMove func() (handle string, err error)
	moveErr     error
	// moveTimes are how long moves take, in order; the last one repeats.
	moveTimes      []time.Duration
	moves          []time.Time   // times of the Move calls
	movesBeforeErr int           // moves that succeed before the others fail with moveErr
	refusedMoves   int           // moves that fail with moveErr before the others succeed; 0: see movesBeforeErr
	failedHandle   string        // returned by moves that fail
	freedCopies    int           // calls of Free that succeeded
	unfreed        int           // further calls of Free that get no answer
	stopDelay      time.Duration // time from the request of a final move until its run stops

	stopHidesEnd        bool // the stream of a run that a final move stops does not end
	endsBeforeFinalMove bool // the run ends by itself just before a final move stops it
}

func (u *fakeUpstream) Send(ctx context.Context, to endpt.Endpoint, s SendRequest) (*Response, error) {
	u.mu.Lock()
	entry := to.ID
	if s.LastEventID != "" {
		entry += " after " + s.LastEventID
	}
	if s.KVCache != nil {
		entry += " from " + s.KVCache.Handle
	}
	u.sendLog = append(u.sendLog, entry)
	rep := reply{status: http.StatusServiceUnavailable, notExecuted: true}
	if len(u.replies) > 0 {
		rep, u.replies = u.replies[0], u.replies[1:]
	}
	u.mu.Unlock()
	if !sleepFor(ctx, rep.wait) {
		if rep.unsent {
			return nil, &httpc.Error{Op: "dial", Kind: httpc.KindUnsent, Err: ctx.Err()}
		}
		return nil, &httpc.Error{Op: "exchange", Kind: httpc.KindMaybeSent, Err: ctx.Err()}
	}
	if rep.err != nil {
		return nil, rep.err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !rep.notExecuted && !rep.misdirected {
		u.runs++
	}
	if rep.until > 0 {
		last, _ := strconv.Atoi(s.LastEventID)
		rep.firstID, rep.events = last+1, rep.until-last
	}
	header := http.Header{}
	if rep.contentType != "" {
		header.Set("Content-Type", rep.contentType)
	}
	return &Response{
		Status: rep.status, Header: header, NotExecuted: rep.notExecuted || rep.misdirected, Misdirected: rep.misdirected, Verified: !rep.unverified, Unframed: rep.unframed,
		Body: u.body(ctx, rep),
	}, nil
}

func (u *fakeUpstream) Move(ctx context.Context, _ endpt.Endpoint, _ string, _ endpt.Endpoint, final bool) (string, error) {
	u.mu.Lock()
	u.moves = append(u.moves, time.Now())
	fails := u.moveErr != nil && len(u.moves) > u.movesBeforeErr
	if u.refusedMoves > 0 {
		fails = len(u.moves) <= u.refusedMoves
	}
	stop := u.stop
	u.mu.Unlock()
	if answer := u.onFinalMove; final && answer != nil {
		u.onFinalMove = nil
		return answer()
	}
	if final && !u.endsBeforeFinalMove && !u.stopHidesEnd {
		time.AfterFunc(u.stopDelay, stop)
	}
	if !sleepFor(ctx, u.moveTime()) {
		return "", ctx.Err()
	}
	if fails {
		return u.failedHandle, u.moveErr
	}
	if final && u.endsBeforeFinalMove {
		time.Sleep(moveReportDelay)
		return "", fmt.Errorf("move: %w", ErrNotRunning)
	}
	if final && !u.stopHidesEnd {
		time.Sleep(moveReportDelay)
	}
	return "handle", nil
}

func (u *fakeUpstream) Closed(context.Context, endpt.Endpoint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

func (u *fakeUpstream) Free(context.Context, endpt.Endpoint, string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unfreed > 0 {
		u.unfreed--
		return fmt.Errorf("free: %w", brokenErr)
	}
	u.freedCopies++
	return nil
}

func (u *fakeUpstream) moveTime() time.Duration {
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

// setReplies sets the replies to the next sends.
func (u *fakeUpstream) setReplies(replies ...reply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.replies = replies
}

// sends returns the log of sends and how many of them ran the call.
func (u *fakeUpstream) sends() (sent []string, runs int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.sendLog), u.runs
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// body streams events. A source that a final move stops closes its body without an end. Without
// framing there is none, so that only the result of the move tells it from a complete one.
func (u *fakeUpstream) body(ctx context.Context, rep reply) Body {
	r, w := io.Pipe()
	stopped, finished, silent := make(chan struct{}), make(chan struct{}), make(chan struct{})
	u.stop = sync.OnceFunc(func() { close(stopped) })
	u.finish = sync.OnceFunc(func() { close(finished) })
	u.hang = sync.OnceFunc(func() { close(silent) })
	go func() {
		_, _ = io.WriteString(w, rep.text)
		for i := rep.firstID; i < rep.firstID+rep.events; i++ {
			select {
			case <-time.After(rep.gap):
			case <-stopped:
				if rep.unframed {
					_ = w.Close()
					return
				}
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
				return
			case <-finished:
				_ = w.Close()
				return
			case <-silent:
				<-ctx.Done()
				return
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
				return
			}
			if !rep.noIDs {
				_, _ = fmt.Fprintf(w, "id: %d\n", i)
			}
			_, _ = io.WriteString(w, "data: x\n\n")
		}
		if rep.hangs {
			<-ctx.Done()
		}
		if rep.breaks {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		_ = w.Close()
	}()
	return &pipeBody{r, rep.hangup}
}

type pipeBody struct {
	*io.PipeReader
	hangup *httpc.Hangup
}

func (b *pipeBody) Close(bool) { _ = b.PipeReader.Close() }

func (b *pipeBody) Hangup() *httpc.Hangup {
	b.Close(false)
	return b.hangup
}

// fakeOrigins says which versions peers and the registry's history name, none if empty, and those
// that the scheduler knows, unless the process is out of step.
type fakeOrigins struct {
	peers, history string
	scheduler      *sched.Scheduler // nil out of step
}

func (o fakeOrigins) CurrentSoftware(service string) (string, bool) {
	if o.scheduler == nil {
		return "", false
	}
	return o.scheduler.OnlySoftware(time.Now(), service)
}

func (o fakeOrigins) FindStream(context.Context, string, string) (string, bool) {
	return o.peers, o.peers != ""
}

func (o fakeOrigins) OnlySoftware(context.Context, string) (string, bool) {
	return o.history, o.history != ""
}

// fakeSink records the response.
type fakeSink struct {
	bytes.Buffer
	status       int
	disconnected bool
}

func (s *fakeSink) Begin(resp *Response) { s.status = resp.Status }

func (s *fakeSink) Write(b []byte) error {
	if s.disconnected {
		return errors.New("the caller has disconnected")
	}
	_, err := s.Buffer.Write(b)
	return err
}

// harness is a Server with three fake endpoints.
type harness struct {
	*fakeUpstream
	*fakeSink
	scheduler *sched.Scheduler
	server    *Server
}

func newHarness(replies ...reply) *harness {
	h := &harness{fakeUpstream: &fakeUpstream{replies: replies, stop: func() {}}, fakeSink: &fakeSink{}}
	oneProcess := func() int { return 1 }
	h.scheduler = sched.New(sched.Config{DataCentre: "a1", Region: "a", Name: "me", Processes: oneProcess, Random: func() int64 { return 1 }})
	for _, id := range []string{"e1", "e2", "e3"} {
		h.scheduler.Put(time.Now(), endpt.Endpoint{ID: id, StartedMs: 1, Service: "s", Address: id + ":1", DataCentre: "a1", Region: "a", Slots: 4})
	}
	h.server = New(Deps{
		Scheduler: h.scheduler, Blame: blame.New(), Begun: begun.New(), Origins: fakeOrigins{scheduler: h.scheduler}, Upstream: h.fakeUpstream, Bodies: memlim.New(16 << 20), Metrics: metric.New(), Log: zap.NewNop(),
		Retries: retry.New(retry.Config{RetryRatio: 0.2, Allowance: 20, Window: 10 * time.Second, Processes: oneProcess}),
	})
	return h
}

func (h *harness) engineService() routes.Service {
	return routes.Service{
		Name: "s", Engine: &routes.Engine{Slots: 4, MemoryTokens: 10_000, CanMoveMemory: true, MoveTimePerToken: 50 * time.Microsecond},
	}
}

func (h *harness) serve(ctx context.Context, kind desc.Kind, attempts int, promptParts ...string) Result {
	service := routes.Service{Name: "s"}
	if kind.Streams() {
		service = h.engineService()
	}
	return h.serveBy(ctx, service, kind, attempts, promptParts...)
}

func (h *harness) serveBy(ctx context.Context, service routes.Service, kind desc.Kind, attempts int, promptParts ...string) Result {
	now := time.Now()
	return h.server.Serve(ctx, Input{Service: service, Sink: h.fakeSink, Call: &desc.Call{
		ID: "id", Kind: kind, Service: "s", Route: "r", MaxAttempts: attempts, Arrived: now, Deadline: now.Add(10 * time.Second),
		FirstResponseTarget: time.Second, EventGapTarget: 180 * time.Millisecond, PromptTokens: 1000, MaxOutputTokens: 400, PromptParts: promptParts,
	}})
}

var (
	unsentErr       = &httpc.Error{Op: "dial", Kind: httpc.KindUnsent, Err: errors.New("refused")}
	brokenErr       = &httpc.Error{Op: "exchange", Kind: httpc.KindMaybeSent, Err: io.ErrUnexpectedEOF}
	okReply         = reply{status: http.StatusOK}
	overloadedReply = reply{status: http.StatusServiceUnavailable, notExecuted: true}
	failedReply     = reply{status: http.StatusInternalServerError}
)
