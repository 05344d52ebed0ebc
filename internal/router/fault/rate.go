package fault

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

const (
	// minFailures is the decayed number of failures from which an endpoint may be suspect. It
	// is above 1, so that one never is enough, and below 2, so that two within 18 s are.
	minFailures = 1.3
	// minExcess is the failure rate above the usual one from which an endpoint is suspect,
	// and lastExcess the one below which it no longer is. Applications fail calls too, and few
	// calls show a rate inexactly.
	minExcess, lastExcess = 0.2, 0.1
	// minDeviations is how many standard deviations the failures must be above those that
	// the usual rate explains, which is taken for minUsual at least. Chance
	// exceeds three at one endpoint in 700, but two at one in 44.
	minDeviations, minUsual = 3.0, 0.05
	// lastFailures is the decayed number of failures below which an endpoint that gets no
	// calls is no longer suspect.
	lastFailures = 0.5
	// An endpoint has recovered after recoveredRun successes in a row and recoveredTime without
	// a failure. One that fails two calls in five has such a run with a probability of 5%.
	recoveredRun  = 5.5 // six, of which some have decayed in messages
	recoveredTime = 2 * time.Second
	// minSuspectTime bounds the log lines about an endpoint.
	minSuspectTime = 2 * time.Second
	// askedTime is how long an endpoint of which nothing is known counts as one that does not
	// fail. The scheduler asks about all endpoints of a service at each placement.
	askedTime = 5 * time.Second
)

// record holds the outcomes at one incarnation.
type record struct {
	endpoint  endpt.Endpoint // zero until this process asks about it
	askedAt   time.Time
	own, told Counts // as of at
	pending   Counts // own ones that peers were not told, as of at
	at        time.Time
	newest    time.Time // of the outcomes
	failedAt  time.Time // the newest failure
	run       float64   // successes since

	urgent                bool // peers are to be told of a failure at once
	toldAt, failureToldAt time.Time

	suspect      bool
	suspectSince time.Time
	usual        float64 // rate of the service's other endpoints
}

func (r *record) all() Counts { return r.own.plus(r.told) }

// decay reduces the weight of the outcomes by the time that has passed.
func (r *record) decay(now time.Time) {
	if r.own == (Counts{}) && r.told == (Counts{}) {
		r.at = now
	}
	if passed := now.Sub(r.at); passed > 0 {
		left := math.Exp(-passed.Seconds() / decayTime.Seconds())
		r.own, r.told, r.pending = r.own.times(left), r.told.times(left), r.pending.times(left)
		r.at = now
	}
}

// rate returns the share of calls that failed. Less than one call tells less than that.
func (r *record) rate() float64 {
	c := r.all()
	return c.Failures / max(1, c.total())
}

// note records when outcomes came and in which order.
func (r *record) note(now time.Time, c Counts) {
	r.newest = now
	r.run += c.Successes
	if c.Failures > 0 {
		r.failedAt, r.run = now, 0
	}
}

// excess returns the failure rate above the usual one. One more call that fails as usual is
// assumed, so that few outcomes say less.
func (r *record) excess() float64 {
	c := r.all()
	return max(0, (c.Failures-r.usual*c.total())/(c.total()+1))
}

func (r *record) estimate(now time.Time) Estimate {
	e := Estimate{Suspect: r.suspect, Rate: r.rate(), Usual: r.usual, Recovering: r.run > 0, Own: r.own, Told: r.told, Age: now.Sub(r.newest)}
	if r.suspect {
		e.Excess = r.excess()
	}
	return e
}

// becomesSuspect reports whether the endpoint fails clearly more often than others.
func (r *record) becomesSuspect() bool {
	c, usual := r.all(), max(minUsual, r.usual)
	deviation := math.Sqrt(c.total() * usual * (1 - usual))
	return c.Failures >= minFailures && r.excess() >= minExcess && c.Failures-r.usual*c.total() >= minDeviations*deviation
}

// hasRecovered reports whether the last outcomes show that the endpoint no longer fails.
func (r *record) hasRecovered(now time.Time) bool {
	return r.run >= recoveredRun && now.Sub(r.failedAt) >= recoveredTime
}

// rate decides which endpoints are suspect, unless that was done just now.
func (l *Ledger) rate(now time.Time) {
	if !l.unrated && now.Sub(l.ratedAt) < rateInterval {
		return
	}
	l.unrated, l.ratedAt = false, now
	services := map[string][]*record{}
	suspects, failures := 0, false
	for key, r := range l.records {
		r.decay(now)
		switch {
		case r.all().total() < negligible && now.Sub(r.askedAt) >= askedTime:
			if r.suspect {
				l.end(now, r, "no_calls")
			}
			delete(l.records, key)
			continue
		case r.endpoint.ID != "":
			services[r.endpoint.Service] = append(services[r.endpoint.Service], r)
		}
		failures = failures || r.all().Failures >= negligible
	}
	for _, records := range services {
		setUsual(records)
		for _, r := range records {
			l.rateRecord(now, r)
			if r.suspect {
				suspects++
			}
		}
	}
	l.any.Store(failures || suspects > 0)
	if l.cfg.Metrics != nil {
		l.cfg.Metrics.SuspectEndpoints.Set(float64(suspects))
	}
}

// setUsual sets the rate that is usual for each endpoint of a service: the median of the
// others. Endpoints that fail much do not raise it, as a mean would be by the calls that
// these attract.
func setUsual(records []*record) {
	rates := make([]float64, len(records))
	for i, r := range records {
		rates[i] = r.rate()
	}
	slices.Sort(rates)
	middle := (len(rates) - 2) / 2 // of the others
	for _, r := range records {
		r.usual = 0
		switch own, _ := slices.BinarySearch(rates, r.rate()); {
		case len(rates) == 1:
		case own <= middle:
			r.usual = rates[middle+1]
		default:
			r.usual = rates[middle]
		}
	}
}

// rateRecord decides whether an endpoint is suspect.
func (l *Ledger) rateRecord(now time.Time, r *record) {
	switch {
	case !r.suspect && r.becomesSuspect():
		r.suspect, r.suspectSince = true, now
		l.log(now, r, "endpoint_failing")
	case !r.suspect || now.Sub(r.suspectSince) < minSuspectTime:
	case r.hasRecovered(now):
		l.end(now, r, "successes")
		r.own.Failures, r.told.Failures = 0, 0
	case r.excess() < lastExcess:
		l.end(now, r, "rate")
	case r.all().Failures < lastFailures:
		l.end(now, r, "no_calls")
	}
}

func (l *Ledger) end(now time.Time, r *record, why string) {
	l.log(now, r, "endpoint_recovered", zap.String("why", why), zap.Duration("failing_for", now.Sub(r.suspectSince)))
	r.suspect = false
}

// log logs a decision about an endpoint with its inputs.
func (l *Ledger) log(now time.Time, r *record, event string, more ...zap.Field) {
	e := r.estimate(now)
	l.cfg.Log.With(more...).Info(event, zap.String("endpoint", r.endpoint.ID), zap.String("service", r.endpoint.Service), zap.Int64("started_ms", r.endpoint.StartedMs),
		zap.Float64("rate", e.Rate), zap.Float64("usual_rate", e.Usual), zap.Float64("own_successes", e.Own.Successes), zap.Float64("own_failures", e.Own.Failures),
		zap.Float64("told_successes", e.Told.Successes), zap.Float64("told_failures", e.Told.Failures), zap.Duration("age", e.Age))
}
