package main

import (
	"slices"
	"time"
)

// system is a way to schedule: the fleet of scheduler cores or a baseline.
type system interface {
	// submit hands over a new job, or one whose attempt broke, at its daemon.
	submit(j *job)
	// progress and finish report on a job that runs.
	progress(j *job)
	finish(j *job)
	// step is called once a tick, after the engines have advanced.
	step()
	// waiting counts the jobs of each workspace that wait.
	waiting(counts []int)
}

// faulty is a system that can take part in faults of daemons and links.
type faulty interface {
	restart(daemon int) []*job
	cut(zone int, on bool)
	lossy(on bool)
}

// run is one run of a pattern under a system.
type run struct {
	size    size
	pattern pattern
	lag     time.Duration
	now     time.Duration
	jobs    []*job
	next    int
	again   []*job
	engines []*engine
	system  system
	cutOff  bool
	// done is the cost that ended or broken attempts have received, by
	// workspace.
	done    []float64
	samples []sample
	// paused holds the preempted jobs that have not been resumed.
	paused []*job
	// busy is the time that slots were in use, in seconds of one slot.
	busy float64
	// stops counts the preemptions.
	stops int
}

// sample is the state at one time.
type sample struct {
	at time.Duration
	// served is the cost received so far, waiting the jobs that wait, both by
	// workspace.
	served  []float64
	waiting []int
}

const (
	samplePeriod = 100 * time.Millisecond
	retryDelay   = time.Second
	cutNotice    = 3 * time.Second
)

// newRun prepares a run; build makes the system.
func newRun(s size, p pattern, lag time.Duration, seed uint64, build func(*run) system) *run {
	r := &run{size: s, pattern: p, lag: lag, jobs: arrivals(s, p, seed)}
	r.done = make([]float64, len(p.sources))
	for i := range s.engines {
		r.engines = append(r.engines, &engine{zone: i % s.zones, slots: s.slots, speed: 1})
	}
	r.system = build(r)
	return r
}

// time is the time of the run as the decisions see it.
func (r *run) time() time.Time { return epoch.Add(r.now) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *run) play() {
	for ; r.now < r.pattern.duration; r.now += tick {
		r.faults()
		r.arrive()
		for _, e := range r.engines {
			r.busy += float64(min(e.slots, len(e.jobs))) * tick.Seconds()
			for _, j := range e.advance(r.now) {
				j.ended = true
				j.end = r.now
				r.done[j.workspace] += j.served()
				r.system.finish(j)
			}
		}
		r.giveUp()
		if r.now%samplePeriod == 0 {
			r.report()
			r.sample()
		}
		r.system.step()
	}
}

// giveUp ends the streams of callers whose deadline has passed.
func (r *run) giveUp() {
	for _, e := range r.engines {
		for _, j := range append([]*job(nil), e.jobs...) {
			if j.deadline == 0 || j.deadline > r.now {
				continue
			}
			e.abort(j)
			j.ended, j.end = true, r.now+tick
			r.done[j.workspace] += j.served()
			r.system.finish(j)
		}
	}
}

func (r *run) arrive() {
	for ; r.next < len(r.jobs) && r.jobs[r.next].arrival <= r.now; r.next++ {
		r.system.submit(r.jobs[r.next])
	}
	waiting := r.again
	r.again = nil
	for _, j := range waiting {
		if j.began+retryDelay > r.now {
			r.again = append(r.again, j)
			continue
		}
		r.system.submit(j)
	}
}

func (r *run) report() {
	for _, e := range r.engines {
		for _, j := range e.jobs {
			r.system.progress(j)
		}
	}
}

func (r *run) sample() {
	s := sample{at: r.now, served: make([]float64, len(r.done)), waiting: make([]int, len(r.done))}
	copy(s.served, r.done)
	for _, e := range r.engines {
		for _, j := range e.jobs {
			s.served[j.workspace] += j.served()
		}
	}
	for _, j := range r.paused {
		s.served[j.workspace] += j.served()
	}
	r.system.waiting(s.waiting)
	r.samples = append(r.samples, s)
}

// start puts a job on an engine.
func (r *run) start(j *job, target int) {
	j.target = target
	j.attempts++
	j.resumed = r.now
	if j.preempted == 0 {
		j.began = r.now
	}
	j.started = true
	r.engines[target].start(j)
}

// broken takes a running job off its engine; its caller comes again by another
// daemon after a while.
func (r *run) broken(j *job) {
	r.engines[j.target].abort(j)
	r.resumed(j)
	j.redo, j.preempted, j.earlier = 0, 0, 0
	r.done[j.workspace] += j.served()
	r.callAgain(j)
}

func (r *run) callAgain(j *job) {
	j.started = false
	j.began = r.now
	j.daemon = (j.daemon + 1) % r.size.daemons
	r.again = append(r.again, j)
}

// resumed takes a job off the list of the preempted.
func (r *run) resumed(j *job) {
	r.paused = slices.DeleteFunc(r.paused, func(p *job) bool { return p == j })
}

func (r *run) faults() {
	p := r.pattern
	if p.slowAt > 0 && r.now == p.slowAt {
		r.engines[0].speed = 0.25
	}
	f, ok := r.system.(faulty)
	if !ok {
		return
	}
	switch {
	case p.restart > 0 && r.now == p.restart:
		for _, j := range f.restart(1) {
			if j.started {
				r.broken(j)
				continue
			}
			r.callAgain(j)
		}
	case p.cutFrom > 0 && r.now == p.cutFrom:
		r.cutOff = true
		f.cut(0, true)
	case p.cutTo > 0 && r.now == p.cutTo:
		r.cutOff = false
		f.cut(0, false)
	case p.lossFrom > 0 && r.now == p.lossFrom:
		f.lossy(true)
	case p.lossTo > 0 && r.now == p.lossTo:
		f.lossy(false)
	}
}
