package peers

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	// A process that has just started asks the seeds and limitAskPeers others which limits
	// endpoints name, every limitAskInterval until it gets an answer, for at most limitAskTime.
	limitAskPeers    = 2
	limitAskInterval = 60 * time.Millisecond
	limitAskTime     = 2 * time.Second
	// limitAskWait is how long a process that has just started waits for an answer before it
	// takes endpoints that it knows nothing of for unlimited.
	limitAskWait = 300 * time.Millisecond

	maxAnswerWords = 40  // in an answer
	maxAskers      = 512 // that wait for one
	// answerBytesPerSecond bounds what a process spends on answers; answerBurst is how much it
	// may save up.
	answerBytesPerSecond = 500
	answerBurst          = 4 << 10
)

// limitAsks holds the questions for limits: this process's own and those of others.
type limitAsks struct {
	over      atomic.Bool // answered, nobody can, or limitAskWait has passed
	answered  bool
	unknown   map[string]bool // addresses of processes that have no answer either
	began     time.Time
	lastAsk   time.Time
	askers    []string  // addresses of those that get an answer next
	allowance allowance // for answers
}

// KnowsLimits reports whether this process may take an endpoint that it knows no limit of
// for unlimited: a peer has told it all limits, none of the seeds can, or none did in time.
func (g *Group) KnowsLimits(now time.Time) bool {
	if g.cfg.Limits == nil || g.limitAsks.over.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limitAskIsOver(now)
}

func (g *Group) limitAskIsOver(now time.Time) bool {
	a := &g.limitAsks
	isMissing := func(seed string) bool { return !a.unknown[seed] }
	nobodyKnows := len(a.unknown) > 0 && !slices.ContainsFunc(g.seeds, isMissing)
	if a.answered || nobodyKnows || !a.began.IsZero() && now.Sub(a.began) >= limitAskWait {
		a.over.Store(true)
	}
	return a.over.Load()
}

// limitAskPackets returns the question for limits if it is due.
func (g *Group) limitAskPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Limits == nil {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.limitAsks
	if a.began.IsZero() {
		a.began = now
	}
	if a.answered || now.Sub(a.began) >= limitAskTime || now.Sub(a.lastAsk) < limitAskInterval {
		return nil, nil
	}
	a.lastAsk = now
	to := lo.Uniq(slices.Concat(g.seeds, g.randomPeers(now, limitAskPeers)))
	raw, err := msgpack.Marshal(message{LimitsAsker: g.cfg.Address})
	return []Packet{{To: to, Raw: raw}}, err
}

// receiveLimitsAsker records that a process asks for the limits.
func (g *Group) receiveLimitsAsker(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := &g.limitAsks; len(a.askers) < maxAskers && !slices.Contains(a.askers, address) {
		a.askers = append(a.askers, address)
	}
}

// receiveLimitsUnknown records that a process has no answer to the question.
func (g *Group) receiveLimitsUnknown(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := &g.limitAsks; len(a.unknown) < maxAskers {
		a.unknown[address] = true
	}
}

// nextLimitAskers returns the processes whose questions are answered now, only one at a time
// if the answer is long.
func (g *Group) nextLimitAskers(now time.Time, isLong bool) []string {
	a := &g.limitAsks
	if len(a.askers) == 0 || !a.allowance.refill(now) {
		return nil
	}
	next := len(a.askers)
	if isLong {
		next = 1
	}
	to := slices.Clone(a.askers[:next])
	a.askers = a.askers[next:]
	return to
}

// receiveLimitsAnswer records that a peer has told all limits that it knows.
func (g *Group) receiveLimitsAnswer(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limitAsks.answered {
		g.limitAsks.answered = true
		g.cfg.Log.Info("limits_known", zap.Duration("after", now.Sub(g.limitAsks.began)))
	}
}
