package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// crowded returns a core of a large fleet: 360 daemons in 14 zones, 6,200
// workspaces, a tenth of them with work at this daemon, and all slots in use. It
// also returns the requests that run.
func crowded(b *testing.B) (*scheduler.Core, []ident.Request) {
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
	c.Peers(start, peers)
	for i := range 620 * 3 {
		spec := request(fmt.Sprintf("r%05d", i), service.Workspaces[i%620*10].Name)
		if failure := c.Submit(start, spec); failure != nil {
			b.Fatal(failure)
		}
	}
	return c, dispatched(c)
}

// BenchmarkTick is the cost of one tick of 20 ms in a large fleet in which
// nothing happens but that work waits.
func BenchmarkTick(b *testing.B) {
	c, _ := crowded(b)
	now := start
	tick := func() {
		now = now.Add(20 * time.Millisecond)
		c.Tick(now)
		c.TakeEffects()
	}
	for range 200 { // until all owners know what waits
		tick()
	}
	for b.Loop() {
		tick()
	}
}

// BenchmarkGrant is the cost of one request that ends and the next that starts.
func BenchmarkGrant(b *testing.B) {
	c, running := crowded(b)
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

// BenchmarkReceive is the cost of one exchange of a peer that has work of 620
// workspaces and has served them since the last one.
func BenchmarkReceive(b *testing.B) {
	c, _ := crowded(b)
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
