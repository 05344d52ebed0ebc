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

// keepModels looks at the engine's order and gives a new one where the
// configuration asks for other models.
func (d *Desk) keepModels() {
	present, err := d.engine.Order()
	if err != nil {
		d.Log.Debug("order_unread", zap.Error(err))
		return
	}
	next, due := d.nextOrder(present)
	if !due {
		return
	}
	err = d.engine.Give(next)
	why := strings.Join(next.Models, " ")
	if err != nil {
		why = err.Error()
		d.mu.Lock()
		d.orders.Failed(time.Now())
		d.mu.Unlock()
	}
	d.Trail.Record(audit.Event{Kind: audit.KindModelOrder, Subject: d.Settings.Host, Reason: why, Version: d.Store.View().Version()})
}

func (d *Desk) nextOrder(present order.Order) (order.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	was := d.orders.Replaced()
	d.orders.Saw(now, present)
	if d.orders.Replaced() && !was {
		d.Trail.Record(audit.Event{Kind: audit.KindModelOrder, Subject: d.Settings.Host, Reason: "a successor gives the orders", Version: d.Store.View().Version()})
	}
	members := d.Roster.Agents(d.Settings.Service)
	i := 0
	for ; i < len(members) && members[i].Host != d.Settings.Host; i++ {
		continue
	}
	listed := i < len(members)
	if !listed && d.service.Copies > 0 {
		return order.Order{}, false // the placement is not known yet
	}
	want := place.Models(d.service, members, d.Settings.Host)
	slices.Sort(want)
	return d.orders.Next(now, want, time.Duration(i)*d.service.LoadSpacing())
}
