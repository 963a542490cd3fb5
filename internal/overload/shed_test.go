package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

// patience is how long callers wait for an answer.
const patience = time.Second

// vm is a processor that works on requests in order: a served one takes serve of it, a
// refused one refuse. A turn takes as long as a tenth of the work that stands, and callers
// that have waited for their patience are gone.
type vm struct {
	serve, refuse time.Duration
	backlog       time.Duration
}

// offer sends requests at a rate for so long, refuses the part that the Shedder says,
// and returns the part of all that was served within the objective.
func (v *vm) offer(s *overload.Shedder, rng *rand.Rand, now *time.Time, perSecond float64, long, objective time.Duration) (inTime float64) {
	const step = time.Millisecond
	share, asked, good := 0.0, 0, 0
	for at := time.Duration(0); at < long; at += step {
		*now = now.Add(step)
		if at%tick == 0 {
			share = s.Note(*now, v.backlog/10)
		}
		for due := perSecond * step.Seconds(); due > 0; due-- {
			if due < 1 && rng.Float64() > due {
				break
			}
			asked++
			if rng.Float64() < share {
				v.backlog += v.refuse
				continue
			}
			v.backlog += v.serve
			if v.backlog <= objective {
				good++
			}
		}
		v.backlog = min(max(0, v.backlog-step), patience)
	}
	return float64(good) / float64(max(1, asked))
}

// One caller sends six times what a small VM can serve. Without refusals every request,
// also those of other callers, is read seconds late; with them the VM serves what it can
// in time, and all again when the caller has gone.
func TestASmallVMServesWhatItCan(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		v := &vm{serve: 8 * time.Millisecond, refuse: 1300 * time.Microsecond}
		var s overload.Shedder
		now := time.Unix(1000, 0)
		is.True(v.offer(&s, rng, &now, 60, 5*time.Second, 100*time.Millisecond) > 0.95) // it keeps up
		v.offer(&s, rng, &now, 500, 2*time.Second, 300*time.Millisecond)                // it has to find its part
		part := v.offer(&s, rng, &now, 500, 8*time.Second, 300*time.Millisecond)
		t.Logf("seed %d: %.3f of all served in time, at most %.3f could be", seed, part, (1-500*0.0013)/(500*0.0067))
		is.True(part > 0.03)
		v.offer(&s, rng, &now, 60, 4*time.Second, 100*time.Millisecond)
		is.True(v.offer(&s, rng, &now, 60, 5*time.Second, 100*time.Millisecond) > 0.95)
	}
}

// A VM that stood still for seconds, and a processor with a quota, which stands still
// for most of each tenth of a second, do their work all the same.
func TestStandingStillShedsNothing(t *testing.T) {
	is := is.New(t)
	var s overload.Shedder
	now := time.Unix(1000, 0)
	now = now.Add(5 * time.Second)
	is.Equal(s.Note(now, 5*time.Second), 0.0)
	for range 100 {
		for range 6 {
			now = now.Add(tick)
			is.Equal(s.Note(now, 0), 0.0)
		}
		now = now.Add(80 * time.Millisecond)
		is.Equal(s.Note(now, 60*time.Millisecond), 0.0)
	}
}

// A processor with a quota stands still for most of each tenth of a second, also while a turn
// is waited for. A turn that has not come after much longer tells of a flood.
func TestAWaitThatIsNotOverTellsOfAFlood(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.Waiting(0), 0.0)
	is.Equal(overload.Waiting(200*time.Millisecond), 0.0) // two of them in a row
	is.True(overload.Waiting(300*time.Millisecond) > 0.9)
	is.True(overload.Waiting(time.Minute) < 1) // some tell whether the load is over
}

// Where half is to be refused, nobody who has been served on a connection is; callers on
// new connections reach another daemon by their next try.
func TestNewConnectionsAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.Part(0.5, true), 1.0)
	is.Equal(overload.Part(0.5, false), 0.0)
	is.True(overload.Part(0.2, true) > overload.Part(0.2, false))
	is.True(overload.Part(0.95, false) < 1) // some tell whether the load is over
}

// The longer a turn takes, the fewer new connections are taken; none is left that keeps up.
func TestFewerConnectionsAreTakenTheLongerATurnTakes(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.AcceptRate(9*time.Millisecond), 0.0)
	last := overload.AcceptRate(10 * time.Millisecond)
	is.True(last > 900 && last < 1100)
	for wait := 11 * time.Millisecond; wait < 200*time.Millisecond; wait += time.Millisecond {
		rate := overload.AcceptRate(wait)
		is.True(rate <= last && rate >= 150)
		last = rate
	}
}
