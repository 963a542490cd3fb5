package placement

import (
	"math"
	"slices"
	"time"
)

// limiter finds the concurrency limit of one target.
type limiter struct {
	cfg Config
	// ceiling is the document's number of slots; zero means none.
	ceiling int
	value   float64
	// ramping is true until the first sign of a queue; the limit of a target
	// without a ceiling doubles in each window until then.
	ramping bool

	// first are the times to the first byte in the present window, slotTime
	// the sum of all times in it.
	first    []time.Duration
	slotTime time.Duration
	// peak is the largest number in flight in the present window.
	peak int
	// base is the early quantile of the time to the first byte without a queue.
	base float64
	// proof tells whether that is so.
	proof proof
	// quick is the same of the last window.
	quick float64
	// held is the number of windows in which the limit must not grow.
	held int
	// windows counts them, for the dips.
	windows int
	// skip is the number of requests that were dispatched under a former, higher
	// limit; how they end says nothing about the present one.
	skip int
	// before is the state when the limit began to shrink, or when shrinking it
	// had last helped.
	before struct {
		value, quick float64
	}
}

func newLimiter(cfg Config) *limiter {
	return &limiter{cfg: cfg, value: float64(cfg.Initial), ramping: true}
}

func (l *limiter) setCeiling(slots int) {
	if slots == l.ceiling {
		return
	}
	l.ceiling = slots
	if slots > 0 {
		// The operator's figure is the best guess there is, and the most that
		// the target may be given.
		l.value = float64(slots)
		l.ramping = false
		l.proof = proof{} // it would put the former limit back
	}
}

// limit returns the present limit, at least one.
func (l *limiter) limit() int {
	v := l.value
	if l.dipping() {
		v *= dipShare
	}
	return max(1, int(math.Round(v)))
}

// dipping is true for one window in dipEvery, in which the target gets a little
// less. A daemon that starts before a target with a standing queue would take
// the wait in it for normal; in the dip the queue drains and shows itself.
func (l *limiter) dipping() bool { return l.windows%dipEvery == dipEvery-1 }

// refused takes in that the target was full with this many in flight.
func (l *limiter) refused(inFlight int) {
	if l.skip > 0 {
		l.skip--
		return
	}
	if inFlight < 1 {
		return
	}
	// What else is in flight may be refused as well; one stands for all.
	l.skip = inFlight - 1
	l.value = math.Max(1, math.Min(l.value, float64(inFlight)*refusedShare))
	l.ramping = false
	l.held = heldWindows
	l.proof = proof{} // likewise
}

const (
	// refusedShare is what is kept of the number in flight at a refusal.
	refusedShare = 0.9
	// heldWindows is how long the limit stays after a refusal.
	heldWindows = 4
	// growth is the part by which the limit grows in a window.
	growth = 1.0 / 16
	// saturated is the part of the limit that must have been in use for a
	// window to say anything about a higher one.
	saturated = 0.9
	// dipEvery and dipShare cost at most (1-0.8)/64, 0.3% of the slots.
	dipEvery = 64
	dipShare = 0.8
	// early is the quantile that shows a queue: where one stands, nearly all
	// requests wait, the quickest as well; and the quickest, with the shortest
	// prompts, vary least otherwise.
	early = 0.2
	// confidence is the number of standard errors by which the quantile of a
	// window must differ from the base to count: 95 in 100 on one side.
	confidence = 1.64
	// falling and rising are the weights of a window in the base where it is
	// surely shorter, and otherwise. A longer time is a queue more often than
	// a change of the prompts, so that the base follows it over some five
	// hundred windows only.
	falling = 0.25
	sinking = 0.05
	rising  = 0.002
	// helpTrial is the part by which the limit is lowered before it is judged
	// whether that helps, helpShare the part of the wait that must have gone.
	helpTrial = 0.25
	// atTheEnd is the part of the time before the first byte from which on an
	// answer counts as coming at the end; plainQueue is the factor of the queue
	// allowed then.
	atTheEnd   = 0.9
	plainQueue = 3
	helpShare  = 0.2
)

