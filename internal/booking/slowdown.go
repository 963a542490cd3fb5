package booking

import "time"

// Token streams slow down while their engine performs prefill. The observed slowdown bounds the
// fraction of time that an engine may spend on prefill.
//
// Load pattern: engines are kept busy with prefill by workspaces that demand many times their
// usual rate. An engine alternates between a prefill chunk and one token of each stream. Where
// a chunk takes 41 ms and a token alone 7 ms, a stream beside constant prefill lasts six times
// as long; where they take 7 ms each, twice. First tokens are in time all the while. But
// streams of 13 s exceed their callers' timeouts and a planned stop of 8 s, and any failure
// interrupts six times as many of them.
//
// The event rate of a stream is modeled as a mix of the rate beside constant prefill and the
// rate without prefill, weighted by the fraction of time that the engine spent on prefill. Both
// rates are fitted to the ended streams by least squares.

const (
	// maxSlowdown is the factor by which a stream's duration may exceed that without prefill.
	maxSlowdown = 1.5
	// prefillShareMin and prefillShareMax bound the fraction of its time that an engine may
	// spend on prefill.
	prefillShareMin = 0.3
	prefillShareMax = 0.72
	// priorRatio is the assumed ratio of the event rate beside constant prefill to that without
	// prefill, and priorWeight the number of streams that the assumption counts as.
	priorRatio  = 0.3
	priorWeight = 4
	// streamDecay is the fraction of the sums that each new stream replaces: they are based on
	// the last 300 streams or so.
	streamDecay     = 1.0 / 300
	streamRetention = 1 - streamDecay
	// minEventInterval and maxEventInterval bound an observed mean interval between events.
	// Values outside were not caused by the engine.
	minEventInterval = time.Millisecond
	maxEventInterval = time.Second
)

// decodeSlowdown estimates the event rates with and without prefill by least squares.
type decodeSlowdown struct {
	// idleSq, cross and prefillSq are sums of products of the time fractions without and with
	// prefill; idleRateSum and prefillRateSum are sums of products of these fractions and the
	// event rate.
	idleSq, cross, prefillSq    float64
	idleRateSum, prefillRateSum float64
}

// observe adds the mean event interval of a stream during which the engine spent the given
// fraction of its time on prefill.
func (s *decodeSlowdown) observe(prefillShare float64, interval time.Duration) {
	if interval < minEventInterval || interval > maxEventInterval {
		return
	}
	prefillShare = min(1, prefillShare)
	rate := 1 / interval.Seconds()
	s.idleSq = streamRetention*s.idleSq + (1-prefillShare)*(1-prefillShare)
	s.cross = streamRetention*s.cross + (1-prefillShare)*prefillShare
	s.prefillSq = streamRetention*s.prefillSq + prefillShare*prefillShare
	s.idleRateSum = streamRetention*s.idleRateSum + (1-prefillShare)*rate
	s.prefillRateSum = streamRetention*s.prefillRateSum + prefillShare*rate
}

// ratio is the event rate beside constant prefill divided by that without prefill. The prior
// enters as streams whose two rates have the assumed ratio.
func (s *decodeSlowdown) ratio() float64 {
	const a, w = priorRatio, priorWeight
	idleSq, cross, prefillSq := s.idleSq+w*a*a, s.cross-w*a, s.prefillSq+w
	idleRate := prefillSq*s.idleRateSum - cross*s.prefillRateSum
	prefillRate := idleSq*s.prefillRateSum - cross*s.idleRateSum
	if idleRate <= 0 || prefillRate <= 0 {
		return priorRatio
	}
	return min(1, prefillRate/idleRate)
}

// prefillShareLimit is the fraction of its time that an engine may spend on prefill.
func (s *decodeSlowdown) prefillShareLimit() float64 {
	rateLoss := 1 - s.ratio()
	if rateLoss <= 0 {
		return prefillShareMax
	}
	return min(max((1-1/maxSlowdown)/rateLoss, prefillShareMin), prefillShareMax)
}

// recordStream records the event rate of a stream that has ended.
func (e *engine) recordStream(now time.Time, r *run, release Release) {
	if !e.service.servesModel && !release.Failed && !release.NotRun {
		e.observeService(now, release.Elapsed, r.excess)
	}
	if release.EventInterval <= 0 || r.firstByteAt.IsZero() || !now.After(r.firstByteAt) {
		return
	}
	duration := now.Sub(r.firstByteAt)
	prefillShare := (e.totalPrefill - r.prefillBefore).Seconds() / duration.Seconds()
	// Targets of one model differ in speed, not in the ratio of the two rates.
	e.service.slowdown.observe(prefillShare, time.Duration(e.weight*float64(release.EventInterval)))
	e.observeEvents(now, duration, prefillShare, release.EventInterval)
}
