package booking

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The speed of a target is estimated from its responses, and its weight is that speed relative to
// the other targets of its service.
//
// Load pattern: targets of one service run at 0.7, 0.7 and 1.7 of the nominal speed. With equal
// numbers of homes the slow ones are full while the fast ones are half idle, and the capacity is
// misjudged. In addition each target is 2.5 times as slow for 600 ms at a time, in 15% of the time,
// and may change its speed by 2.5 for good. There are about three responses a second.
//
// A spell and a lasting change are distinguished by their duration. Observations are collected in short buckets,
// and the estimate is a quantile of the buckets of the last three seconds: a target counts as slow
// only if it was slow in most of that time. Observations are rates of work that was sent and
// response times in which waiting for other requests is not included, so that the estimate does not
// depend on how many requests a target gets.
//
// All speeds of a service are on one absolute scale (initialTokenTime, initialServiceTime), since an
// owner knows only its own few targets. They are reported as integer levels; the reference is the
// median level, so that daemons with the same reports compute exactly the same weights.

const (
	// speedBucket is the time over which observations are averaged: a quarter of a slow spell.
	// A target with many responses then has no shorter memory than one with few.
	speedBucket = 150 * time.Millisecond
	// speedWindow is the age up to which buckets count: five slow spells.
	speedWindow = 3 * time.Second
	// maxSpeedBuckets is the number of buckets in speedWindow.
	maxSpeedBuckets = int(speedWindow / speedBucket)
	// minSpeedBuckets is the number of buckets that are used beyond speedWindow if there are
	// fewer within it, and the least number for an estimate.
	minSpeedBuckets = 4
	// speedQuantile is the part of the window in which a target must have been slow to be taken for
	// slow. A half would take a few slow spells in a row for a change.
	speedQuantile = 0.7
	// speedHoldTime is the time without observations after which an estimate begins to decay, and
	// speedDecayTime the time constant with which it does. It is forgotten after maxSpeedAge.
	speedHoldTime  = 5 * time.Second
	speedDecayTime = 5 * time.Second
	maxSpeedAge    = 20 * time.Second
)

// speedEstimator estimates the logarithm of one target's speed.
type speedEstimator struct {
	// buckets is nil before the first observation: a daemon owns few of the targets that it knows.
	buckets *[maxSpeedBuckets]speedObservation
	// count is the number of buckets ever begun; the last is at (count-1) modulo the length.
	count int
}

// speedObservation is the weighted mean of the observations from a time on.
type speedObservation struct {
	at time.Time
	// logSpeed is the mean logarithm of the speed, weight the sum of weights.
	logSpeed, weight float64
}

// observe adds a measurement. Weight is 1 for one that shows the speed well.
func (s *speedEstimator) observe(now time.Time, logSpeed, weight float64) {
	if s.count > 0 {
		last := &s.buckets[(s.count-1)%maxSpeedBuckets]
		if now.Sub(last.at) < speedBucket {
			last.logSpeed += (logSpeed - last.logSpeed) * weight / (last.weight + weight)
			last.weight += weight
			return
		}
	}
	if s.buckets == nil {
		s.buckets = new([maxSpeedBuckets]speedObservation)
	}
	s.buckets[s.count%maxSpeedBuckets] = speedObservation{now, logSpeed, weight}
	s.count++
}

// lastAt returns when the last bucket was begun; zero if there is none.
func (s *speedEstimator) lastAt() time.Time {
	if s.count == 0 {
		return time.Time{}
	}
	return s.buckets[(s.count-1)%maxSpeedBuckets].at
}

// estimate returns the logarithm of the speed, and false if too little is known.
func (s *speedEstimator) estimate(now time.Time) (logSpeed float64, ok bool) {
	return s.quantile(now, speedQuantile)
}

// quantile returns a weighted quantile of the buckets in use, and false if there are too few.
func (s *speedEstimator) quantile(now time.Time, q float64) (logSpeed float64, ok bool) {
	if s.count < minSpeedBuckets || now.Sub(s.lastAt()) > maxSpeedAge {
		return 0, false
	}
	var recent [maxSpeedBuckets]speedObservation
	n, total := 0, 0.0
	for i := s.count - 1; i >= max(0, s.count-maxSpeedBuckets); i-- {
		b := s.buckets[i%maxSpeedBuckets]
		if age := now.Sub(b.at); age > maxSpeedAge || age > speedWindow && n >= minSpeedBuckets {
			break
		}
		b.weight = min(b.weight, 1) // a bucket is a length of time, however many responses it has
		recent[n] = b
		n++
		total += b.weight
	}
	if n < minSpeedBuckets {
		return 0, false
	}
	list := recent[:n]
	slices.SortFunc(list, func(a, b speedObservation) int { return cmp.Compare(a.logSpeed, b.logSpeed) })
	below := 0.0
	for _, b := range list {
		if below += b.weight; below >= q*total {
			return b.logSpeed, true
		}
	}
	return list[n-1].logSpeed, true
}