// completed takes in a request that ran to its end.
func (l *limiter) completed(s Sample) {
	if l.skip > 0 {
		l.skip--
		return
	}
	l.first = append(l.first, s.First)
	l.slotTime += s.Elapsed
	l.peak = max(l.peak, s.InFlight)
	if len(l.first) < l.wanted() {
		return
	}
	l.closeWindow()
	l.windows++
	l.first, l.slotTime, l.peak = l.first[:0], 0, 0
}

// wanted is the number of completions in the present window.
func (l *limiter) wanted() int {
	return max(l.proof.wanted(l.cfg.MinWindow), l.limit())
}

// full tells whether the target had as many as it may have in the present window.
func (l *limiter) full() bool { return float64(l.peak) >= saturated*float64(l.limit()) }

func (l *limiter) closeWindow() {
	full := l.full()
	w := l.measure()
	l.quick = w.quick
	if l.base == 0 {
		l.base = w.quick
	}
	if l.prove(w, full) {
		return
	}
	waiting := l.waiting(w)
	allowed := l.allowed()
	switch {
	case waiting > 2*allowed:
		l.shrink(waiting)
		l.skip = l.peak
	case waiting < allowed:
		l.before.value = 0
		if full && !l.dipping() {
			l.grow()
		}
	}
}

// measure sums the present window up.
func (l *limiter) measure() window {
	slices.Sort(l.first)
	w := quantileBounds(l.first)
	var first time.Duration
	for _, d := range l.first {
		first += d
	}
	w.mean = l.slotTime.Seconds() / float64(len(l.first))
	w.rest = w.mean - first.Seconds()/float64(len(l.first))
	return w
}

// waiting estimates the requests that wait in the target, as a part of those
// that run in it, and moves the base. It returns zero where the window does not
// surely show any.
func (l *limiter) waiting(w window) float64 {
	wait := w.quick - l.base
	run := w.mean - max(0, wait)
	sure := w.low > l.base
	switch {
	case w.high < l.base:
		l.base += falling * wait
	case wait < 0:
		l.base += sinking * wait
	default:
		l.base += rising * wait
	}
	if !sure || run <= 0 {
		return 0
	}
	return wait / run
}

// allowed returns the part of the limit that may wait in the target. Where
// answers come only at the end of the run, the run's own spread hides a small
// queue; the allowance is then larger, so that it does not empty slots.
func (l *limiter) allowed() float64 {
	var sum time.Duration
	for _, d := range l.first {
		sum += d
	}
	if float64(sum) > atTheEnd*float64(l.slotTime) {
		return plainQueue * l.cfg.Queue
	}
	return l.cfg.Queue
}

// quantileBounds returns the early quantile of sorted times and the bounds
// between which the quantile of all requests surely lies.
func quantileBounds(sorted []time.Duration) window {
	n := float64(len(sorted))
	spread := confidence * math.Sqrt(n*early*(1-early))
	at := func(rank float64) float64 {
		return sorted[max(0, min(len(sorted)-1, int(rank)))].Seconds()
	}
	return window{low: at(n*early - spread), quick: at(n * early), high: at(n*early + spread)}
}

// shrink takes away what waits in the target beyond the queue that it is
// allowed, at most half in a window.
//
// Longer prompts raise the time to the first byte as a queue does, but a lower
// limit does not bring it down. Where a quarter less has not helped, the limit
// goes back and the longer time is the new base; without this the limit would
// fall to one.
func (l *limiter) shrink(waiting float64) {
	l.ramping = false
	gone := l.before.quick - l.quick
	least := helpShare * (l.before.quick - l.base)
	tried := l.value <= l.before.value*(1-helpTrial)
	switch {
	case l.before.value == 0 || gone < -least || tried && gone >= least:
		l.before.value, l.before.quick = l.value, l.quick
	case tried:
		l.value, l.base = l.before.value, l.quick
		l.before.value = 0
		return
	}
	keep := (1 + l.allowed()) / (1 + waiting)
	l.value = math.Max(1, l.value*math.Max(0.5, keep))
}

func (l *limiter) grow() {
	if l.held > 0 {
		l.held--
		return
	}
	if l.ramping {
		l.value *= 2
		l.skip = l.peak
	} else {
		l.value += math.Max(1, l.value*growth)
	}
	most := l.cfg.Most
	if l.ceiling > 0 {
		most = l.ceiling
	}
	l.value = math.Min(l.value, float64(most))
}
