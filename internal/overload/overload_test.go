package overload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

const tick = 20 * time.Millisecond

// play feeds a detector waits of the same length for so long.
func play(d *overload.Detector, now *time.Time, wait, long time.Duration) (over bool) {
	for end := now.Add(long); now.Before(end); {
		*now = now.Add(tick + wait)
		over = d.Note(*now, overload.Observation{Wait: wait})
	}
	return over
}

// A daemon gets five times what it can do for some seconds and then less again. It
// has to be passed over meanwhile, and to return.
func TestOverloadComesAndGoes(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(play(&d, &now, time.Millisecond, 5*time.Second), false)
	is.Equal(play(&d, &now, 30*time.Millisecond, 4*time.Second), true)
	is.Equal(play(&d, &now, 5*time.Millisecond, 3*time.Second), true) // not calm yet
	is.Equal(play(&d, &now, time.Millisecond, 4*time.Second), false)
}

// A VM stands still for five seconds and wakes: one turn takes very long. That
// says nothing of its load.
func TestAFreezeIsNoOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	play(&d, &now, time.Millisecond, time.Second)
	now = now.Add(5 * time.Second)
	is.Equal(d.Note(now, overload.Observation{Wait: 5 * time.Second}), false)
	is.Equal(play(&d, &now, time.Millisecond, time.Second), false)
}

// A processor with a quota runs at full speed and then stands still for the rest of a
// tenth of a second, so that one turn in eight is long. The daemon does its work all
// the same.
func TestAQuotaIsNoOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	for range 100 {
		is.Equal(play(&d, &now, 0, 140*time.Millisecond), false)
		now = now.Add(40 * time.Millisecond)
		is.Equal(d.Note(now, overload.Observation{Wait: 30 * time.Millisecond}), false)
	}
}

// The balancer leads a caller that is too much for a VM back to it as soon as it counts
// as ready. Ready again after a second, it is overloaded again three seconds later, and
// the caller's requests are refused or late for as long as it calls: each time the VM
// stays out for longer.
func TestADaemonThatIsOverloadedAgainStaysOutForLonger(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	out := func() (long time.Duration) {
		for !d.Note(now, overload.Observation{Wait: 30 * time.Millisecond, Holds: true}) {
			now = now.Add(tick)
		}
		began := now
		for d.Note(now, overload.Observation{Holds: true}) {
			now = now.Add(tick)
		}
		return now.Sub(began)
	}
	first := out()
	now = now.Add(2 * time.Second)
	second := out()
	is.True(first >= 9*time.Second)
	is.True(second >= 19*time.Second)
	now = now.Add(time.Minute)
	is.True(out() < second) // it was well for long
}

// In a small zone the others may not be able to take its callers: the daemon returns as
// soon as it keeps up.
func TestInASmallZoneNobodyStaysOut(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(play(&d, &now, 30*time.Millisecond, time.Second), true)
	is.Equal(play(&d, &now, 0, 2500*time.Millisecond), false)
}

// Refusals keep the wait low. A daemon that refuses a part of what comes is overloaded
// all the same, and the balancer has to know.
func TestADaemonThatRefusesIsOverloaded(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(d.Note(now, overload.Observation{Shed: 0.1}), false)
	is.Equal(d.Note(now, overload.Observation{Shed: 0.3}), true)
	for range 200 {
		now = now.Add(tick)
		is.Equal(d.Note(now, overload.Observation{Shed: 0.1}), true) // it refuses still
	}
	is.Equal(play(&d, &now, 0, 2*time.Second), false)
}
