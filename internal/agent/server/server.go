// Package server is the agent's RPC server. It answers probes, offers and resumes
// of entries, relays responses to them, and answers key claims of other agents.
package server

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/buffer"
	"github.com/mimosalock/mimosalock/internal/agent/runner"
	"github.com/mimosalock/mimosalock/internal/fleet/clock"
	"github.com/mimosalock/mimosalock/internal/fleet/gossip"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	// Window is the maximum number of frames sent to an entry but not acknowledged.
	Window = 256
	// HeartbeatInterval is the maximum time between two messages of a relay in either
	// direction. If no other message is due, a heartbeat (peerpb.Beat) is sent.
	HeartbeatInterval = time.Second
)

// Server implements the Peer service of an agent.
type Server struct {
	runner       *runner.Runner
	gossip       *gossip.Node
	clock        *clock.Clock
	entryTimeout time.Duration
	log          *zap.Logger
}

// New returns a Server. A relay ends when its entry has sent nothing for
// entryTimeout. The call itself goes on and can be resumed until the orphan
// timeout.
func New(r *runner.Runner, node *gossip.Node, clock *clock.Clock, entryTimeout time.Duration, log *zap.Logger) *Server {
	return &Server{runner: r, gossip: node, clock: clock, entryTimeout: entryTimeout, log: log}
}

// Probe returns the expected decision on an offer.
func (s *Server) Probe(_ context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return s.runner.Probe(req), nil
}

// Revoke returns the fate of an attempt and prevents its start if it has not
// started. If nobody waits for it any more, it ends too.
func (s *Server) Revoke(_ context.Context, req *peerpb.RevokeRequest) (*peerpb.RevokeReply, error) {
	if req.Abandon {
		fate, err := s.runner.RevokeLeft(req)
		return &peerpb.RevokeReply{Fate: fate}, err
	}
	return &peerpb.RevokeReply{Fate: s.runner.Revoke(req)}, nil
}

// Claim returns whether no call with an idempotency key was ever started here. If
// so, none will be started here later.
func (s *Server) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.runner.Claim(req), nil
}

// Sync exchanges configuration versions.
func (s *Server) Sync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return s.gossip.Serve(req), nil
}

// Run handles an offer or a resume and relays the response.
func (s *Server) Run(stream peerpb.DRPCPeer_RunStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	r := &relay{Server: s, stream: stream, received: make(chan struct{}, 1), receiveDone: make(chan struct{})}
	switch body := first.Body.(type) {
	case *peerpb.RunUp_Offer:
		return r.offer(stream.Context(), body.Offer)
	case *peerpb.RunUp_Resume:
		return r.resume(body.Resume)
	}
	return errors.New("server: a run must begin with an offer or a resume")
}

// relay sends the response of one run to one entry. The goroutine of the RPC
// sends, and a second one receives.
type relay struct {
	*Server
	stream      peerpb.DRPCPeer_RunStream
	run         *runner.Run
	reader      *buffer.Reader
	received    chan struct{} // receives a value after a message from the entry
	receiveDone chan struct{} // closed when the receiving goroutine ends
	cancelled   bool          // the entry cancelled the call; set before receiveDone is closed
}

func (r *relay) offer(ctx context.Context, o *peerpb.Offer) error {
	run, refused := r.runner.Offer(ctx, o)
	if refused != nil {
		return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Refused{Refused: refused}})
	}
	return r.relayRun(run, o.Session, 0)
}

func (r *relay) resume(req *peerpb.Resume) error {
	run, err := r.runner.Resume(req)
	if err != nil {
		return err
	}
	if run == nil {
		return r.notFound("the answer is not held here")
	}
	return r.relayRun(run, req.Session, req.Next)
}

func (r *relay) notFound(reason string) error {
	refused := &peerpb.Refused{Kind: peerpb.RefusalKind_REFUSAL_KIND_NOT_FOUND, Reason: reason}
	return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Refused{Refused: refused}})
}

func (r *relay) send(m *peerpb.RunDown) error { return r.stream.Send(m) }

