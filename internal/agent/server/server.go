// Package server is the agent's surface towards other processes: probes,
// offers, resumes and the relay of answers.
package server

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/answer"
	"github.com/mimosalock/mimosalock/internal/agent/desk"
	"github.com/mimosalock/mimosalock/internal/fleet/clock"
	"github.com/mimosalock/mimosalock/internal/fleet/gossip"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	// Window is how many frames may be under way to a caller.
	Window = 256
	// BeatInterval is the longest silence of a healthy relay, either way.
	BeatInterval = time.Second
)

// Server implements the Peer service of an agent.
type Server struct {
	desk         *desk.Desk
	gossip       *gossip.Node
	clock        *clock.Clock
	entryTimeout time.Duration
	log          *zap.Logger
}

// New returns a server. A relay whose entry is silent for so long is ended;
// its generation goes on for a while.
func New(d *desk.Desk, node *gossip.Node, clock *clock.Clock, silence time.Duration, log *zap.Logger) *Server {
	return &Server{desk: d, gossip: node, clock: clock, entryTimeout: silence, log: log}
}

// Probe answers what an offer would meet.
func (s *Server) Probe(_ context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return s.desk.Probe(req), nil
}

// Revoke answers the fate of an attempt.
func (s *Server) Revoke(_ context.Context, req *peerpb.RevokeRequest) (*peerpb.RevokeReply, error) {
	return &peerpb.RevokeReply{Fate: s.desk.Revoke(req)}, nil
}

// Claim answers whether a key is free.
func (s *Server) Claim(_ context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.desk.Claim(req), nil
}

// Sync exchanges configuration versions.
func (s *Server) Sync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return s.gossip.Serve(req), nil
}

// Run takes an offer or a resume and relays the answer.
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

// relay is one session of one call. The goroutine of the call sends; a second
// one receives.
type relay struct {
	*Server
	stream      peerpb.DRPCPeer_RunStream
	run         *desk.Run
	reader      *answer.Reader
	received    chan struct{}
	receiveDone chan struct{} // closed when nothing more can be received
	cancelled   bool          // the entry asked to end the call; set before lost is closed
}

func (r *relay) offer(ctx context.Context, o *peerpb.Offer) error {
	run, refused := r.desk.Offer(ctx, o)
	if refused != nil {
		return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Refused{Refused: refused}})
	}
	return r.relayRun(run, o.Session, 0)
}

func (r *relay) resume(req *peerpb.Resume) error {
	run, err := r.desk.Resume(req)
	if err != nil {
		return err
	}
	if run == nil {
		return r.notFound("the answer is not held here")
	}
	return r.relayRun(run, req.Session, req.Next)
}

func (r *relay) notFound(why string) error {
	refused := &peerpb.Refused{Kind: peerpb.RefusalKind_REFUSAL_KIND_NOT_FOUND, Reason: why}
	return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Refused{Refused: refused}})
}

func (r *relay) send(m *peerpb.RunDown) error { return r.stream.Send(m) }

// relayRun relays a run from the frame with the index next.
func (r *relay) relayRun(run *desk.Run, session string, next uint64) error {
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

// receive takes acknowledgements and a cancel until the session ends.
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
			r.desk.Abandon(r.run, body.Cancel.Reason)
			return
		}
		select {
		case r.received <- struct{}{}:
		default:
		}
	}
}

var errSilent = errors.New("server: the entry is silent")

// awaitStart waits while the run is queued and tells the entry that it lives.
func (r *relay) awaitStart() error {
	tick := time.NewTicker(BeatInterval)
	defer tick.Stop()
	lastHeard := time.Now()
	lost := r.receiveDone
	for {
		select {
		case <-r.run.Decided():
			if refused := r.run.Refusal(); refused != nil {
				return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Refused{Refused: refused}})
			}
			return nil
		case <-r.received:
			lastHeard = time.Now()
		case <-lost:
			if !r.cancelled { // a cancel has decided the run
				r.desk.Abandon(r.run, "the entry went away while the call waited")
			}
			lost = nil
		case <-tick.C:
			if time.Since(lastHeard) > r.entryTimeout {
				r.desk.Abandon(r.run, "the entry went silent while the call waited")
			}
			if err := r.sendBeat(); err != nil && lost != nil {
				r.desk.Abandon(r.run, "the entry went away while the call waited")
				return err
			}
		}
	}
}

func (r *relay) sendBeat() error {
	return r.send(&peerpb.RunDown{Body: &peerpb.RunDown_Beat{Beat: &peerpb.Beat{Beat: r.clock.Beat()}}})
}

// sendResponse sends head, frames and end as they come.
func (r *relay) sendResponse() error {
	tick := time.NewTicker(BeatInterval)
	defer tick.Stop()
	lastHeard, lastSent := time.Now(), time.Now()
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
			lastHeard = time.Now()
		case <-r.receiveDone:
			return nil
		case <-tick.C:
			if time.Since(lastHeard) > r.entryTimeout {
				return errSilent
			}
			if time.Since(lastSent) < BeatInterval {
				continue
			}
			if err := r.sendBeat(); err != nil {
				return err
			}
		}
	}
}

// flush sends everything that is ready. done means that the end was sent.
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
		return sent, true, r.send(&peerpb.RunDown{Body: &peerpb.RunDown_End{End: end}})
	}
	return sent, false, nil
}
