package booking

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// SetSpeed replaces what the owner of a target knows about its speed; other daemons ignore it.
func (c *Core) SetSpeed(now time.Time, service ident.Service, target ident.Target, speed float64) {
	if e := c.engine(service, target); e != nil && e.owned {
		e.speed = targetSpeed{level: int(math.Round(math.Log(speed) / logSpeedStep)), known: true, inheritedAt: now}
	}
}

// Weight returns the weight of a target at this daemon, and whether this daemon owns the target.
func (c *Core) Weight(now time.Time, service ident.Service, target ident.Target) (weight float64, owned bool) {
	e := c.engine(service, target)
	c.services[service].refreshWeights(now)
	return e.weight, e.owned
}

// HomeOf returns the first home of a part at this daemon.
func (c *Core) HomeOf(service ident.Service, part uint64) ident.Target {
	s := c.services[service]
	if s.weights.uneven {
		return weightedHomes(part, s.sortedEngines, 1)[0].engine.Name
	}
	return homeCandidates(part, s.sortedEngines, 1)[0].engine.Name
}

// Estimator is a way to estimate the speed of one target, for comparisons.
type Estimator interface {
	Observe(now time.Time, logSpeed float64)
	Estimate(now time.Time) (logSpeed float64, ok bool)
}

// QuantileEstimator is the estimator in use, with another quantile.
type QuantileEstimator struct {
	Quantile float64
	speedEstimator
}

func (q *QuantileEstimator) Observe(now time.Time, logSpeed float64) { q.observe(now, logSpeed, 1) }

func (q *QuantileEstimator) Estimate(now time.Time) (float64, bool) {
	return q.quantile(now, q.Quantile)
}

// MeanEstimator is a moving average of the logarithms, which gives each response the same weight.
type MeanEstimator struct {
	Rate, mean float64
	n          int
}

func (m *MeanEstimator) Observe(_ time.Time, logSpeed float64) {
	m.n++
	m.mean += (logSpeed - m.mean) * max(m.Rate, 1/float64(m.n))
}

func (m *MeanEstimator) Estimate(time.Time) (float64, bool) { return m.mean, m.n >= minSpeedBuckets }

// InUse returns the estimator in use.
func InUse() Estimator { return &QuantileEstimator{Quantile: speedQuantile} }

// HysteresisLevel follows an estimate with a level, and returns the level.
func HysteresisLevel(previous int, logSpeed float64) int {
	exact := logSpeed / logSpeedStep
	if math.Abs(exact-float64(previous)) > levelHysteresis {
		return int(math.Round(exact))
	}
	return previous
}

// LevelWeight is levelWeight.
func LevelWeight(distance int) float64 { return levelWeight(distance) }
