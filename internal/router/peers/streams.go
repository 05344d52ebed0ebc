package peers

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/router/begun"
)

const (
	// streamHomes is how many processes are told which version began a stream: those with
	// the highest rendezvous scores. A process that looks for a stream asks askedHomes, as
	// some may have ended meanwhile and others come.
	streamHomes = 3
	askedHomes  = 6
	// streamInterval is how often the homes of a running stream are told again, since they
	// change and processes forget when they restart.
	streamInterval = 2 * time.Second
	// newcomerInterval is the least time between two words about all running streams to a process
	// that seems to have restarted. It says so for some seconds.
	newcomerInterval = 500 * time.Millisecond
	// streamAnswerTime is how long a process waits for answers. It is a few times the round
	// trip between regions.
	streamAnswerTime = 200 * time.Millisecond
	maxStreamKeys    = 64  // in a message
	maxStreamAsks    = 256 // that wait for answers, or to be answered
)

// streamWord says which streams a version of the software began.
type streamWord struct {
	Software string      `msgpack:"s"`
	Keys     []begun.Key `msgpack:"k"`
}

// streamAsk asks which version began a stream.
type streamAsk struct {
	Key     begun.Key `msgpack:"k"`
	Service string    `msgpack:"s"`
	From    string    `msgpack:"f"` // address of the process that asks
}

// streamAnswer is the answer to a streamAsk.
type streamAnswer struct {
	Key      begun.Key `msgpack:"k"`
	Known    bool      `msgpack:"n"`           // the process knows the stream
	Software string    `msgpack:"s,omitempty"` // that began it; if it is not known, the only version that has served lately
}

// streamRounds holds what is to be told and asked about streams.
type streamRounds struct {
	lastRound time.Time
	asks      []streamAsk // of this process, not sent yet
	asked     []streamAsk // of others, not answered yet
	waiting   map[begun.Key]*streamWait
}

// streamWait is a question of this process that waits for answers.
type streamWait struct {
	askers  int // calls that wait
	homes   int // that were asked, -1 until then
	answers []streamAnswer
	changed chan struct{} // closed and replaced with each answer
}

// FindStream asks peers which version of the software began a stream. known is false if
// nobody can tell in time.
func (g *Group) FindStream(ctx context.Context, service, callID string) (software string, known bool) {
	key := begun.KeyOf(callID)
	g.mu.Lock()
	w := g.streams.waiting[key]
	if w == nil {
		if len(g.streams.waiting) >= maxStreamAsks {
			g.mu.Unlock()
			return "", false
		}
		w = &streamWait{homes: -1, changed: make(chan struct{})}
		g.streams.waiting[key] = w
		g.streams.asks = append(g.streams.asks, streamAsk{Key: key, Service: service, From: g.cfg.Address})
	}
	w.askers++
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if w.askers--; w.askers == 0 {
			delete(g.streams.waiting, key)
		}
	}()
	timeout := time.NewTimer(streamAnswerTime)
	defer timeout.Stop()
	for {
		software, known, over := w.result(false)
		changed := w.changed
		g.mu.Unlock()
		if over {
			return software, known
		}
		select {
		case <-changed:
			g.mu.Lock()
		case <-timeout.C:
			g.mu.Lock()
			software, known, _ = w.result(true)
			g.mu.Unlock()
			return software, known
		case <-ctx.Done():
			return "", false
		}
	}
}

// result returns what the answers say, and whether to wait for no more of them. One process
// that knows the stream decides; otherwise those that have seen a single version for long do,
// if they agree.
func (w *streamWait) result(late bool) (software string, known, over bool) {
	var only []string
	for _, a := range w.answers {
		switch {
		case a.Known:
			return a.Software, true, true
		case a.Software != "" && !slices.Contains(only, a.Software):
			only = append(only, a.Software)
		}
	}
	if !late && (w.homes < 0 || len(w.answers) < w.homes) {
		return "", false, false
	}
	if len(only) == 1 {
		return only[0], true, true
	}
	return "", false, true
}

// homesOf returns the processes other than this one with the highest scores for a stream. It
// counts all that were alive within memberTTL, since processes agree on these.
func (g *Group) homesOf(now time.Time, key begun.Key, n int) []string {
	var known []string
	for address, p := range g.peers {
		if p.aliveWithin(now, memberTTL) {
			known = append(known, address)
		}
	}
	all := rank.Hosts(known, strconv.FormatUint(uint64(key), 16))
	return all[:min(n, len(all))]
}

// streamPackets returns what is due now about streams: words, questions and answers. It asks
// the scheduler only while it holds no lock, as the scheduler asks the group.
func (g *Group) streamPackets(now time.Time) ([]Packet, error) {
	if g.cfg.Streams == nil {
		return nil, nil
	}
	words, err := g.streamWords(now, g.untoldStreams(now), nil)
	if err != nil {
		return nil, err
	}
	if newcomers := g.streamNewcomers(now); len(newcomers) > 0 {
		more, err := g.streamWords(now, g.withVersions(now, g.cfg.Streams.Running()), newcomers)
		if err != nil {
			return nil, err
		}
		words = append(words, more...)
	}
	questions, err := g.streamQuestions(now)
	if err != nil {
		return nil, err
	}
	answers, err := g.streamAnswers(now)
	return slices.Concat(words, questions, answers), err
}

