package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Initial assumptions about an engine, and the rates at which measurements replace them.
const (
	// initialOverhead is the time to the first byte beyond prefill: the network round trip to
	// the target and the first decode step.
	initialOverhead = 40 * time.Millisecond
	// learningRate is the weight of one observation of the overhead or of the service time.
	// fastLearningRate is that of an observation which shows that the overhead is
	// overestimated.
	learningRate     = 0.08
	fastLearningRate = 0.3
	// contextDoubling is the number of tokens of context at which prefill of one more token
	// costs twice as much as that of the first, since attention looks at all tokens before it.
	// Of two engine models it is 24,000 on the one (0.295 ms per million token pairs and 140
	// tokens/ms) and 54,000 on the other (0.368 ms and 49.6 tokens/ms). The learned pace
	// absorbs the error for prompts of usual length. Too low a value refuses the longest
	// prompts, and nothing corrects that because none of them is then measured; too high a
	// value makes some of them late, which the pace corrects.
	contextDoubling = 50000
	// initialServiceTime is the assumed service time of a plain request before any was
	// measured.
	initialServiceTime = 20 * time.Millisecond
	// maxMemoryShare is the fraction of an engine's memory that running requests may fill by
	// their declared sizes. Beyond it the engine preempts the newest request and recomputes it
	// later.
	maxMemoryShare = 0.9
)

// engine is the state of a target that this daemon owns, or that it uses as an ingress.
type engine struct {
	Target
	service *service
	// owner is the daemon that answers placement queries for the target; owned is set if that
	// is this daemon, and ownedSince is when it became the owner.
	owner      ident.Daemon
	owned      bool
	ownedSince time.Time
	// newOwnerUntil is until when this daemon is a new owner, which may not be the only one.
	newOwnerUntil time.Time
	// takenOverAt is when this daemon became the owner in place of an unreachable one; zero if its
	// predecessor was another one.
	takenOverAt time.Time
	// runs are the requests on the target in order of arrival; only owners maintain them.
	runs []*run
	// admissions are the last requests that this daemon admitted as the target's owner.
	admissions admissionLog
	// warmth is what health checks have shown.
	warmth warmthState
	// unsharedMemory is the memory, in tokens, that the runs will fill beyond their shared
	// prefixes when they have ended.
	unsharedMemory int
	// recentPrefill is the decaying sum of prefill time, in seconds, of the requests sent to
	// the target.
	recentPrefill decayingSum
	// totalPrefill is the sum of all that prefill time.
	totalPrefill time.Duration
	// prefillFreeAt is when the prefill of all requests on the target is expected to be done.
	prefillFreeAt time.Time
	pace          prefillPace
	// overhead is the time to the first byte beyond prefill; serviceTime is the service time of
	// a plain request.
	overhead, serviceTime time.Duration
	// lastFirstByte is when the most recent first byte arrived.
	lastFirstByte time.Time
	// cache is complete if this daemon owns the target; otherwise it covers what this daemon's
	// own requests have brought there.
	cache  prefixCache
	health health
	// ingressRuns counts the requests on the target that came through this ingress.
	ingressRuns int
	// reported is the owner's last load report for the target, and reportedAt its time of
	// arrival.
	reported   Load
	reportedAt time.Time
	// speed is what this daemon knows about the speed as the owner, and weight the speed relative
	// to the other targets of the service.
	speed  targetSpeed
	weight float64
	// level is the level that weight was computed from, valid if levelKnown is set.
	level      int
	levelKnown bool
	// weightLogged is the weight at the last call of SpeedReports.
	weightLogged float64
	// waitlist are the requests that wait for a slot or memory; only owners maintain it.
	waitlist waitlist
}

func newEngine(s *service, spec Target) *engine {
	e := &engine{Target: spec, service: s, pace: s.pace.forNewTarget(), overhead: initialOverhead, serviceTime: initialServiceTime, cache: newPrefixCache(), weight: 1, weightLogged: 1}
	e.startPace()
	return e
}

// resetAfterRestart discards the state of a previous process of the target.
func (e *engine) resetAfterRestart() {
	e.runs, e.unsharedMemory, e.prefillFreeAt = nil, 0, time.Time{}
	e.admissions, e.warmth = admissionLog{}, warmthState{}
	e.cache = newPrefixCache()
	e.health = health{}
	e.speed, e.reported.Speed, e.weight = targetSpeed{}, 0, 1
	e.startPace()
	e.waitlist.departures = decayingSum{}
}

// prefillWork returns the prefill cost of a prompt of which the given number of tokens is
// cached, in tokens at the pace of an empty context.
func prefillWork(prompt, cached int) float64 {
	uncached := float64(max(0, prompt-cached))
	return uncached * (1 + (float64(cached)+uncached/2)/contextDoubling)
}

// expectedFirstByte returns when the first byte of a request would arrive if it were sent now.
func (e *engine) expectedFirstByte(now time.Time, r *run) time.Time {
	if !e.service.servesModel {
		return now.Add(e.slotWait() + e.serviceTime)
	}
	start := laterOf(e.prefillFreeAt, now.Add(r.fetchTime))
	return start.Add(e.overhead + e.prefillTime(r))
}

// isolatedFirstByte is the time to the first byte of a prompt on an engine without other
// prefill work.
func (e *engine) isolatedFirstByte(r *run) time.Duration {
	return r.fetchTime + e.overhead + e.prefillTime(r)
}

