package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	cancelPause   = 100 * time.Millisecond // between two tries to reach the engine
	cancelTimeout = 2 * time.Second
	retryTimeout  = 200 * time.Millisecond // short: the engine may come back during a try that it does not get
	lateStart     = 2 * time.Second        // an engine may read a call so long after a cancellation that was sent later
)

// uncancelled is a generation whose output will not be read, and which its engine may begin or go on
// with.
type uncancelled struct {
	streamID string
	boot     uint64    // of the engine that it was sent to
	begun    bool      // the engine knows it, or did
	since    time.Time // of the first cancellation
	asked    time.Time // when the engine first said that it does not know the stream
	tries    int
}

// try cancels the generation and reports whether it has surely ended.
func (u *uncancelled) try(cancel func(limit time.Duration, id string) (bool, error), limit time.Duration) (ended bool, err error) {
	u.tries++
	known, err := cancel(limit, u.streamID)
	switch {
	case err != nil:
		return false, err
	case known || u.begun:
		return true, nil
	case u.asked.IsZero():
		u.asked = time.Now()
	}
	return time.Since(u.asked) > lateStart, nil
}

// cancelInEngine cancels a generation whose output will not be read. If it may go on, that is repeated in
// the background.
func (r *Runner) cancelInEngine(u *uncancelled) {
	u.since = time.Now()
	ended, err := u.try(r.engine.Cancel, cancelTimeout)
	if ended {
		return
	}
	r.Log.Warn("engine_cancel_failed", zap.String("stream", u.streamID), zap.Bool("unknown", err == nil), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncancelled = append(r.uncancelled, u)
	if len(r.uncancelled) == 1 {
		go r.cancelAgain()
	}
}

// cancelAgain repeats the cancellations until none is left.
func (r *Runner) cancelAgain() {
	for {
		time.Sleep(cancelPause)
		r.mu.Lock()
		round := slices.Clone(r.uncancelled)
		r.mu.Unlock()
		done := map[*uncancelled]bool{}
		var failed *uncancelled
		var err error
		for _, u := range round {
			if done[u], err = u.try(r.engine.Cancel, retryTimeout); err != nil {
				failed = u
				break // the engine may be out of reach
			}
		}
		if r.removeCancelled(done, failed, err) == 0 {
			return
		}
	}
}

// removeCancelled removes the generations that have ended, and those that are too old for their engine
// to work on them. The one whose cancellation failed, if any, comes last from then on. It returns the
// number of those that are left.
func (r *Runner) removeCancelled(done map[*uncancelled]bool, failed *uncancelled, err error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncancelled = slices.DeleteFunc(r.uncancelled, func(u *uncancelled) bool {
		over := r.Context.Err() != nil || time.Since(u.since) > r.service.Deadline()
		done[u] = done[u] || u.boot != r.health.bootID
		switch {
		case done[u]:
			r.Log.Info("engine_cancelled", zap.String("stream", u.streamID), zap.Int("tries", u.tries), zap.Duration("after", time.Since(u.since)))
		case over:
			r.Log.Warn("engine_cancel_given_up", zap.String("stream", u.streamID), zap.Int("tries", u.tries), zap.Error(err))
		}
		return done[u] || over
	})
	if i := slices.Index(r.uncancelled, failed); i >= 0 {
		r.uncancelled = append(slices.Delete(r.uncancelled, i, i+1), failed)
	}
	return len(r.uncancelled)
}
