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
	fleetZones      = 4
	fleetWorkspaces = 6
	idleWorkspace   = "w00"
)

// aggregationFleet simulates daemons that have no targets. Tests charge service
// to them directly, and the daemons exchange it.
type aggregationFleet struct {
	now    time.Time
	cores  map[ident.Daemon]*Core
	live   []Peer
	served map[ident.Workspace]float64
	// dropMessage reports whether a link breaks and loses the current message.
	dropMessage func() bool
	// sentRows counts the served totals and aggregates sent by each daemon.
	sentRows map[ident.Daemon]int
}

func newAggregationFleet(daemons, aggregationThreshold int) *aggregationFleet {
	f := &aggregationFleet{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		cores:  map[ident.Daemon]*Core{},
		served: map[ident.Workspace]float64{}, sentRows: map[ident.Daemon]int{},
		dropMessage: func() bool { return false },
	}
	for d := range daemons {
		f.start(ident.Daemon(fmt.Sprintf("d%02d", d)), ident.Zone(fmt.Sprintf("z%d", d%fleetZones)), 1, aggregationThreshold)
	}
	f.updatePeers()
	return f
}

func workspaceName(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("w%02d", i)) }

// start adds a daemon without state.
func (f *aggregationFleet) start(id ident.Daemon, zone ident.Zone, incarnation uint64, aggregationThreshold int) {
	c := New(Config{Self: id, Incarnation: incarnation, Zone: zone, AggregationThreshold: aggregationThreshold}, rand.New(rand.NewPCG(1, 2)))
	s := Service{Name: "pool", MeanCost: 100}
	for i := range fleetWorkspaces {
		s.Workspaces = append(s.Workspaces, Workspace{Name: workspaceName(i), Weight: 1, QueueLimit: 1})
	}
	c.Configure(f.now, []Service{s})
	for i := range fleetWorkspaces {
		c.services["pool"].ledger.SetBacklogged(workspaceName(i), true)
	}
	f.cores[id] = c
	f.live = append(f.live, Peer{ID: id, Incarnation: incarnation, Zone: zone})
}

// crash removes a daemon without a graceful shutdown.
func (f *aggregationFleet) crash(id ident.Daemon) {
	delete(f.cores, id)
	var remaining []Peer
	for _, p := range f.live {
		if p.ID != id {
			remaining = append(remaining, p)
		}
	}
	f.live = remaining
}

// updatePeers sends the current membership to every daemon.
func (f *aggregationFleet) updatePeers() {
	for _, self := range f.live {
		var list []Peer
		for _, p := range f.live {
			if p.ID != self.ID {
				list = append(list, p)
			}
		}
		f.cores[self.ID].SetPeers(f.now, list)
	}
}

// serve charges service for a workspace to a daemon.
func (f *aggregationFleet) serve(id ident.Daemon, ws ident.Workspace, cost float64) {
	f.cores[id].services["pool"].ledger.Charge(ws, cost)
	f.served[ws] += cost
}

// run advances time in steps of 100 ms and calls work in each step.
func (f *aggregationFleet) run(d time.Duration, work func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		work()
		for _, p := range f.live {
			f.cores[p.ID].Tick(f.now)
		}
		for _, p := range f.live {
			f.deliverMessages(p.ID)
		}
	}
}

func (f *aggregationFleet) deliverMessages(from ident.Daemon) {
	for _, e := range f.cores[from].TakeEffects() {
		send, ok := e.(Send)
		if !ok || f.cores[send.To] == nil {
			continue
		}
		f.sentRows[from] += len(send.Message.ServedTotals) + len(send.Message.Aggregates)
		if f.dropMessage() {
			f.cores[from].ResyncPeer(send.To)
			f.cores[send.To].ResyncPeer(from)
			continue
		}
		f.cores[send.To].Receive(f.now, from, send.Message)
	}
}

// counted returns the service that a daemon has counted for a workspace,
// relative to the first workspace, which is never served. Leads are not clamped
// in this test, because no workspace is ever picked.
func (f *aggregationFleet) counted(id ident.Daemon, ws ident.Workspace) float64 {
	l := f.cores[id].services["pool"].ledger
	return l.Lead(ws) - l.Lead(idleWorkspace)
}

// maxError returns the largest difference between counted and delivered
// service.
func (f *aggregationFleet) maxError() float64 {
	var maxError float64
	for id := range f.cores {
		for i := range fleetWorkspaces {
			maxError = max(maxError, math.Abs(f.counted(id, workspaceName(i))-f.served[workspaceName(i)]))
		}
	}
	return maxError
}

func noWork() {}

// settleTime is longer than it takes for all totals to reach every daemon.
const settleTime = 10 * time.Second

