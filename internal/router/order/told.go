package order

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportTTL is how long a peer's report is valid. It is longer than the interval of reports
	// in a full cell, 2 s.
	reportTTL = 3 * time.Second
	// MaxTold limits the workspaces in a report, and by it the state for each peer and service.
	MaxTold = 32
	// maxToldServices limits the services of one peer of which reports are kept.
	maxToldServices = 32
)

// Hash stands for a service or a workspace in reports. With 1,024 workspaces, one pair in 8,000
// fleets has the same hash; both then count as one in what peers tell.
type Hash uint32

// HashOf returns the hash of a name.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Account is what a workspace's calls asked for and used lately, as told by a process.
type Account struct {
	Workspace   Hash
	Asked, Used float64 // memory-time, decayed to the time of the report
}

// Report is what one process tells of the workspaces of a service.
type Report struct {
	Accounts    []Account // those with the most, in descending order
	Rest        int       // number of the others
	Asked, Used float64   // by the others together
}

// Limit returns the report with at most n accounts. The others count as rest.
func (r Report) Limit(n int) Report {
	n = min(max(0, n), len(r.Accounts))
	for _, a := range r.Accounts[n:] {
		r.Rest, r.Asked, r.Used = r.Rest+1, r.Asked+a.Asked, r.Used+a.Used
	}
	r.Accounts = r.Accounts[:n:n]
	return r
}

// Reports returns what this process tells of the services that are wanted.
func (b *Book) Reports(now time.Time, wanted map[Hash]bool) map[Hash]Report {
	out := map[Hash]Report{}
	for key, u := range b.accounts {
		service := HashOf(key.service)
		if !wanted[service] {
			continue
		}
		if u.decay(now); u.asked < forgotten {
			continue
		}
		r := out[service]
		r.Accounts = append(r.Accounts, Account{HashOf(key.workspace), u.asked, u.used})
		out[service] = r
	}
	for service, r := range out {
		slices.SortFunc(r.Accounts, func(x, y Account) int {
			return cmp.Or(cmp.Compare(y.Asked+y.Used, x.Asked+x.Used), cmp.Compare(x.Workspace, y.Workspace))
		})
		out[service] = r.Limit(MaxTold)
	}
	return out
}

// toldKey stands for a service at a peer.
type toldKey struct {
	peer    string
	service Hash
}

type told struct {
	at     time.Time
	report Report
}

// Hear replaces what a peer has told of the services of its report.
func (b *Book) Hear(now time.Time, peer string, reports map[Hash]Report) {
	b.told.forget(now)
	services := 0
	for key := range b.told {
		if key.peer == peer {
			services++
		}
	}
	for service, r := range reports {
		key := toldKey{peer, service}
		if _, known := b.told[key]; !known {
			if services >= maxToldServices {
				continue
			}
			services++
		}
		b.told[key] = told{now, r.Limit(MaxTold)}
	}
}

// toldReports holds the last reports of the peers.
type toldReports map[toldKey]told

func (t toldReports) forget(now time.Time) {
	maps.DeleteFunc(t, func(_ toldKey, r told) bool { return now.Sub(r.at) > reportTTL })
}

// ValidReports returns the number of valid reports, one for each peer and service.
func (b *Book) ValidReports(now time.Time) int {
	b.told.forget(now)
	return len(b.told)
}

// toldSum is what peers told of a service together.
type toldSum struct {
	reports  int
	age      time.Duration // of the oldest report
	accounts map[Hash]Account
	rest     []claim
}

func (b *Book) toldOf(now time.Time, service Hash) (sum toldSum) {
	for key, t := range b.told {
		age := max(0, now.Sub(t.at))
		if key.service != service || age > reportTTL {
			continue
		}
		if sum.reports++; sum.accounts == nil {
			sum.accounts = map[Hash]Account{}
		}
		sum.age = max(sum.age, age)
		decay := math.Exp(-age.Seconds() / shareMemory.Seconds())
		for _, a := range t.report.Accounts {
			known := sum.accounts[a.Workspace]
			sum.accounts[a.Workspace] = Account{a.Workspace, known.Asked + decay*a.Asked, known.Used + decay*a.Used}
		}
		if r := t.report; r.Rest > 0 {
			sum.rest = append(sum.rest, claim{asked: decay * r.Asked, used: decay * r.Used, count: r.Rest})
		}
	}
	return sum
}

// addTo returns the claims with what peers told added. The rests count as workspaces of their
// own: which of them are the same at several processes is not known.
func (s toldSum) addTo(own []claim) []claim {
	claims := slices.Clone(own)
	for i, c := range claims {
		hash := HashOf(c.workspace)
		if a, found := s.accounts[hash]; found {
			claims[i].asked, claims[i].used = c.asked+a.Asked, c.used+a.Used
			delete(s.accounts, hash)
		}
	}
	for _, a := range s.accounts {
		claims = append(claims, claim{asked: a.Asked, used: a.Used, count: 1})
	}
	return append(claims, s.rest...)
}
