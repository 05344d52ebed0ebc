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

const finishTimeout = time.Second // for the agent to close its side of a finished stream

var (
	errSilent       = errors.New("relay: agent sent no message within the silence timeout")
	errStreamClosed = errors.New("relay: the stream with the agent ended")
)

// agentStream is the bidirectional stream with an agent that carries one attempt.
// One goroutine receives messages into the inbox, another sends heartbeats.
type agentStream struct {
	conn         *link.Conn
	stream       peerpb.DRPCPeer_RunClient
	inbox        chan *peerpb.RunDown
	stop         context.CancelFunc
	relayed      atomic.Uint64 // frames passed on, reported in acks
	sendMu       sync.Mutex
	wg           sync.WaitGroup // receive and heartbeat
	silenceTimer *time.Timer
}

// openStream opens a stream on a connection and sends its first message, an offer
// or a resume. relayed is the number of frames passed on before.
func openStream(conn *link.Conn, first *peerpb.RunUp, relayed uint64) (*agentStream, error) {
	ctx, stop := context.WithCancel(context.Background())
	stream, err := conn.Run(ctx)
	if err != nil {
		stop()
		return nil, err
	}
	a := &agentStream{conn: conn, stream: stream, inbox: make(chan *peerpb.RunDown, inboxSize), stop: stop, silenceTimer: time.NewTimer(time.Hour)}
	a.relayed.Store(relayed)
	if err := stream.Send(first); err != nil {
		stop()
		return nil, err
	}
	a.wg.Add(2)
	go a.receive(ctx)
	go a.heartbeat(ctx)
	return a, nil
}

func (a *agentStream) receive(ctx context.Context) {
	defer a.wg.Done()
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

// heartbeat sends acks at a fixed interval, which also tell the agent that the
// entry is alive.
func (a *agentStream) heartbeat(ctx context.Context) {
	defer a.wg.Done()
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

// ack tells the agent how many frames were passed on. It ignores a send error,
// since receive fails on a broken stream too.
func (a *agentStream) ack() {
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
	_ = a.stream.Send(&peerpb.RunUp{Body: &peerpb.RunUp_Ack{Ack: &peerpb.Ack{Next: a.relayed.Load()}}})
}

func (a *agentStream) cancel(reason string) {
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
	_ = a.stream.Send(&peerpb.RunUp{Body: &peerpb.RunUp_Cancel{Cancel: &peerpb.Cancel{Reason: reason}}})
}

// next returns the next message. It fails with errSilent if none arrives within
// the timeout.
func (a *agentStream) next(ctx context.Context, timeout time.Duration) (*peerpb.RunDown, error) {
	select {
	case m, ok := <-a.inbox:
		if !ok {
			return nil, errStreamClosed
		}
		return m, nil
	default:
	}
	a.silenceTimer.Reset(timeout)
	defer a.silenceTimer.Stop()
	select {
	case m, ok := <-a.inbox:
		if !ok {
			return nil, errStreamClosed
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-a.silenceTimer.C:
		return nil, errSilent
	}
}

// finish ends a stream whose last message was received. Once the agent has closed
// its side, the connection returns to the pool; after finishTimeout it is closed.
func (a *agentStream) finish(pool *link.Pool) {
	go func() {
		timer := time.AfterFunc(finishTimeout, a.stop)
		for range a.inbox {
		}
		_ = a.stream.CloseSend()
		<-a.conn.Reusable()
		if !timer.Stop() {
			pool.Drop(a.conn)
			return
		}
		a.stop()
		a.wg.Wait()
		pool.Put(a.conn)
	}()
}

// drop ends a stream in any state and closes its connection.
func (a *agentStream) drop(pool *link.Pool) {
	a.stop()
	pool.Drop(a.conn)
}
