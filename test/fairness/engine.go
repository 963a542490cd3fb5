package main

import "time"

// Figures of the engines. The step time of the real ones is not confirmed; the
// decisions measure it, so only the ratio of the figures matters here.
const (
	tick        = 5 * time.Millisecond
	decodeRate  = 30.0   // tokens a second of one stream
	prefillRate = 4000.0 // prompt tokens a second of one stream
	// promptUnits is the cost of a prompt token in units of an output token.
	promptUnits = 0.1
	cacheSize   = 8 // prompt prefixes an engine keeps
)

// job is one request of the load and what became of it.
type job struct {
	id        string
	workspace int
	daemon    int
	class     uint8
	prompt    float64
	output    float64
	prefix    uint64
	arrival   time.Duration
	deadline  time.Duration // zero: none
	began     time.Duration // dispatch; valid once started
	first     time.Duration // first token
	end       time.Duration // last token; valid once ended
	started   bool
	ended     bool
	refused   bool
	target    int
	// prefill and decoded are the tokens worked off in the present attempt;
	// cached is the part of the prompt that the engine had in its cache.
	prefill, decoded, cached float64
	// redo is how much of what a preempted attempt had in the engine's cache
	// has to be worked off again; it is no service.
	redo      float64
	preempted int
	// again is the time that was spent on that, in seconds of one slot.
	again float64
	// earlier is the cost of the preempted attempts, resumed when the present
	// one began.
	earlier  float64
	resumed  time.Duration
	attempts int
}

// served is the cost worked off so far in units of the service.
func (j *job) served() float64 { return (j.prefill-j.cached)*promptUnits + j.decoded }

// engine is a model engine: it batches whatever is sent to it and slows all
// streams down when that is more than its slots.
type engine struct {
	zone  int
	slots int
	speed float64
	jobs  []*job
	cache []uint64
}

func (e *engine) start(j *job) {
	if j.redo > 0 {
		e.jobs = append(e.jobs, j)
		return
	}
	j.prefill, j.decoded, j.cached = 0, 0, 0
	if e.remember(j.prefix) {
		j.cached = j.prompt * cachedPart
		j.prefill = j.cached
	}
	e.jobs = append(e.jobs, j)
}

// cachedPart is how much of a prompt a known prefix covers.
const cachedPart = 0.8

// remember reports whether the prefix was in the cache and moves it to the end.
func (e *engine) remember(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return false
}

// advance works for one tick and returns the jobs that ended.
func (e *engine) advance(now time.Duration) []*job {
	speed := e.speed * min(1, float64(e.slots)/float64(max(1, len(e.jobs))))
	var ended []*job
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		j.work(now, speed*tick.Seconds())
		if j.decoded >= j.output {
			ended = append(ended, j)
			continue
		}
		kept = append(kept, j)
	}
	e.jobs = kept
	return ended
}

// work spends seconds of a stream at full speed on the job.
func (j *job) work(now time.Duration, seconds float64) {
	if j.redo > 0 {
		part := min(j.redo, seconds*prefillRate)
		j.redo -= part
		j.again += part / prefillRate
		seconds -= part / prefillRate
	}
	if left := j.prompt - j.prefill; left > 0 && seconds > 0 {
		part := min(left, seconds*prefillRate)
		j.prefill += part
		seconds -= part / prefillRate
	}
	if seconds <= 0 {
		return
	}
	if j.decoded == 0 {
		j.first = now
	}
	j.decoded = min(j.output, j.decoded+seconds*decodeRate)
}

// abort takes a job off the engine.
func (e *engine) abort(j *job) {
	for i := range e.jobs {
		if e.jobs[i] == j {
			e.jobs = append(e.jobs[:i:i], e.jobs[i+1:]...)
			return
		}
	}
}
