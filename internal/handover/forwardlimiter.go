package handover

import "time"

// ForwardLimiter limits the connections that a daemon forwards at a time by what forwarding them costs
// it. It begins with a fixed limit, grows while that limit is reached and the daemon's scheduling
// latency is low, and shrinks back while the latency is high.
type ForwardLimiter struct {
	base, limit float64
	observedAt  time.Time
}

const (
	// maxLimitFactor bounds the limit as a multiple of the initial one.
	maxLimitFactor = 8
	// maxGrowthLatency and minShrinkLatency are the latencies up to which the limit grows and from
	// which on it shrinks. The latter is well below the 200 ms within which an event is passed on.
	maxGrowthLatency = 8 * time.Millisecond
	minShrinkLatency = 30 * time.Millisecond
	// growthPerSecond and decayPerSecond are the relative changes per second.
	growthPerSecond = 20.0
	decayPerSecond  = 2.0
	// minUsedFraction is the fraction of the limit that must be in use for it to grow.
	minUsedFraction = 0.8
	// maxLimiterStep bounds the time that one observation accounts for.
	maxLimiterStep = 100 * time.Millisecond
)

// NewForwardLimiter returns a ForwardLimiter that begins with the given limit.
func NewForwardLimiter(base int) *ForwardLimiter {
	return &ForwardLimiter{base: float64(base), limit: float64(base)}
}

// Observe records the mean scheduling latency and how many connections are being forwarded, and
// returns how many may be.
func (b *ForwardLimiter) Observe(now time.Time, latency time.Duration, open int) int {
	step := min(now.Sub(b.observedAt), maxLimiterStep).Seconds()
	b.observedAt = now
	switch {
	case latency >= minShrinkLatency:
		b.limit -= decayPerSecond * step * b.limit
	case latency <= maxGrowthLatency && float64(open) >= minUsedFraction*b.limit:
		b.limit += growthPerSecond * step * b.base
	}
	b.limit = min(max(b.limit, b.base), maxLimitFactor*b.base)
	return int(b.limit)
}