// relayRun relays a run from the frame with index next.
func (r *relay) relayRun(run *runner.Run, session string, next uint64) error {
	r.run = run
	var ok bool
	if r.reader, ok = run.Buffer.Attach(session, next, Window); !ok {
		return r.notFound("the frame to resume at is not held here")
	}
	defer run.Buffer.Detach(r.reader)
	go r.receive()
	if err := r.awaitStart(); err != nil || run.Refusal() != nil {
		return err
	}
	accepted := &peerpb.Accepted{Incarnation: r.clock.Incarnation(), Attempt: run.Offer.Attempt}
	if err := r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Accepted{Accepted: accepted}}); err != nil {
		return err
	}
	return r.sendResponse()
}

// receive handles acknowledgements until the entry cancels the call or the
// connection ends.
func (r *relay) receive() {
	defer close(r.receiveDone)
	for {
		m, err := r.stream.Recv()
		if err != nil {
			return
		}
		switch body := m.Body.(type) {
		case *peerpb.RunUp_Ack:
			r.reader.Ack(body.Ack.Next, Window)
		case *peerpb.RunUp_Cancel:
			r.cancelled = true
			r.runner.Abandon(r.run, body.Cancel.Reason)
			return
		}
		select {
		case r.received <- struct{}{}:
		default:
		}
	}
}

var errEntryTimeout = errors.New("server: the entry is silent")

// awaitStart waits while the run is queued, and sends heartbeats to the entry.
func (r *relay) awaitStart() error {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	lastReceived := time.Now()
	receiveDone := r.receiveDone
	for {
		select {
		case <-r.run.Decided():
			if refused := r.run.Refusal(); refused != nil {
				return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Refused{Refused: refused}})
			}
			return nil
		case <-r.received:
			lastReceived = time.Now()
		case <-receiveDone:
			if !r.cancelled { // otherwise receive has abandoned the run
				r.runner.Abandon(r.run, "the entry went away while the call waited")
			}
			receiveDone = nil // a nil channel is never ready: wait for the decision alone
		case <-tick.C:
			if time.Since(lastReceived) > r.entryTimeout {
				r.runner.Abandon(r.run, "the entry went silent while the call waited")
			}
			if err := r.sendHeartbeat(); err != nil && receiveDone != nil {
				r.runner.Abandon(r.run, "the entry went away while the call waited")
				return err
			}
		}
	}
}

func (r *relay) sendHeartbeat() error {
	return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Beat{Beat: &peerpb.Beat{Beat: r.clock.Beat()}}})
}

// sendResponse sends head, frames and end as they become available.
func (r *relay) sendResponse() error {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	lastReceived, lastSent := time.Now(), time.Now()
	headSent := false
	for {
		sent, done, err := r.flush(&headSent)
		if err != nil || done {
			return err
		}
		if sent {
			lastSent = time.Now()
		}
		select {
		case <-r.reader.Wake():
			if r.reader.Replaced() {
				return errors.New("server: another session resumed the call")
			}
		case <-r.received:
			lastReceived = time.Now()
		case <-r.receiveDone:
			return nil
		case <-tick.C:
			if time.Since(lastReceived) > r.entryTimeout {
				return errEntryTimeout
			}
			if time.Since(lastSent) < HeartbeatInterval {
				continue
			}
			if err := r.sendHeartbeat(); err != nil {
				return err
			}
		}
	}
}

// flush sends everything that is available. sent reports whether a frame was sent,
// done whether the end was.
func (r *relay) flush(headSent *bool) (sent, done bool, err error) {
	if head := r.reader.Head(); head != nil && !*headSent {
		*headSent = true
		if err := r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Head{Head: head}}); err != nil {
			return false, false, err
		}
	}
	for *headSent {
		frame, ok := r.reader.Next()
		if !ok {
			break
		}
		sent = true
		m := &peerpb.RunDown{Body: &peerpb.RunDown_Frame{Frame: &peerpb.Frame{Index: frame.Index, Data: frame.Data}}}
		if err := r.send(m); err != nil {
			return sent, false, err
		}
	}
	if end := r.reader.End(); end != nil {
		err := r.send(&peerpb.RunDown{Body: &peerpb.RunDown_End{End: end}})
		if err == nil {
			r.reader.Delivered()
		}
		return sent, true, err
	}
	return sent, false, nil
}
