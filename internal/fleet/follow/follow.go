// Package follow keeps the book of endpoints and the table in force up to date
// from a registry that can only be read. It survives outages: what is known
// stays in use, and endpoints whose entries expired meanwhile get time to come
// back.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/live"
	"github.com/mimosalock/mimosalock/internal/conf/table"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

// ErrHistoryGone is returned by a Source whose history no longer reaches back to
// the wanted revision.
var ErrHistoryGone = errors.New("the registry's history no longer reaches back so far")

// Source reads the registry.
type Source interface {
	// List returns a whole listing that holds all changes up to its revision.
	List(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision, as soon as there are any, and the
	// revision to go on from. It may return none after a while.
	Watch(ctx context.Context, after uint64) ([]Event, uint64, error)
	// ListOf returns what a peer knows of the registry.
	ListOf(ctx context.Context, peer string) (Snapshot, error)
	// Leaving asks an endpoint itself whether it is about to leave.
	Leaving(ctx context.Context, e endpt.Endpoint) (bool, error)
}

// Snapshot is a whole listing.
type Snapshot struct {
	Endpoints []endpt.Endpoint
	Table     *table.Table // nil if there is no valid one
	Evacuated []string     // data centres out of service
	At        uint64       // revision
}

// Event is one change of the registry.
type Event interface{ event() }

// EndpointPut is an endpoint as it was written.
type EndpointPut struct{ Endpoint endpt.Endpoint }

// EndpointGone is an endpoint whose entry was removed or names none any more.
type EndpointGone struct {
	ID       string
	Revision uint64
}

// TablePut is a new version of the configuration.
type TablePut struct{ Table *table.Table }

// CentreChanged tells that a data centre was taken out or back in.
type CentreChanged struct {
	Centre string
	Out    bool
}

func (EndpointPut) event()   {}
func (EndpointGone) event()  {}
func (TablePut) event()      {}
func (CentreChanged) event() {}

const (
	// pace is the pause between two watches. It gathers changes that come together
	// into one priced call.
	pace = 20 * time.Millisecond
	// outage is how long the registry must fail before entries that vanish count
	// as expired with it. Three missed heartbeats of a second remove one.
	outage = 1500 * time.Millisecond
	// comeback is how long expired endpoints may take to list themselves again.
	comeback = 2 * time.Second

	// askPace is how often endpoints that run calls are asked themselves while the
	// registry is away. Their notices are at least one and a half seconds.
	askPace    = 300 * time.Millisecond
	askTimeout = 300 * time.Millisecond

	firstRetry = 100 * time.Millisecond
	mostRetry  = time.Second
)

// Deps are what a Follower is built from.
type Deps struct {
	Source Source
	Book   *book.Book
	Tables *live.Holder
	Log    *zap.Logger
	Seen   func(book.Change) // told of each change of an endpoint, may be nil
	// Followers returns the peers whose registry answers. While there are any, they
	// pass on what leaves, so that endpoints need not be asked. nil means none.
	Followers func(now time.Time) []string
	// Leads reports whether this process is one of those that follow the registry
	// closely. nil means yes.
	Leads func(now time.Time) bool
	// RestPace is the pause of a process that does not lead. Peers pass on what
	// leaves, but configurations are only read.
	RestPace time.Duration
}

// Follower follows one registry.
type Follower struct {
	Deps
	at      atomic.Uint64 // revision that is known
	listed  bool
	known   atomic.Bool               // listed at least once
	failing atomic.Pointer[time.Time] // since then, nil if the registry answers
	grace   time.Time
	retry   time.Duration
	heard   time.Time
}

// New returns a follower. Run starts it.
func New(d Deps) *Follower { return &Follower{Deps: d, retry: firstRetry} }

// Answers reports whether the registry answered the last time it was asked.
func (f *Follower) Answers() bool { return f.failing.Load() == nil && f.known.Load() }

// Run follows the registry until the context ends.
func (f *Follower) Run(ctx context.Context) {
	go f.askEndpoints(ctx)
	for ctx.Err() == nil {
		pause := f.pace(time.Now())
		if !f.listed {
			pause = 0 // what has changed since the listing is read at once
		}
		if err := f.round(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause = f.backoff()
			f.askPeer(ctx)
		}
		f.Expire(time.Now())
		sleep(ctx, pause)
	}
}

func (f *Follower) pace(now time.Time) time.Duration {
	if f.Leads == nil || f.Leads(now) {
		return pace
	}
	return f.RestPace
}

func (f *Follower) round(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	events, at, err := f.Source.Watch(ctx, f.at.Load())
	if errors.Is(err, ErrHistoryGone) {
		f.Log.Info("registry_history_gone", zap.Uint64("revision", f.at.Load()))
		f.listed = false
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.answered(time.Now())
	f.at.Store(at)
	for _, e := range events {
		f.apply(e)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	s, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.answered(time.Now())
	f.listed = true
	f.adopt(s)
	return nil
}

// askPeer takes over what a peer knows while the registry does not answer this
// process. A peer that knows no more than this one changes nothing.
func (f *Follower) askPeer(ctx context.Context) {
	peers := f.followers()
	if len(peers) == 0 {
		return
	}
	s, err := f.Source.ListOf(ctx, peers[0])
	if err != nil {
		f.Log.Info("peer_listing_failed", zap.String("peer", peers[0]), zap.Error(err))
		return
	}
	if s.At <= f.at.Load() && f.known.Load() {
		return
	}
	f.Log.Info("peer_listing_taken", zap.String("peer", peers[0]), zap.Uint64("revision", s.At), zap.Uint64("before", f.at.Load()))
	f.adopt(s)
}

func (f *Follower) followers() []string {
	if f.Followers == nil {
		return nil
	}
	return f.Followers(time.Now())
}

// adopt takes a whole listing over.
func (f *Follower) adopt(s Snapshot) {
	now := time.Now()
	f.at.Store(s.At)
	f.known.Store(true)
	if s.Table != nil {
		f.applyTable(s.Table)
	}
	for _, centre := range f.Book.Evacuated() {
		f.evacuate(now, centre, false, s.Evacuated)
	}
	for _, centre := range s.Evacuated {
		f.evacuate(now, centre, true, nil)
	}
	for _, c := range f.Book.Replace(now, s.Endpoints, f.grace) {
		f.changed(c.At(s.At))
	}
}

// evacuate takes a data centre out, or back in unless it is among those kept out.
func (f *Follower) evacuate(now time.Time, centre string, out bool, keep []string) {
	for _, k := range keep {
		if k == centre {
			return
		}
	}
	if f.Book.Evacuate(now, centre, out) {
		f.Log.Info("data_centre_changed", zap.String("data_centre", centre), zap.Bool("out_of_service", out), zap.Uint64("revision", f.at.Load()))
	}
}

func (f *Follower) apply(e Event) {
	now := time.Now()
	switch e := e.(type) {
	case EndpointPut:
		f.changed(f.Book.Put(now, e.Endpoint))
	case EndpointGone:
		f.changed(f.Book.Remove(now, e.ID, f.grace).At(e.Revision))
	case TablePut:
		f.applyTable(e.Table)
	case CentreChanged:
		f.evacuate(now, e.Centre, e.Out, nil)
	}
}

func (f *Follower) applyTable(t *table.Table) {
	if f.Tables.Apply(t) {
		f.Log.Info("config_applied", zap.Uint64("version", t.Version()), zap.Uint64("revision", f.at.Load()))
	}
}

// Expire drops endpoints that did not come back after an outage.
func (f *Follower) Expire(now time.Time) {
	for _, c := range f.Book.Expire(now) {
		f.changed(c)
	}
}

func (f *Follower) changed(c book.Change) {
	if c.What == book.WhatNone {
		return
	}
	f.Log.Info("endpoint_"+c.What.String(), zap.String("endpoint", c.Endpoint.ID), zap.String("address", c.Endpoint.Address),
		zap.String("service", c.Endpoint.Service), zap.String("data_centre", c.Endpoint.DataCentre), zap.Uint64("revision", f.at.Load()))
	if f.Seen != nil {
		f.Seen(c)
	}
}

// failed notes a failure of the registry.
func (f *Follower) failed(err error) {
	if f.failing.Load() == nil {
		now := time.Now()
		f.failing.Store(&now)
		f.Log.Warn("registry_lost", zap.Error(err), zap.Uint64("revision", f.at.Load()))
	}
}

// answered ends an outage. Entries that expired in it get time to come back.
func (f *Follower) answered(now time.Time) {
	f.heard, f.retry = now, firstRetry
	since := f.failing.Swap(nil)
	if since == nil {
		return
	}
	lasted := now.Sub(*since)
	if lasted >= outage {
		f.grace = now.Add(comeback)
	}
	f.Log.Info("registry_back", zap.Duration("outage", lasted))
}

// askEndpoints finds out about endpoints that leave while the registry is away.
func (f *Follower) askEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, askPace)
		if f.Answers() || len(f.followers()) > 0 {
			continue
		}
		for _, e := range f.Book.Busy() {
			go f.ask(ctx, e)
		}
	}
}

func (f *Follower) ask(ctx context.Context, e endpt.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	leaving, err := f.Source.Leaving(ctx, e)
	if err != nil || !leaving {
		return // an endpoint that cannot be asked shows in its calls
	}
	f.changed(f.Book.Leave(e.ID, e.Born, e.Revision))
}

// backoff returns the pause before the next try: doubled each time, with jitter
// so that a fleet does not return at once.
func (f *Follower) backoff() time.Duration {
	pause := f.retry/2 + rand.N(f.retry)
	f.retry = min(mostRetry, 2*f.retry)
	return pause
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
