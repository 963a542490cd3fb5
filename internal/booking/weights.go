package booking

import (
	"math"
	"time"
)

// weightInterval is how long computed weights are used: each computation visits every target, and
// daemons report every 500 ms.
const weightInterval = 250 * time.Millisecond

// speedWeights is the state of a service from which the weights of its targets follow.
type speedWeights struct {
	// learn reports that speeds are estimated, reported and used.
	learn bool
	// uneven reports that a target has a weight other than 1.
	uneven bool
	// reference is the median level, valid if known is set.
	reference int
	known     bool
	at        time.Time
	// eventOffset is the mean logarithm of prefill speed minus that of the event rate. It is a
	// property of the service: its model, and the tokens in an event.
	eventOffset float64
	// eventOffsetWeight is the number of streams that eventOffset is based on.
	eventOffsetWeight float64
}

const (
	// maxEventOffsetWeight bounds the memory of eventOffset, in streams.
	maxEventOffsetWeight = 200
	// minEventOffsetWeight is the number of streams from which on it is used.
	minEventOffsetWeight = 10
	// minPrefillsForOffset is the weight of the prefill observations from which a target contributes.
	minPrefillsForOffset = 1
	// maxFullWeightStream is the duration up to which the mean event interval of a stream has the weight 1.
	// A longer stream also averages over past speeds, so that its weight falls with the square of its duration.
	maxFullWeightStream = 600 * time.Millisecond
)

// observePrefill records the time that an amount of prefill work took. Its weight falls with the square
// of the part that the prefill has in the time to the first byte: for short prompts an error of the
// overhead is most of the result, and on fast targets more so than on slow ones.
func (e *engine) observePrefill(now time.Time, work float64, took time.Duration) {
	if e.service.weights.learn && took > 0 {
		perToken := min(max(float64(took)/work, float64(minTokenTime)), float64(maxTokenTime))
		known := float64(took) / float64(took+e.overhead)
		logSpeed, weight := math.Log(float64(initialTokenTime)/perToken), known*known
		e.speed.estimator.observe(now, logSpeed, weight)
		e.speed.observePrefill(logSpeed, weight)
	}
}

// observeEvents records the mean event interval of a stream that began duration ago, while prefill
// took a part of the time. The rate without prefill, moved to the scale of prefill speeds, counts as
// an observation. A stream that is longer than the window describes the past.
func (e *engine) observeEvents(now time.Time, duration time.Duration, prefillShare float64, interval time.Duration) {
	w := &e.service.weights
	if !w.learn || duration > speedWindow || interval < minEventInterval || interval > maxEventInterval {
		return
	}
	prefillShare = min(1, prefillShare)
	factor := 1 - prefillShare*(1-e.service.slowdown.ratio())
	logRate := -math.Log(interval.Seconds() * factor)
	if logSpeed := e.speed.prefill; e.speed.prefillWeight >= minPrefillsForOffset {
		w.eventOffsetWeight = min(w.eventOffsetWeight+1, maxEventOffsetWeight)
		w.eventOffset += (logSpeed - logRate - w.eventOffset) / w.eventOffsetWeight
	}
	if w.eventOffsetWeight >= minEventOffsetWeight {
		relativeDuration := max(1, duration.Seconds()/maxFullWeightStream.Seconds())
		e.speed.estimator.observe(now, logRate+w.eventOffset, 1/(relativeDuration*relativeDuration))
	}
}

// observeService records the time from dispatch to the end of a plain request. Excess is how many
// requests more than slots the target had when it was sent.
func (e *engine) observeService(now time.Time, elapsed time.Duration, excess int) {
	if !e.service.weights.learn || elapsed <= 0 || elapsed > time.Second {
		return
	}
	queued := float64(max(0, excess)) / float64(max(1, e.Slots))
	e.speed.estimator.observe(now, math.Log(float64(initialServiceTime)/float64(elapsed)*(1+queued)), 1)
	// An average would follow two slow spells in a row, and the target would refuse requests that
	// it could serve in time.
	if logSpeed, ok := e.speed.estimator.estimate(now); ok {
		e.serviceTime = time.Duration(float64(initialServiceTime) * math.Exp(-logSpeed))
	}
}

// speedLevel returns the level of a target as of its owner's last report.
func (e *engine) speedLevel(now time.Time) (level int, ok bool) {
	switch {
	case e.owned && e.speed.known:
		return e.speed.decayed(now, e.service.weights.reference), true
	case e.owned || e.reported.Speed <= 0 || now.Sub(e.reportedAt) > maxLoadAge:
		return 0, false
	}
	return speedLevel(e.reported.Speed)
}

