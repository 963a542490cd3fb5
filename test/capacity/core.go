package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// Planned fleet size, as seen by the scheduler of one daemon.
const (
	plannedDaemons    = 360
	plannedZones      = 14
	plannedServices   = 18
	plannedWorkspaces = 6200
	plannedBacklogged = 620
	plannedTargets    = 3100
	// plannedSlotsPerTarget is the number of concurrent requests per target:
	// 25,000 requests/s with 388 tokens each at 67 ms per token, spread over
	// 3,100 targets.
	plannedSlotsPerTarget = 210
	// minMeasureTime is the minimum total time for which one operation is
	// repeated.
	minMeasureTime = 300 * time.Millisecond
)

// coreSize holds the dimensions of the configuration and load of a scheduler.
type coreSize struct {
	daemons, workspaces, backlogged, targets int
}

// coreFixture is a scheduler without links that has received demand from all
// peers and has granted all of its slots.
type coreFixture struct {
	size   coreSize
	core   *scheduler.Core
	now    time.Time
	grants []sentGrant
	// running is a request that was dispatched by this scheduler.
	running ident.Request
}

type sentGrant struct {
	ingress ident.Daemon
	grant   scheduler.Grant
}

func coreServiceName(workspace int) ident.Service {
	return ident.Service(fmt.Sprintf("model-%02d", workspace%plannedServices))
}

func newCoreFixture(size coreSize) *coreFixture {
	f := &coreFixture{size: size, now: time.Unix(1e9, 0)}
	f.core = scheduler.New(scheduler.Config{Self: "m", Incarnation: 1, Zone: "zone-00"}, rand.New(rand.NewPCG(1, 1)))
	f.core.Configure(f.now, size.services())
	f.core.SetPeers(f.now, size.peers())
	f.submit("first", 0) // dispatched locally, before the peers report demand
	for _, p := range size.peers() {
		f.core.Receive(f.now, p.ID, size.exchangeMessage())
		f.drainEffects()
	}
	for i := range size.backlogged {
		f.submit("a", i)
		f.submit("b", i)
	}
	f.drainEffects()
	return f
}

// submit queues a request that arrives at this daemon.
func (f *coreFixture) submit(id string, workspace int) {
	f.core.Submit(f.now, scheduler.Request{
		ID: ident.Request(fmt.Sprint(id, workspace)), Service: coreServiceName(workspace),
		Workspace: workspaceName(workspace), Cost: meanCost,
	})
}

func (s coreSize) services() []scheduler.Service {
	services := make([]scheduler.Service, plannedServices)
	for i := range services {
		services[i] = scheduler.Service{Name: coreServiceName(i), MeanCost: meanCost}
	}
	for i := range s.workspaces {
		service := &services[i%plannedServices]
		service.Workspaces = append(service.Workspaces, scheduler.Workspace{Name: workspaceName(i), Weight: 1})
	}
	for i := range s.targets {
		service := &services[i%plannedServices]
		service.Targets = append(service.Targets, scheduler.Target{
			Name: ident.Target(fmt.Sprintf("engine-%04d", i)),
			Zone: coreZoneName(i), Slots: plannedSlotsPerTarget,
		})
	}
	return services
}

func coreZoneName(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%02d", i%plannedZones)) }

func (s coreSize) peers() []scheduler.Peer {
	var peers []scheduler.Peer
	for i := 1; i < s.daemons; i++ {
		peers = append(peers, scheduler.Peer{ID: ident.Daemon(fmt.Sprintf("d%03d", i)), Incarnation: 1, Zone: coreZoneName(i)})
	}
	return peers
}

// exchangeMessage returns the message that a peer sends once per exchange interval
// (1 s by default) while it has waiting and running requests of every backlogged
// workspace.
func (s coreSize) exchangeMessage() scheduler.Message {
	m := scheduler.Message{Incarnation: 1}
	for i := range s.backlogged {
		m.Demand = append(m.Demand, scheduler.Demand{Service: coreServiceName(i), Workspace: workspaceName(i), Waiting: 2})
		m.ServedTotals = append(m.ServedTotals, scheduler.ServedTotal{Service: coreServiceName(i), Workspace: workspaceName(i), Served: meanCost})
	}
	return m
}

// drainEffects takes all pending effects and records the grants that were sent.
func (f *coreFixture) drainEffects() {
	for _, e := range f.core.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Send:
			for _, g := range e.Message.Grants {
				f.grants = append(f.grants, sentGrant{e.To, g})
			}
		case scheduler.Dispatch:
			f.running = e.Request
		}
	}
}

