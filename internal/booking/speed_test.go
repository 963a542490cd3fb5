package booking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// watched is the target that the tests change.
const watched ident.Target = "engine-02"

// newWatchedSim offers half of the load of deployment B to targets of equal speed with slow spells.
func newWatchedSim(daemons, engines int) *unevenSim {
	return newWatchedSimOfSeed(1, daemons, engines)
}

func newWatchedSimOfSeed(seed uint64, daemons, engines int) *unevenSim {
	u := newUnevenSim(seed, daemons, engines, true, 1)
	u.offerUneven(0.5, 40*time.Second)
	return u
}

// weightAt runs the simulation until a time and returns the weight of the watched target at its owner.
func (u *unevenSim) weightAt(until time.Duration) float64 {
	u.run(until)
	_, weight := u.owner(watched)
	return weight
}

// isNear reports whether a weight is within a factor of 1.46 of the expected one: two levels and a half of hysteresis on either side.
func isNear(weight, expected float64) bool { return weight < 1.46*expected && weight > expected/1.46 }

// Guards against equal weights for targets that are slower or faster for good, and against an estimate
// that follows the change later than in 3 s or only in one direction.
func TestWeightFollowsChangeOfSpeed(t *testing.T) {
	for i := range uint64(10) {
		factor, seed := []float64{1 / 2.5, 2.5}[i%2], 1+i/2
		t.Run(fmt.Sprintf("factor=%.1f,seed=%d", factor, seed), func(t *testing.T) {
			is := is.New(t)
			u := newWatchedSimOfSeed(seed, 3, 6)
			u.spells = false // when a spell covers the change is a matter of luck
			before := u.weightAt(10 * time.Second)
			u.speeds[watched] *= factor
			changed := u.weightAt(13300 * time.Millisecond) // the change begins with the next spell, at 10.2 s
			settled := u.weightAt(16 * time.Second)
			u.speeds[watched] /= factor
			back := u.weightAt(20 * time.Second)
			t.Logf("%.2f, then %.2f and %.2f, then %.2f", before, changed, settled, back)
			is.True(isNear(before, 1))
			is.True(isNear(changed, factor))
			is.True(isNear(settled, factor))
			is.True(isNear(back, 1))
		})
	}
}

// Guards against weights that follow slow spells, which moves the homes of prefixes to and fro.
func TestSlowSpellsRarelyChangeWeights(t *testing.T) {
	is := is.New(t)
	u := newWatchedSim(3, 6)
	uneven, looks := 0, 0
	for at := 5 * time.Second; at < 40*time.Second; at += 500 * time.Millisecond {
		u.run(at)
		for name := range u.speeds {
			if _, w := u.owner(name); w != 1 {
				uneven++
			}
			looks++
		}
	}
	t.Logf("a weight other than 1 in %d of %d looks", uneven, looks)
	is.True(20*uneven < looks)
}

// Guards against changed placement where targets are alike within a fifth: each decision must be the
// same as without speeds.
func TestPlacementIsUnchangedWhereTargetsAreAlike(t *testing.T) {
	is := is.New(t)
	var placed [2][]string
	for i, learn := range []bool{false, true} {
		u := newUnevenSim(1, 6, 12, learn, 0.92, 1, 1.1)
		u.spells = false
		u.onDispatch = func(j *job) { placed[i] = append(placed[i], fmt.Sprint(u.now, j.ID, j.basis)) }
		u.offerUneven(0.7, 8*time.Second)
		u.run(10 * time.Second)
	}
	is.True(len(placed[0]) > 500)
	is.Equal(placed[0], placed[1])
}

// Guards against an estimate of the previous process that slows down a target that has started again
// under the same identity.
func TestRestartDiscardsSpeed(t *testing.T) {
	is := is.New(t)
	u := newWatchedSim(3, 6)
	u.spells = false
	u.speeds[watched] /= spellSlowdown
	is.True(isNear(u.weightAt(10*time.Second), 1/spellSlowdown))
	for i := range u.service.Targets {
		if u.service.Targets[i].Name == watched {
			u.service.Targets[i].Generation++
		}
	}
	u.updatePeers()
	is.Equal(u.weightAt(10*time.Second+200*time.Millisecond), 1.0)
	is.True(isNear(u.weightAt(15*time.Second), 1/spellSlowdown))
}

// Guards against a slow target that gets as much as the others until its new owner has learned: the
// owner is killed, and the new one continues with the last report.
func TestNewOwnerContinuesWithReportedSpeed(t *testing.T) {
	is := is.New(t)
	u := newWatchedSim(3, 6)
	u.spells = false
	u.speeds[watched] /= spellSlowdown
	is.True(isNear(u.weightAt(10*time.Second), 1/spellSlowdown))
	previous, _ := u.owner(watched)
	previous.dead = true
	u.updatePeers()
	d, _ := u.owner(watched)
	is.True(d != previous)
	// Weights are computed anew by then, and the new owner has learned nothing yet.
	is.True(isNear(u.weightAt(10*time.Second+300*time.Millisecond), 1/spellSlowdown))
	is.True(isNear(u.weightAt(15*time.Second), 1/spellSlowdown))
}

