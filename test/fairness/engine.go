package main

import "time"

// Parameters of the simulated engines. The step time of real engines is not
// confirmed. The scheduler measures it, so only the ratios between these values
// matter here.
const (
	tick        = 5 * time.Millisecond
	decodeRate  = 30.0   // output tokens per second of one stream
	prefillRate = 4000.0 // prompt tokens per second of one stream
	// promptTokenCost is the cost of a prompt token relative to an output token.
	promptTokenCost = 0.1
	prefixCacheSize = 8 // number of prompt prefixes in an engine's cache
)

// job is one generated request together with its state and outcome.
type job struct {
	id           string
	workspace    int
	daemon       int
	class        uint8
	prompt       float64
	output       float64
	prefix       uint64
	arrival      time.Duration
	deadline     time.Duration // zero means no deadline
	dispatchedAt time.Duration // valid once started
	firstTokenAt time.Duration
	endedAt      time.Duration // time of the last token; valid once ended
	started      bool
	ended        bool
	refused      bool
	target       int
	// prefilled and decoded are the tokens processed so far in the current attempt.
	// cached is the number of prompt tokens that were in the engine's cache.
	prefilled, decoded, cached float64
	// recomputeTokens is the number of tokens whose cache entries were lost by
	// preemption and that still have to be prefilled again. Recomputation does not
	// count as service.
	recomputeTokens float64
	preemptions     int
	// recomputeSeconds is the slot time spent on recomputation.
	recomputeSeconds float64
	// priorServed is the cost already received by the preempted attempts;
	// attemptStartedAt is when the current attempt began.
	priorServed      float64
	attemptStartedAt time.Duration
	attempts         int
}

// served returns the cost received so far in units of the service.
func (j *job) served() float64 { return (j.prefilled-j.cached)*promptTokenCost + j.decoded }

// engine simulates an inference engine: it batches all jobs that are sent to it.
// All streams slow down if there are more jobs than slots.
type engine struct {
	zone  int
	slots int
	speed float64
	jobs  []*job
	cache []uint64
}

func (e *engine) start(j *job) {
	if j.recomputeTokens > 0 {
		e.jobs = append(e.jobs, j)
		return
	}
	j.prefilled, j.decoded, j.cached = 0, 0, 0
	if e.touchPrefix(j.prefix) {
		j.cached = j.prompt * cachedPromptFraction
		j.prefilled = j.cached
	}
	e.jobs = append(e.jobs, j)
}

// cachedPromptFraction is the fraction of a prompt that a cached prefix covers.
const cachedPromptFraction = 0.8

// touchPrefix reports whether the prefix was in the cache and makes it the most
// recently used entry.
func (e *engine) touchPrefix(prefix uint64) bool {
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
	if len(e.cache) > prefixCacheSize {
		e.cache = e.cache[1:]
	}
	return false
}

// advance simulates one tick and returns the jobs that completed.
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

// work processes the job for the given time, in seconds of a stream at full speed.
func (j *job) work(now time.Duration, seconds float64) {
	if j.recomputeTokens > 0 {
		part := min(j.recomputeTokens, seconds*prefillRate)
		j.recomputeTokens -= part
		j.recomputeSeconds += part / prefillRate
		seconds -= part / prefillRate
	}
	if remaining := j.prompt - j.prefilled; remaining > 0 && seconds > 0 {
		part := min(remaining, seconds*prefillRate)
		j.prefilled += part
		seconds -= part / prefillRate
	}
	if seconds <= 0 {
		return
	}
	if j.decoded == 0 {
		j.firstTokenAt = now
	}
	j.decoded = min(j.output, j.decoded+seconds*decodeRate)
}

// remove stops a job without completing it.
func (e *engine) remove(j *job) {
	for i := range e.jobs {
		if e.jobs[i] == j {
			e.jobs = append(e.jobs[:i:i], e.jobs[i+1:]...)
			return
		}
	}
}
