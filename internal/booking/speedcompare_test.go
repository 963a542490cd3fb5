package booking_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
)

// estimators are the compared designs. Without a constructor, there is no estimator or it knows the
// true speeds.
var estimators = []struct {
	name  string
	fresh func() booking.Estimator
}{
	{"none", nil},
	{"mean of 12", func() booking.Estimator { return &booking.MeanEstimator{Rate: 0.08} }},
	{"mean of 5", func() booking.Estimator { return &booking.MeanEstimator{Rate: 0.2} }},
	{"median", func() booking.Estimator { return &booking.QuantileEstimator{Quantile: 0.5} }},
	{"0.65", func() booking.Estimator { return &booking.QuantileEstimator{Quantile: 0.65} }},
	{"in use", booking.InUse},
	{"truth", nil},
}

const (
	responsesPerSecond = 3
	observationNoise   = 0.15
)

// estimatedTargets are targets whose speeds are estimated from simulated responses.
type estimatedTargets struct {
	rng             *rand.Rand
	now             time.Time
	speeds, present []float64
	next            []time.Time
	list            []booking.Estimator
	levels          []int
}

func newEstimatedTargets(n int, fresh func() booking.Estimator) *estimatedTargets {
	f := &estimatedTargets{rng: rand.New(rand.NewPCG(1, uint64(n))), now: time.Unix(1000, 0), levels: make([]int, n)}
	for i := range n {
		f.speeds = append(f.speeds, []float64{0.7, 0.7, 1.7}[i%3])
		f.next = append(f.next, f.now.Add(f.gap()))
		f.list = append(f.list, fresh())
	}
	f.present = slices.Clone(f.speeds)
	return f
}

func (f *estimatedTargets) gap() time.Duration {
	return time.Duration(f.rng.ExpFloat64() / responsesPerSecond * float64(time.Second))
}

// step simulates one spell, and calls look ten times within it.
func (f *estimatedTargets) step(look func()) {
	for i := range f.present {
		f.present[i] = f.speeds[i]
		if f.rng.Float64() < spellFraction {
			f.present[i] /= spellSlowdown
		}
	}
	for range 10 {
		f.now = f.now.Add(spellDuration / 10)
		for i := range f.list {
			for ; f.next[i].Before(f.now); f.next[i] = f.next[i].Add(f.gap()) {
				f.list[i].Observe(f.next[i], math.Log(f.present[i])+observationNoise*f.rng.NormFloat64())
			}
			if logSpeed, ok := f.list[i].Estimate(f.now); ok {
				f.levels[i] = booking.HysteresisLevel(f.levels[i], logSpeed)
			}
		}
		look()
	}
}

// weights returns the weights that daemons compute from the levels.
func (f *estimatedTargets) weights() []float64 {
	sorted := slices.Clone(f.levels)
	slices.Sort(sorted)
	out := make([]float64, len(f.levels))
	for i, l := range f.levels {
		out[i] = booking.LevelWeight(l - sorted[(len(sorted)-1)/2])
	}
	return out
}

// beyond is the fraction of a demand of 0.8 of the capacity that weights send to targets beyond what
// they can do.
func beyond(weights, speeds []float64) float64 {
	const demand = 0.8
	capacity, sum, over := 0.0, 0.0, 0.0
	for i := range weights {
		capacity += speeds[i]
		sum += weights[i]
	}
	for i := range weights {
		over += max(0, demand*capacity*weights[i]/sum-speeds[i])
	}
	return over / (demand * capacity)
}

// followed returns the time until nine of ten targets have a level within four steps (1.46) of their
// new speed, after all changed by a factor.
func followed(n int, fresh func() booking.Estimator, factor float64) time.Duration {
	f := newEstimatedTargets(n, fresh)
	for range 30 {
		f.step(func() {})
	}
	for i := range f.speeds {
		f.speeds[i] *= factor
	}
	start, at := f.now, time.Duration(0)
	for range 25 {
		f.step(func() {
			near := 0
			for i, l := range f.levels {
				if math.Abs(float64(l)-math.Log(f.speeds[i])/math.Log(1.1)) <= 4 {
					near++
				}
			}
			if at == 0 && 10*near >= 9*len(f.levels) {
				at = f.now.Sub(start)
			}
		})
		if at > 0 {
			return at
		}
	}
	return time.Hour
}

