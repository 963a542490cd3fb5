package placement

import "math"

// proof tells whether the base of a limiter is the time to the first byte of an
// empty target.
//
// The failure that it answers: work waits from the daemon's first moment on, the
// document gives the target more than it runs at once, and each request that
// the daemon ever sees has waited in it. The base then holds that wait, no later
// window is longer than the base, and the limit stays where it is. It shows as a
// time to the first byte that is long beside the rest of the answer; so do long
// prompts and answers that come only at the end. A lower limit tells them apart:
// it shortens the wait in a queue and nothing else. So the limit is lowered a
// little for a window. Where that does not surely shorten the time, it goes back
// and the base holds. Where it does, it is lowered by as much as may wait, which
// empties the queue and shows the base.
type proof struct {
	stage proofStage
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
// seconds: its early quantile, the bounds of that, and the mean time of a run
// with all waits.
type window struct {
	low, quick, high float64
	mean             float64
}

const (
	// proofWindow is the number of completions of a window with a lowered limit.
	// The owner of a target sees one result of a grant that its ingress uses
	// again, so that 32 from a batch of 4 take 18 s.
	proofWindow = 12
	// obviousWindow is the number of completions that are enough where more than
	// obviousWait would wait for each that runs: 64 from a batch of 4 that holds
	// 16 take a quarter of a minute.
	obviousWindow = 16
	obviousWait   = 1
	// leastDrain is the least part of the limit that is left to drain a queue.
	leastDrain = 0.25
)

// wanted is the least number of completions of the present window, where least
// is that of an ordinary one. The one that the others are compared with costs
// nothing and is twice as long.
func (p *proof) wanted(least int) int {
	switch p.stage {
	case unproved:
		return 2 * least
	case lowered, drained:
		return proofWindow
	}
	return least
}

// obvious tells whether the few completions seen suffice to try a lower limit.
func (l *limiter) obvious() bool {
	if l.proof.stage != unproved || len(l.first) != obviousWindow {
		return false
	}
	w := l.measure()
	return l.full() && l.suspicion(w, w.low) > obviousWait
}

// prove takes in a window and returns true where it belongs to the proof: it
// then says nothing else about the limit.
func (l *limiter) prove(w window, full bool) bool {
	p := &l.proof
	switch p.stage {
	case unproved:
		if !full || l.peak == 0 {
			return false
		}
		if l.suspicion(w, l.base) <= 2*l.allowed() {
			p.stage = proved
			return false
		}
		l.ramping = false
		p.stage, p.value, p.full = lowered, l.value, w
		l.value = math.Max(1, l.value*(1-helpTrial))
		l.skip = l.peak
	case lowered:
		if w.high >= p.full.low {
			p.stage, l.value = proved, p.value
			return true
		}
		l.base = math.Min(l.base, w.quick)
		p.stage = drained
		l.value = math.Max(1, p.value*math.Max(leastDrain, 1/(1+l.suspicion(p.full, p.full.quick))))
		l.skip = l.peak
	case drained:
		// Another queue may hide in what is left, so that it starts again.
		p.stage = unproved
		l.base = math.Min(l.base, w.quick)
		wait := p.full.quick - l.base
		l.value = math.Max(1, p.value*(1+l.allowed())/(1+wait/(p.full.mean-wait)))
	case proved:
		return false
	}
	return true
}

// suspicion is the part of the requests that would wait in the target if this
// much of the time to the first byte were a wait.
func (l *limiter) suspicion(w window, wait float64) float64 {
	if wait >= w.mean {
		return math.Inf(1)
	}
	return wait / (w.mean - wait)
}