// untoldStreams returns the streams whose homes are to be told now, without those of services
// of which only one version has served lately: every process knows that.
func (g *Group) untoldStreams(now time.Time) []begun.Stream {
	streams := g.cfg.Streams.TakeNews()
	g.mu.Lock()
	isRound := now.Sub(g.streams.lastRound) >= streamInterval
	if isRound {
		g.streams.lastRound = now
	}
	g.mu.Unlock()
	if isRound {
		streams = g.cfg.Streams.Running()
	}
	return g.withVersions(now, streams)
}

// withVersions returns the streams of services of which several versions have served lately.
func (g *Group) withVersions(now time.Time, streams []begun.Stream) []begun.Stream {
	isOnly := map[string]bool{}
	return slices.DeleteFunc(streams, func(s begun.Stream) bool {
		if _, asked := isOnly[s.Service]; !asked {
			_, isOnly[s.Service] = g.cfg.Scheduler.OnlySoftware(now, s.Service)
		}
		return isOnly[s.Service]
	})
}

// streamNewcomers returns the processes that have joined or restarted and are to be told of running
// streams now: until the next round of streamInterval they could not tell callers the version.
func (g *Group) streamNewcomers(now time.Time) (newcomers map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		if !p.needsStreams || now.Sub(p.streamsTold) < newcomerInterval {
			continue
		}
		if newcomers == nil {
			newcomers = map[string]bool{}
		}
		p.needsStreams, p.streamsTold, newcomers[address] = false, now, true
	}
	return newcomers
}

// streamWords returns messages to the homes of streams, only to those in a set if there is one.
func (g *Group) streamWords(now time.Time, streams []begun.Stream, only map[string]bool) (packets []Packet, err error) {
	type batch struct{ home, software string }
	keys := map[batch][]begun.Key{}
	g.mu.Lock()
	for _, s := range streams {
		for _, home := range g.homesOf(now, s.Key, streamHomes) {
			if only != nil && !only[home] {
				continue
			}
			keys[batch{home, s.Software}] = append(keys[batch{home, s.Software}], s.Key)
		}
	}
	g.mu.Unlock()
	for b, all := range keys {
		for some := range slices.Chunk(all, maxStreamKeys) {
			raw, err := msgpack.Marshal(message{Streams: &streamWord{Software: b.software, Keys: some}})
			if err != nil {
				return nil, err
			}
			packets = append(packets, Packet{To: []string{b.home}, Raw: raw})
		}
	}
	return packets, nil
}

// streamQuestions returns the questions of this process that were not sent yet.
func (g *Group) streamQuestions(now time.Time) (packets []Packet, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	asks := g.streams.asks
	g.streams.asks = nil
	for _, ask := range asks {
		to := g.homesOf(now, ask.Key, askedHomes)
		if w := g.streams.waiting[ask.Key]; w != nil {
			w.homes = len(to)
			w.notify()
		}
		raw, err := msgpack.Marshal(message{StreamAsk: &ask})
		if err != nil {
			return nil, err
		}
		packets = append(packets, Packet{To: to, Raw: raw})
	}
	return packets, nil
}

// streamAnswers returns the answers to the questions of others.
func (g *Group) streamAnswers(now time.Time) (packets []Packet, err error) {
	g.mu.Lock()
	asked := g.streams.asked
	g.streams.asked = nil
	g.mu.Unlock()
	for _, ask := range asked {
		answer := streamAnswer{Key: ask.Key}
		if answer.Software, answer.Known = g.cfg.Streams.Find(ask.Key); !answer.Known {
			answer.Software, _ = g.cfg.Scheduler.OnlySoftware(now, ask.Service)
		}
		raw, err := msgpack.Marshal(message{StreamAnswer: &answer})
		if err != nil {
			return nil, err
		}
		packets = append(packets, Packet{To: []string{ask.From}, Raw: raw})
	}
	return packets, nil
}

// notify wakes the calls that wait for answers.
func (w *streamWait) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// receiveStreams records which streams a version began.
func (g *Group) receiveStreams(now time.Time, word streamWord) {
	if g.cfg.Streams == nil {
		return
	}
	for _, key := range word.Keys[:min(len(word.Keys), maxStreamKeys)] {
		g.cfg.Streams.Put(now, key, word.Software)
	}
}

func (g *Group) receiveStreamAsk(ask streamAsk) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.streams.asked) < maxStreamAsks && ask.From != "" && ask.From != g.cfg.Address {
		g.streams.asked = append(g.streams.asked, ask)
	}
}

func (g *Group) receiveStreamAnswer(answer streamAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.streams.waiting[answer.Key]; w != nil && len(w.answers) < askedHomes {
		w.answers = append(w.answers, answer)
		w.notify()
	}
}
