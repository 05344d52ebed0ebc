// Package recall tells agents of attempts that the entry has left: their calls run elsewhere, or
// their callers have gone. Until it is told, the agent keeps such a run for a caller who may come back.
package recall

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/fleet/link"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/metric"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const (
	pause      = 100 * time.Millisecond // between two tries to reach an agent
	tryTimeout = 200 * time.Millisecond // short: the agent may come back during a try that it does not get
	maxConns   = 4                      // to one agent
	// stopTimeout is for agents to confirm attempts when the entry stops, and then for other entries to
	// take them over.
	stopTimeout  = 500 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

var errNotTaken = errors.New("recall: not taken over")

// Deps holds the dependencies of a Recaller.
type Deps struct {
	Host    string          // of this entry
	Context context.Context // ends when the process stops
	Timeout time.Duration   // the agent ends a run that nobody reads after this
	Roster  *roster.Roster
	Pool    *link.Pool
	Metrics *metric.Set
	Log     *zap.Logger
}

// Recaller tells agents of left attempts until they confirm it. It is safe for concurrent use.
type Recaller struct {
	Deps
	mu      sync.Mutex
	stopped bool
	serving sync.WaitGroup
	left    map[string][]attempt // by host, without those that are being told; a goroutine serves each host in it
}

// attempt is a left attempt that its agent has not confirmed.
type attempt struct {
	request *peerpb.RevokeRequest
	why     string
	since   time.Time
	tries   int
}

// New returns a Recaller without attempts.
func New(d Deps) *Recaller { return &Recaller{Deps: d, left: map[string][]attempt{}} }

// Add tells the agent of an attempt, in the background, that it was left. beat is the one that the
// offer echoed.
func (r *Recaller) Add(id callid.ID, workspace string, beat uint64, why string) {
	a := attempt{request: &peerpb.RevokeRequest{Attempt: id.String(), Workspace: workspace, Beat: beat, Abandon: true}, why: why, since: time.Now()}
	if !r.add(id.Host, a) {
		r.record(a, "unconfirmed")
	}
}

// TakeOver adds an attempt of another entry, which stops.
func (r *Recaller) TakeOver(req *peerpb.RevokeRequest) error {
	id, err := callid.Parse(req.Attempt)
	if err != nil {
		return fmt.Errorf("recall: %w", err)
	}
	if !req.Abandon || !r.add(id.Host, attempt{request: req, why: "taken over", since: time.Now()}) {
		return errNotTaken
	}
	return nil
}

func (r *Recaller) add(host string, a attempt) (added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	_, isServed := r.left[host]
	r.left[host] = append(r.left[host], a)
	if !isServed {
		r.serving.Go(func() { r.serve(host) })
	}
	return true
}

// Stop waits a short time until the agents have confirmed all attempts, and hands those that are left over
// to another entry.
func (r *Recaller) Stop() {
	for deadline := time.Now().Add(stopTimeout); r.pending() && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.serving.Wait()
	for _, a := range r.handOver(slices.Concat(slices.Collect(maps.Values(r.left))...)) {
		r.record(a, "unconfirmed")
	}
	clear(r.left)
}

// handOver hands attempts over to other entries and returns those that none has taken.
func (r *Recaller) handOver(attempts []attempt) (rest []attempt) {
	began := time.Now()
	for _, m := range r.Roster.All() {
		if len(attempts) == 0 || time.Since(began) > stopTimeout {
			break
		}
		if m.Role == roster.RoleEntry && m.Host != r.Host && !m.Leaving && !r.Roster.Suspected(m.Host) {
			attempts = r.tellAll(m.Host, r.Pool.Dial, attempts, func(a attempt, _ peerpb.Fate) { r.record(a, "handed_over") })
		}
	}
	return attempts
}

// pending reports whether there are attempts that are not confirmed.
func (r *Recaller) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.left) > 0
}

