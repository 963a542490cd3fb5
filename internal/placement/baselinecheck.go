package placement

import "math"

// baselineCheck verifies that the baseline of a limiter is the time to first byte
// of an idle target.
//
// It guards against the following failure. Requests queue in the target from the
// daemon's start, because the configuration allows the target more than it can
// run at once, so that every request whose completion the owner sees has waited
// in the target. (The very first requests have not, but their grants are reused
// for further requests.) The baseline then includes that wait, no later window is
// longer than the baseline, and the limit never changes. The symptom is a time to
// first byte that is long compared with the rest of the response, which long
// prompts and responses sent only at the end also cause. A lower limit
// distinguishes these cases, because it shortens only the wait in a queue. The
// limit is therefore lowered by a quarter. If this does not shorten the time with
// confidence, the limit is restored and the baseline is accepted. If it does, the
// limit is lowered by the estimated size of the queue, which drains the queue and
// reveals the baseline.
type baselineCheck struct {
	stage checkStage
	// sawSaturatedWindow is set after the first window that reached the limit.
	// strongSuspicion is set if the estimated queue is so large that another
	// cause is unlikely.
	sawSaturatedWindow, strongSuspicion bool
	// strongSuspicionRejected is set the first time a strong suspicion is not
	// confirmed: one window of responses of unequal length is not enough to
	// dismiss it.
	strongSuspicionRejected bool
	// originalLimit is the limit before it was lowered, and originalWindow the
	// window measured under it.
	originalLimit  float64
	originalWindow window
}

type checkStage uint8

const (
	// unchecked is the stage until a window has reached the limit.
	unchecked checkStage = iota
	// limitReduced and queueDrained are the stages with the limit slightly and
	// greatly reduced.
	limitReduced
	queueDrained
	checked
)

// window holds the statistics of a window of completions, in seconds: the early
// quantile of the time to first byte with its confidence bounds, the mean
// request time and the mean time after the first byte.
type window struct {
	lowerBound, quantile, upperBound float64
	meanTime, meanAfterFirstByte     float64
}

const (
	// checkWindow is the number of completions in a window with a reduced limit.
	// The owner of a target sees only one result of a grant that its ingress
	// reuses, so 32 completions take 18 s with a batch size of 4.
	checkWindow = 12
	// strongWaitingRatio is the ratio of waiting to running requests above which
	// the suspicion is strong. The limit is then lowered for a full window and in
	// more than one step to increase confidence, which costs nothing if there is
	// a queue. Short plain requests come close to this ratio without a queue,
	// because an owner sees only the last request of a grant, which is usually a
	// long one.
	strongWaitingRatio = 1
	// minReductionEffect is the fraction of the expected decrease, given a queue
	// and the reduction so far, above which a strong suspicion lowers the limit
	// once more.
	minReductionEffect = 0.5
	// minDrainFraction is the smallest fraction of the limit that is kept while
	// draining a queue.
	minDrainFraction = 0.25
)

// windowSize is the minimum number of completions in the current window, where
// minSize is that of a regular window.
func (c *baselineCheck) windowSize(minSize int) int {
	switch {
	case c.stage == unchecked && c.sawSaturatedWindow:
		return 2 * minSize // costs nothing, and later windows are compared with it
	case c.stage == limitReduced && c.strongSuspicion:
		return minSize
	case c.stage == limitReduced, c.stage == queueDrained:
		return checkWindow
	}
	return minSize
}

// checkBaseline processes a window and reports whether the window was used by
// the check, in which case it must not affect the limit otherwise.
func (l *limiter) checkBaseline(w window, saturated bool) bool {
	switch l.baselineCheck.stage {
	case unchecked:
		return saturated && l.peakInFlight > 0 && l.beginBaselineCheck(w)
	case limitReduced:
		l.evaluateReducedLimit(w)
		return true
	case queueDrained:
		l.evaluateDrain(w)
		return true
	}
	return false
}

// beginBaselineCheck lowers the limit if the baseline may include a wait.
func (l *limiter) beginBaselineCheck(w window) bool {
	check := &l.baselineCheck
	if !check.sawSaturatedWindow {
		check.sawSaturatedWindow = true // a queue may only be starting to build up
		return false
	}
	if w.waitingRatio(l.baseline) <= 2*l.allowedWaitingRatio() {
		check.stage = checked
		return false
	}
	l.doubling = false
	check.stage, check.strongSuspicion, check.originalLimit, check.originalWindow = limitReduced, w.waitingRatio(w.quantile) > strongWaitingRatio, l.value, w
	l.lowerLimit(l.value * (1 - trialReduction))
	return true
}

// evaluateReducedLimit decides whether the reduced limit has shortened the time
// to first byte.
func (l *limiter) evaluateReducedLimit(w window) {
	check := &l.baselineCheck
	reduction := 1 - l.value/check.originalLimit
	// The waits in a queue are sums of run times, so a different workload than in
	// the original window changes them too.
	workloadScale := 1.0
	if check.strongSuspicion && w.meanAfterFirstByte > 0 && check.originalWindow.meanAfterFirstByte > 0 {
		workloadScale = math.Min(1, check.originalWindow.meanAfterFirstByte/w.meanAfterFirstByte)
	}
	switch {
	case w.upperBound*workloadScale < check.originalWindow.lowerBound:
		l.baseline = math.Min(l.baseline, w.quantile)
		check.stage = queueDrained
		l.lowerLimit(check.originalLimit * math.Max(minDrainFraction, 1/(1+check.originalWindow.waitingRatio(check.originalWindow.quantile))))
	case check.strongSuspicion && w.quantile*workloadScale < check.originalWindow.quantile*(1-minReductionEffect*reduction) && l.value > minDrainFraction*check.originalLimit:
		l.lowerLimit(l.value * (1 - trialReduction))
	default:
		check.stage, l.value = checked, check.originalLimit
		if check.strongSuspicion && !check.strongSuspicionRejected {
			check.stage, check.strongSuspicionRejected = unchecked, true
		}
	}
}

// evaluateDrain takes the baseline from the drained window and sets the limit
// that follows from it for the original window. The remaining time may still
// hide a queue, so the check starts over.
func (l *limiter) evaluateDrain(w window) {
	check := &l.baselineCheck
	check.stage = unchecked
	l.baseline = math.Min(l.baseline, w.quantile)
	factor := (1 + l.allowedWaitingRatio()) / (1 + check.originalWindow.waitingRatio(check.originalWindow.quantile-l.baseline))
	l.value = math.Max(1, check.originalLimit*math.Max(minDrainFraction/2, factor))
}

// lowerLimit sets a lower limit. The next window contains only requests
// dispatched under it.
func (l *limiter) lowerLimit(value float64) {
	l.value = math.Max(1, value)
	l.samplesToSkip = l.peakInFlight
}

// waitingRatio returns the ratio of waiting to running requests in the target,
// assuming that wait of the time to first byte was spent waiting.
func (w window) waitingRatio(wait float64) float64 {
	if wait >= w.meanTime {
		return math.Inf(1)
	}
	return wait / (w.meanTime - wait)
}
