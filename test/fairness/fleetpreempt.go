package main

import (
	"github.com/savorystall/savorystall/internal/scheduler"
)

// preemptingFleetName is the fleet in a service that allows preemption.
const preemptingFleetName = "fleet-preempt"

func newPreemptingFleet(r *run) system {
	f := newFleet(r).(*fleet)
	f.preemption = true
	for _, n := range f.nodes {
		n.core.Configure(r.time(), []scheduler.Service{f.service()})
	}
	return f
}

// meanOutput is what an ingress expects by what it has measured of each
// operation.
func meanOutput(class uint8) float64 {
	for _, k := range []kind{ask, tag, draft} {
		if k.class == class {
			return k.output
		}
	}
	return 0
}

// allow adds to a request what preemption goes by.
func (f *fleet) allow(spec *scheduler.Request, j *job) {
	if !f.preemption {
		return
	}
	spec.Cost += meanOutput(j.class)
	spec.Preemptible = spec.Class != scheduler.Interactive
	spec.Preemptions, spec.PriorServed = j.preempted, j.earlier
}

// preempt stops a job, and queues it again at its daemon. One that has found its
// target unreachable in the meantime waits again already.
func (f *fleet) preempt(n *node, e scheduler.Preempt) {
	j := f.jobs[e.Request]
	if j == nil || j.ended || e.Request != running(j) {
		return
	}
	now := f.run.time()
	delete(f.jobs, e.Request)
	f.run.pause(j)
	n.core.Finish(now, e.Request, scheduler.Result{
		Served: j.served() - j.earlier, Elapsed: f.run.now - j.resumed, Preempted: true,
	})
	j.earlier = j.served()
	spec := f.spec(j)
	f.jobs[spec.ID] = j
	if failure := n.core.Requeue(now, spec); failure != nil {
		j.refused = true
	}
}

// pause takes a job off its engine. What the engine had in its cache of it is
// lost: it is worked off again, and that counts as no service.
func (r *run) pause(j *job) {
	r.engines[j.target].abort(j)
	j.redo = j.prefill + j.decoded
	j.preempted++
	r.stops++
	r.paused = append(r.paused, j)
}

// lost is the time of one slot that the reading of lost caches takes.
func (r *run) lost() float64 {
	sum := 0.0
	for _, j := range r.jobs[:r.next] {
		sum += j.again
	}
	return sum
}
