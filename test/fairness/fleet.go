package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	serviceName     = "pool"
	coreTick        = 20 * time.Millisecond
	probePeriod     = time.Second
	messagesPerLoss = 50
	// queueLimit is high enough that requests are refused only because of
	// deadlines, as in the baselines.
	queueLimit = 20000
)

// fleet is the system under test: one scheduler.Core per daemon, and messages that
// are delivered one tick after they are sent.
type fleet struct {
	run         *run
	nodes       []*node
	jobs        map[ident.Request]*job
	inTransit   []delivery
	rng         *rand.Rand
	lossEnabled bool
	// unreachable holds the targets that a node could not reach.
	unreachable map[ident.Target]bool
	// reduceAbove is the number of daemons above which service totals are
	// aggregated (the reduced exchange).
	reduceAbove int
	// preemptionEnabled is set if the service allows preemption.
	preemptionEnabled bool
	// peerUpdateAt is when the peer lists are next updated; zero means that no
	// update is pending.
	peerUpdateAt time.Duration
}

// node is one daemon of the fleet.
type node struct {
	id          ident.Daemon
	zone        int
	incarnation uint64
	core        *scheduler.Core
	sentBytes   int
}

// delivery is a message in transit.
type delivery struct {
	from, to int
	message  scheduler.Message
}

// newFleet returns a fleet in which each daemon sends its service totals to all
// others.
func newFleet(r *run) system { return newFleetWithReduceAbove(r, math.MaxInt) }

// newReducedFleet returns a fleet that aggregates service totals within zones,
// regardless of its size.
func newReducedFleet(r *run) system { return newFleetWithReduceAbove(r, 1) }

func newFleetWithReduceAbove(r *run, reduceAbove int) system {
	f := &fleet{
		reduceAbove: reduceAbove,
		run:         r,
		jobs:        make(map[ident.Request]*job),
		rng:         rand.New(rand.NewPCG(7, 7)),
		unreachable: make(map[ident.Target]bool),
	}
	for d := range r.site.daemons {
		n := &node{id: ident.Daemon(fmt.Sprintf("d%d", d)), zone: d % r.site.zones}
		f.nodes = append(f.nodes, n)
	}
	for d := range f.nodes {
		f.startCore(d)
	}
	f.updatePeers()
	return f
}

// startCore gives a daemon a new core without state.
func (f *fleet) startCore(d int) {
	n := f.nodes[d]
	n.incarnation++
	n.core = scheduler.New(scheduler.Config{
		Self:                 n.id,
		Incarnation:          n.incarnation,
		Zone:                 zoneName(n.zone),
		ExchangeInterval:     f.run.lag,
		AggregationThreshold: f.reduceAbove,
	}, rand.New(rand.NewPCG(uint64(d), n.incarnation)))
	n.core.Configure(f.run.wallTime(), []scheduler.Service{f.service()})
}

func zoneName(z int) ident.Zone           { return ident.Zone(fmt.Sprintf("zone-%d", z)) }
func workspaceName(w int) ident.Workspace { return ident.Workspace(fmt.Sprintf("workspace-%02d", w)) }
func targetName(t int) ident.Target       { return ident.Target(fmt.Sprintf("engine-%02d", t)) }

func (f *fleet) service() scheduler.Service {
	s := scheduler.Service{Name: serviceName, MeanCost: 300, Preemption: f.preemptionEnabled}
	for w, src := range f.run.pattern.loads {
		s.Workspaces = append(s.Workspaces, scheduler.Workspace{
			Name: workspaceName(w), Weight: src.weight, QueueLimit: queueLimit, Targets: f.run.allowedTargets(w),
		})
	}
	for t, e := range f.run.engines {
		s.Targets = append(s.Targets, scheduler.Target{Name: targetName(t), Zone: zoneName(e.zone), Slots: e.slots})
	}
	return s
}

// updatePeers sends each daemon the list of live and reachable peers.
func (f *fleet) updatePeers() {
	for _, n := range f.nodes {
		var list []scheduler.Peer
		for _, p := range f.nodes {
			if p != n && f.run.reachable(n.zone, p.zone) {
				list = append(list, scheduler.Peer{ID: p.id, Incarnation: p.incarnation, Zone: zoneName(p.zone)})
			}
		}
		n.core.SetPeers(f.run.wallTime(), list)
	}
}

func (f *fleet) submit(j *job) {
	n := f.nodes[j.daemon]
	spec := f.newRequest(j)
	f.jobs[spec.ID] = j
	if failure := n.core.Submit(f.run.wallTime(), spec); failure != nil {
		j.refused = true
	}
}

func (f *fleet) newRequest(j *job) scheduler.Request {
	spec := scheduler.Request{
		ID:        requestID(j),
		Service:   serviceName,
		Workspace: workspaceName(j.workspace),
		Class:     scheduler.Class(j.class),
		Cost:      j.prompt * promptTokenCost,
		Prefix:    j.prefix,
	}
	if j.deadline > 0 {
		spec.Deadline = epoch.Add(j.deadline)
	}
	f.addPreemptionInfo(&spec, j)
	return spec
}

// requestID returns a request ID that is unique for each retry.
func requestID(j *job) ident.Request {
	return ident.Request(fmt.Sprintf("%s.%d", j.id, j.attempts))
}

// runningRequestID returns the ID under which a started job was submitted.
func runningRequestID(j *job) ident.Request {
	return ident.Request(fmt.Sprintf("%s.%d", j.id, j.attempts-1))
}

