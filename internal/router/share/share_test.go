package share

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/book"
)

// fleet is a few groups whose messages are delivered by hand.
type fleet struct {
	groups map[string]*Group
	books  map[string]*book.Book
	cut    map[string]bool // addresses that hear nothing
	bytes  int             // delivered
}

func newFleet(addresses ...string) *fleet {
	f := &fleet{groups: map[string]*Group{}, books: map[string]*book.Book{}, cut: map[string]bool{}}
	for i, address := range addresses {
		f.start(address, uint64(i+1), addresses[0])
	}
	return f
}

func (f *fleet) start(address string, incarnation uint64, seeds ...string) {
	b := book.New(book.Config{DataCentre: "a1", Region: "a", Name: address, Entries: func() int { return 1 }})
	b.Put(time.Now(), endpt.Endpoint{ID: "e", Born: 1, Service: "s", Address: "e:1", DataCentre: "a1", Region: "a", Slots: 4})
	f.books[address] = b
	f.groups[address] = New(Config{
		Address: address, Region: "a", Incarnation: incarnation, Seeds: seeds, Book: b, Log: zap.NewNop(), Follows: func() bool { return address == "a" },
	})
}

// round delivers what every group has to send.
func (f *fleet) round(t *testing.T) {
	t.Helper()
	for from, g := range f.groups {
		to, raw, err := g.Outgoing(time.Now())
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range to {
			if f.cut[address] || f.cut[from] || f.groups[address] == nil {
				continue
			}
			f.bytes += len(raw)
			if err := f.groups[address].Receive(time.Now(), raw); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (f *fleet) rounds(t *testing.T, d time.Duration) {
	t.Helper()
	const step = 50 * time.Millisecond
	for range d / step {
		f.round(t)
		time.Sleep(step)
	}
}

func TestMembersFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		f.rounds(t, 3*time.Second)
		for address, g := range f.groups {
			if n := g.Processes(time.Now()); n != 4 {
				t.Errorf("%s counts %d processes, want 4", address, n)
			}
		}
	})
}

func TestLoadIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.rounds(t, 2*time.Second)
		n := book.Need{Service: "s", Tokens: 900, Memory: 1000}
		if _, ok := f.books["a"].Take(time.Now(), n); !ok {
			t.Fatal("no room on an idle engine")
		}
		f.rounds(t, 100*time.Millisecond)
		if _, ok := f.books["b"].Take(time.Now(), n); ok {
			t.Fatal("the second process does not see the first one's call")
		}
	})
}

func TestLeavingIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.rounds(t, 2*time.Second)
		f.groups["a"].Left(time.Now(), endpt.Endpoint{ID: "e", Born: 1})
		f.rounds(t, 100*time.Millisecond)
		for _, address := range []string{"b", "c"} {
			if f.books[address].Usable(time.Now(), book.Need{Service: "s"}) != 0 {
				t.Errorf("%s still uses an endpoint that leaves", address)
			}
		}
	})
}

func TestFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.rounds(t, 2*time.Second)
		expectInformed(t, f, "b", true) // "a" follows the registry
		expectInformed(t, f, "a", false)
		f.cut["b"] = true
		f.rounds(t, lostAfter+time.Second)
		expectInformed(t, f, "b", false)
	})
}

func expectInformed(t *testing.T, f *fleet, address string, want bool) {
	t.Helper()
	if got := len(f.groups[address].Followers(time.Now())) > 0; got != want {
		t.Fatalf("%s is informed %v, want %v", address, got, want)
	}
}

// A few processes follow the registry closely; when they are lost, others do.
func TestLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e")
		for _, g := range f.groups {
			g.cfg.Follows = func() bool { return true }
		}
		f.rounds(t, 3*time.Second)
		expectLeaders(t, f, "a", "b", "c")
		f.cut["a"], f.cut["b"] = true, true
		f.rounds(t, lostAfter+time.Second)
		expectLeaders(t, f, "a", "b", "c", "d", "e") // those cut off follow for themselves
	})
}

