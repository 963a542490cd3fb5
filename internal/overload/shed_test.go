package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

// callerTimeout is how long callers wait for a response.
const callerTimeout = time.Second

// simProcessor is a processor that handles requests in order; a served request takes
// serveCost of its time, a refused one refuseCost. The scheduling latency is a tenth of
// the backlog, and callers disconnect after callerTimeout.
type simProcessor struct {
	serveCost, refuseCost time.Duration
	backlog               time.Duration
}

// sendLoad sends requests at a rate for the given duration, refuses the fraction that the
// Shedder returns, and returns the fraction of all requests that was served within the
// objective.
func (v *simProcessor) sendLoad(s *overload.Shedder, rng *rand.Rand, now *time.Time, rate float64, duration, objective time.Duration) (servedInTime float64) {
	const step = time.Millisecond
	shedFraction, sent, inTime := 0.0, 0, 0
	for at := time.Duration(0); at < duration; at += step {
		*now = now.Add(step)
		if at%tick == 0 {
			shedFraction = s.Observe(*now, v.backlog/10)
		}
		for due := rate * step.Seconds(); due > 0; due-- {
			if due < 1 && rng.Float64() > due {
				break
			}
			sent++
			if rng.Float64() < shedFraction {
				v.backlog += v.refuseCost
				continue
			}
			v.backlog += v.serveCost
			if v.backlog <= objective {
				inTime++
			}
		}
		v.backlog = min(max(0, v.backlog-step), callerTimeout)
	}
	return float64(inTime) / float64(max(1, sent))
}

// One caller sends six times what a small VM can serve. Without shedding every request,
// including those of other callers, is read seconds late. With it the VM serves what it
// can in time, and everything again once the caller has stopped.
func TestSmallVMServesUpToCapacity(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		v := &simProcessor{serveCost: 8 * time.Millisecond, refuseCost: 1300 * time.Microsecond}
		var s overload.Shedder
		now := time.Unix(1000, 0)
		is.True(v.sendLoad(&s, rng, &now, 60, 5*time.Second, 100*time.Millisecond) > 0.95) // within capacity
		v.sendLoad(&s, rng, &now, 500, 2*time.Second, 300*time.Millisecond)                // time to adapt the shed fraction
		servedInTime := v.sendLoad(&s, rng, &now, 500, 8*time.Second, 300*time.Millisecond)
		t.Logf("seed %d: fraction served in time %.3f, upper bound %.3f", seed, servedInTime, (1-500*0.0013)/(500*0.0067))
		is.True(servedInTime > 0.03)
		v.sendLoad(&s, rng, &now, 60, 4*time.Second, 100*time.Millisecond)
		is.True(v.sendLoad(&s, rng, &now, 60, 5*time.Second, 100*time.Millisecond) > 0.95)
	}
}

// A VM that was paused for seconds, and a processor with a CPU quota, which is throttled
// for most of each tenth of a second, keep up with their load and shed nothing.
func TestPausesAndQuotasShedNothing(t *testing.T) {
	is := is.New(t)
	var s overload.Shedder
	now := time.Unix(1000, 0)
	now = now.Add(5 * time.Second)
	is.Equal(s.Observe(now, 5*time.Second), 0.0)
	for range 100 {
		for range 6 {
			now = now.Add(tick)
			is.Equal(s.Observe(now, 0), 0.0)
		}
		now = now.Add(80 * time.Millisecond)
		is.Equal(s.Observe(now, 60*time.Millisecond), 0.0)
	}
}

// A processor with a CPU quota is throttled for most of each tenth of a second, also
// while a measurement is pending. A measurement that is pending for much longer indicates
// overload.
func TestPendingLatencyIndicatesOverload(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.PendingShedFraction(0), 0.0)
	is.Equal(overload.PendingShedFraction(200*time.Millisecond), 0.0) // two throttled periods in a row
	is.True(overload.PendingShedFraction(300*time.Millisecond) > 0.9)
	is.True(overload.PendingShedFraction(time.Minute) < 1) // some requests must show whether the load is over
}

// When half of the requests are to be refused, none on a connection that has been served
// is; callers on new connections reach another daemon with their next attempt.
func TestNewConnectionsAreShedFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.ShedFractionFor(0.5, true), 1.0)
	is.Equal(overload.ShedFractionFor(0.5, false), 0.0)
	is.True(overload.ShedFractionFor(0.2, true) > overload.ShedFractionFor(0.2, false))
	is.True(overload.ShedFractionFor(0.95, false) < 1) // some requests must show whether the load is over
}

// The higher the latency, the fewer new connections are accepted; a daemon that keeps up
// accepts all.
func TestAcceptRateFallsWithLatency(t *testing.T) {
	is := is.New(t)
	is.Equal(overload.AcceptRate(9*time.Millisecond), 0.0)
	last := overload.AcceptRate(10 * time.Millisecond)
	is.True(last > 900 && last < 1100)
	for latency := 11 * time.Millisecond; latency < 200*time.Millisecond; latency += time.Millisecond {
		rate := overload.AcceptRate(latency)
		is.True(rate <= last && rate >= 150)
		last = rate
	}
}
