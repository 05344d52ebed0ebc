package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const finishLimit = time.Second

var (
	errSilent = errors.New("relay: the agent is silent")
	errEnded  = errors.New("relay: the session ended")
)

// attached is the session with an agent that carries one attempt. One
// goroutine receives into the inbox, another sends heartbeats.
type attached struct {
	conn    *link.Conn
	stream  peerpb.DRPCPeer_RunClient
	inbox   chan *peerpb.RunDown
	stop    context.CancelFunc
	relayed atomic.Uint64
	sending sync.Mutex
	done    sync.WaitGroup
	quiet   *time.Timer
}

// attach opens a run on a connection and sends its first message.
func attach(conn *link.Conn, first *peerpb.RunUp, relayed uint64) (*attached, error) {
	ctx, stop := context.WithCancel(context.Background())
	stream, err := conn.Run(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	a := &attached{conn: conn, stream: stream, inbox: make(chan *peerpb.RunDown, inboxSize), stop: stop, quiet: time.NewTimer(time.Hour)}
	a.relayed.Store(relayed)
	if err := stream.Send(first); err != nil {
		stop()
		return nil, err
	}
	a.done.Add(2)
	go a.receive(ctx)
	go a.heartbeat(ctx)
	return a, nil
}

func (a *attached) receive(ctx context.Context) {
	defer a.done.Done()
	defer close(a.inbox)
	for {
		m, err := a.stream.Recv()
		if err != nil {
			return
		}
		select {
		case a.inbox <- m:
		case <-ctx.Done():
			return
		}
	}
}

func (a *attached) heartbeat(ctx context.Context) {
	defer a.done.Done()
	tick := time.NewTicker(ackInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.ack()
		}
	}
}

// ack tells the agent how far the caller has got. A failure shows up in
// receive.
func (a *attached) ack() {
	a.sending.Lock()
	defer a.sending.Unlock()
	_ = a.stream.Send(&peerpb.RunUp{Body: &peerpb.RunUp_Ack{Ack: &peerpb.Ack{Next: a.relayed.Load()}}})
}

func (a *attached) cancel(why string) {
	a.sending.Lock()
	defer a.sending.Unlock()
	_ = a.stream.Send(&peerpb.RunUp{Body: &peerpb.RunUp_Cancel{Cancel: &peerpb.Cancel{Reason: why}}})
}

// next waits for a message no longer than the silence.
func (a *attached) next(ctx context.Context, silence time.Duration) (*peerpb.RunDown, error) {
	select {
	case m, ok := <-a.inbox:
		if !ok {
			return nil, errEnded
		}
		return m, nil
	default:
	}
	a.quiet.Reset(silence)
	defer a.quiet.Stop()
	select {
	case m, ok := <-a.inbox:
		if !ok {
			return nil, errEnded
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-a.quiet.C:
		return nil, errSilent
	}
}

// finish ends a session whose last message was received, and keeps the
// connection for reuse once the agent has closed its side.
func (a *attached) finish(pool *link.Pool) {
	go func() {
		late := time.AfterFunc(finishLimit, a.stop)
		for range a.inbox {
		}
		_ = a.stream.CloseSend()
		<-a.conn.Reusable()
		if !late.Stop() {
			pool.Drop(a.conn)
			return
		}
		a.stop()
		a.done.Wait()
		pool.Put(a.conn)
	}()
}

// drop ends a session in any state and closes its connection.
func (a *attached) drop(pool *link.Pool) {
	a.stop()
	pool.Drop(a.conn)
}
