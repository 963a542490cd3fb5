package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Assumptions about an engine before anything was measured, and how fast
// measurements replace them.
const (
	// firstOverhead is the time to the first byte beyond the reading: the way to
	// the target and back, and the first step.
	firstOverhead = 40 * time.Millisecond
	// learn is the weight of one observation of an overhead, unlearn that of one that
	// shows it to be too long.
	learn   = 0.08
	unlearn = 0.3
	// quadratic is the number of tokens of context at which reading one more costs
	// twice as much as reading the first: attention looks at all before it. Of two
	// engine models it is 24,000 on the one (0.295 ms for a million pairs beside 140
	// tokens a ms) and 54,000 on the other (0.368 ms beside 49.6). The pace takes up what
	// is wrong with it for prompts of usual length. Too low a figure refuses the longest
	// ones, which nothing corrects, since none is then read; too high a one lets some of
	// them be late, which the pace corrects.
	quadratic = 50000
	// plainWork is the time of a plain request before any was measured.
	plainWork = 20 * time.Millisecond
	// memoryShare is how much of an engine's memory running requests may fill by
	// the requests' own statements. Beyond it the engine stops the newest and
	// reads it again.
	memoryShare = 0.9
)

// engine is the state of a target that this daemon owns, or sees as an ingress.
type engine struct {
	Target
	service *service
	// owner is the daemon that answers asks for it, owned tells that this one does, since
	// when it is so.
	owner ident.Daemon
	owned bool
	since time.Time
	// runs are the requests on it in order of arrival; only owners keep them.
	runs []*run
	// memory is what they fill beyond their shared parts when they have ended.
	memory int
	// reading is the time in seconds that it reads what was sent to it of late.
	reading decayingSum
	// readTotal adds up all that time.
	readTotal time.Duration
	// free is when everything that stands on it will have been read.
	free time.Time
	pace pace
	// overhead is the time to the first byte beyond the reading; work is the time of a
	// plain request.
	overhead, work time.Duration
	// lastRead is when the last first byte came.
	lastRead time.Time
	// kept is complete where this daemon owns the target; else it holds what this
	// daemon's own requests have brought there.
	kept   kept
	health health
	// mine counts the requests of this ingress on it.
	mine int
	// told is what its owner last said of it, and heard when.
	told  Load
	heard time.Time
}

func newEngine(s *service, spec Target) *engine {
	return &engine{Target: spec, service: s, pace: s.pace.forNew(), overhead: firstOverhead, work: plainWork, kept: newKept()}
}

// restarted forgets what a former process of the target held.
func (e *engine) restarted() {
	e.runs, e.memory, e.free = nil, 0, time.Time{}
	e.kept = newKept()
	e.health = health{}
}

// workOf returns what a prompt costs to read where the engine keeps so much of it.
func workOf(prompt, kept int) float64 {
	unread := float64(max(0, prompt-kept))
	return unread * (1 + (float64(kept)+unread/2)/quadratic)
}

// expect returns when the first byte of a request would come if it were sent now.
func (e *engine) expect(now time.Time, r *run) time.Time {
	if !e.service.servesModel {
		return now.Add(e.queueing() + e.work)
	}
	begin := later(e.free, now.Add(r.fetchTime))
	return begin.Add(e.overhead + e.reads(r))
}

// alone is the time to the first byte of a prompt where nothing else is to be read.
func (e *engine) alone(r *run) time.Duration { return r.fetchTime + e.overhead + e.reads(r) }

// reads is how long the engine reads a prompt.
func (e *engine) reads(r *run) time.Duration { return e.pace.of(r.prefillWork) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// queueing is how long a plain request waits for a slot.
func (e *engine) queueing() time.Duration {
	over := len(e.runs) + 1 - e.Slots
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(over) / float64(max(1, e.Slots)) * float64(e.work))
}

// backlog is the time until a new prompt would be begun.
func (e *engine) backlog(now time.Time) time.Duration {
	if !e.service.servesModel {
		return e.queueing()
	}
	return max(0, e.free.Sub(now))
}

