package main

import (
	"github.com/savorystall/savorystall/internal/scheduler"
)

// preemptingFleetName is the name of the fleet with preemption allowed by the
// service.
const preemptingFleetName = "fleet-preempt"

func newPreemptingFleet(r *run) system {
	f := newFleet(r).(*fleet)
	f.preemptionEnabled = true
	for _, n := range f.nodes {
		n.core.Configure(r.wallTime(), []scheduler.Service{f.service()})
	}
	return f
}

// meanOutput returns the expected number of output tokens of a class. It stands
// for the estimate that an ingress measures for each operation.
func meanOutput(class uint8) float64 {
	for _, k := range []requestKind{question, tagging, drafting} {
		if k.class == class {
			return k.output
		}
	}
	return 0
}

// addPreemptionInfo sets the fields of a request that preemption decisions use.
func (f *fleet) addPreemptionInfo(spec *scheduler.Request, j *job) {
	if !f.preemptionEnabled {
		return
	}
	spec.Cost += meanOutput(j.class)
	spec.Preemptible = spec.Class != scheduler.Interactive
	spec.Preemptions, spec.PriorServed = j.preemptions, j.priorServed
}

// preempt stops a job and queues it again at its daemon. A job whose target was
// found unreachable in the meantime is already queued again and is left alone.
func (f *fleet) preempt(n *node, e scheduler.Preempt) {
	j := f.jobs[e.Request]
	if j == nil || j.ended || e.Request != runningRequestID(j) {
		return
	}
	now := f.run.wallTime()
	delete(f.jobs, e.Request)
	f.run.pausePreempted(j)
	n.core.Finish(now, e.Request, scheduler.Result{
		Served: j.served() - j.priorServed, Elapsed: f.run.now - j.attemptStartedAt, Preempted: true,
	})
	j.priorServed = j.served()
	spec := f.newRequest(j)
	f.jobs[spec.ID] = j
	if failure := n.core.Requeue(now, spec); failure != nil {
		j.refused = true
	}
}

// pausePreempted takes a preempted job off its engine. The engine's cache entries
// for the job are lost, so its tokens must be prefilled again; this recomputation
// does not count as service.
func (r *run) pausePreempted(j *job) {
	r.engines[j.target].remove(j)
	j.recomputeTokens = j.prefilled + j.decoded
	j.preemptions++
	r.preemptions++
	r.paused = append(r.paused, j)
}

// totalRecomputeSeconds returns the slot time that was spent on recomputing lost
// cache entries.
func (r *run) totalRecomputeSeconds() float64 {
	sum := 0.0
	for _, j := range r.jobs[:r.nextArrival] {
		sum += j.recomputeSeconds
	}
	return sum
}
