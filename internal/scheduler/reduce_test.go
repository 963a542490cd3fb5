package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	_ "github.com/savorystall/savorystall/test/fixedseed"
)

const (
	reduceZones   = 4
	reduceRows    = 6
	idleWorkspace = "w00"
)

// reduceFleet is a fleet without targets, whose daemons deliver service by
// decree and tell each other.
type reduceFleet struct {
	now    time.Time
	cores  map[ident.Daemon]*Core
	live   []Peer
	served map[ident.Workspace]float64
	// lose tells whether a link breaks and takes a message with it.
	lose func() bool
	// sentRows counts the parts and sums that each daemon has sent.
	sentRows map[ident.Daemon]int
}

func newReduceFleet(daemons, reduceAbove int) *reduceFleet {
	f := &reduceFleet{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		cores:  map[ident.Daemon]*Core{},
		served: map[ident.Workspace]float64{}, sentRows: map[ident.Daemon]int{},
		lose: func() bool { return false },
	}
	for d := range daemons {
		f.start(ident.Daemon(fmt.Sprintf("d%02d", d)), ident.Zone(fmt.Sprintf("z%d", d%reduceZones)), 1, reduceAbove)
	}
	f.peers()
	return f
}

func rowName(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("w%02d", i)) }

// start adds a daemon without state.
func (f *reduceFleet) start(id ident.Daemon, zone ident.Zone, incarnation uint64, reduceAbove int) {
	c := New(Config{Self: id, Incarnation: incarnation, Zone: zone, ReduceAbove: reduceAbove}, rand.New(rand.NewPCG(1, 2)))
	s := Service{Name: "pool", MeanCost: 100}
	for i := range reduceRows {
		s.Workspaces = append(s.Workspaces, Workspace{Name: rowName(i), Weight: 1, QueueLimit: 1})
	}
	c.Configure(f.now, []Service{s})
	for i := range reduceRows {
		c.services["pool"].ledger.SetBacklogged(rowName(i), true)
	}
	f.cores[id] = c
	f.live = append(f.live, Peer{ID: id, Incarnation: incarnation, Zone: zone})
}

// stop takes a daemon away without a word.
func (f *reduceFleet) stop(id ident.Daemon) {
	delete(f.cores, id)
	var rest []Peer
	for _, p := range f.live {
		if p.ID != id {
			rest = append(rest, p)
		}
	}
	f.live = rest
}

// peers tells everybody who is live.
func (f *reduceFleet) peers() {
	for _, self := range f.live {
		var list []Peer
		for _, p := range f.live {
			if p.ID != self.ID {
				list = append(list, p)
			}
		}
		f.cores[self.ID].Peers(f.now, list)
	}
}

// deliver lets a daemon deliver service to a workspace.
func (f *reduceFleet) deliver(id ident.Daemon, ws ident.Workspace, cost float64) {
	f.cores[id].services["pool"].ledger.Charge(ws, cost)
	f.served[ws] += cost
}

// run lets time pass in steps of 100 ms, in each of which work is called.
func (f *reduceFleet) run(d time.Duration, work func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		work()
		for _, p := range f.live {
			f.cores[p.ID].Tick(f.now)
		}
		for _, p := range f.live {
			f.pass(p.ID)
		}
	}
}

func (f *reduceFleet) pass(from ident.Daemon) {
	for _, e := range f.cores[from].TakeEffects() {
		send, ok := e.(Send)
		if !ok || f.cores[send.To] == nil {
			continue
		}
		f.sentRows[from] += len(send.Message.ServedTotals) + len(send.Message.Aggregates)
		if f.lose() {
			f.cores[from].ResyncPeer(send.To)
			f.cores[send.To].ResyncPeer(from)
			continue
		}
		f.cores[send.To].Receive(f.now, from, send.Message)
	}
}

// known is what a daemon has counted for a workspace. The first workspace is
// never served and stands for zero; leads are clamped nowhere in this test,
// since nothing is picked.
func (f *reduceFleet) known(id ident.Daemon, ws ident.Workspace) float64 {
	l := f.cores[id].services["pool"].ledger
	return l.Lead(ws) - l.Lead(idleWorkspace)
}

// worst is the greatest difference between what a daemon has counted and what
// was delivered.
func (f *reduceFleet) worst() float64 {
	var worst float64
	for id := range f.cores {
		for i := range reduceRows {
			worst = max(worst, math.Abs(f.known(id, rowName(i))-f.served[rowName(i)]))
		}
	}
	return worst
}

func quietly() {}

// settleTime is longer than it takes all totals to reach everybody.
const settleTime = 10 * time.Second