// Links break repeatedly and lose messages. Every daemon of a large fleet must
// eventually have counted all service in the fleet exactly once.
func TestAggregatedExchangeCountsServiceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newAggregationFleet(rapid.IntRange(9, 20).Draw(t, "daemons"), 8)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f.run(settleTime, noWork) // let the aggregators settle
		f.dropMessage = func() bool { return rng.IntN(20) == 0 }
		f.run(5*time.Second, func() { f.serveRandom(rng) })
		f.dropMessage = func() bool { return false }
		f.run(settleTime, noWork)
		if f.maxError() > 1e-6 {
			t.Fatalf("a daemon's count is off by %v", f.maxError())
		}
	})
}

// serveRandom charges service for a random workspace to a random daemon.
func (f *aggregationFleet) serveRandom(rng *rand.Rand) {
	id := f.live[rng.IntN(len(f.live))].ID
	f.serve(id, workspaceName(1+rng.IntN(fleetWorkspaces-1)), float64(rng.IntN(1000)))
}

// After much service was delivered, aggregators crash while serving, and new
// daemons join, aggregate for a while, and crash. No daemon may count earlier
// service again or be wrong about a workspace by more than the service
// delivered around the membership changes.
func TestAggregatedExchangeToleratesMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons, above = 12, 8
		f := newAggregationFleet(daemons, above)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		f.run(settleTime, noWork)
		servedDuringChanges := map[ident.Workspace]float64{}
		initial := maps.Clone(f.cores)
		for n := range rapid.IntRange(2, 4).Draw(t, "changes") {
			work := func() { f.serveRandom(rng) }
			if n > 0 && rapid.Bool().Draw(t, "idle") {
				work = noWork
			}
			f.run(10*time.Second, work)
			f.run(settleTime, noWork)
			before := maps.Clone(f.served)
			if rapid.Bool().Draw(t, "join") {
				zone := ident.Zone(fmt.Sprintf("z%d", rng.IntN(fleetZones)))
				f.start(ident.Daemon(fmt.Sprint("e", n)), zone, uint64(n+2), above)
			} else {
				victim := f.live[len(f.live)-1-rng.IntN(3)].ID
				f.crash(victim)
				delete(initial, victim)
			}
			f.run(time.Second, work)
			f.updatePeers()
			f.run(settleTime, work)
			f.run(settleTime, noWork)
			for ws, cost := range f.served {
				servedDuringChanges[ws] += cost - before[ws]
			}
		}
		f.run(10*time.Second, func() { f.serveRandom(rng) })
		f.run(settleTime, noWork)
		for id := range initial { // daemons that joined later lack earlier service
			for ws, cost := range f.served {
				if diff := math.Abs(f.counted(id, ws) - cost); diff > servedDuringChanges[ws]+1e-6 {
					t.Fatalf("%s is off by %v of %v for %s, of which %v were delivered around the membership changes", id, diff, cost, ws, servedDuringChanges[ws])
				}
			}
		}
	})
}

// A fleet grows above the aggregation bound and shrinks below it after much
// service was delivered. Totals of the previous exchange mode must not be
// counted again at either switch, and later service must be counted in full.
func TestExchangeModeChangeCountsNothingTwice(t *testing.T) {
	is := is.New(t)
	const bound = 10
	f := newAggregationFleet(bound, bound)
	rng := rand.New(rand.NewPCG(3, 3))
	f.run(20*time.Second, func() { f.serveRandom(rng) })
	f.run(settleTime, noWork)
	is.True(f.maxError() < 1e-6)
	is.True(f.cores["d00"].aggregation == nil)

	f.start("e00", "z0", 5, bound)
	f.updatePeers()
	is.True(f.cores["d00"].aggregation != nil)
	f.run(settleTime, noWork)
	delete(f.cores, "e00") // it started without state, so only the others are compared
	is.True(f.maxError() < 1e-6)
	f.crash("e00")
	f.crash("d09")
	f.crash("d08")
	f.updatePeers()
	is.True(f.cores["d00"].aggregation == nil)
	f.run(settleTime, noWork)
	is.True(f.maxError() < 1e-6)
	f.run(5*time.Second, func() { f.serveRandom(rng) })
	f.run(settleTime, noWork)
	is.True(f.maxError() < 1e-6)
}

// The rows that a daemon sends must not grow with daemons times workspaces;
// otherwise a large fleet exceeds its control traffic budget.
func TestAggregatedExchangeLimitsRowsSent(t *testing.T) {
	is := is.New(t)
	rows := func(aggregationThreshold int) int {
		f := newAggregationFleet(40, aggregationThreshold)
		rng := rand.New(rand.NewPCG(4, 4))
		f.run(settleTime, noWork)
		clear(f.sentRows)
		f.run(settleTime, func() {
			for range 20 {
				f.serveRandom(rng)
			}
		})
		most := 0
		for _, n := range f.sentRows {
			most = max(most, n)
		}
		return most
	}
	full, aggregated := rows(100), rows(8)
	t.Logf("rows sent by the busiest of 40 daemons: %d to all peers, %d reduced by aggregation", full, aggregated)
	is.True(aggregated*5 < full)
}
