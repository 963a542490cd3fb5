package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// newLargeFleetCore returns a core in a fleet of 360 daemons in 14 zones with
// 6,200 workspaces. A tenth of the workspaces have requests at this daemon, and
// all slots are in use. It also returns the running requests.
func newLargeFleetCore(b *testing.B) (*scheduler.Core, []ident.Request) {
	b.Helper()
	c := scheduler.New(scheduler.Config{Self: "d000", Incarnation: 1, Zone: "z00"}, rand.New(rand.NewPCG(1, 2)))
	service := scheduler.Service{Name: "pool", MeanCost: 100}
	for i := range 6200 {
		service.Workspaces = append(service.Workspaces, scheduler.Workspace{Name: ident.Workspace(fmt.Sprintf("w%04d", i)), Weight: 1})
	}
	for i := range 3100 {
		zone := ident.Zone(fmt.Sprintf("z%02d", i%14))
		service.Targets = append(service.Targets, scheduler.Target{Name: ident.Target(fmt.Sprintf("t%03d", i)), Zone: zone, Slots: 8})
	}
	c.Configure(start, []scheduler.Service{service})
	var peers []scheduler.Peer
	for i := 1; i < 360; i++ {
		peers = append(peers, scheduler.Peer{ID: ident.Daemon(fmt.Sprintf("d%03d", i)), Incarnation: 1, Zone: ident.Zone(fmt.Sprintf("z%02d", i%14))})
	}
	c.SetPeers(start, peers)
	for i := range 620 * 3 {
		spec := request(fmt.Sprintf("r%05d", i), service.Workspaces[i%620*10].Name)
		if failure := c.Submit(start, spec); failure != nil {
			b.Fatal(failure)
		}
	}
	return c, dispatched(c)
}

// BenchmarkTick measures one tick of 20 ms in a large fleet with waiting
// requests but no other activity.
func BenchmarkTick(b *testing.B) {
	c, _ := newLargeFleetCore(b)
	now := start
	tick := func() {
		now = now.Add(20 * time.Millisecond)
		c.Tick(now)
		c.TakeEffects()
	}
	for range 200 { // until all owners know the demand
		tick()
	}
	for b.Loop() {
		tick()
	}
}

// BenchmarkGrant measures the end of one request and the start of the next.
func BenchmarkGrant(b *testing.B) {
	c, running := newLargeFleetCore(b)
	now := start
	c.Tick(now)
	next := 0
	add := func() {
		next++
		c.Submit(now, request(fmt.Sprintf("n%07d", next), ident.Workspace(fmt.Sprintf("w%04d", next%620*10))))
		running = append(running, dispatched(c)...)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Finish(now, running[0], scheduler.Result{Served: 100, Elapsed: time.Second})
		running = append(running[1:], dispatched(c)...)
		add()
	}
}

// BenchmarkReceive measures one exchange message from a peer that has waiting
// requests of 620 workspaces and has served all of them since its last
// exchange.
func BenchmarkReceive(b *testing.B) {
	c, _ := newLargeFleetCore(b)
	now := start
	m := scheduler.Message{Incarnation: 1}
	for i := range 620 {
		name := ident.Workspace(fmt.Sprintf("w%04d", i*10))
		m.Demand = append(m.Demand, scheduler.Demand{Service: "pool", Workspace: name, Waiting: 3})
		m.ServedTotals = append(m.ServedTotals, scheduler.ServedTotal{Service: "pool", Workspace: name})
	}
	served := 0.0
	next := 0
	for b.Loop() {
		served += 10
		next = next%359 + 1
		now = now.Add(3 * time.Millisecond)
		for i := range m.ServedTotals {
			m.ServedTotals[i].Served = served
			m.Demand[i].Waiting = 3 + uint32(i+next)%3
		}
		c.Receive(now, ident.Daemon(fmt.Sprintf("d%03d", next)), m)
	}
}
