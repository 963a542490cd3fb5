package platform

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/savorystall/savorystall/test/fixedseed" // the same result in each run
)

func half() float64 { return 0.5 }

// Guards against a thundering herd after an outage: a recovering store must get
// one probe at a time instead of all waiting calls, and the first answer must
// release all the others.
func TestCircuitBreakerAllowsOneProbe(t *testing.T) {
	is := is.New(t)
	breaker := newCircuitBreaker(half)
	now := time.Unix(0, 0)
	for range failureThreshold {
		ok, probe, _, _ := breaker.allow(now)
		is.True(ok && !probe)
		breaker.report(now, false, outcomeFailed)
	}
	now = now.Add(probeCap)
	ok, probe, _, _ := breaker.allow(now)
	is.True(ok && probe)
	ok, _, _, changed := breaker.allow(now)
	is.True(!ok) // a second call waits for the result of the probe
	_, closed := breaker.report(now, true, outcomeAnswered)
	is.True(closed)
	<-changed // waiting calls are woken
	ok, probe, _, _ = breaker.allow(now)
	is.True(ok && !probe)
}

// Calls start, succeed, fail and are canceled in any order while time passes.
// There must never be two concurrent probes, a canceled probe must not block the
// circuit breaker, and the next probe must be allowed within the longest backoff.
func TestCircuitBreakerInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		breaker := newCircuitBreaker(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		now := time.Unix(0, 0)
		var running []bool // one for each call: whether it is a probe
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				if ok, probe, _, _ := breaker.allow(now); ok {
					running = append(running, probe)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "call")
				outcome := rapid.SampledFrom([]callOutcome{outcomeAnswered, outcomeFailed, outcomeInconclusive}).Draw(t, "outcome")
				breaker.report(now, running[i], outcome)
				running = append(running[:i], running[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(probeCap)).Draw(t, "elapsed")))
			},
			"": func(t *rapid.T) {
				probes := 0
				for _, probe := range running {
					if probe {
						probes++
					}
				}
				if probes > 1 {
					t.Fatalf("%d probes run", probes)
				}
				if probes == 0 && breaker.open && breaker.nextProbe.Sub(now) > probeCap {
					t.Fatalf("the next probe is allowed only after %s", breaker.nextProbe.Sub(now))
				}
			},
		})
	})
}

func TestRetryBudgetIsATenthOfSuccesses(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget()
	for range budgetSize {
		is.True(b.take())
	}
	is.True(!b.take())
	for range successesPerRetry {
		b.recordSuccess()
	}
	is.True(b.take())
	is.True(!b.take())
}
