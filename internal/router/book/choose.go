package book

import (
	"hash/fnv"
	"slices"
	"time"
)

// Shares and weights come from the figures in docs/POLICY.md.
const (
	// memoryShare is the part of an engine's memory that placed calls may fill.
	// The rest covers outputs that grow longer than estimated.
	memoryShare = 0.92
	// moveShare is the same for generations that would be lost where they are. Above
	// it engines preempt what they run, and read its prompts again.
	moveShare = 1.0
	// plainQueue is how many calls for each slot of a plain endpoint may be placed.
	plainQueue = 2.0

	// tokenWeight and unreadWeight make the cost of an engine about the time to
	// the first token: unread prompts are waited for, running calls slow steps down.
	tokenWeight  = 0.3
	unreadWeight = 3.0

	regionPenalty   = 0.5  // of an endpoint's capacity, for another region's
	strangerPenalty = 0.25 // for one whose other work this process does not know
	centrePenalty   = 0.02 // for another data centre of the same region
	queuePenalty    = 0.05 // for each move that the new one queues behind
	movePenalty     = 1.0  // for a move to another data centre: it takes twice as long

	runSpread  = 0.05 // of an endpoint's capacity, by chance: breaks ties
	moveSpread = 0.1  // parts generations that leave an engine together

	coldWindow = time.Second // in which a cold endpoint's calls are counted

	greyTolerated = 0.25 // failure share that costs nothing: applications fail too
	greyPenalty   = 4.0  // of an endpoint's capacity, for a failure share of 1
)

// Take places a call at the best endpoint, if one has room. A call never
// overtakes one that waits for the same service; Wait queues it.
func (b *Book) Take(now time.Time, need Need) (*Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now, need)
}

func (b *Book) take(now time.Time, need Need) (*Lease, bool) {
	b.forgetSilent(now)
	var best *entry
	bestCost := 0.0
	offset := uint64(b.cfg.Draw())
	for _, e := range b.endpoints {
		if !b.admits(now, e, need) {
			continue
		}
		cost := b.cost(now, e, need) + need.Purpose.spread()*tieBreak(e.endpoint.ID, offset)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil, false
	}
	return b.place(now, best, need), true
}

// spread is how far chance goes before load. Generations leave an endpoint all
// at once, from processes that do not yet know each other's choices.
func (p Purpose) spread() float64 {
	if p == PurposeRun {
		return runSpread
	}
	return moveSpread
}

// tieBreak is a number in [0, 1), different for each call.
func tieBreak(id string, offset uint64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return float64((h.Sum64()^offset)*0x9E3779B97F4A7C15>>40) / (1 << 24)
}

func (b *Book) place(now time.Time, e *entry, need Need) *Lease {
	load := Load{Calls: 1, Tokens: need.Tokens, Unread: need.Prompt}
	if need.Purpose == PurposeMove {
		load.Unread, load.Moves = 0, 1
	} else {
		e.sent = append(e.sent, now)
	}
	e.mine = e.mine.plus(load)
	return &Lease{Endpoint: e.endpoint, book: b, entry: e, load: load}
}

// usable reports whether the endpoint may get new work of the service at all.
func (b *Book) usable(now time.Time, e *entry, need Need) bool {
	ep := e.endpoint
	switch {
	case ep.Service != need.Service, e.left, b.evacuated[ep.DataCentre]:
		return false
	case !e.lapsed.IsZero() && now.After(e.lapsed):
		return false
	case len(need.Regions) > 0 && !slices.Contains(need.Regions, ep.Region):
		return false
	case need.Purpose == PurposeMove && ep.Region != need.From.Region:
		return false // memory does not reach another region within an endpoint's notice
	}
	return !slices.Contains(need.Exclude, ep.ID)
}

// admits reports whether the endpoint has room for the call now.
func (b *Book) admits(now time.Time, e *entry, need Need) bool {
	if !b.usable(now, e, need) {
		return false
	}
	if need.Purpose == PurposeRun && need.ColdPerSecond > 0 && !b.coldAdmits(now, e, need.ColdPerSecond) {
		return false
	}
	load := e.mine.plus(b.placed[e.endpoint.ID])
	if load == (Load{}) {
		return true // a call larger than an engine is refused by it
	}
	if need.Memory == 0 {
		return float64(load.Calls) < plainQueue*float64(e.endpoint.Slots)
	}
	share := memoryShare
	if need.Purpose == PurposeMove {
		share = moveShare
	}
	return load.Calls < e.endpoint.Slots && float64(load.Tokens+need.Tokens) <= share*float64(need.Memory)
}

// coldAdmits keeps this process's part of what an endpoint bears while cold. It
// holds at all times, since an endpoint may turn cold without warning.
func (b *Book) coldAdmits(now time.Time, e *entry, perSecond float64) bool {
	keep := slices.IndexFunc(e.sent, func(t time.Time) bool { return now.Sub(t) < coldWindow })
	if keep < 0 {
		keep = len(e.sent)
	}
	e.sent = slices.Delete(e.sent, 0, keep)
	part := perSecond / float64(b.cfg.Entries())
	if part >= 1 {
		return len(e.sent) < int(part)
	}
	return len(e.sent) < 1 && b.chosen(e.endpoint.ID, part)
}

// chosen selects the processes that may send to an endpoint whose allowance is
// smaller than their number.
func (b *Book) chosen(id string, part float64) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(b.cfg.Name + "/" + id))
	return float64(h.Sum64()>>11)/(1<<53) < part
}

// cost ranks endpoints: the share of capacity in use, distance, and failures.
func (b *Book) cost(now time.Time, e *entry, need Need) float64 {
	load := e.mine.plus(b.placed[e.endpoint.ID])
	cost := greyPenalty * max(0, e.grey-greyTolerated)
	if need.Memory > 0 {
		cost += (tokenWeight*float64(load.Tokens) + unreadWeight*float64(load.Unread)) / float64(need.Memory)
	} else {
		cost += float64(load.Calls) / float64(max(1, e.endpoint.Slots))
	}
	cost += b.distance(e, need)
	if need.Purpose == PurposeMove {
		cost += queuePenalty * float64(load.Moves)
	}
	if now.Before(e.suspect) {
		cost += suspectPenalty
	}
	if !e.lapsed.IsZero() {
		cost += lapsedPenalty
	}
	return cost
}

// distance is the penalty for the way to the endpoint. What counts for a move is
// the way from the engine that it leaves.
func (b *Book) distance(e *entry, need Need) float64 {
	switch {
	case need.Purpose == PurposeMove && e.endpoint.DataCentre != need.From.DataCentre:
		return movePenalty
	case need.Purpose == PurposeMove:
		return 0
	case e.endpoint.Region != b.cfg.Region:
		return regionPenalty
	case b.cfg.Home != nil && !b.cfg.Home(e.endpoint.ID):
		return strangerPenalty
	case e.endpoint.DataCentre != b.cfg.DataCentre:
		return centrePenalty
	}
	return 0
}

const (
	suspectPenalty = 100.0 // taken only when nothing else is left
	lapsedPenalty  = 10.0  // the registry does not list it: after all that are listed
)