// measureTick returns the mean duration of a tick in which no exchange is due.
func (f *coreFixture) measureTick() time.Duration {
	f.core.Tick(f.now)
	f.drainEffects()
	return meanTime(func() { f.core.Tick(f.now) }, f.drainEffects)
}

// measureReceive returns the mean time to process one exchange message of one
// peer.
func (f *coreFixture) measureReceive() time.Duration {
	m := f.size.exchangeMessage()
	return meanTime(func() { f.core.Receive(f.now, "d001", m) }, f.drainEffects)
}

// measureRegrant returns the mean time to process a release and grant its slot
// again.
func (f *coreFixture) measureRegrant() time.Duration {
	if len(f.grants) == 0 {
		return 0
	}
	return meanTime(func() {
		g := f.grants[0]
		f.grants = f.grants[1:]
		f.core.Receive(f.now, g.ingress, scheduler.Message{Incarnation: 1, Releases: []scheduler.Release{
			{Grant: g.grant.ID, Result: scheduler.Result{Served: meanCost}},
		}})
	}, func() {
		f.drainEffects()
		for len(f.grants) == 0 { // no demand is left; a peer reports it again
			f.core.Receive(f.now, "d001", f.size.exchangeMessage())
			f.drainEffects()
		}
	})
}

// measureProgress returns the mean time to process one progress report of a
// running request.
func (f *coreFixture) measureProgress() time.Duration {
	if f.running == "" {
		return 0
	}
	served := float64(meanCost)
	return meanTime(func() {
		for range progressBatch {
			served++
			f.core.Progress(f.running, served)
		}
	}, f.drainEffects) / progressBatch
}

// progressBatch is the number of progress reports per measurement. The operation
// is so short that reading the clock would otherwise dominate the result.
const progressBatch = 1000

// meanTime returns the mean duration of op. afterEach runs after each call of op
// and is not included in the measurement.
func meanTime(op, afterEach func()) time.Duration {
	var total time.Duration
	n := 0
	for total < minMeasureTime {
		start := time.Now()
		op()
		total += time.Since(start)
		n++
		afterEach()
	}
	return total / time.Duration(n)
}

// coreAxis varies one dimension of coreSize.
type coreAxis struct {
	name   string
	values []int
	sizeAt func(v int) coreSize
}

func coreAxes() []coreAxis {
	planned := coreSize{plannedDaemons, plannedWorkspaces, plannedBacklogged, plannedTargets}
	return []coreAxis{
		{"daemons at the size of today", []int{4, 5, 6, 7}, func(v int) coreSize { return coreSize{v, 32, 16, 16} }},
		{"daemons", []int{45, 90, 180, 270, 360}, func(v int) coreSize { s := planned; s.daemons = v; return s }},
		{"workspaces", []int{775, 1550, 3100, 4650, 6200}, func(v int) coreSize { s := planned; s.workspaces = v; return s }},
		{"backlogged workspaces", []int{77, 155, 310, 465, 620}, func(v int) coreSize { s := planned; s.backlogged = v; return s }},
		{"targets", []int{388, 775, 1550, 2325, 3100}, func(v int) coreSize { s := planned; s.targets = v; return s }},
	}
}

// measureCore measures the operations of the scheduler. On every axis but the
// first, all other dimensions have the planned size.
func measureCore() error {
	columns := []struct {
		name    string
		measure func(*coreFixture) time.Duration
	}{
		{"tick, µs", (*coreFixture).measureTick},
		{"receive an exchange, µs", (*coreFixture).measureReceive},
		{"release to next grant, µs", (*coreFixture).measureRegrant},
		{"progress report, µs", (*coreFixture).measureProgress},
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
			f := newCoreFixture(axis.sizeAt(v))
			heap := heapMB() - before
			xs, ys[0] = append(xs, float64(v)), append(ys[0], heap)
			fmt.Printf("| %d | %d | %.1f |", v, len(f.grants), heap)
			for i, c := range columns {
				micros := float64(c.measure(f)) / float64(time.Microsecond)
				ys[i+1] = append(ys[i+1], micros)
				fmt.Printf(" %.3g |", micros)
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
			fmt.Printf("| %s | %.3g | %.4g ± %.2g | %.2g | %.3f |\n", name, l.intercept, l.slope, l.slopeStdErr, l.rms, l.r2)
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
