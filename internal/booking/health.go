package booking

import "time"

// health tracks how recent requests on a target ended. It acts as a circuit breaker.
type health struct {
	// failures and completions are decaying sums.
	failures, completions decayingSum
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// blockedUntil is when the target accepts probes again: until then it takes no requests,
	// and afterwards one every minBackoff until a request succeeds.
	blockedUntil time.Time
	backoff      time.Duration
	lastProbe    time.Time
}

const (
	// maxConsecutiveFailures is the number of consecutive failures that blocks a target
	// temporarily. It is above one so that a request that causes its own failure does not block
	// the target for all others.
	maxConsecutiveFailures = 3
	// maxFailureRate is the fraction of failed requests that blocks a target on which some
	// requests succeed.
	maxFailureRate = 0.35
	// minBackoff and maxBackoff bound the time for which a target is blocked. It doubles with
	// each failed probe.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// minCompletions is the minimum number of completions for a meaningful failure rate.
	minCompletions = 3
)

// record records the outcome of a request.
func (h *health) record(now time.Time, failed bool) {
	h.completions.add(now, 1)
	if !failed {
		h.consecutiveFailures, h.backoff, h.blockedUntil = 0, 0, time.Time{}
		return
	}
	h.failures.add(now, 1)
	h.consecutiveFailures++
	if h.consecutiveFailures >= maxConsecutiveFailures || h.failureRate(now) > maxFailureRate {
		h.backoff = min(max(minBackoff, 2*h.backoff), maxBackoff)
		h.blockedUntil = now.Add(h.backoff)
	}
}

// failureRate is the fraction of recent requests that failed, or 0 if too few have completed.
func (h *health) failureRate(now time.Time) float64 {
	completions := h.completions.now(now)
	if completions < minCompletions {
		return 0
	}
	return h.failures.now(now) / completions
}

// admits reports whether the target takes a request. Once the blocking time has passed, single
// requests are admitted as probes.
func (h *health) admits(now time.Time) bool {
	if h.blockedUntil.IsZero() {
		return true
	}
	if now.Before(h.blockedUntil) || now.Sub(h.lastProbe) < minBackoff {
		return false
	}
	h.lastProbe = now
	return true
}