// serve recalls the attempts of one host until none is left.
func (r *Recaller) serve(host string) {
	connect := r.Pool.Get // an idle connection may be broken
	for attempts := r.take(host); len(attempts) > 0; attempts = r.take(host) {
		if unconfirmed := r.tellAll(host, connect, attempts, r.recordFate); len(unconfirmed) > 0 {
			r.putBack(host, unconfirmed)
			connect = r.Pool.Dial
			time.Sleep(pause)
		}
	}
}

// take takes all attempts of a host and counts the try. It takes none once the Recaller has stopped.
func (r *Recaller) take(host string) []attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	attempts := r.left[host]
	if len(attempts) == 0 {
		delete(r.left, host)
		return nil
	}
	r.left[host] = nil
	for i := range attempts {
		attempts[i].tries++
	}
	return attempts
}

// putBack adds the attempts that their agent has not confirmed, after newer ones. Those that are over
// are dropped.
func (r *Recaller) putBack(host string, unconfirmed []attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range unconfirmed {
		if r.Context.Err() != nil || time.Since(a.since) > r.Timeout {
			r.record(a, "unconfirmed")
			continue
		}
		r.left[host] = append(r.left[host], a)
	}
}

// connectFunc is Get or Dial of a link.Pool.
type connectFunc func(ctx context.Context, address string) (*link.Conn, error)

// confirmFunc is called with an attempt that was confirmed, and its fate.
type confirmFunc func(a attempt, fate peerpb.Fate)

// tellAll tells an agent, or another entry, of attempts, over several connections, and returns those that
// it has not confirmed. It gives up once no connection reaches the host.
func (r *Recaller) tellAll(host string, connect connectFunc, attempts []attempt, confirm confirmFunc) (unconfirmed []attempt) {
	untold, failed := make(chan attempt, len(attempts)), make(chan attempt, len(attempts))
	for _, a := range attempts {
		untold <- a
	}
	close(untold)
	var telling sync.WaitGroup
	for range min(len(attempts), maxConns) {
		telling.Go(func() { r.tellOver(host, connect, untold, failed, confirm) })
	}
	telling.Wait()
	close(failed)
	for _, rest := range []chan attempt{untold, failed} {
		for a := range rest {
			unconfirmed = append(unconfirmed, a)
		}
	}
	return unconfirmed
}

// tellOver tells an agent of attempts over one connection, as long as the agent answers.
func (r *Recaller) tellOver(host string, connect connectFunc, untold <-chan attempt, failed chan<- attempt, confirm confirmFunc) {
	m, ok := r.Roster.Find(host)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(r.Context, tryTimeout)
	defer stop()
	conn, err := connect(ctx, m.Address)
	if err != nil {
		return
	}
	for a := range untold {
		fate, answered, err := r.tell(conn, a.request)
		if err != nil {
			failed <- a
		} else {
			confirm(a, fate)
		}
		if !answered {
			r.Pool.Drop(conn)
			return
		}
	}
	r.Pool.Put(conn)
}

// tell tells an agent of one attempt and returns the attempt's fate. answered is also true if the agent's
// answer is an error.
func (r *Recaller) tell(conn *link.Conn, req *peerpb.RevokeRequest) (fate peerpb.Fate, answered bool, err error) {
	ctx, cancel := context.WithTimeout(r.Context, tryTimeout)
	defer cancel()
	reply, err := conn.Revoke(ctx, req)
	if err != nil {
		return peerpb.Fate_FATE_UNKNOWN, ctx.Err() == nil && !conn.Broken(), err
	}
	return reply.Fate, true, nil
}

func (r *Recaller) recordFate(a attempt, fate peerpb.Fate) {
	r.record(a, strings.ToLower(strings.TrimPrefix(fate.String(), "FATE_")))
}

func (r *Recaller) record(a attempt, fate string) {
	r.Metrics.Recalls.WithLabelValues(fate).Inc()
	r.Log.Info("call_recalled", zap.String("attempt", a.request.Attempt), zap.String("why", a.why), zap.String("fate", fate),
		zap.Int("tries", a.tries), zap.Duration("age", time.Since(a.since)))
}
