package placement

import "math"

// proof tells whether the base of a limiter is the time to the first byte of an
// empty target.
//
// The failure that it answers: work waits from the daemon's first moment on, the
// document gives the target more than it runs at once, and each request whose
// end the owner sees has waited in it (those of the first moment have not, but
// their grants go on to further requests). The base then holds that wait, no
// later window is longer than the base, and the limit stays where it is. It shows
// as a time to the first byte that is long beside the rest of the answer; so do
// long prompts and answers that come only at the end. A lower limit tells them
// apart: it shortens the wait in a queue and nothing else. So the limit is lowered
// by a quarter. Where that does not surely shorten the time, it goes back and the
// base holds. Where it does, it is lowered by as much as may wait, which empties
// the queue and shows the base.
type proof struct {
	stage proofStage
	// warm is set after the first window that filled the limit, strong where so
	// many would wait that there is hardly another reason.
	warm, strong bool
	// doubted is set after the first time that a strong suspicion was not
	// confirmed: one window of unequal answers is not enough to drop it.
	doubted bool
	// value is the limit before it was lowered, full the window under it.
	value float64
	full  window
}

type proofStage uint8

const (
	// unproved is the stage until a window filled the limit.
	unproved proofStage = iota
	// lowered and drained are the stages with the limit a little, and much, lower.
	lowered
	drained
	proved
)

// window is what a window of completions says of the time to the first byte, in
// seconds: its early quantile, the bounds of that, the mean time of a request and
// the mean of what follows the first byte.
type window struct {
	low, quick, high float64
	mean, rest       float64
}

const (
	// proofWindow is the number of completions of a window with a lowered limit.
	// The owner of a target sees one result of a grant that its ingress uses
	// again, so that 32 from a batch of 4 take 18 s.
	proofWindow = 12
	// strongWait is the part of those that run beyond which the suspicion is
	// strong. The limit is then lowered for an ordinary window and in more than
	// one step, to be surer: where a queue stands that costs nothing. Short plain
	// requests come near it without a queue, since an owner sees the last request
	// of a grant and that is mostly a long one.
	strongWait = 1
	// goneShare is the part of what a queue would have lost, with the limit
	// lowered so far, from which on a strong suspicion lowers it once more.
	goneShare = 0.5
	// leastDrain is the least part of the limit that is left to drain a queue.
	leastDrain = 0.25
)

// wanted is the least number of completions of the present window, where least
// is that of an ordinary one.
func (p *proof) wanted(least int) int {
	switch {
	case p.stage == unproved && p.warm:
		return 2 * least // it costs nothing, and the others are compared with it
	case p.stage == lowered && p.strong:
		return least
	case p.stage == lowered, p.stage == drained:
		return proofWindow
	}
	return least
}

// prove takes in a window and returns true where it belongs to the proof: it
// then says nothing else about the limit.
func (l *limiter) prove(w window, full bool) bool {
	switch l.proof.stage {
	case unproved:
		return full && l.peak > 0 && l.suspect(w)
	case lowered:
		l.compare(w)
		return true
	case drained:
		l.settle(w)
		return true
	}
	return false
}

// suspect begins to lower the limit where the base may hold a wait.
func (l *limiter) suspect(w window) bool {
	p := &l.proof
	if !p.warm {
		p.warm = true // a queue has only begun to build up
		return false
	}
	if w.waits(l.base) <= 2*l.allowed() {
		p.stage = proved
		return false
	}
	l.ramping = false
	p.stage, p.strong, p.value, p.full = lowered, w.waits(w.quick) > strongWait, l.value, w
	l.lower(l.value * (1 - helpTrial))
	return true
}

// compare decides whether the lowered limit has shortened the time.
func (l *limiter) compare(w window) {
	p := &l.proof
	cut := 1 - l.value/p.value
	// Where a queue stands its waits are sums of runs: other work than in the full
	// window makes them longer or shorter as well.
	same := 1.0
	if p.strong && w.rest > 0 && p.full.rest > 0 {
		same = math.Min(1, p.full.rest/w.rest)
	}
	switch {
	case w.high*same < p.full.low:
		l.base = math.Min(l.base, w.quick)
		p.stage = drained
		l.lower(p.value * math.Max(leastDrain, 1/(1+p.full.waits(p.full.quick))))
	case p.strong && w.quick*same < p.full.quick*(1-goneShare*cut) && l.value > leastDrain*p.value:
		l.lower(l.value * (1 - helpTrial))
	default:
		p.stage, l.value = proved, p.value
		if p.strong && !p.doubted {
			p.stage, p.doubted = unproved, true
		}
	}
}

// settle takes what the drained window shows for the base and sets the limit
// that this base gives for the full window. Another queue may hide in what is
// left, so that the proof starts again.
func (l *limiter) settle(w window) {
	p := &l.proof
	p.stage = unproved
	l.base = math.Min(l.base, w.quick)
	keep := (1 + l.allowed()) / (1 + p.full.waits(p.full.quick-l.base))
	l.value = math.Max(1, p.value*math.Max(leastDrain/2, keep))
}

// lower sets a lower limit; the next window holds only what was dispatched
// under it.
func (l *limiter) lower(value float64) {
	l.value = math.Max(1, value)
	l.skip = l.peak
}

// waits is how many requests wait in the target for each that runs, if this
// much of the time to the first byte were a wait.
func (w window) waits(wait float64) float64 {
	if wait >= w.mean {
		return math.Inf(1)
	}
	return wait / (w.mean - wait)
}
