package placement

import (
	"math"
	"slices"
	"time"
)

// limiter determines the concurrency limit of one target.
type limiter struct {
	cfg Config
	// ceiling is the number of slots in the configuration document; zero means
	// none.
	ceiling int
	value   float64
	// doubling is true until the first sign of a queue. Until then, the limit of
	// a target without a ceiling doubles in each window.
	doubling bool

	// firstByteTimes holds the times to first byte in the current window, and
	// totalTime the sum of the total request times.
	firstByteTimes []time.Duration
	totalTime      time.Duration
	// peakInFlight is the largest number in flight in the current window.
	peakInFlight int
	// baseline is the early quantile of the time to first byte without a queue.
	baseline float64
	// baselineCheck verifies that baseline does not include a queue.
	baselineCheck baselineCheck
	// lastQuantile is the early quantile of the last window.
	lastQuantile float64
	// holdWindows is the number of windows in which the limit must not grow.
	holdWindows int
	// windowCount counts the windows; it schedules the dips.
	windowCount int
	// samplesToSkip is the number of requests still to finish that were
	// dispatched under an earlier, higher limit; they say nothing about the
	// current limit.
	samplesToSkip int
	// beforeShrink is the state when the limit began to shrink, or when shrinking
	// it last helped.
	beforeShrink struct {
		value, quantile float64
	}
}

func newLimiter(cfg Config) *limiter {
	return &limiter{cfg: cfg, value: float64(cfg.InitialLimit), doubling: true}
}

func (l *limiter) setCeiling(slots int) {
	if slots == l.ceiling {
		return
	}
	l.ceiling = slots
	if slots > 0 {
		// The configured number of slots is the best initial estimate, and an upper
		// bound.
		l.value = float64(slots)
		l.doubling = false
		l.baselineCheck = baselineCheck{} // its result would restore the previous limit
	}
}

// limit returns the current limit, at least one.
func (l *limiter) limit() int {
	v := l.value
	if l.inDip() {
		v *= dipFactor
	}
	return max(1, int(math.Round(v)))
}

// inDip reports whether the current window is the one in dipInterval with a
// slightly lower limit. A daemon that starts when a target already has a
// standing queue would include the wait in its baseline; during the dip the
// queue drains and becomes visible.
func (l *limiter) inDip() bool { return l.windowCount%dipInterval == dipInterval-1 }

// recordRefusal records that the target was full with inFlight requests in
// flight.
func (l *limiter) recordRefusal(inFlight int) {
	if l.samplesToSkip > 0 {
		l.samplesToSkip--
		return
	}
	if inFlight < 1 {
		return
	}
	// The other requests in flight may be refused too; together they count as one
	// refusal.
	l.samplesToSkip = inFlight - 1
	l.value = math.Max(1, math.Min(l.value, float64(inFlight)*refusalBackoffFactor))
	l.doubling = false
	l.holdWindows = refusalHoldWindows
	l.baselineCheck = baselineCheck{} // its result would restore the previous limit
}

const (
	// refusalBackoffFactor is applied to the number in flight at a refusal to get
	// the new limit.
	refusalBackoffFactor = 0.9
	// refusalHoldWindows is for how many windows the limit does not grow after a
	// refusal.
	refusalHoldWindows = 4
	// growthFraction is the fraction by which the limit grows per window.
	growthFraction = 1.0 / 16
	// saturationFraction is the fraction of the limit that must have been in use
	// for a window to justify a higher limit.
	saturationFraction = 0.9
	// dipInterval and dipFactor cost at most (1-0.8)/64, or 0.3%, of the slots.
	dipInterval = 64
	dipFactor   = 0.8
	// earlyQuantile is the quantile used to detect a queue. When there is one,
	// nearly all requests wait, including the fastest, and the fastest, which
	// have the shortest prompts, vary least otherwise.
	earlyQuantile = 0.2
	// confidenceZScore is the number of standard errors by which the quantile of
	// a window must differ from the baseline to count, which is 95% one-sided.
	confidenceZScore = 1.64
	// The weights are those of a new window in the baseline:
	// confidentDecreaseWeight if the window is lower with confidence,
	// decreaseWeight if it is lower without confidence, and increaseWeight if it
	// is higher. A longer time is more often caused by a queue than by a change
	// of the prompts, so the baseline follows an increase only over some 500
	// windows.
	confidentDecreaseWeight = 0.25
	decreaseWeight          = 0.05
	increaseWeight          = 0.002
	// trialReduction is the fraction by which the limit is lowered before the
	// effect is evaluated, and minTrialImprovement the fraction of the wait that
	// must have disappeared by then.
	trialReduction = 0.25
	// singleResponseFraction is the fraction of the total time before the first
	// byte from which on responses count as sent at the end of the run rather
	// than streamed; singleResponseQueueFactor multiplies the allowed queue in
	// that case.
	singleResponseFraction    = 0.9
	singleResponseQueueFactor = 3
	minTrialImprovement       = 0.2
)

// recordCompletion records a request that ran to completion.
func (l *limiter) recordCompletion(s Sample) {
	if l.samplesToSkip > 0 {
		l.samplesToSkip--
		return
	}
	l.firstByteTimes = append(l.firstByteTimes, s.TimeToFirstByte)
	l.totalTime += s.Elapsed
	l.peakInFlight = max(l.peakInFlight, s.InFlight)
	if len(l.firstByteTimes) < l.windowSize() {
		return
	}
	l.closeWindow()
	l.windowCount++
	l.firstByteTimes, l.totalTime, l.peakInFlight = l.firstByteTimes[:0], 0, 0
}

