package desk

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
// returns a refusal if not. The ledger decides on a key that was seen here. An
// unseen key may only run if no other process can have run it.
func (d *Desk) checkKey(ctx context.Context, o *peerpb.Offer) *peerpb.Refused {
	d.mu.Lock()
	seen, horizon := d.seenKey(o), d.service.KeyHorizon()
	d.mu.Unlock()
	if seen {
		return nil
	}
	if t, err := ticket.Parse(o.IdempotencyKey); err == nil {
		return d.checkTicket(o, t, horizon)
	}
	verdict, pastOwners := owner.Decide(d.ownerState(horizon), OwnershipKey(o.Workspace, o.IdempotencyKey))
	switch verdict {
	case owner.VerdictNotOwner:
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "another worker owns the key", 200*time.Millisecond)
	case owner.VerdictStaleList:
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "host list is too old to place a key", time.Second)
	case owner.VerdictUnknown:
		wait := horizon - d.Clock.Age()
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "a predecessor may have run the key", wait)
	case owner.VerdictRun:
	}
	for _, host := range pastOwners {
		if err := d.confirmNeverRan(ctx, host, o); err != nil {
			return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "an earlier owner may have run the key: "+err.Error(), time.Second)
		}
	}
	return nil
}

// checkTicket refuses a call whose idempotency key is a ticket unless this is
// the process incarnation that the ticket names, and the ticket is not older
// than the time for which keys are remembered.
func (d *Desk) checkTicket(o *peerpb.Offer, t ticket.Ticket, horizon time.Duration) *peerpb.Refused {
	switch {
	case t.Host != d.Settings.Host || t.Incarnation != d.Clock.Incarnation():
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "the process that the ticket names is gone", 0)
	case t.Beat > d.Clock.Beat() || d.Clock.Since(t.Beat) > horizon:
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "the ticket has expired", 0)
	}
	return nil
}

// ownerState returns what owner.Decide needs to know of this agent and the host
// list.
func (d *Desk) ownerState(horizon time.Duration) owner.State {
	age, listed := d.Roster.Age()
	hosts := lo.Map(d.Roster.Agents(d.Settings.Service), func(m roster.Member, _ int) string { return m.Host })
	return owner.State{
		Self: d.Settings.Host, Current: hosts, Past: d.Roster.PastAgents(d.Settings.Service, horizon),
		Uptime: d.Clock.Age(), ListAge: age, ListRead: listed, Retention: horizon,
	}
}

// confirmNeverRan asks a past owner of a key to confirm that it never ran the
// key and never will. It returns an error if the owner does not confirm.
func (d *Desk) confirmNeverRan(ctx context.Context, host string, o *peerpb.Offer) error {
	m, ok := d.Roster.Find(host)
	if !ok {
		return fmt.Errorf("%s has left the host list", host)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn, err := d.Pool.Get(ctx, m.Address)
	if err != nil {
		return fmt.Errorf("%s does not answer", host)
	}
	reply, err := conn.Claim(ctx, &peerpb.ClaimRequest{Service: o.Service, Workspace: o.Workspace, IdempotencyKey: o.IdempotencyKey})
	if err != nil {
		d.Pool.Drop(conn)
		return fmt.Errorf("%s does not answer", host)
	}
	d.Pool.Put(conn)
	if !reply.Clear {
		return fmt.Errorf("%s ran it", host)
	}
	return nil
}

// Claim answers a new owner of a key. The reply is clear if this process never
// started the key and, by a tombstone, never will. It is not clear if the process
// has run for less than the retention time of keys, since an earlier process on
// this host may have started the key.
func (d *Desk) Claim(req *peerpb.ClaimRequest) *peerpb.ClaimReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := keyOf(&peerpb.Offer{Workspace: req.Workspace, IdempotencyKey: req.IdempotencyKey, NoRepeat: true})
	tooYoung := d.Clock.Age() < d.service.KeyHorizon()
	if !d.configured || req.Service != d.Settings.Service || (tooYoung && !d.ledger.HasKey(key)) {
		return &peerpb.ClaimReply{}
	}
	return &peerpb.ClaimReply{Clear: d.ledger.Claim(time.Now(), key, d.retention())}
}

// OwnershipKey returns the text that is hashed to find the agent that owns an
// idempotency key.
func OwnershipKey(workspace, key string) string { return workspace + "\x00" + key }

// Owner returns the one of the agents that owns an idempotency key. It reports
// false if there are no agents.
func Owner(agents []roster.Member, workspace, key string) (roster.Member, bool) {
	hosts := lo.Map(agents, func(m roster.Member, _ int) string { return m.Host })
	if len(hosts) == 0 {
		return roster.Member{}, false
	}
	first := rank.Hosts(hosts, OwnershipKey(workspace, key))[0]
	return agents[slices.Index(hosts, first)], true
}
