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

	maxWaitSeconds = 365 * 24 * 3600.0 // a longer wait, at a tiny rate, could overflow a Duration
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

// Allowance is this entry's part of one limit of a workspace.
type Allowance struct {
	PerSecond float64 `json:"per_second"` // 0 for no limit
	Left      float64 `json:"left"`       // below 0 if responses were longer than the limit allows
}

// Decision is what the limits of a workspace mean for its next request.
type Decision struct {
	Admits   bool          `json:"admits"`
	Wait     time.Duration `json:"-"` // after which to retry, if it is not admitted
	Requests Allowance     `json:"requests"`
	Tokens   Allowance     `json:"tokens"`
}

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
	d := l.decide(w, entries, now)
	lim := l.workspaceLimiters(w, max(1, entries), now)
	if d.Admits && lim.requests != nil {
		lim.requests.ReserveN(now, 1)
	}
	return d.Admits, d.Wait
}

// Check returns the decision that Admit would make, without counting anything.
func (l *Limiter) Check(w spec.Workspace, entries int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(w, entries, time.Now())
}

// decide decides on the next request of a workspace. The caller holds the lock.
func (l *Limiter) decide(w spec.Workspace, entries int, now time.Time) Decision {
	lim := l.byWorkspace[w.Name]
	if lim == nil {
		lim = &limiters{}
	}
	d := Decision{
		Requests: allowance(lim.requests, w.PerSecond/float64(max(1, entries)), now),
		Tokens:   allowance(lim.tokens, w.TokensPS/float64(max(1, entries)), now),
	}
	if d.Wait = d.Tokens.wait(); d.Wait == 0 {
		d.Wait = d.Requests.wait()
	}
	d.Admits = d.Wait == 0
	return d
}

// allowance returns what a limiter, nil if there is none yet, allows at a rate.
func allowance(lim *rate.Limiter, perSecond float64, now time.Time) Allowance {
	if perSecond <= 0 {
		return Allowance{}
	}
	left := float64(burst(perSecond))
	if lim != nil {
		left = min(left, lim.TokensAt(now))
	}
	return Allowance{PerSecond: perSecond, Left: left}
}

// wait returns how long until one more request or output token is allowed.
func (a Allowance) wait() time.Duration {
	if a.PerSecond == 0 {
		return 0
	}
	return max(0, time.Duration(min((1-a.Left)/a.PerSecond, maxWaitSeconds)*float64(time.Second)))
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
	if lim == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
	}
	lim.SetLimitAt(now, rate.Limit(perSecond))
	lim.SetBurstAt(now, burst(perSecond))
	return lim
}

func burst(perSecond float64) int { return max(1, int(burstSeconds*perSecond)) }

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