// Logs the comparison of docs/design/target-speed.md, and guards against an estimator that takes slow
// spells for changes, or follows a change too late.
func TestSpeedEstimators(t *testing.T) {
	for _, n := range []int{12, 112, 3100} {
		for _, e := range estimators {
			if e.fresh == nil {
				continue
			}
			f := newEstimatedTargets(n, e.fresh)
			for range 10 {
				f.step(func() {})
			}
			wrong, over, looks := 0, 0.0, 0
			spells := 100
			if n > 1000 {
				spells = 30
			}
			truth := []float64{1, 1, booking.LevelWeight(9)}
			began := time.Now()
			for range spells {
				f.step(func() {})
				for i, w := range f.weights() {
					if r := w / truth[i%3]; r > 1.46 || r < 1/1.46 {
						wrong++
					}
					looks++
				}
				over += beyond(f.weights(), f.speeds)
			}
			cost := time.Since(began) / time.Duration(spells*10*n)
			slower, faster := followed(n, e.fresh, 0.4), followed(n, e.fresh, 2.5)
			wrongFraction := float64(wrong) / float64(looks)
			t.Logf("%4d targets, %-10s: weight wrong by over 1.46 %.4f of the time, demand beyond capacity %.4f, slower followed in %.1f s, faster in %.1f s, %s per step", n, e.name, wrongFraction, over/float64(spells), slower.Seconds(), faster.Seconds(), cost)
			if e.name != "in use" {
				continue
			}
			if wrongFraction > 0.03 || max(slower, faster) > 3*time.Second {
				t.Errorf("%d targets: wrong %.4f of the time, followed in %s and %s", n, wrongFraction, slower, faster)
			}
		}
		even := make([]float64, n)
		speeds := make([]float64, n)
		for i := range even {
			even[i], speeds[i] = 1, []float64{0.7, 0.7, 1.7}[i%3]
		}
		t.Logf("%4d targets, none: demand beyond capacity %.4f", n, beyond(even, speeds))
	}
}

// Logs the requests in time with each estimator, and guards against learned speeds that serve fewer
// requests than equal weights.
func TestRequestsInTimeWithUnevenSpeeds(t *testing.T) {
	for _, c := range []struct {
		daemons, targets int
		seeds            uint64
	}{{6, 12, 8}, {20, 112, 1}} {
		inTime := map[string]float64{}
		for _, e := range append(estimators[:len(estimators):len(estimators)], struct {
			name  string
			fresh func() booking.Estimator
		}{"built", nil}) {
			if e.name == "mean of 5" || e.name == "0.65" {
				continue // between the others
			}
			var sum tally
			for seed := range c.seeds {
				u := newUnevenSim(seed, c.daemons, c.targets, e.name != "none", 0.7, 0.7, 1.7)
				switch {
				case e.fresh != nil:
					u.injectEstimates(e.fresh)
				case e.name == "truth":
					u.inject(func(t booking.Target) (float64, bool) { return u.speeds[t.Name], true })
				}
				u.offerUneven(0.7, 10*time.Second)
				u.run(12 * time.Second)
				n := u.total()
				sum.submitted, sum.inTime, sum.late, sum.refused = sum.submitted+n.submitted, sum.inTime+n.inTime, sum.late+n.late, sum.refused+n.refused
			}
			inTime[e.name] = sum.inTimeShare()
			t.Logf("%3d targets, %-10s: %d asked, %.4f in time, %d late, %d refused", c.targets, e.name, sum.submitted, sum.inTimeShare(), sum.late, sum.refused)
		}
		if inTime["built"] < inTime["none"] {
			t.Errorf("%d targets: %.4f in time, without speeds %.4f", c.targets, inTime["built"], inTime["none"])
		}
	}
}
