package overload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

const tick = 10 * time.Millisecond

// play feeds a detector ticks that come so late for so long.
func play(d *overload.Detector, now *time.Time, late, long time.Duration) (over bool) {
	for end := now.Add(long); now.Before(end); {
		*now = now.Add(tick + late)
		over = d.Note(*now, late)
	}
	return over
}

// A daemon gets five times what it can do for some seconds and then less again. It
// has to be passed over meanwhile, and to return.
func TestOverloadComesAndGoes(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	is.Equal(play(&d, &now, 2*time.Millisecond, 5*time.Second), false)
	is.Equal(play(&d, &now, 80*time.Millisecond, 4*time.Second), true)
	is.Equal(play(&d, &now, 20*time.Millisecond, 3*time.Second), true) // not calm yet
	is.Equal(play(&d, &now, 2*time.Millisecond, 3*time.Second), false)
}

// A VM stands still for five seconds and wakes: one timer comes very late. That says
// nothing of its load.
func TestAFreezeIsNoOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	play(&d, &now, time.Millisecond, time.Second)
	now = now.Add(5 * time.Second)
	is.Equal(d.Note(now, 5*time.Second), false)
	is.Equal(play(&d, &now, time.Millisecond, time.Second), false)
}

// A processor with a quota runs at full speed and then stands still for the rest of a
// tenth of a second. At a third of its quota left, timers are late by that now and
// then; the daemon does its work all the same.
func TestAQuotaIsNoOverload(t *testing.T) {
	is := is.New(t)
	var d overload.Detector
	now := time.Unix(1000, 0)
	for range 100 {
		is.Equal(play(&d, &now, 0, 70*time.Millisecond), false)
		now = now.Add(40 * time.Millisecond)
		is.Equal(d.Note(now, 30*time.Millisecond), false)
	}
}
