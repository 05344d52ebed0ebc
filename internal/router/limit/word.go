package limit

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/sched"
)

// Statement is what one response says about its endpoint's limit.
type Statement struct {
	Named bool    // false: the endpoint has no limit
	Rate  float64 // requests a second from all processes together, at least 0
}

// Word is the newest statement of an endpoint that a process knows.
type Word struct {
	Statement
	Endpoint  sched.Key
	StartedMs int64         // of the incarnation that said it
	Age       time.Duration // time since its response arrived, at whichever process
}

// word is a Word as this process keeps it.
type word struct {
	Statement
	startedMs int64
	at        time.Time // when its response arrived
	changed   time.Time // when this process learned of a different statement than before
}

const (
	// transit is added to a word's age with each hop. It is longer than a message takes, so
	// that no word becomes younger by being passed on.
	transit = 50 * time.Millisecond
	// namedTTL only bounds memory: as long as an endpoint gets calls, their responses tell
	// whether it still has a limit. endedTTL is longer than any word about the limit that
	// ended is under way.
	namedTTL = time.Hour
	endedTTL = time.Minute
	// newsAge is the age up to which a change goes out before other words.
	newsAge = 2 * time.Second
)

func (w *word) ttl() time.Duration {
	if w.Named {
		return namedTTL
	}
	return endedTTL
}

// Hear records what a response of an endpoint says. sent is when its request was sent. It
// reports whether this is news.
func (l *Ledger) Hear(now time.Time, e endpt.Endpoint, sent time.Time, s Statement) bool {
	if !s.Named && l.limited.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := sched.KeyOf(e.ID)
	known, found := l.words[key]
	switch {
	case !s.Named && (!found || known.startedMs == e.StartedMs && sent.Before(known.at)):
		return false // the response may have been under way when the endpoint named its limit
	case found && known.startedMs > e.StartedMs && !sent.After(known.at):
		return false // a call to an earlier incarnation; start times alone do not tell, as clocks are set back
	}
	return l.set(now, key, word{Statement: s, startedMs: e.StartedMs, at: now}, e.ID)
}

// Merge takes over what peers know. It reports whether there was news.
func (l *Ledger) Merge(now time.Time, words []Word) (news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range words {
		news = l.merge(now, w) || news
	}
	return news
}

func (l *Ledger) merge(now time.Time, w Word) bool {
	next := word{Statement: w.Statement, startedMs: w.StartedMs, at: now.Add(-max(0, w.Age) - transit)}
	known, found := l.words[w.Endpoint]
	switch {
	case now.Sub(next.at) > next.ttl(), !found && !w.Named:
		return false
	case found && (w.StartedMs < known.startedMs || w.StartedMs == known.startedMs && !next.at.After(known.at)):
		return false
	}
	return l.set(now, w.Endpoint, next, "")
}

// set replaces the word of an endpoint. id is empty if a peer told it.
func (l *Ledger) set(now time.Time, key sched.Key, w word, id string) (news bool) {
	before := l.words[key]
	if before == nil {
		before = &word{}
	}
	w.changed = before.changed
	news = before.Statement != w.Statement || before.startedMs != w.startedMs
	if news {
		w.changed = now
		l.state++
		l.cfg.Log.Info("endpoint_limit", zap.String("endpoint", id), zap.Uint32("key", uint32(key)), zap.Bool("named", w.Named), zap.Float64("rate", w.Rate),
			zap.Bool("previously_named", before.Named), zap.Float64("previous_rate", before.Rate), zap.Bool("told_by_peer", id == ""),
			zap.Duration("age", now.Sub(w.at)), zap.String("home", l.homes.of(l.homes.gate(key, w.Rate))))
	}
	l.count(before.Named, w.Named)
	l.words[key] = &w
	return news
}

func (l *Ledger) drop(key sched.Key) {
	l.count(l.words[key].Named, false)
	delete(l.words, key)
}

func (l *Ledger) count(before, after bool) {
	switch {
	case after && !before:
		l.limited.Add(1)
	case before && !after:
		l.limited.Add(-1)
	}
	l.cfg.Metrics.LimitedEndpoints.Set(float64(l.limited.Load()))
}

func (l *Ledger) isNamed(key sched.Key) bool {
	w := l.words[key]
	return w != nil && w.Named
}

// wordOf returns what this process knows of an endpoint.
func (l *Ledger) wordOf(now time.Time, key sched.Key) Word {
	w := l.words[key]
	if w == nil {
		return Word{Endpoint: key, Age: endedTTL}
	}
	return Word{Statement: w.Statement, Endpoint: key, StartedMs: w.startedMs, Age: now.Sub(w.at)}
}

// Words returns up to n words that peers need, the newest changes first, and a number
// that is higher whenever there was one.
func (l *Ledger) Words(now time.Time, n int) (words []Word, state uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []sched.Key
	for key, w := range l.words { // in the map's random order
		if w.Named || now.Sub(w.changed) < endedTTL/4 {
			keys = append(keys, key)
		}
	}
	slices.SortStableFunc(keys, func(a, b sched.Key) int {
		return cmp.Compare(min(newsAge, now.Sub(l.words[a].changed)), min(newsAge, now.Sub(l.words[b].changed)))
	})
	for _, key := range keys[:min(n, len(keys))] {
		words = append(words, l.wordOf(now, key))
	}
	return words, l.state
}
