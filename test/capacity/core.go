package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// The size to design for, as the scheduler of one daemon meets it.
const (
	planDaemons    = 360
	planZones      = 14
	planServices   = 18
	planWorkspaces = 6200
	planBacklogged = 620
	planTargets    = 3100
	// planSlots is how many requests run at one target: 25,000 requests/s of
	// 388 tokens each, 67 ms a token, over 3,100 targets.
	planSlots = 210
	// measureFor is the least time over which one operation is repeated.
	measureFor = 300 * time.Millisecond
)

// coreSize is the size of a scheduler's world.
type coreSize struct {
	daemons, workspaces, backlogged, targets int
}

// coreWorld is a scheduler without links, with demand of all peers and all of
// its slots granted.
type coreWorld struct {
	size   coreSize
	core   *scheduler.Core
	now    time.Time
	grants []sentGrant
	// running is a request that runs here.
	running ident.Request
}

type sentGrant struct {
	to    ident.Daemon
	grant scheduler.Grant
}

func planService(workspace int) ident.Service {
	return ident.Service(fmt.Sprintf("model-%02d", workspace%planServices))
}

func newCoreWorld(size coreSize) *coreWorld {
	w := &coreWorld{size: size, now: time.Unix(1e9, 0)}
	w.core = scheduler.New(scheduler.Config{Self: "m", Incarnation: 1, Zone: "zone-00"}, rand.New(rand.NewPCG(1, 1)))
	w.core.Configure(w.now, size.services())
	w.core.SetPeers(w.now, size.peers())
	w.submit("first", 0) // it runs here
	for _, p := range size.peers() {
		w.core.Receive(w.now, p.ID, size.exchange())
		w.take()
	}
	for i := range size.backlogged {
		w.submit("a", i)
		w.submit("b", i)
	}
	w.take()
	return w
}

// submit queues a request of a caller of this daemon.
func (w *coreWorld) submit(id string, workspace int) {
	w.core.Submit(w.now, scheduler.Request{
		ID: ident.Request(fmt.Sprint(id, workspace)), Service: planService(workspace),
		Workspace: workspaceName(workspace), Cost: meanCost,
	})
}

func (s coreSize) services() []scheduler.Service {
	services := make([]scheduler.Service, planServices)
	for i := range services {
		services[i] = scheduler.Service{Name: planService(i), MeanCost: meanCost}
	}
	for i := range s.workspaces {
		service := &services[i%planServices]
		service.Workspaces = append(service.Workspaces, scheduler.Workspace{Name: workspaceName(i), Weight: 1})
	}
	for i := range s.targets {
		service := &services[i%planServices]
		service.Targets = append(service.Targets, scheduler.Target{
			Name: ident.Target(fmt.Sprintf("engine-%04d", i)),
			Zone: planZone(i), Slots: planSlots,
		})
	}
	return services
}

func planZone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i%planZones)) }

func (s coreSize) peers() []scheduler.Peer {
	var peers []scheduler.Peer
	for i := 1; i < s.daemons; i++ {
		peers = append(peers, scheduler.Peer{ID: ident.Daemon(fmt.Sprintf("d%03d", i)), Incarnation: 1, Zone: planZone(i)})
	}
	return peers
}

// exchange is what a peer sends four times a second when every backlogged
// workspace waits and is served there.
func (s coreSize) exchange() scheduler.Message {
	m := scheduler.Message{Incarnation: 1}
	for i := range s.backlogged {
		m.Demand = append(m.Demand, scheduler.Demand{Service: planService(i), Workspace: workspaceName(i), Waiting: 2})
		m.ServedTotals = append(m.ServedTotals, scheduler.ServedTotal{Service: planService(i), Workspace: workspaceName(i), Served: meanCost})
	}
	return m
}

// take empties the effects and keeps the grants that were sent.
func (w *coreWorld) take() {
	for _, e := range w.core.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Send:
			for _, g := range e.Message.Grants {
				w.grants = append(w.grants, sentGrant{e.To, g})
			}
		case scheduler.Dispatch:
			w.running = e.Request
		}
	}
}

// tick is the mean time of a tick that is due for no exchange.
func (w *coreWorld) tick() time.Duration {
	w.core.Tick(w.now)
	w.take()
	return repeat(func() { w.core.Tick(w.now) }, w.take)
}

// receive is the mean time to take in one exchange of one peer.
func (w *coreWorld) receive() time.Duration {
	m := w.size.exchange()
	return repeat(func() { w.core.Receive(w.now, "d001", m) }, w.take)
}