func expectLeaders(t *testing.T, f *fleet, want ...string) {
	t.Helper()
	var got []string
	for address, g := range f.groups {
		if g.Leads(time.Now()) {
			got = append(got, address)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Fatalf("%q follow closely, want %q", got, want)
	}
}

func TestRestartedPeerIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		f.rounds(t, 5*time.Second)
		f.start("b", 1<<60, "a") // its sequence begins again
		if _, ok := f.books["b"].Take(time.Now(), book.Need{Service: "s", Tokens: 900, Memory: 1000}); !ok {
			t.Fatal("no room on an idle engine")
		}
		f.rounds(t, 2*time.Second)
		if _, ok := f.books["a"].Take(time.Now(), book.Need{Service: "s", Tokens: 900, Memory: 1000}); ok {
			t.Fatal("the load of a restarted peer is not seen")
		}
	})
}

func TestHealedCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.rounds(t, 2*time.Second)
		f.cut["c"] = true
		f.rounds(t, 10*time.Second)
		f.cut["c"] = false
		f.rounds(t, 3*time.Second)
		if !f.groups["a"].near(f.groups["a"].peers["c"], time.Now()) {
			t.Fatal("a peer is not heard after the cut healed")
		}
	})
}

// At sizes at which nobody can follow everybody, each endpoint still has its
// homes, which agree, and messages stay within the budget for control. The log
// holds the figures of docs/CAPACITY.md.
func TestLargeFleet(t *testing.T) {
	for _, processes := range []int{16, 30, 45} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLargeFleet(t, processes) })
		})
	}
}

func playLargeFleet(t *testing.T, processes int) {
	const seconds = 10
	endpoints := 4 * processes // as at the target
	var addresses []string
	for i := range processes {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250))
	}
	f := newFleet(addresses...)
	for _, b := range f.books {
		for i := range endpoints {
			b.Put(time.Now(), endpt.Endpoint{ID: fmt.Sprintf("e-%d", i), Born: 1, Service: "s", DataCentre: "a1", Region: "a", Slots: 4})
		}
	}
	f.rounds(t, seconds*time.Second)
	f.bytes = 0
	f.rounds(t, seconds*time.Second)
	perProcess := 2 * f.bytes / processes / seconds
	t.Logf("%d processes: each sends and receives %d bytes a second and has %d partners", processes, perProcess, f.groups[addresses[0]].partners)
	if perProcess > 8<<10 {
		t.Errorf("a process sends and receives %d bytes a second, want 8 KB at most", perProcess)
	}
	for i := range endpoints {
		homes := 0
		for _, g := range f.groups {
			if g.Home(fmt.Sprintf("e-%d", i)) {
				homes++
			}
		}
		if homes != homesEach {
			t.Fatalf("endpoint %d has %d homes, want %d", i, homes, homesEach)
		}
	}
}

func TestForeignMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a")
		if err := f.groups["a"].Receive(time.Now(), []byte("GET / HTTP/1.1\r\n")); err == nil {
			t.Fatal("a foreign datagram was taken")
		}
	})
}

// BenchmarkOutgoing is one tick of a process at the target's size.
func BenchmarkOutgoing(bench *testing.B) {
	const processes, endpoints = 390, 1600
	f := newFleet("10.0.0.0:1")
	g, b := f.groups["10.0.0.0:1"], f.books["10.0.0.0:1"]
	for i := range endpoints {
		region := string("ab"[i%2])
		b.Put(time.Now(), endpt.Endpoint{ID: fmt.Sprintf("i-%08x", i), Born: 1, Service: "s", DataCentre: region + "1", Region: region, Slots: 24})
	}
	for i := range processes {
		g.learn(fmt.Sprintf("10.0.%d.%d:1", 1+i/250, i%250), string("ab"[i%2]), time.Now())
	}
	for bench.Loop() {
		if _, _, err := g.Outgoing(time.Now()); err != nil {
			bench.Fatal(err)
		}
	}
}
