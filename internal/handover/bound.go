package handover

import "time"

// Bound limits the connections that a daemon forwards at a time by what forwarding them costs
// it. It begins with a fixed limit, grows while that limit is reached and the daemon's scheduling
// latency is low, and shrinks back while the latency is high.
type Bound struct {
	base, limit float64
	observedAt  time.Time
}

const (
	// maxBoundFactor bounds the limit as a multiple of the initial one.
	maxBoundFactor = 8
	// boundLowLatency and boundHighLatency are the latencies up to which the limit grows and from
	// which on it shrinks. The latter is well below the 200 ms within which an event is passed on.
	boundLowLatency  = 8 * time.Millisecond
	boundHighLatency = 30 * time.Millisecond
	// boundGrowth and boundDecay are the relative changes per second.
	boundGrowth = 20.0
	boundDecay  = 2.0
	// maxBoundStep bounds the time that one observation accounts for.
	maxBoundStep = 100 * time.Millisecond
)

// NewBound returns a Bound that begins with the given limit.
func NewBound(base int) *Bound { return &Bound{base: float64(base), limit: float64(base)} }

// Observe records the mean scheduling latency and how many connections are being forwarded, and
// returns how many may be.
func (b *Bound) Observe(now time.Time, latency time.Duration, open int) int {
	step := min(now.Sub(b.observedAt), maxBoundStep).Seconds()
	b.observedAt = now
	switch {
	case latency >= boundHighLatency:
		b.limit -= boundDecay * step * b.limit
	case latency <= boundLowLatency && float64(open) >= 0.8*b.limit:
		b.limit += boundGrowth * step * b.base
	}
	b.limit = min(max(b.limit, b.base), maxBoundFactor*b.base)
	return int(b.limit)
}