// windowSize is the number of completions in the current window.
func (l *limiter) windowSize() int {
	return max(l.baselineCheck.windowSize(l.cfg.MinWindow), l.limit())
}

// saturated reports whether the limit was nearly reached in the current window.
func (l *limiter) saturated() bool {
	return float64(l.peakInFlight) >= saturationFraction*float64(l.limit())
}

func (l *limiter) closeWindow() {
	saturated := l.saturated()
	w := l.summarizeWindow()
	l.lastQuantile = w.quantile
	if l.baseline == 0 {
		l.baseline = w.quantile
	}
	if l.checkBaseline(w, saturated) {
		return
	}
	waiting := l.updateWaitingRatio(w)
	allowed := l.allowedWaitingRatio()
	switch {
	case waiting > 2*allowed:
		l.shrink(waiting)
		l.samplesToSkip = l.peakInFlight
	case waiting < allowed:
		l.beforeShrink.value = 0
		if saturated && !l.inDip() {
			l.grow()
		}
	}
}

// summarizeWindow returns the statistics of the current window.
func (l *limiter) summarizeWindow() window {
	slices.Sort(l.firstByteTimes)
	w := summarizeFirstByteTimes(l.firstByteTimes)
	var first time.Duration
	for _, d := range l.firstByteTimes {
		first += d
	}
	w.meanTime = l.totalTime.Seconds() / float64(len(l.firstByteTimes))
	w.meanAfterFirstByte = w.meanTime - first.Seconds()/float64(len(l.firstByteTimes))
	return w
}

// updateWaitingRatio estimates the ratio of requests waiting in the target to
// those running, and updates the baseline. It returns zero unless the window
// shows a queue with confidence.
func (l *limiter) updateWaitingRatio(w window) float64 {
	wait := w.quantile - l.baseline
	run := w.meanTime - max(0, wait)
	confident := w.lowerBound > l.baseline
	switch {
	case w.upperBound < l.baseline:
		l.baseline += confidentDecreaseWeight * wait
	case wait < 0:
		l.baseline += decreaseWeight * wait
	default:
		l.baseline += increaseWeight * wait
	}
	if !confident || run <= 0 {
		return 0
	}
	return wait / run
}

// allowedWaitingRatio returns the fraction of the limit that may wait in the
// target. If responses are sent only at the end of the run, the variation of
// run times hides a small queue, so the allowance is larger to avoid leaving
// slots empty.
func (l *limiter) allowedWaitingRatio() float64 {
	var sum time.Duration
	for _, d := range l.firstByteTimes {
		sum += d
	}
	if float64(sum) > singleResponseFraction*float64(l.totalTime) {
		return singleResponseQueueFactor * l.cfg.QueueFraction
	}
	return l.cfg.QueueFraction
}

// summarizeFirstByteTimes returns the early quantile of the sorted times and
// its confidence bounds.
func summarizeFirstByteTimes(sorted []time.Duration) window {
	n := float64(len(sorted))
	spread := confidenceZScore * math.Sqrt(n*earlyQuantile*(1-earlyQuantile))
	at := func(rank float64) float64 {
		return sorted[max(0, min(len(sorted)-1, int(rank)))].Seconds()
	}
	return window{lowerBound: at(n*earlyQuantile - spread), quantile: at(n * earlyQuantile), upperBound: at(n*earlyQuantile + spread)}
}

// shrink lowers the limit by the estimated queue in excess of the allowed one, by
// at most half per window.
//
// Longer prompts increase the time to first byte as a queue does, but a lower
// limit does not reduce it. If lowering the limit by a quarter has not helped,
// the limit is restored and the longer time becomes the new baseline. Otherwise
// the limit would fall to one.
func (l *limiter) shrink(waiting float64) {
	l.doubling = false
	improvement := l.beforeShrink.quantile - l.lastQuantile
	minImprovement := minTrialImprovement * (l.beforeShrink.quantile - l.baseline)
	reducedEnough := l.value <= l.beforeShrink.value*(1-trialReduction)
	switch {
	case l.beforeShrink.value == 0 || improvement < -minImprovement || reducedEnough && improvement >= minImprovement:
		l.beforeShrink.value, l.beforeShrink.quantile = l.value, l.lastQuantile
	case reducedEnough:
		l.value, l.baseline = l.beforeShrink.value, l.lastQuantile
		l.beforeShrink.value = 0
		return
	}
	factor := (1 + l.allowedWaitingRatio()) / (1 + waiting)
	l.value = math.Max(1, l.value*math.Max(0.5, factor))
}

func (l *limiter) grow() {
	if l.holdWindows > 0 {
		l.holdWindows--
		return
	}
	if l.doubling {
		l.value *= 2
		l.samplesToSkip = l.peakInFlight
	} else {
		l.value += math.Max(1, l.value*growthFraction)
	}
	maxLimit := l.cfg.MaxLimit
	if l.ceiling > 0 {
		maxLimit = l.ceiling
	}
	l.value = math.Min(l.value, float64(maxLimit))
}