// Links break all the time and take messages with them. Each daemon of a large
// fleet must in the end have counted all that was delivered anywhere, once.
func TestReducedExchangeCountsEverythingOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newReduceFleet(rapid.IntRange(9, 20).Draw(t, "daemons"), 8)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f.run(settleTime, quietly) // from here on all roles are settled
		f.lose = func() bool { return rng.IntN(20) == 0 }
		f.run(5*time.Second, func() { f.deliverAnywhere(rng) })
		f.lose = func() bool { return false }
		f.run(settleTime, quietly)
		if f.worst() > 1e-6 {
			t.Fatalf("a daemon is off by %v", f.worst())
		}
	})
}

// deliverAnywhere delivers to a random workspace at a random daemon.
func (f *reduceFleet) deliverAnywhere(rng *rand.Rand) {
	id := f.live[rng.IntN(len(f.live))].ID
	f.deliver(id, rowName(1+rng.IntN(reduceRows-1)), float64(rng.IntN(1000)))
}

// Daemons that add up for their zone die in mid service, and others join, add up
// for a while and die, after much was delivered. Nobody may count the former service again, nor be
// wrong about a workspace by more than it received around the changes.
func TestReducedExchangeSurvivesChangesOfMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons, above = 12, 8
		f := newReduceFleet(daemons, above)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		f.run(settleTime, quietly)
		around := map[ident.Workspace]float64{}
		elders := maps.Clone(f.cores)
		for n := range rapid.IntRange(2, 4).Draw(t, "changes") {
			work := func() { f.deliverAnywhere(rng) }
			if n > 0 && rapid.Bool().Draw(t, "idle") {
				work = quietly
			}
			f.run(10*time.Second, work)
			f.run(settleTime, quietly)
			before := maps.Clone(f.served)
			if rapid.Bool().Draw(t, "join") {
				zone := ident.Zone(fmt.Sprintf("z%d", rng.IntN(reduceZones)))
				f.start(ident.Daemon(fmt.Sprint("e", n)), zone, uint64(n+2), above)
			} else {
				victim := f.live[len(f.live)-1-rng.IntN(3)].ID
				f.stop(victim)
				delete(elders, victim)
			}
			f.run(time.Second, work)
			f.peers()
			f.run(settleTime, work)
			f.run(settleTime, quietly)
			for ws, cost := range f.served {
				around[ws] += cost - before[ws]
			}
		}
		f.run(10*time.Second, func() { f.deliverAnywhere(rng) })
		f.run(settleTime, quietly)
		for id := range elders { // a daemon that joined has counted nothing before
			for ws, cost := range f.served {
				if off := math.Abs(f.known(id, ws) - cost); off > around[ws]+1e-6 {
					t.Fatalf("%s is off by %v of %v for %s, of which %v were delivered around the changes", id, off, cost, ws, around[ws])
				}
			}
		}
	})
}

// A fleet grows above the bound and shrinks below it again, after much was
// delivered. At each change-over the totals of the other exchange must not be
// counted a second time, and afterwards everything counts again.
func TestChangeOfTheExchangeCountsNothingTwice(t *testing.T) {
	is := is.New(t)
	const bound = 10
	f := newReduceFleet(bound, bound)
	rng := rand.New(rand.NewPCG(3, 3))
	f.run(20*time.Second, func() { f.deliverAnywhere(rng) })
	f.run(settleTime, quietly)
	is.True(f.worst() < 1e-6)
	is.True(f.cores["d00"].reduction == nil)

	f.start("e00", "z0", 5, bound)
	f.peers()
	is.True(f.cores["d00"].reduction != nil)
	f.run(settleTime, quietly)
	delete(f.cores, "e00") // its view begins now; the others are compared
	is.True(f.worst() < 1e-6)
	f.stop("e00")
	f.stop("d09")
	f.stop("d08")
	f.peers()
	is.True(f.cores["d00"].reduction == nil)
	f.run(settleTime, quietly)
	is.True(f.worst() < 1e-6)
	f.run(5*time.Second, func() { f.deliverAnywhere(rng) })
	f.run(settleTime, quietly)
	is.True(f.worst() < 1e-6)
}

// What a daemon tells must not grow with the number of daemons times the
// number of workspaces, or a large fleet exceeds its budget of control.
func TestReducedExchangeTellsEachWorkspaceAFewTimes(t *testing.T) {
	is := is.New(t)
	rows := func(reduceAbove int) int {
		f := newReduceFleet(40, reduceAbove)
		rng := rand.New(rand.NewPCG(4, 4))
		f.run(settleTime, quietly)
		clear(f.sentRows)
		f.run(settleTime, func() {
			for range 20 {
				f.deliverAnywhere(rng)
			}
		})
		most := 0
		for _, n := range f.sentRows {
			most = max(most, n)
		}
		return most
	}
	all, reduced := rows(100), rows(8)
	t.Logf("rows sent by the busiest of 40 daemons: %d to all, %d reduced", all, reduced)
	is.True(reduced*5 < all)
}
