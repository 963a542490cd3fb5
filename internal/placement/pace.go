package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// minPaceWeight is the weight of a new sample in the moving average once
	// there are enough samples.
	minPaceWeight = 0.25
	// minPaceSamples is how many samples are needed before a pace is used.
	minPaceSamples = 8
	// minProbationSamples is how many samples are needed to end a probation.
	minProbationSamples = 4
)

// pace is the moving average of the logarithm of a target's time per token (per
// request for a plain service). The logarithm limits the effect of a single
// request that was truncated or had to wait.
type pace struct {
	meanLog float64
	samples int
}

func (p *pace) add(tokens int, first, elapsed time.Duration) {
	secondsPerToken := elapsed.Seconds()
	if tokens > 1 {
		secondsPerToken = (elapsed - first).Seconds() / float64(tokens-1)
	}
	if secondsPerToken <= 0 {
		return
	}
	value := math.Log(secondsPerToken)
	p.samples++
	// The first samples have equal weight, so that the average does not depend
	// mainly on the very first.
	weight := max(minPaceWeight, 1/float64(p.samples))
	p.meanLog += weight * (value - p.meanLog)
}

// updateProbation puts a target that is much slower than its peers on
// probation, or ends its probation. It reports whether the state changed.
func (t *Table) updateProbation(e *entry) bool {
	switch e.machine.State() {
	case Live:
		if e.pace.samples < minPaceSamples || !t.slowerThanPeers(e, t.cfg.SlowFactor) {
			return false
		}
		e.pace = pace{}
		return e.fire(Slow)
	case Probation:
		if e.pace.samples < minProbationSamples || t.slowerThanPeers(e, t.cfg.RecoverFactor) {
			return false
		}
		return e.fire(Recovered)
	}
	return false
}

// slowerThanPeers reports whether a target takes more than factor times as long
// as the median of its peers. Without peers, a slow target cannot be
// distinguished from a service with long responses, and there is no alternative
// target anyway.
func (t *Table) slowerThanPeers(e *entry, factor float64) bool {
	t.peerPaces = t.peerPaces[:0]
	for _, peer := range t.targets {
		if peer != e && peer.machine.State() == Live && peer.pace.samples >= minPaceSamples {
			t.peerPaces = append(t.peerPaces, peer.pace.meanLog)
		}
	}
	if len(t.peerPaces) == 0 {
		return false
	}
	slices.Sort(t.peerPaces)
	return e.pace.meanLog-t.peerPaces[(len(t.peerPaces)-1)/2] > math.Log(factor)
}
