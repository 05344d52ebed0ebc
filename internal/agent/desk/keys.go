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

// mayRunKey decides whether a call with an idempotency key may run here. A key
// that was seen here is settled by the ledger; for an unseen one every process
// that may have run it must be ruled out.
func (d *Desk) mayRunKey(ctx context.Context, o *peerpb.Offer) *peerpb.Refused {
	d.mu.Lock()
	seen, horizon := d.seenKey(o), d.service.KeyHorizon()
	d.mu.Unlock()
	if seen {
		return nil
	}
	if t, err := ticket.Parse(o.IdempotencyKey); err == nil {
		return d.mayRunTicket(o, t, horizon)
	}
	verdict, ask := owner.Judge(d.position(horizon), KeyText(o.Workspace, o.IdempotencyKey))
	switch verdict {
	case owner.VerdictNotMine:
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "another worker owns the key", 200*time.Millisecond)
	case owner.VerdictStale:
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_NOT_RUN, "host list is too old to place a key", time.Second)
	case owner.VerdictUnknown:
		wait := horizon - d.Clock.Age()
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "a predecessor may have run the key", wait)
	case owner.VerdictRun:
	}
	for _, host := range ask {
		if err := d.askClear(ctx, host, o); err != nil {
			return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "an earlier owner may have run the key: "+err.Error(), time.Second)
		}
	}
	return nil
}

// mayRunTicket lets a ticket run only on the incarnation that it names, and
// only while its memory of tickets reaches back to the ticket's issue.
func (d *Desk) mayRunTicket(o *peerpb.Offer, t ticket.Ticket, horizon time.Duration) *peerpb.Refused {
	switch {
	case t.Host != d.Settings.Host || t.Incarnation != d.Clock.Incarnation():
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "the process that the ticket names is gone", 0)
	case t.Beat > d.Clock.Beat() || d.Clock.Since(t.Beat) > horizon:
		return d.refuse(o, peerpb.RefusalKind_REFUSAL_KIND_UNKNOWN, "the ticket has expired", 0)
	}
	return nil
}

func (d *Desk) position(horizon time.Duration) owner.Position {
	age, listed := d.Roster.Age()
	hosts := lo.Map(d.Roster.Agents(d.Settings.Service), func(m roster.Member, _ int) string { return m.Host })
	return owner.Position{
		Self: d.Settings.Host, Present: hosts, Past: d.Roster.PastAgents(d.Settings.Service, horizon),
		Age: d.Clock.Age(), ListAge: age, Listed: listed, Horizon: horizon,
	}
}

// askClear asks an earlier owner of a key to confirm that it never ran it.
func (d *Desk) askClear(ctx context.Context, host string, o *peerpb.Offer) error {
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

// Claim answers a new owner of a key: clear if this process never started the
// key and never will, and if it can know that.
func (d *Desk) Claim(req *peerpb.ClaimRequest) *peerpb.ClaimReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := keyOf(&peerpb.Offer{Workspace: req.Workspace, IdempotencyKey: req.IdempotencyKey, NoRepeat: true})
	tooYoung := d.Clock.Age() < d.service.KeyHorizon()
	if !d.known || req.Service != d.Settings.Service || (tooYoung && !d.ledger.HasKey(key)) {
		return &peerpb.ClaimReply{}
	}
	return &peerpb.ClaimReply{Clear: d.ledger.Claim(time.Now(), key, d.keep())}
}

// KeyText is the text by which a key is placed on workers.
func KeyText(workspace, key string) string { return workspace + "\x00" + key }

// Owner returns the host that owns a key among the agents.
func Owner(agents []roster.Member, workspace, key string) (roster.Member, bool) {
	hosts := lo.Map(agents, func(m roster.Member, _ int) string { return m.Host })
	if len(hosts) == 0 {
		return roster.Member{}, false
	}
	first := rank.Hosts(hosts, KeyText(workspace, key))[0]
	return agents[slices.Index(hosts, first)], true
}
