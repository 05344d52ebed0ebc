package order

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shareMemory is the time constant with which demand and use of workspaces are forgotten.
	shareMemory = 10 * time.Second
	// forgotten is the part of a call of a second and one token that no longer counts.
	forgotten   = 0.01
	maxAccounts = 1024
	// leastServed is the part of an equal share of calls that a workspace keeps, however much
	// it sends: then it is served at least a quarter as often as all.
	leastServed = 1.0 / 3
)

// account stands for a workspace at a service.
type account struct{ service, workspace string }

// usage is the memory-time that a workspace's calls asked for and got lately.
type usage struct {
	asked, used float64 // at a time; they decay
	at          time.Time
}

// memoryTime is what the call uses of the endpoints, in token-seconds or, on plain endpoints,
// seconds. A call of unknown run time counts as one of a second.
func (w Work) memoryTime() float64 {
	run := w.Run
	if run == 0 {
		run = time.Second
	}
	return float64(max(1, w.Tokens)) * run.Seconds()
}

func (u *usage) decay(now time.Time) {
	if d := now.Sub(u.at); d > 0 {
		factor := math.Exp(-d.Seconds() / shareMemory.Seconds())
		u.asked, u.used, u.at = u.asked*factor, u.used*factor, now
	}
}

// account returns the usage of a call's workspace, adding it if it is new.
func (b *Book) account(now time.Time, w Work) *usage {
	key := account{w.Service, w.Workspace}
	u := b.accounts[key]
	if u == nil {
		b.makeRoom(now)
		u = &usage{at: now}
		b.accounts[key] = u
	}
	u.decay(now)
	return u
}

// makeRoom drops the accounts that no longer count and, if that is not enough, the quarter with
// the least. A workspace that sends much must be counted however many others there are.
func (b *Book) makeRoom(now time.Time) {
	if len(b.accounts) < maxAccounts {
		return
	}
	maps.DeleteFunc(b.accounts, func(_ account, u *usage) bool {
		u.decay(now)
		return u.asked+u.used < forgotten
	})
	if len(b.accounts) < maxAccounts {
		return
	}
	least := slices.SortedFunc(maps.Keys(b.accounts), func(x, y account) int {
		return cmp.Compare(b.accounts[x].asked+b.accounts[x].used, b.accounts[y].asked+b.accounts[y].used)
	})
	for _, key := range least[:maxAccounts/4] {
		delete(b.accounts, key)
	}
}

func (b *Book) demand(now time.Time, w Work) {
	b.account(now, w).asked += w.memoryTime()
}

// Use records a call that was placed, also one that did not wait, so that a workspace gains
// nothing by sending calls while the queue is empty.
func (b *Book) Use(now time.Time, w Work) {
	b.account(now, w).used += w.memoryTime()
}

// Excess tells by workspace how far it used more than its share: 0 up to its share, 1 for
// twice as much or more.
type Excess map[string]float64

// Standing tells how far the workspaces of a service used more than their shares.
type Standing struct {
	Excess  Excess        // by this process's accounts and those of the reports
	Own     Excess        // by this process's accounts alone
	Reports int           // of peers, that are valid
	Age     time.Duration // of the oldest of them
}

// claim is what one or more workspaces asked for and used.
type claim struct {
	workspace   string
	known       bool // it is a workspace of this process
	asked, used float64
	count       int // of workspaces
}

// Standing returns the standing of the workspaces that sent calls of a service to this process.
// It is the one by the own accounts alone if no peer has told any.
func (b *Book) Standing(now time.Time, service string) Standing {
	var own []claim
	for key, u := range b.accounts {
		if key.service == service {
			u.decay(now)
			own = append(own, claim{key.workspace, true, u.asked, u.used, 1})
		}
	}
	s := Standing{Own: excessOf(own)}
	s.Excess = s.Own
	told := b.toldOf(now, HashOf(service))
	if s.Reports = told.reports; s.Reports > 0 {
		s.Age, s.Excess = told.age, excessOf(told.addTo(own))
	}
	return s
}

// excessOf returns the excess of the known workspaces. All have the same share, but one
// that asks for more than the others has more, by the square root of its demand: with equal
// shares nearly none of its calls would be served. Shares that are not used go to the others.
func excessOf(claims []claim) Excess {
	asked, used, count := 0.0, 0.0, 0
	for _, c := range claims {
		if c.asked >= forgotten {
			asked, used, count = asked+c.asked, used+c.used, count+c.count
		}
	}
	if count < 2 || used == 0 {
		return nil
	}
	weightOf := func(c claim) float64 { return weight(c.asked * float64(count) / (asked * float64(c.count))) }
	total := 0.0
	for _, c := range claims {
		if c.asked >= forgotten {
			total += float64(c.count) * weightOf(c)
		}
	}
	out := Excess{}
	for _, c := range claims {
		if !c.known || c.asked < forgotten {
			continue
		}
		if over := c.used*total/(used*weightOf(c)) - 1; over > 0 {
			out[c.workspace] = min(1, over)
		}
	}
	return out
}

// weight returns the share of a workspace that asks for a multiple of the mean.
func weight(multiple float64) float64 { return max(math.Sqrt(multiple), leastServed*multiple) }