// regrant is the mean time from one release to the next grant of its slot.
func (w *coreWorld) regrant() time.Duration {
	if len(w.grants) == 0 {
		return 0
	}
	return repeat(func() {
		g := w.grants[0]
		w.grants = w.grants[1:]
		w.core.Receive(w.now, g.to, scheduler.Message{Incarnation: 1, Releases: []scheduler.Release{
			{Grant: g.grant.ID, Result: scheduler.Result{Served: meanCost}},
		}})
	}, func() {
		w.take()
		for len(w.grants) == 0 { // the demand ran out: the peers show it again
			w.core.Receive(w.now, "d001", w.size.exchange())
			w.take()
		}
	})
}

// progress is the mean time to take in one report of a running request.
func (w *coreWorld) progress() time.Duration {
	if w.running == "" {
		return 0
	}
	served := float64(meanCost)
	return repeat(func() {
		for range progressBatch {
			served++
			w.core.Progress(w.running, served)
		}
	}, w.take) / progressBatch
}

// progressBatch keeps the clock's own cost out of a very short operation.
const progressBatch = 1000

// repeat returns the mean time of op; after is not counted.
func repeat(op, after func()) time.Duration {
	var spent time.Duration
	n := 0
	for spent < measureFor {
		begun := time.Now()
		op()
		spent += time.Since(begun)
		n++
		after()
	}
	return spent / time.Duration(n)
}

// coreAxis varies one dimension of a scheduler at the planned size.
type coreAxis struct {
	name   string
	values []int
	size   func(v int) coreSize
}

func coreAxes() []coreAxis {
	plan := coreSize{planDaemons, planWorkspaces, planBacklogged, planTargets}
	return []coreAxis{
		{"daemons at the size of today", []int{4, 5, 6, 7}, func(v int) coreSize { return coreSize{v, 32, 16, 16} }},
		{"daemons", []int{45, 90, 180, 270, 360}, func(v int) coreSize { s := plan; s.daemons = v; return s }},
		{"workspaces", []int{775, 1550, 3100, 4650, 6200}, func(v int) coreSize { s := plan; s.workspaces = v; return s }},
		{"backlogged workspaces", []int{77, 155, 310, 465, 620}, func(v int) coreSize { s := plan; s.backlogged = v; return s }},
		{"targets", []int{388, 775, 1550, 2325, 3100}, func(v int) coreSize { s := plan; s.targets = v; return s }},
	}
}

// measureCore times the scheduler's operations; but for the first axis all other
// dimensions have the planned size.
func measureCore() error {
	columns := []struct {
		name string
		of   func(*coreWorld) time.Duration
	}{
		{"tick, µs", (*coreWorld).tick},
		{"receive an exchange, µs", (*coreWorld).receive},
		{"release to next grant, µs", (*coreWorld).regrant},
		{"progress report, µs", (*coreWorld).progress},
	}
	for _, axis := range coreAxes() {
		fmt.Printf("\n### Scheduler alone against %s\n\n", axis.name)
		fmt.Printf("| %s | grants out | live heap, MB |", axis.name)
		for _, c := range columns {
			fmt.Printf(" %s |", c.name)
		}
		fmt.Print("\n|---|---|---|---|---|---|---|\n")
		var xs []float64
		ys := make([][]float64, len(columns)+1)
		for _, v := range axis.values {
			before := heapMB()
			w := newCoreWorld(axis.size(v))
			heap := heapMB() - before
			xs, ys[0] = append(xs, float64(v)), append(ys[0], heap)
			fmt.Printf("| %d | %d | %.1f |", v, len(w.grants), heap)
			for i, c := range columns {
				us := float64(c.of(w)) / float64(time.Microsecond)
				ys[i+1] = append(ys[i+1], us)
				fmt.Printf(" %.3g |", us)
			}
			fmt.Println()
		}
		fmt.Printf("\n| cost | fixed | per %s | residual (rms) | R² |\n|---|---|---|---|---|\n", axis.name)
		for i := range ys {
			name := "live heap, MB"
			if i > 0 {
				name = columns[i-1].name
			}
			l := fit(xs, ys[i])
			fmt.Printf("| %s | %.3g | %.4g ± %.2g | %.2g | %.3f |\n", name, l.fixed, l.slope, l.slopeError, l.rms, l.r2)
		}
	}
	return nil
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}