// reportedSpeed is the speed of an owned target for the load report; zero means unknown.
func (e *engine) reportedSpeed(now time.Time) float64 {
	if !e.service.weights.learn || !e.speed.known {
		return 0
	}
	return levelSpeed(e.speed.decayed(now, e.service.weights.reference))
}

// refreshWeights computes the weights of all targets of a service. Targets without a known speed
// have the weight 1, which is that of the median.
func (s *service) refreshWeights(now time.Time) {
	w := &s.weights
	if !w.learn || !w.at.IsZero() && now.Sub(w.at) < weightInterval {
		return
	}
	w.at = now
	var histogram [2*maxSpeedLevel + 1]int
	n := 0
	for _, e := range s.sortedEngines {
		if e.owned {
			e.speed.refresh(now)
		}
		e.level, e.levelKnown = e.speedLevel(now)
		if e.levelKnown && !e.Evacuated {
			histogram[min(max(e.level, -maxSpeedLevel), maxSpeedLevel)+maxSpeedLevel]++
			n++
		}
	}
	w.known, w.uneven = n > 0, false
	for level, below := 0, 0; level < len(histogram) && n > 0; level++ {
		if below += histogram[level]; 2*below >= n {
			w.reference = level - maxSpeedLevel
			break
		}
	}
	for _, e := range s.sortedEngines {
		e.weight = 1
		if e.levelKnown {
			e.weight = levelWeight(e.level - w.reference)
		}
		w.uneven = w.uneven || e.weight != 1
	}
}

// configure switches the use of speeds on or off.
func (w *speedWeights) configure(learn bool, engines []*engine) {
	if w.learn == learn {
		return
	}
	*w = speedWeights{learn: learn}
	for _, e := range engines {
		e.weight, e.speed = 1, targetSpeed{}
	}
}

// homeScore ranks targets of uneven weights for a shared part (weighted rendezvous hashing): each is
// the home of a fraction of all parts that is proportional to its weight, and a change of a weight
// moves only parts to or from that target. The score is not above atLeast if ok is false: a logarithm
// for each of 3,100 targets would double the cost of a choice.
func homeScore(part uint64, e *engine, atLeast float64) (score float64, ok bool) {
	// The 53 upper bits, plus a half, are never 0 or 1 as a fraction.
	u := (float64(rendezvousWeight(part, e.Name)>>11) + 0.5) / (1 << 53)
	if e.weight <= atLeast*(1-u) { // -log(u) is at least 1-u
		return 0, false
	}
	return -e.weight / math.Log(u), true
}

// weightedHomes returns the n home targets of a prefix among targets of uneven weights.
func weightedHomes(prefix uint64, usable []*engine, n int) []candidate {
	var homes topHomes[float64]
	for _, e := range usable {
		if score, ok := homeScore(prefix, e, homes.scores[n-1]); ok {
			homes.add(e, score, n)
		}
	}
	return homes.candidates(n)
}

// loadScore orders targets with a load, which may exceed 1. Targets of uneven weights are ordered by
// the rate that they have left, the greatest first. With equal weights both give the same order, but
// the arithmetic would merge loads that differ in the last bits.
func (e *engine) loadScore(load float64) float64 {
	switch {
	case !e.service.weights.uneven:
		return load
	case load < 1:
		return e.weight * (load - 1)
	}
	return (load - 1) / e.weight
}

// inheritSpeed begins the ownership of a target with the speed that the previous owner reported.
func (e *engine) inheritSpeed(now time.Time) {
	e.speed = targetSpeed{}
	if e.service.weights.learn && now.Sub(e.reportedAt) <= speedHoldTime {
		e.speed.inherit(now, e.reported.Speed)
	}
	e.startPace()
}

// startPace sets the pace of a target that this daemon begins to own, or that has started, from the
// level of that target or, if none is known, from the reference.
func (e *engine) startPace() {
	w := &e.service.weights
	if !w.learn || !w.known && !e.speed.known {
		return
	}
	level := w.reference
	if e.speed.known {
		level = e.speed.level
	}
	speed := levelSpeed(level)
	if !e.service.servesModel {
		e.serviceTime = time.Duration(float64(initialServiceTime) / speed)
		return
	}
	e.pace = prefillPace{perToken: time.Duration(float64(initialTokenTime) / speed), weight: priorWork}
}
