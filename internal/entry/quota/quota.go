// Package quota enforces the request and token rate limits of workspaces. Entries
// share no state. Each enforces an equal part of a limit, as the platform's load
// balancer distributes calls evenly over the entries.
package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

const (
	idleTimeout   = 2 * time.Minute
	sweepInterval = 30 * time.Second
	burstSeconds  = 2 // burst size as seconds of the rate
)

// Limiter enforces the limits of all workspaces. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	byWorkspace map[string]*limiters
	lastSweep   time.Time
}

// limiters holds the rate limiters of one workspace.
type limiters struct {
	requests *rate.Limiter // nil for no limit
	tokens   *rate.Limiter
	lastUsed time.Time
}

// New returns a Limiter.
func New() *Limiter { return &Limiter{byWorkspace: map[string]*limiters{}, lastSweep: time.Now()} }

// Admit counts one request of a workspace and reports whether it is within the
// limits, of which this entry enforces 1/entries. If not, it returns the time after
// which to retry.
func (l *Limiter) Admit(w spec.Workspace, entries int) (bool, time.Duration) {
	if w.PerSecond == 0 && w.TokensPS == 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	lim := l.workspaceLimiters(w, max(1, entries), now)
	if lim.tokens != nil && lim.tokens.TokensAt(now) < 1 {
		return false, timeUntilAllowed(lim.tokens, now)
	}
	if lim.requests != nil && !lim.requests.AllowN(now, 1) {
		return false, timeUntilAllowed(lim.requests, now)
	}
	return true, 0
}

// Charge deducts output tokens from a workspace's token limit. The balance may
// become negative, since the length of a response is unknown at admission.
func (l *Limiter) Charge(w spec.Workspace, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.byWorkspace[w.Name]
	if lim == nil || lim.tokens == nil {
		return
	}
	for now := time.Now(); tokens > 0; {
		n := min(tokens, lim.tokens.Burst())
		lim.tokens.ReserveN(now, n)
		tokens -= n
	}
}

// workspaceLimiters returns the limiters of a workspace at their current rates.
func (l *Limiter) workspaceLimiters(w spec.Workspace, entries int, now time.Time) *limiters {
	l.sweep(now)
	lim := l.byWorkspace[w.Name]
	if lim == nil {
		lim = &limiters{}
		l.byWorkspace[w.Name] = lim
	}
	lim.lastUsed = now
	lim.requests = setRate(lim.requests, w.PerSecond/float64(entries), now)
	lim.tokens = setRate(lim.tokens, w.TokensPS/float64(entries), now)
	return lim
}

// setRate updates a limiter to the rate, which changes with the configuration and
// the number of entries. It creates the limiter if lim is nil, and returns nil for no
// limit.
func setRate(lim *rate.Limiter, perSecond float64, now time.Time) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := max(1, int(burstSeconds*perSecond))
	if lim == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	lim.SetLimitAt(now, rate.Limit(perSecond))
	lim.SetBurstAt(now, burst)
	return lim
}

// timeUntilAllowed returns how long until a limiter allows one more request or
// output token.
func timeUntilAllowed(lim *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - lim.TokensAt(now)
	return time.Duration(missing / float64(lim.Limit()) * float64(time.Second))
}

// sweep removes workspaces that were idle for longer than idleTimeout. One whose output
// was more than its limit stays until that is made up for.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for name, lim := range l.byWorkspace {
		inDebt := lim.tokens != nil && lim.tokens.TokensAt(now) < 0
		if now.Sub(lim.lastUsed) > idleTimeout && !inDebt {
			delete(l.byWorkspace, name)
		}
	}
}
