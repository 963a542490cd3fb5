package main

import (
	"slices"
	"time"
)

// system is a scheduling system: the fleet of scheduler cores or a baseline.
type system interface {
	// submit queues a job at its daemon. The job is new, or is retried after an
	// interrupted attempt.
	submit(j *job)
	// progress reports the service of a running job, and finish reports its end.
	progress(j *job)
	finish(j *job)
	// step is called once per tick, after the engines have advanced.
	step()
	// countWaiting sets counts to the number of waiting jobs by workspace.
	countWaiting(counts []int)
}

// faultHandler is implemented by systems that support the injection of daemon and
// link faults.
type faultHandler interface {
	restart(daemon int) []*job
	setPartitioned(zone int, on bool)
	setLossEnabled(on bool)
}

// run is one simulation run of a load pattern with a system.
type run struct {
	site        site
	pattern     pattern
	lag         time.Duration
	now         time.Duration
	jobs        []*job
	nextArrival int
	retries     []*job
	engines     []*engine
	system      system
	partitioned bool
	// endedService is the cost received by completed or interrupted attempts, by
	// workspace.
	endedService []float64
	samples      []sample
	// paused holds the preempted jobs that have not been resumed yet.
	paused []*job
	// busySeconds is the time that slots were in use, summed over all slots.
	busySeconds float64
	// preemptions counts the preemptions of all jobs.
	preemptions int
}

// sample is a snapshot of the run at one time.
type sample struct {
	at time.Duration
	// served is the cost received so far and waiting the number of waiting jobs,
	// both by workspace.
	served  []float64
	waiting []int
}

const (
	samplePeriod    = 100 * time.Millisecond
	retryDelay      = time.Second
	peerUpdateDelay = 3 * time.Second
)

// newRun prepares a run; newSystem creates its system.
func newRun(s site, p pattern, lag time.Duration, seed uint64, newSystem func(*run) system) *run {
	r := &run{site: s, pattern: p, lag: lag, jobs: newArrivals(s, p, seed)}
	r.endedService = make([]float64, len(p.loads))
	for i := range s.engines {
		r.engines = append(r.engines, &engine{zone: i % s.zones, slots: s.slots, speed: 1})
	}
	r.system = newSystem(r)
	return r
}

// wallTime returns the current time of the run as the scheduler cores see it.
func (r *run) wallTime() time.Time { return epoch.Add(r.now) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *run) simulate() {
	for ; r.now < r.pattern.duration; r.now += tick {
		r.injectFaults()
		r.submitArrivals()
		for _, e := range r.engines {
			r.busySeconds += float64(min(e.slots, len(e.jobs))) * tick.Seconds()
			for _, j := range e.advance(r.now) {
				j.ended = true
				j.endedAt = r.now
				r.endedService[j.workspace] += j.served()
				r.system.finish(j)
			}
		}
		r.enforceDeadlines()
		if r.now%samplePeriod == 0 {
			r.reportProgress()
			r.takeSample()
		}
		r.system.step()
	}
}

// enforceDeadlines ends the running jobs whose deadline has passed.
func (r *run) enforceDeadlines() {
	for _, e := range r.engines {
		for _, j := range append([]*job(nil), e.jobs...) {
			if j.deadline == 0 || j.deadline > r.now {
				continue
			}
			e.remove(j)
			j.ended, j.endedAt = true, r.now+tick
			r.endedService[j.workspace] += j.served()
			r.system.finish(j)
		}
	}
}

func (r *run) submitArrivals() {
	for ; r.nextArrival < len(r.jobs) && r.jobs[r.nextArrival].arrival <= r.now; r.nextArrival++ {
		r.system.submit(r.jobs[r.nextArrival])
	}
	pending := r.retries
	r.retries = nil
	for _, j := range pending {
		if j.dispatchedAt+retryDelay > r.now {
			r.retries = append(r.retries, j)
			continue
		}
		r.system.submit(j)
	}
}

func (r *run) reportProgress() {
	for _, e := range r.engines {
		for _, j := range e.jobs {
			r.system.progress(j)
		}
	}
}

func (r *run) takeSample() {
	s := sample{at: r.now, served: make([]float64, len(r.endedService)), waiting: make([]int, len(r.endedService))}
	copy(s.served, r.endedService)
	for _, e := range r.engines {
		for _, j := range e.jobs {
			s.served[j.workspace] += j.served()
		}
	}
	for _, j := range r.paused {
		s.served[j.workspace] += j.served()
	}
	r.system.countWaiting(s.waiting)
	r.samples = append(r.samples, s)
}

// start starts an attempt of a job on an engine.
func (r *run) start(j *job, target int) {
	j.target = target
	j.attempts++
	j.attemptStartedAt = r.now
	if j.preemptions == 0 {
		j.dispatchedAt = r.now
	}
	j.started = true
	r.engines[target].start(j)
}

// interrupt takes a running job off its engine after its connection broke. The
// caller retries through another daemon after retryDelay.
func (r *run) interrupt(j *job) {
	r.engines[j.target].remove(j)
	r.unpause(j)
	j.recomputeTokens, j.preemptions, j.priorServed = 0, 0, 0
	r.endedService[j.workspace] += j.served()
	r.scheduleRetry(j)
}

func (r *run) scheduleRetry(j *job) {
	j.started = false
	j.dispatchedAt = r.now
	j.daemon = (j.daemon + 1) % r.site.daemons
	r.retries = append(r.retries, j)
}

// unpause removes a job from the list of paused jobs.
func (r *run) unpause(j *job) {
	r.paused = slices.DeleteFunc(r.paused, func(p *job) bool { return p == j })
}

// reachable reports whether two zones can reach each other.
func (r *run) reachable(a, b int) bool {
	return !r.partitioned || a == b || a != 0 && b != 0
}

func (r *run) injectFaults() {
	p := r.pattern
	if p.slowEngineAt > 0 && r.now == p.slowEngineAt {
		r.engines[0].speed = 0.25
	}
	f, ok := r.system.(faultHandler)
	if !ok {
		return
	}
	switch {
	case p.restartAt > 0 && r.now == p.restartAt:
		for _, j := range f.restart(1) {
			if j.started {
				r.interrupt(j)
				continue
			}
			r.scheduleRetry(j)
		}
	case p.partitionFrom > 0 && r.now == p.partitionFrom:
		r.partitioned = true
		f.setPartitioned(0, true)
	case p.partitionTo > 0 && r.now == p.partitionTo:
		r.partitioned = false
		f.setPartitioned(0, false)
	case p.lossFrom > 0 && r.now == p.lossFrom:
		f.setLossEnabled(true)
	case p.lossTo > 0 && r.now == p.lossTo:
		f.setLossEnabled(false)
	}
}
