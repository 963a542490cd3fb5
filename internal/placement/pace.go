package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWeight is the weight of a new sample in the mean.
	paceWeight = 0.25
	// paceSamples is how many samples a pace needs to count.
	paceSamples = 8
	// probationSamples is how many samples end a probation.
	probationSamples = 4
)

// pace is the mean logarithm of the time that a target takes for a token (a
// plain service: for a request). The logarithm keeps one request that was cut
// short or had to wait from standing for all.
type pace struct {
	mean    float64
	samples int
}

func (p *pace) add(tokens int, first, elapsed time.Duration) {
	per := elapsed.Seconds()
	if tokens > 1 {
		per = (elapsed - first).Seconds() / float64(tokens-1)
	}
	if per <= 0 {
		return
	}
	value := math.Log(per)
	p.samples++
	// The first samples weigh alike, so that the mean does not hang on the
	// very first.
	weight := max(paceWeight, 1/float64(p.samples))
	p.mean += weight * (value - p.mean)
}

// judgePace puts a target that is much slower than the others on probation, or
// ends it. It returns true where the state has changed.
func (t *Table) judgePace(e *entry) bool {
	switch e.life.State() {
	case Live:
		if e.pace.samples < paceSamples || !t.slower(e, t.cfg.SlowFactor) {
			return false
		}
		e.pace = pace{}
		return e.fire(Slow)
	case Probation:
		if e.pace.samples < probationSamples || t.slower(e, t.cfg.RecoverFactor) {
			return false
		}
		return e.fire(Recovered)
	}
	return false
}

// slower tells whether a target takes more than factor times as long as the
// median of its peers. Without a peer nobody can tell a slow target from a
// long-winded service, and it would be the only one anyway.
func (t *Table) slower(e *entry, factor float64) bool {
	t.paces = t.paces[:0]
	for _, peer := range t.targets {
		if peer != e && peer.life.State() == Live && peer.pace.samples >= paceSamples {
			t.paces = append(t.paces, peer.pace.mean)
		}
	}
	if len(t.paces) == 0 {
		return false
	}
	slices.Sort(t.paces)
	return e.pace.mean-t.paces[(len(t.paces)-1)/2] > math.Log(factor)
}
