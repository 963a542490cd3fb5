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
	serviceName = "pool"
	coreTick    = 20 * time.Millisecond
	probePeriod = time.Second
	lossEvery   = 50
	// queueBound is so high that only deadlines refuse anything, as in the
	// baselines.
	queueBound = 20000
)

// fleet is the system under measurement: one scheduler.Core a daemon, with
// messages that arrive one tick later.
type fleet struct {
	run   *run
	nodes []*node
	jobs  map[ident.Request]*job
	inbox []letter
	rng   *rand.Rand
	loss  bool
	// down holds targets that a node has found unreachable.
	down map[ident.Target]bool
	// reduceAbove is the number of daemons above which they use the reduced
	// exchange.
	reduceAbove int
	// preemption tells that the service allows it.
	preemption bool
	// changed asks for new lists of peers at a time.
	peersAt time.Duration
}

// node is one daemon of the fleet.
type node struct {
	id          ident.Daemon
	zone        int
	incarnation uint64
	core        *scheduler.Core
	sent        int // bytes
}

// letter is a message on its way.
type letter struct {
	from, to int
	message  scheduler.Message
}

// newFleet is a fleet in which each daemon tells all others what it served.
func newFleet(r *run) system { return newFleetOf(r, math.MaxInt) }

// newReduced is a fleet that adds service up within zones, whatever its size.
func newReduced(r *run) system { return newFleetOf(r, 1) }

func newFleetOf(r *run, reduceAbove int) system {
	f := &fleet{
		reduceAbove: reduceAbove,
		run:         r,
		jobs:        make(map[ident.Request]*job),
		rng:         rand.New(rand.NewPCG(7, 7)),
		down:        make(map[ident.Target]bool),
	}
	for d := range r.size.daemons {
		n := &node{id: ident.Daemon(fmt.Sprintf("d%d", d)), zone: d % r.size.zones}
		f.nodes = append(f.nodes, n)
	}
	for d := range f.nodes {
		f.boot(d)
	}
	f.peers()
	return f
}

// boot gives a daemon a new core without state.
func (f *fleet) boot(d int) {
	n := f.nodes[d]
	n.incarnation++
	n.core = scheduler.New(scheduler.Config{
		Self:             n.id,
		Incarnation:      n.incarnation,
		Zone:             zoneName(n.zone),
		ExchangeInterval: f.run.lag,
		ReduceAbove:      f.reduceAbove,
	}, rand.New(rand.NewPCG(uint64(d), n.incarnation)))
	n.core.Configure(f.run.time(), []scheduler.Service{f.service()})
}

func zoneName(z int) ident.Zone           { return ident.Zone(fmt.Sprintf("zone-%d", z)) }
func workspaceName(w int) ident.Workspace { return ident.Workspace(fmt.Sprintf("workspace-%02d", w)) }
func targetName(t int) ident.Target       { return ident.Target(fmt.Sprintf("engine-%02d", t)) }

func (f *fleet) service() scheduler.Service {
	s := scheduler.Service{Name: serviceName, MeanCost: 300, Preemption: f.preemption}
	for w, src := range f.run.pattern.sources {
		s.Workspaces = append(s.Workspaces, scheduler.Workspace{
			Name: workspaceName(w), Weight: src.weight, QueueLimit: queueBound, Targets: f.run.tiedTargets(w),
		})
	}
	for t, e := range f.run.engines {
		s.Targets = append(s.Targets, scheduler.Target{Name: targetName(t), Zone: zoneName(e.zone), Slots: e.slots})
	}
	return s
}

// peers tells each daemon who is live and can be reached.
func (f *fleet) peers() {
	for _, n := range f.nodes {
		var list []scheduler.Peer
		for _, p := range f.nodes {
			if p != n && f.run.linked(n.zone, p.zone) {
				list = append(list, scheduler.Peer{ID: p.id, Incarnation: p.incarnation, Zone: zoneName(p.zone)})
			}
		}
		n.core.SetPeers(f.run.time(), list)
	}
}

func (f *fleet) submit(j *job) {
	n := f.nodes[j.daemon]
	spec := f.spec(j)
	f.jobs[spec.ID] = j
	if failure := n.core.Submit(f.run.time(), spec); failure != nil {
		j.refused = true
	}
}

func (f *fleet) spec(j *job) scheduler.Request {
	spec := scheduler.Request{
		ID:        requestID(j),
		Service:   serviceName,
		Workspace: workspaceName(j.workspace),
		Class:     scheduler.Class(j.class),
		Cost:      j.prompt * promptUnits,
		Prefix:    j.prefix,
	}
	if j.deadline > 0 {
		spec.Deadline = epoch.Add(j.deadline)
	}
	f.allow(&spec, j)
	return spec
}

