package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/agent/owner"
	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/call/ticket"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

const claimTimeout = 500 * time.Millisecond

// checkKey decides whether a call with an idempotency key may run here, and
// returns a refusal if not. The ledger decides on a key that was seen here. A call
// with an unseen key may only run if no other process can have run one with it.
func (r *Runner) checkKey(ctx context.Context, o *peerpb.Offer) *peerpb.Refused {
	r.mu.Lock()
	seen, keyHorizon := r.seenKey(o), r.service.KeyHorizon()
	r.mu.Unlock()
	if seen {
		return nil
	}
	if t, err := ticket.Parse(o.IdempotencyKey); err == nil {
		return r.checkTicket(o, t, keyHorizon)
	}
	verdict, pastOwners := owner.Decide(r.ownerState(keyHorizon), OwnershipKey(o.Workspace, o.IdempotencyKey))
	switch verdict {
	case owner.VerdictNotOwner:
		return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "another worker owns the key", 200*time.Millisecond)
	case owner.VerdictStaleList:
		return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "host list is too old to place a key", time.Second)
	case owner.VerdictUnknown:
		wait := keyHorizon - r.Clock.Age()
		return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "a predecessor may have run the key", wait)
	case owner.VerdictRun:
	}
	for _, host := range pastOwners {
		if err := r.confirmNeverRan(ctx, host, o); err != nil {
			return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "an earlier owner may have run the key: "+err.Error(), time.Second)
		}
	}
	return nil
}

// otherMayHaveRun reports whether another process may have run a call with a key that this one has not
// seen. The caller holds the lock.
func (r *Runner) otherMayHaveRun(o *peerpb.Offer) bool {
	if t, err := ticket.Parse(o.IdempotencyKey); err == nil {
		return t.Host != r.Settings.Host || t.Incarnation != r.Clock.Incarnation()
	}
	verdict, pastOwners := owner.Decide(r.ownerState(r.service.KeyHorizon()), OwnershipKey(o.Workspace, o.IdempotencyKey))
	return verdict != owner.VerdictRun || len(pastOwners) > 0
}

// checkTicket refuses a call whose idempotency key is a ticket unless this is
// the process incarnation that the ticket names, and the ticket is not older
// than the time for which keys are remembered.
func (r *Runner) checkTicket(o *peerpb.Offer, t ticket.Ticket, keyHorizon time.Duration) *peerpb.Refused {
	switch {
	case t.Host != r.Settings.Host || t.Incarnation != r.Clock.Incarnation():
		return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "the process that the ticket names is gone", 0)
	case t.Beat > r.Clock.Beat() || r.Clock.Since(t.Beat) > keyHorizon:
		return r.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "the ticket has expired", 0)
	}
	return nil
}

// ownerState returns what owner.Decide needs to know of this agent and the host
// list.
func (r *Runner) ownerState(keyHorizon time.Duration) owner.State {
	age, listed := r.Roster.Age()
	hosts := lo.Map(r.Roster.Agents(r.Settings.Service), func(m roster.Member, _ int) string { return m.Host })
	return owner.State{
		Self: r.Settings.Host, Current: hosts, Past: r.Roster.PastAgents(r.Settings.Service, keyHorizon),
		Uptime: r.Clock.Age(), ListAge: age, ListRead: listed, Retention: keyHorizon,
	}
}

// confirmNeverRan asks a past owner of a key to confirm that it never ran a call
// with the key and never will. It returns an error if the owner does not confirm.
func (r *Runner) confirmNeverRan(ctx context.Context, host string, o *peerpb.Offer) error {
	m, ok := r.Roster.Find(host)
	if !ok {
		return fmt.Errorf("%s has left the host list", host)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn, err := r.Pool.Get(ctx, m.Address)
	if err != nil {
		return fmt.Errorf("%s does not answer", host)
	}
	reply, err := conn.Claim(ctx, &peerpb.ClaimRequest{Service: o.Service, Workspace: o.Workspace, IdempotencyKey: o.IdempotencyKey})
	if err != nil {
		r.Pool.Drop(conn)
		return fmt.Errorf("%s does not answer", host)
	}
	r.Pool.Put(conn)
	if !reply.Clear {
		return fmt.Errorf("%s ran it", host)
	}
	return nil
}

// Claim answers a new owner of a key. The reply is clear if this process never
// started a call with the key and, because of a tombstone, never will. It is not
// clear if the process has run for less than the retention time of keys and has no
// record of the key, since an earlier process on this host may have started it.
func (r *Runner) Claim(req *peerpb.ClaimRequest) *peerpb.ClaimReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := keyOf(&peerpb.Offer{Workspace: req.Workspace, IdempotencyKey: req.IdempotencyKey, NoRepeat: true})
	tooYoung := r.Clock.Age() < r.service.KeyHorizon()
	if !r.configured || req.Service != r.Settings.Service || (tooYoung && !r.ledger.HasKey(key)) {
		return &peerpb.ClaimReply{}
	}
	return &peerpb.ClaimReply{Clear: r.ledger.Claim(time.Now(), key, r.retention())}
}

// OwnershipKey returns the text that is hashed to find the agent that owns an
// idempotency key.
func OwnershipKey(workspace, key string) string { return workspace + "\x00" + key }

// KeyOwner returns the one of the agents that owns an idempotency key. It reports
// false if there are no agents.
func KeyOwner(agents []roster.Member, workspace, key string) (roster.Member, bool) {
	hosts := lo.Map(agents, func(m roster.Member, _ int) string { return m.Host })
	if len(hosts) == 0 {
		return roster.Member{}, false
	}
	first := rank.Hosts(hosts, OwnershipKey(workspace, key))[0]
	return agents[slices.Index(hosts, first)], true
}
