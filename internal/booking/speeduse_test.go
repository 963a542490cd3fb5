package booking

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unevenService has a slow and a fast target of other owners, and weights as given.
func unevenService(now time.Time, utilization, weights [2]float64) *service {
	s := &service{servesModel: true, weights: speedWeights{uneven: weights[0] != weights[1]}}
	for i, u := range utilization {
		e := newEngine(s, Target{Slots: 10})
		e.weight, e.reported, e.reportedAt = weights[i], Load{Utilization: u, SlotUtilization: u}, now
		s.sortedEngines = append(s.sortedEngines, e)
	}
	return s
}

// Guards against a capacity that is misjudged where the slow target is full and the fast one is not: with
// equal weights two thirds seem to be in use, while it is half.
func TestCapacityIsWeightedBySpeed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.Equal(unevenService(now, [2]float64{1, 0.25}, [2]float64{1, 2}).utilization(now), 0.5)
	is.Equal(unevenService(now, [2]float64{1, 0.25}, [2]float64{1, 1}).utilization(now), 0.625)
}

// Guards against fallbacks that fill the slow target first: at 0.4 of its slots it has less left than
// one of twice its speed at 0.6.
func TestFallbacksAreOrderedByRemainingRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var c Core
	for _, weights := range [][2]float64{{1, 1}, {1, 2}} {
		s := unevenService(now, [2]float64{0.4, 0.6}, weights)
		slow, fast := c.loadScore(now, s.sortedEngines[0]), c.loadScore(now, s.sortedEngines[1])
		is.Equal(fast < slow, weights[1] > 1)
	}
}

// Guards against a target that starts with the pace of a constant although the speeds of the others are
// known.
func TestTargetStartsWithThePaceOfTheMedian(t *testing.T) {
	is := is.New(t)
	s := &service{servesModel: true, pace: newPrefillPace(), weights: speedWeights{learn: true, known: true, reference: 8}}
	e := newEngine(s, Target{Slots: 12})
	is.True(e.pace.perToken < initialTokenTime/2)
}

// Guards against a plain target that refuses requests, or is left, because of two slow spells in a row:
// an average of its service times follows them.
func TestPlainTargetIsNotLeftForTwoSlowSpells(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &service{weights: speedWeights{learn: true}}
	e := newEngine(s, Target{Slots: 6})
	e.owned = true
	s.sortedEngines = []*engine{e}
	serve := func(duration, took time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(50 * time.Millisecond) {
			r := &run{}
			e.addRun(now, r)
			e.recordStream(now, r, Release{Elapsed: took})
			e.removeRun(now, r, took)
		}
	}
	serve(4*time.Second, 60*time.Millisecond)
	serve(2*600*time.Millisecond, 150*time.Millisecond)
	is.True(e.serviceTime < 70*time.Millisecond)
	s.refreshWeights(now)
	is.Equal(e.weight, 1.0)
	serve(3*time.Second, 150*time.Millisecond) // it has become slow for good
	is.True(e.serviceTime > 140*time.Millisecond)
	e.recordStream(now, &run{}, Release{Elapsed: time.Millisecond, Failed: true})
	is.True(e.serviceTime > 140*time.Millisecond)
}
