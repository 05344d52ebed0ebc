// Package begun remembers which version of the endpoints' software began each stream. What
// two versions write does not fit together, so that a stream that its caller takes up may go
// on at that version only. It does no I/O.
package begun

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keepFor is at least how long a stream is remembered after its last word. Callers take up
	// a stream within seconds.
	keepFor = time.Minute
	// generationSize is half the number of streams that are remembered.
	generationSize = 16 << 10
	maxNews        = 4096 // that peers were not told yet
)

// Key is the hash of the ID of a call.
type Key uint64

// KeyOf returns the key of a call's ID.
func KeyOf(callID string) Key { return Key(xxhash.Sum64String(callID)) }

// Stream is a stream and the version of the software that began it.
type Stream struct {
	Key      Key
	Service  string
	Software string
}

// Ledger holds streams: this process's own and those that peers tell it of. It is safe for
// concurrent use.
type Ledger struct {
	mu               sync.Mutex
	recent, previous map[Key]string // versions; entries of recent are newer
	rotated          time.Time
	running          map[Key]Stream // of this process
	news             []Stream       // of running, not taken yet
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{recent: map[Key]string{}, running: map[Key]Stream{}} }

// Begin records which version is about to begin a stream of this process, or has begun it.
func (l *Ledger) Begin(now time.Time, s Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(now, s.Key, s.Software)
	if l.running[s.Key] == s {
		return
	}
	l.running[s.Key] = s
	if len(l.news) < maxNews {
		l.news = append(l.news, s)
	}
}

// End records that a stream of this process is over or has broken off. It is still remembered.
func (l *Ledger) End(key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, key)
}

// Put records the newest word of a peer about a stream, unless the stream is running here.
func (l *Ledger) Put(now time.Time, key Key, software string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, running := l.running[key]; !running {
		l.put(now, key, software)
	}
}

// Find returns the version that began a stream.
func (l *Ledger) Find(key Key) (software string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.find(key)
}

func (l *Ledger) find(key Key) (software string, found bool) {
	if s, ok := l.running[key]; ok {
		return s.Software, true
	}
	if v, ok := l.recent[key]; ok {
		return v, true
	}
	v, ok := l.previous[key]
	return v, ok
}

func (l *Ledger) put(now time.Time, key Key, software string) {
	if len(l.recent) >= generationSize || now.Sub(l.rotated) >= keepFor {
		l.recent, l.previous, l.rotated = map[Key]string{}, l.recent, now
	}
	l.recent[key] = software
}

// TakeNews returns the streams of this process that began since the last call.
func (l *Ledger) TakeNews() []Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := l.news
	l.news = nil
	return news
}

// Running returns the streams of this process that are not over.
func (l *Ledger) Running() []Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Stream, 0, len(l.running))
	for _, s := range l.running {
		out = append(out, s)
	}
	return out
}
