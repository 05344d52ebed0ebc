package runner

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/agent/models"
	"github.com/mimosalock/mimosalock/internal/agent/place"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

// updateModels reads the engine's current model order and sends a new one if the
// configuration requires other models.
func (r *Runner) updateModels() {
	current, err := r.engine.Order()
	if err != nil {
		r.Log.Debug("order_read_failed", zap.Error(err))
		return
	}
	next, due := r.nextOrder(current)
	if !due {
		return
	}
	err = r.engine.SendOrder(next)
	reason := strings.Join(next.Models, " ")
	if err != nil {
		reason = err.Error()
		r.mu.Lock()
		r.modelOrders.RecordFailure(time.Now())
		r.mu.Unlock()
	}
	r.Trail.Record(audit.Event{Kind: audit.KindModelOrder, Subject: r.Settings.Host, Reason: reason, Version: r.Store.View().Version()})
}

// nextOrder returns the order to send now, if any. The first order after a
// change is delayed by this host's position in the list of agents, so that the
// engines of a service do not all load models at the same time.
func (r *Runner) nextOrder(current models.Order) (models.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	wasSuperseded := r.modelOrders.Superseded()
	r.modelOrders.Observe(now, current)
	if r.modelOrders.Superseded() && !wasSuperseded {
		r.Trail.Record(audit.Event{Kind: audit.KindModelOrder, Subject: r.Settings.Host, Reason: "a successor gives the orders", Version: r.Store.View().Version()})
	}
	members := r.Roster.Agents(r.Settings.Service)
	i := 0
	for ; i < len(members) && members[i].Host != r.Settings.Host; i++ {
		continue
	}
	listed := i < len(members)
	if listed && members[i].Leaving {
		return models.Order{}, false // its generations still need the models that its engine holds
	}
	if !listed && r.service.Copies > 0 {
		return models.Order{}, false // this host's models are not known until the host list contains it
	}
	want := place.Models(r.service, members, r.Settings.Host)
	slices.Sort(want)
	return r.modelOrders.Next(now, want, time.Duration(i)*r.service.LoadSpacing())
}