// Guards against an owner without any report that takes a target for slow or fast: a daemon alone
// starts with weights of 1, and learns within 3 s.
func TestOwnerWithoutReportsStartsEven(t *testing.T) {
	is := is.New(t)
	u := newUnevenSim(1, 1, 6, true, 0.7, 0.7, 1.7)
	u.offerUneven(0.5, 10*time.Second)
	is.Equal(u.weightAt(100*time.Millisecond), 1.0)
	is.True(isNear(u.weightAt(5*time.Second), 1.7/0.7))
}

// Guards against weights that are lost, or wrong, because reports are a second late.
func TestLateReportsKeepWeights(t *testing.T) {
	is := is.New(t)
	u := newWatchedSim(3, 6)
	u.spells = false
	u.speeds[watched] /= spellSlowdown
	u.run(10 * time.Second)
	u.peerDelay = time.Second
	u.run(13 * time.Second)
	for _, d := range u.daemons {
		weight, _ := d.core.Weight(u.now, "pool", watched)
		is.True(isNear(weight, 1/spellSlowdown))
	}
}

// Guards against a target that is idled for good by a wrong low estimate: it must still get requests,
// and the estimate must recover.
func TestWrongLowEstimateRecovers(t *testing.T) {
	is := is.New(t)
	u := newWatchedSim(3, 6)
	u.spells = false
	u.run(8 * time.Second)
	d, _ := u.owner(watched)
	d.core.SetSpeed(u.now, "pool", watched, 0.05)
	is.True(u.weightAt(8100*time.Millisecond) < 0.4)
	is.True(isNear(u.weightAt(12*time.Second), 1))
}

// Guards against weights that outlive the requests that showed them: an owner that receives no further
// observations of a target lets its speed decay.
func TestSpeedDecaysWithoutResponses(t *testing.T) {
	is := is.New(t)
	u := newUnevenSim(1, 3, 6, true, 1, 1, 2.5)
	u.spells = false
	u.offerUneven(0.5, 10*time.Second)
	is.True(isNear(u.weightAt(10*time.Second), 2.5))
	is.Equal(u.weightAt(40*time.Second), 1.0)
}

// Guards against homes that move when the weight of another target changes by a step.
func TestWeightChangeMovesOnlyHomesOfItsTarget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	core := booking.New(booking.Config{Self: "d", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", ServesModel: true, LearnSpeeds: true}
	for i := range 30 {
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("engine-%02d", i)), Zone: "z", Slots: 12})
	}
	core.Configure(now, []booking.Service{service})
	const parts = 20000
	homes := func(speed float64) (list []ident.Target, own int) {
		now = now.Add(time.Second)
		for _, t := range service.Targets {
			core.SetSpeed(now, "pool", t.Name, 1)
		}
		core.SetSpeed(now, "pool", watched, speed)
		core.Weight(now, "pool", watched)
		for part := range uint64(parts) {
			list = append(list, core.HomeOf("pool", part))
			if list[part] == watched {
				own++
			}
		}
		return list, own
	}
	even, evenOwn := homes(1)
	before, beforeOwn := homes(2.358) // nine steps
	after, _ := homes(2.594)          // ten
	moved := 0
	for i := range after {
		if before[i] != after[i] {
			is.Equal(after[i], watched)
			moved++
		}
		if even[i] != before[i] {
			is.Equal(before[i], watched)
		}
	}
	t.Logf("%d homes of %d with weight 1, %d with 2.36, %d more with 2.59", evenOwn, parts, beforeOwn, moved)
	is.True(beforeOwn > 2*evenOwn)
	is.True(moved < parts/100)
}

// Guards against a target that is slow for good without any trace for operators, and against a line
// for each look at it.
func TestChangedWeightIsReportedOnce(t *testing.T) {
	is := is.New(t)
	u := newWatchedSim(3, 6)
	u.spells = false
	u.speeds[watched] /= spellSlowdown
	u.run(10 * time.Second)
	d, weight := u.owner(watched)
	r := d.core.SpeedReports(u.now)
	is.Equal(len(r[0].Changed), 1)
	is.Equal(r[0].Changed[0].Target, watched)
	is.Equal(r[0].MinWeight, weight)
	is.Equal(r[0].MaxWeight, 1.0)
	is.Equal(len(d.core.SpeedReports(u.now)[0].Changed), 0)
}