func (f *fleet) progress(j *job) {
	f.nodes[j.daemon].core.Progress(runningRequestID(j), j.served()-j.priorServed)
}

func (f *fleet) finish(j *job) {
	id := runningRequestID(j)
	delete(f.jobs, id)
	f.nodes[j.daemon].core.Finish(f.run.wallTime(), id, scheduler.Result{
		Served:    j.served() - j.priorServed,
		Elapsed:   f.run.now - j.attemptStartedAt,
		FirstByte: max(0, j.firstTokenAt-j.attemptStartedAt),
	})
}

func (f *fleet) step() {
	if f.peerUpdateAt > 0 && f.run.now >= f.peerUpdateAt {
		f.peerUpdateAt = 0
		f.updatePeers()
	}
	if f.run.now%probePeriod == 0 {
		f.probe()
	}
	deliveries := f.inTransit
	f.inTransit = nil
	for _, l := range deliveries {
		f.nodes[l.to].core.Receive(f.run.wallTime(), f.nodes[l.from].id, l.message)
	}
	for d, n := range f.nodes {
		if f.run.now%coreTick == 0 {
			n.core.Tick(f.run.wallTime())
		}
		f.applyEffects(d)
	}
}

func (f *fleet) applyEffects(d int) {
	n := f.nodes[d]
	for effects := n.core.TakeEffects(); len(effects) > 0; effects = n.core.TakeEffects() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case scheduler.Dispatch:
				f.dispatch(n, e)
			case scheduler.Preempt:
				f.preempt(n, e)
			case scheduler.Refuse:
				f.refuse(e)
			case scheduler.Send:
				f.send(d, e)
			}
		}
	}
}

func (f *fleet) dispatch(n *node, e scheduler.Dispatch) {
	j := f.jobs[e.Request]
	target := targetIndex(e.Target)
	if f.run.reachable(n.zone, f.run.engines[target].zone) {
		f.run.unpause(j)
		f.run.start(j, target)
		return
	}
	f.unreachable[e.Target] = true
	now := f.run.wallTime()
	n.core.ReportTargetHealth(now, serviceName, e.Target, scheduler.HealthFailed)
	n.core.Finish(now, e.Request, scheduler.Result{Failed: true, NotRun: true})
	spec := f.newRequest(j)
	spec.Avoid = []ident.Target{e.Target}
	n.core.Requeue(now, spec)
}

func targetIndex(name ident.Target) int {
	var n int
	_, _ = fmt.Sscanf(string(name), "engine-%d", &n)
	return n
}

func (f *fleet) refuse(e scheduler.Refuse) {
	f.jobs[e.Request].refused = true
	delete(f.jobs, e.Request)
}

func (f *fleet) send(from int, e scheduler.Send) {
	n := f.nodes[from]
	n.sentBytes += messageBytes(e.Message)
	for to, p := range f.nodes {
		if p.id != e.To || !f.run.reachable(n.zone, p.zone) {
			continue
		}
		if f.lossEnabled && f.rng.IntN(messagesPerLoss) == 0 {
			// The connection broke and the message was lost; both ends detect it.
			n.core.ResyncPeer(p.id)
			p.core.ResyncPeer(n.id)
			continue
		}
		f.inTransit = append(f.inTransit, delivery{from: from, to: to, message: e.Message})
	}
}

// probe reports targets that are reachable again.
func (f *fleet) probe() {
	if f.run.partitioned || len(f.unreachable) == 0 {
		return
	}
	for t := range f.run.engines {
		if !f.unreachable[targetName(t)] {
			continue
		}
		for _, n := range f.nodes {
			n.core.ReportTargetHealth(f.run.wallTime(), serviceName, targetName(t), scheduler.HealthAnswered)
		}
	}
	clear(f.unreachable)
}

func (f *fleet) countWaiting(counts []int) {
	clear(counts)
	for _, j := range f.run.jobs[:f.run.nextArrival] {
		if !j.started && !j.refused && !j.ended {
			counts[j.workspace]++
		}
	}
}

// restart replaces a daemon's core and returns the daemon's unfinished jobs.
func (f *fleet) restart(d int) []*job {
	var lost []*job
	for _, j := range f.run.jobs[:f.run.nextArrival] {
		if j.daemon == d && !j.ended && !j.refused {
			lost = append(lost, j)
			delete(f.jobs, requestID(j))
			delete(f.jobs, runningRequestID(j))
		}
	}
	f.inTransit = slices.DeleteFunc(f.inTransit, func(l delivery) bool { return l.from == d || l.to == d })
	f.startCore(d)
	f.updatePeers()
	return lost
}

// setPartitioned starts or ends the partition of a zone. Streams across the
// partition break. The peer lists are updated after peerUpdateDelay.
func (f *fleet) setPartitioned(zone int, on bool) {
	f.peerUpdateAt = f.run.now + peerUpdateDelay
	if !on {
		return
	}
	for _, e := range f.run.engines {
		for _, j := range append([]*job(nil), e.jobs...) {
			n := f.nodes[j.daemon]
			if f.run.reachable(n.zone, e.zone) {
				continue
			}
			n.core.Finish(f.run.wallTime(), runningRequestID(j), scheduler.Result{Served: j.served() - j.priorServed, Failed: true})
			delete(f.jobs, runningRequestID(j))
			f.run.interrupt(j)
		}
	}
}

func (f *fleet) setLossEnabled(on bool) { f.lossEnabled = on }