// taken is the part of the slots in use.
func (e *engine) taken() float64 { return float64(len(e.runs)) / float64(max(1, e.Slots)) }

// fits tells whether memory is left for a request.
func (e *engine) fits(r *run) bool {
	return e.Memory == 0 || float64(e.filled()+r.memory+e.kept.added(r.shared)) <= memoryShare*float64(e.Memory)
}

// filled is the memory that what runs fills, in tokens.
func (e *engine) filled() int { return e.memory + e.kept.inUse }

// add notes a request that goes to the target now.
func (e *engine) add(now time.Time, r *run) {
	r.target, r.addedAt = e, now
	r.expected = e.expect(now, r)
	if e.service.servesModel && !r.prefillDone {
		// While a beginning is copied the engine reads for others.
		e.free = later(e.free, now).Add(e.reads(r))
		e.reading.add(now, e.reads(r).Seconds())
		e.readTotal += e.reads(r)
	}
	e.runs = append(e.runs, r)
	e.memory += r.memory
	var reader *run
	if !r.prefillDone {
		reader = r
	}
	e.kept.use(now, r.shared, reader, e.Memory-e.memory)
}

// first takes in that the first byte of a request has come.
func (e *engine) first(now time.Time, r *run, took time.Duration) {
	if r.prefillDone {
		return
	}
	r.prefillDone = true
	e.kept.readBy(r)
	r.firstByteAt, r.prefillBefore = now, e.readTotal
	if e.service.servesModel {
		e.learnPace(now, r, took)
	}
}

// learnPace compares the time to a first byte with what was expected. Prompts are
// read one after the other, and their first bytes come an overhead later: this
// one's reading began when it arrived or when the one before had been read,
// whichever is later. Where it found nothing before it, what its own reading does
// not explain is overhead.
func (e *engine) learnPace(now time.Time, r *run, took time.Duration) {
	queued := e.lastRead.After(r.addedAt)
	reading := took - e.overhead
	if queued {
		reading = min(reading, now.Sub(e.lastRead))
	} else {
		reading -= r.fetchTime
	}
	switch {
	case took < e.overhead:
		// It can't be as long as that. Under load each prompt finds another before
		// it, and nothing else would correct an overhead that was learnt while the
		// engine was busy with what this owner does not know of.
		e.overhead += time.Duration(unlearn * float64(took-e.overhead))
	case r.prefillWork >= leastWork && reading > 0:
		e.pace.observe(r.prefillWork, reading)
		e.service.pace.observe(r.prefillWork, reading)
	case !queued:
		own := e.reads(r)
		e.overhead += time.Duration(learn * float64(max(0, took-own)-e.overhead))
	}
	e.lastRead = now
	e.settle(now)
}

// leastWork is the least work that tells a pace: below it, the step in which
// several short prompts are read together shows, and not the reading.
const leastWork = 1000

// settle sets when everything will have been read by what has not been read yet,
// so that errors of earlier expectations do not add up.
func (e *engine) settle(now time.Time) {
	work := 0.0
	for _, r := range e.runs {
		if !r.prefillDone {
			work += r.prefillWork
		}
	}
	e.free = now.Add(e.pace.of(work))
}

// remove takes a request off the target. One that is gone before its first byte
// has left what it had not read.
func (e *engine) remove(now time.Time, r *run, elapsed time.Duration) {
	i := slices.Index(e.runs, r)
	if i < 0 {
		return
	}
	e.runs = slices.Delete(e.runs, i, i+1)
	e.memory -= r.memory
	e.kept.release(now, r.shared)
	if r.prefillDone {
		e.kept.leave(now, r.ownPart, e.Memory-e.memory)
	}
	if !e.service.servesModel {
		if elapsed > 0 && elapsed < time.Second {
			e.work += time.Duration(learn * float64(elapsed-e.work))
		}
		return
	}
	if !r.prefillDone {
		r.prefillDone = true
		e.kept.unreadBy(r)
		e.settle(now)
	}
}
