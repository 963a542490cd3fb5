package booking

import (
	"math"
	"time"
)

// Retry-After of refusals, derived from the capacity that will be available.
//
// Load pattern: in a burst or at the peak of a wave, targets stay full for seconds. A caller retries
// once, and a retry gets spare capacity only. If it returns within the same second or two, it is
// refused again nearly always.
//
// An owner estimates when its target has spare capacity again. How long a burst lasts is not known; the
// estimate is that it lasts as long again as it has lasted. The time in which the running requests
// drain and the time in which the sum of the workspace decays to its share are lower bounds, so that a
// workspace that has received less returns sooner.

const (
	// maxSpareWait bounds the estimate: callers with a deadline of 12 s honor no more than a third of it.
	maxSpareWait = 4 * time.Second
	// retrySpreadFraction is the spread of the returns as a fraction of the estimate, if that is more
	// than retryAfterSpread.
	retrySpreadFraction = 0.5
)

// spareSlots is the number of requests below which a target has spare capacity.
func (e *engine) spareSlots() float64 {
	if !e.service.servesModel {
		return float64(e.Slots)
	}
	return maxSpareUtilization * float64(e.Slots)
}

// hasSpare reports whether a target has spare capacity.
func (e *engine) hasSpare(now time.Time) bool {
	return float64(len(e.runs)) < e.spareSlots() && (!e.service.servesModel || e.backlog(now) <= maxSpareBacklog)
}

// recordSpareCapacity records that a target has spare capacity, if it has.
func (e *engine) recordSpareCapacity(now time.Time) {
	if e.hasSpare(now) {
		e.waitlist.lastSpareAt = now
	}
}

// expectedSpareWait returns the expected time until a target has spare capacity for a workspace that has used a
// given part of its share; zero if the setting is off.
func (c *Core) expectedSpareWait(now time.Time, e *engine, shareUsed float64) (wait time.Duration) {
	if !c.cfg.DerivedRetryAfter {
		return 0
	}
	if shareUsed > 1 {
		wait = time.Duration(min(math.Log(shareUsed)*float64(decayTime), float64(maxSpareWait)))
	}
	if !e.hasSpare(now) {
		wait = max(wait, now.Sub(laterOf(e.waitlist.lastSpareAt, e.ownedSince)))
		if departures := e.waitlist.departures.now(now); departures >= minDepartures {
			excess := max(0, float64(len(e.runs))-e.spareSlots()) + 1
			wait = max(wait, time.Duration(excess/departures*float64(decayTime)))
		}
	}
	return min(wait, maxSpareWait)
}

// derivedRetryAfter returns when to retry a request for which capacity is expected after a given time.
// Random is between 0 and 1.
func derivedRetryAfter(expectedSpareWait time.Duration, random float64) time.Duration {
	spread := max(float64(retryAfterSpread), retrySpreadFraction*float64(expectedSpareWait))
	return max(minRetryAfter, expectedSpareWait) + time.Duration(random*spread)
}