// prefillTime is how long the engine takes for the prefill of a request.
func (e *engine) prefillTime(r *run) time.Duration { return e.pace.duration(r.prefillWork) }

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// slotWait is how long a plain request waits for a slot.
func (e *engine) slotWait() time.Duration {
	excess := len(e.runs) + 1 - e.Slots
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) / float64(max(1, e.Slots)) * float64(e.serviceTime))
}

// backlog is the time until the prefill of a new prompt would start.
func (e *engine) backlog(now time.Time) time.Duration {
	if !e.service.servesModel {
		return e.slotWait()
	}
	return max(0, e.prefillFreeAt.Sub(now))
}

// occupancy is the fraction of slots in use.
func (e *engine) occupancy() float64 { return float64(len(e.runs)) / float64(max(1, e.Slots)) }

// fitsMemory reports whether the target has enough memory left for a request beside the given part
// of its headroom.
func (e *engine) fitsMemory(r *run, headroom float64) bool {
	usable := maxMemoryShare * (1 - headroom*maxMemoryHeadroom) * float64(e.Memory)
	return e.Memory == 0 || float64(e.usedMemory()+r.memory+e.cache.addedTokens(r.shared)) <= usable
}

// usedMemory is the memory used by running requests, in tokens.
func (e *engine) usedMemory() int { return e.unsharedMemory + e.cache.tokensInUse }

// addRun records a request that is sent to the target now.
func (e *engine) addRun(now time.Time, r *run) {
	r.target, r.addedAt, r.excess = e, now, len(e.runs)+1-e.Slots
	r.expected = e.expectedFirstByte(now, r)
	if e.service.servesModel && !r.prefillDone {
		// While a prefix is copied the engine continues the prefill of other requests.
		e.prefillFreeAt = laterOf(e.prefillFreeAt, now).Add(e.prefillTime(r))
		e.recentPrefill.add(now, e.prefillTime(r).Seconds())
		e.totalPrefill += e.prefillTime(r)
	}
	e.runs = append(e.runs, r)
	e.unsharedMemory += r.memory
	var prefillRun *run
	if !r.prefillDone {
		prefillRun = r
	}
	e.cache.acquire(now, r.shared, prefillRun, e.Memory-e.unsharedMemory)
}

// recordFirstByte records that the first byte of a request has arrived.
func (e *engine) recordFirstByte(now time.Time, r *run, took time.Duration) {
	if r.prefillDone {
		return
	}
	r.prefillDone = true
	e.cache.prefillDone(r)
	r.firstByteAt, r.prefillBefore = now, e.totalPrefill
	if e.service.servesModel {
		e.learnPrefill(now, r, took)
	}
}

// learnPrefill compares the time to a first byte with the estimate. Prompts are processed one
// after the other, and their first bytes follow an overhead later: the prefill of this one
// began when it arrived or when the previous prefill ended, whichever is later. If the engine
// was idle at that time, the part of the latency that its own prefill does not explain is
// overhead.
func (e *engine) learnPrefill(now time.Time, r *run, took time.Duration) {
	queued := e.lastFirstByte.After(r.addedAt)
	prefill := took - e.overhead
	if queued {
		prefill = min(prefill, now.Sub(e.lastFirstByte))
	} else {
		prefill -= r.fetchTime
	}
	switch {
	case took < e.overhead:
		// The overhead can't be as long as that. Under load each prompt finds another one
		// before it, and nothing else would correct an overhead that was learned while the
		// engine was busy with requests that this owner does not know of.
		e.overhead += time.Duration(fastLearningRate * float64(took-e.overhead))
	case r.prefillWork >= minPaceWork && prefill > 0:
		e.pace.observe(r.prefillWork, prefill)
		e.observePrefill(now, r.prefillWork, prefill)
		e.service.pace.observe(r.prefillWork, prefill)
	case !queued:
		expected := e.prefillTime(r)
		e.overhead += time.Duration(learningRate * float64(max(0, took-expected)-e.overhead))
	}
	e.lastFirstByte = now
	e.recomputeBacklog(now)
}

// minPaceWork is the least prefill work from which the pace is learned. Below it the measured
// time is mostly that of the step in which several short prompts are batched.
const minPaceWork = 1000

// recomputeBacklog derives the end of the prefill backlog from the requests still in prefill,
// so that errors of earlier estimates do not accumulate.
func (e *engine) recomputeBacklog(now time.Time) {
	work := 0.0
	for _, r := range e.runs {
		if !r.prefillDone {
			work += r.prefillWork
		}
	}
	e.prefillFreeAt = now.Add(e.pace.duration(work))
}

// removeRun removes a request from the target. If it left before its first byte, its remaining
// prefill work is dropped from the backlog.
func (e *engine) removeRun(now time.Time, r *run, elapsed time.Duration) {
	i := slices.Index(e.runs, r)
	if i < 0 {
		return
	}
	e.runs = slices.Delete(e.runs, i, i+1)
	e.unsharedMemory -= r.memory
	e.cache.release(now, r.shared)
	if r.prefillDone {
		e.cache.addOwn(now, r.ownPart, e.Memory-e.unsharedMemory)
	}
	if !e.service.servesModel {
		if elapsed > 0 && elapsed < time.Second && e.speed.estimator.count < minSpeedBuckets {
			e.serviceTime += time.Duration(learningRate * float64(elapsed-e.serviceTime))
		}
		return
	}
	if !r.prefillDone {
		r.prefillDone = true
		e.cache.prefillAborted(r)
		e.recomputeBacklog(now)
	}
}