// requestID differs for each time that the caller comes again.
func requestID(j *job) ident.Request {
	return ident.Request(fmt.Sprintf("%s.%d", j.id, j.attempts))
}

// running is the id under which a started job was submitted.
func running(j *job) ident.Request {
	return ident.Request(fmt.Sprintf("%s.%d", j.id, j.attempts-1))
}

func (f *fleet) progress(j *job) {
	f.nodes[j.daemon].core.Progress(running(j), j.served()-j.earlier)
}

func (f *fleet) finish(j *job) {
	id := running(j)
	delete(f.jobs, id)
	f.nodes[j.daemon].core.Finish(f.run.time(), id, scheduler.Result{
		Served:    j.served() - j.earlier,
		Elapsed:   f.run.now - j.resumed,
		FirstByte: max(0, j.first-j.resumed),
	})
}

func (f *fleet) step() {
	if f.peersAt > 0 && f.run.now >= f.peersAt {
		f.peersAt = 0
		f.peers()
	}
	if f.run.now%probePeriod == 0 {
		f.probe()
	}
	letters := f.inbox
	f.inbox = nil
	for _, l := range letters {
		f.nodes[l.to].core.Receive(f.run.time(), f.nodes[l.from].id, l.message)
	}
	for d, n := range f.nodes {
		if f.run.now%coreTick == 0 {
			n.core.Tick(f.run.time())
		}
		f.carryOut(d)
	}
}

func (f *fleet) carryOut(d int) {
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
	target := targetNumber(e.Target)
	if f.run.linked(n.zone, f.run.engines[target].zone) {
		f.run.resumed(j)
		f.run.start(j, target)
		return
	}
	f.down[e.Target] = true
	now := f.run.time()
	n.core.ReportTargetHealth(now, serviceName, e.Target, scheduler.HealthFailed)
	n.core.Finish(now, e.Request, scheduler.Result{Failed: true, NotRun: true})
	spec := f.spec(j)
	spec.Avoid = []ident.Target{e.Target}
	n.core.Requeue(now, spec)
}

func targetNumber(name ident.Target) int {
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
	n.sent += messageBytes(e.Message)
	for to, p := range f.nodes {
		if p.id != e.To || !f.run.linked(n.zone, p.zone) {
			continue
		}
		if f.loss && f.rng.IntN(lossEvery) == 0 {
			// The link broke and took the message with it; both ends notice.
			n.core.ResyncPeer(p.id)
			p.core.ResyncPeer(n.id)
			continue
		}
		f.inbox = append(f.inbox, letter{from: from, to: to, message: e.Message})
	}
}

// probe finds targets that are reachable again.
func (f *fleet) probe() {
	if f.run.cutOff || len(f.down) == 0 {
		return
	}
	for t := range f.run.engines {
		if !f.down[targetName(t)] {
			continue
		}
		for _, n := range f.nodes {
			n.core.ReportTargetHealth(f.run.time(), serviceName, targetName(t), scheduler.HealthAnswered)
		}
	}
	clear(f.down)
}

func (f *fleet) waiting(counts []int) {
	clear(counts)
	for _, j := range f.run.jobs[:f.run.next] {
		if !j.started && !j.refused && !j.ended {
			counts[j.workspace]++
		}
	}
}

// restart replaces a daemon's core and returns the jobs that it had.
func (f *fleet) restart(d int) []*job {
	var lost []*job
	for _, j := range f.run.jobs[:f.run.next] {
		if j.daemon == d && !j.ended && !j.refused {
			lost = append(lost, j)
			delete(f.jobs, requestID(j))
			delete(f.jobs, running(j))
		}
	}
	f.inbox = slices.DeleteFunc(f.inbox, func(l letter) bool { return l.from == d || l.to == d })
	f.boot(d)
	f.peers()
	return lost
}

// cut cuts a zone off or joins it again. Streams over the cut break; the lists
// of peers follow after a while.
func (f *fleet) cut(zone int, on bool) {
	f.peersAt = f.run.now + cutNotice
	if !on {
		return
	}
	for _, e := range f.run.engines {
		for _, j := range append([]*job(nil), e.jobs...) {
			n := f.nodes[j.daemon]
			if f.run.linked(n.zone, e.zone) {
				continue
			}
			n.core.Finish(f.run.time(), running(j), scheduler.Result{Served: j.served() - j.earlier, Failed: true})
			delete(f.jobs, running(j))
			f.run.broken(j)
		}
	}
}

func (f *fleet) lossy(on bool) { f.loss = on }
