package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Fair shares are shares of the capacity that is observed for all targets of a service
// together.
//
// Load pattern: several workspaces at once demand many times their usual rate, while the
// stated rate is what engines deliver for an average prompt. Two thirds of these prompts are
// cached prefixes, which cost an engine nothing, or the engines are faster than stated. If
// shares were fractions of the stated rate, requests would be refused while engines spend less
// than half of their time on prefill, and workspaces beyond their shares would get only spare
// capacity.
//
// Load reports include the utilization of each target, where 1 is the desired utilization. The
// rate granted at the current utilization is extrapolated to a utilization of 1. The estimate
// depends on the request mix of the last seconds and not on how much is admitted, so it does
// not follow its own decisions up or down.

const (
	// desiredOccupancy is the mean fraction of slots and memory that targets should have in
	// use. Requests arrive at random, and above this value requests within their shares begin
	// to find targets full. The desired fraction of time spent on prefill is learned separately
	// (slowdown.go).
	desiredOccupancy = 0.7
	// minUtilization is the lower bound of the utilization used for the extrapolation: below it
	// a few requests make up the whole value.
	minUtilization = 0.07
	// maxObservedFactor bounds the observed capacity to a multiple of the stated one, in case
	// no measured resource is the limiting one.
	maxObservedFactor = 4
	// riseTime is the time constant with which the estimate grows. It falls at once, so that an
	// overestimate is corrected before requests have to wait for it.
	riseTime = time.Second
)

// capacity is the observed rate of a service.
type capacity struct {
	rate float64
	at   time.Time
}

// observe updates the estimate from the rate granted at the given utilization of the targets,
// and returns the rate to divide among workspaces.
func (c *capacity) observe(now time.Time, stated, granted, utilization float64) float64 {
	observed := granted / max(utilization, minUtilization)
	observed = min(max(observed, stated), maxObservedFactor*stated)
	if c.at.IsZero() || observed <= c.rate {
		c.rate, c.at = observed, now
		return c.rate
	}
	c.rate += (observed - c.rate) * min(1, now.Sub(c.at).Seconds()/riseTime.Seconds())
	c.at = now
	return c.rate
}

// utilization is the use of a target's most heavily used resource relative to its desired use:
// prefill time, slots or memory.
func (e *engine) utilization(now time.Time) float64 {
	utilization := max(e.occupancy()/desiredOccupancy, e.prefillShare(now)/e.service.slowdown.prefillShareLimit())
	if e.Memory > 0 {
		utilization = max(utilization, float64(e.usedMemory())/(desiredOccupancy*maxMemoryShare*float64(e.Memory)))
	}
	return utilization
}

// prefillShare is the fraction of its time that a target spends on prefill.
func (e *engine) prefillShare(now time.Time) float64 {
	return e.recentPrefill.now(now) / decayTime.Seconds()
}

// utilization is the mean utilization of the targets whose state is known, weighted by their
// speeds, or 1 if there are none.
func (s *service) utilization(now time.Time) float64 {
	s.refreshWeights(now)
	sum, weights := 0.0, 0.0
	for _, e := range s.sortedEngines {
		switch {
		case e.Evacuated:
			continue
		case e.owned:
			sum += e.weight * e.utilization(now)
		case now.Sub(e.reportedAt) <= maxLoadAge:
			sum += e.weight * e.reported.Utilization
		default:
			continue
		}
		weights += e.weight
	}
	if weights == 0 {
		return 1
	}
	return sum / weights
}

// shareUsed is the fraction of its fair share that a workspace has used recently: 1 is all of
// it. It is also 0 where shares are not enforced.
func (s *service) shareUsed(now time.Time, ws ident.Workspace) float64 {
	if s.rate <= 0 || !s.servesModel {
		return 0
	}
	return s.shares.shareUsed(now, ws, s.currentRates(now))
}

// currentRates returns the stated and observed rates from which fair shares are computed.
func (s *service) currentRates(now time.Time) rates {
	if s.rate <= 0 || !s.servesModel {
		return rates{stated: s.rate}
	}
	if now.Sub(s.capacity.at) >= levelInterval {
		s.capacity.observe(now, s.rate, s.shares.totalGranted(now)/decayTime.Seconds(), s.utilization(now))
	}
	return rates{stated: s.rate, observed: s.capacity.rate}
}
