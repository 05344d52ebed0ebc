package desk

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/order"
	"github.com/mimosalock/mimosalock/internal/agent/place"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

// updateModels reads the engine's current model order and sends a new one if the
// configuration requires other models.
func (d *Desk) updateModels() {
	current, err := d.engine.Order()
	if err != nil {
		d.Log.Debug("order_read_failed", zap.Error(err))
		return
	}
	next, due := d.nextOrder(current)
	if !due {
		return
	}
	err = d.engine.SendOrder(next)
	reason := strings.Join(next.Models, " ")
	if err != nil {
		reason = err.Error()
		d.mu.Lock()
		d.modelOrders.RecordFailure(time.Now())
		d.mu.Unlock()
	}
	d.Trail.Record(audit.Event{Kind: audit.KindModelOrder, Subject: d.Settings.Host, Reason: reason, Version: d.Store.View().Version()})
}

// nextOrder returns the order to send now, if any. The first order after a
// change is delayed by this host's position in the list of agents, so that the
// engines of a service do not all load models at the same time.
func (d *Desk) nextOrder(current order.Order) (order.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	wasSuperseded := d.modelOrders.Superseded()
	d.modelOrders.Observe(now, current)
	if d.modelOrders.Superseded() && !wasSuperseded {
		d.Trail.Record(audit.Event{Kind: audit.KindModelOrder, Subject: d.Settings.Host, Reason: "a successor gives the orders", Version: d.Store.View().Version()})
	}
	members := d.Roster.Agents(d.Settings.Service)
	i := 0
	for ; i < len(members) && members[i].Host != d.Settings.Host; i++ {
		continue
	}
	listed := i < len(members)
	if !listed && d.service.Copies > 0 {
		return order.Order{}, false // this host's models are not known until the host list contains it
	}
	want := place.Models(d.service, members, d.Settings.Host)
	slices.Sort(want)
	return d.modelOrders.Next(now, want, time.Duration(i)*d.service.LoadSpacing())
}