const (
	// speedStep is the ratio of two adjacent levels, and levelHysteresis the distance from a
	// level, in steps, from which on it is left.
	speedStep       = 1.1
	levelHysteresis = 0.75
	// alikeLevels is the distance from the reference within which a target has the weight 1. Two
	// targets that differ by a fifth (1.9 steps) are at most 3 levels apart with the hysteresis.
	alikeLevels = 3
	// maxLevelDistance bounds weights to 0.32 and 3.1: a target that is taken for slow still gets
	// requests that show its speed, and a wrong estimate costs no more than that.
	maxLevelDistance = 12
	// maxSpeedLevel bounds reported levels, to speeds of 0.01 to 118.
	maxSpeedLevel = 50
)

var logSpeedStep = math.Log(speedStep)

// targetSpeed is what the owner of a target knows about its speed.
type targetSpeed struct {
	estimator speedEstimator
	// level is the reported level. It is valid if known is set.
	level int
	known bool
	// inheritedAt is when the level was taken over from the previous owner; zero if it was not.
	inheritedAt time.Time
	// prefill is the mean logarithm of the speed of the recent prefill observations, and
	// prefillWeight the sum of their weights.
	prefill, prefillWeight float64
}

// maxPrefillWeight bounds the memory of targetSpeed.prefill.
const maxPrefillWeight = 3

// observePrefill adds a prefill observation to the mean with which event rates are compared. It
// averages logarithms as those do: a mean of times is dominated by slow spells.
func (t *targetSpeed) observePrefill(logSpeed, weight float64) {
	t.prefillWeight = min(t.prefillWeight+weight, maxPrefillWeight)
	t.prefill += (logSpeed - t.prefill) * weight / t.prefillWeight
}

// refresh updates the level from the estimator.
func (t *targetSpeed) refresh(now time.Time) {
	logSpeed, ok := t.estimator.estimate(now)
	if !ok {
		if t.inheritedAt.IsZero() || now.Sub(t.inheritedAt) > speedHoldTime {
			t.known = false
		}
		return
	}
	t.inheritedAt = time.Time{}
	exact := min(max(logSpeed/logSpeedStep, -maxSpeedLevel), maxSpeedLevel)
	if !t.known || math.Abs(exact-float64(t.level)) > levelHysteresis {
		t.level, t.known = int(math.Round(exact)), true
	}
}

// decayed returns the level after its decay towards a reference for lack of observations.
func (t *targetSpeed) decayed(now time.Time, reference int) int {
	age := now.Sub(t.estimator.lastAt())
	if age <= speedHoldTime || !t.inheritedAt.IsZero() {
		return t.level
	}
	rest := math.Exp(-(age - speedHoldTime).Seconds() / speedDecayTime.Seconds())
	return reference + int(math.Round(float64(t.level-reference)*rest))
}

// inherit takes over the level that the previous owner reported last.
func (t *targetSpeed) inherit(now time.Time, reported float64) {
	if level, ok := speedLevel(reported); ok {
		t.level, t.known, t.inheritedAt = level, true, now
	}
}

// levelSpeed returns the speed of a level, and speedLevel the level of a reported speed; false if
// none was reported.
func levelSpeed(level int) float64 { return math.Pow(speedStep, float64(level)) }

func speedLevel(speed float64) (int, bool) {
	if !(speed > 0) {
		return 0, false
	}
	return int(math.Round(min(max(math.Log(speed)/logSpeedStep, -maxSpeedLevel), maxSpeedLevel))), true
}

// levelWeight is the weight of a target whose level differs from the reference by a distance.
func levelWeight(distance int) float64 {
	if -alikeLevels <= distance && distance <= alikeLevels {
		return 1
	}
	return levelSpeed(min(max(distance, -maxLevelDistance), maxLevelDistance))
}
