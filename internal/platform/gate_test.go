package platform

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/savorystall/savorystall/test/fixedseed" // the same verdict each run
)

func half() float64 { return 0.5 }

// The store is down and every caller of the daemon has work for it. When it is
// back it must meet one call at a time, not all of them at once, and the first
// answer must let all the others pass.
func TestGateLetsOneProbePass(t *testing.T) {
	is := is.New(t)
	g := newGate(half)
	now := time.Unix(0, 0)
	for range outageFailures {
		ok, probe, _, _ := g.pass(now)
		is.True(ok && !probe)
		g.done(now, false, storeFailed)
	}
	now = now.Add(probeCap)
	ok, probe, _, _ := g.pass(now)
	is.True(ok && probe)
	ok, _, _, changed := g.pass(now)
	is.True(!ok) // a second call waits for the probe
	_, ended := g.done(now, true, storeAnswered)
	is.True(ended)
	<-changed // the waiting call is woken
	ok, probe, _, _ = g.pass(now)
	is.True(ok && !probe)
}

// Calls start, answer, fail and are given up in any order while time passes.
// At no moment may two probes run, a given-up probe may not block the gate, and
// the gate must open within the longest backoff.
func TestGateHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		now := time.Unix(0, 0)
		var running []bool // one for each call: whether it is a probe
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				if ok, probe, _, _ := g.pass(now); ok {
					running = append(running, probe)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "call")
				v := rapid.SampledFrom([]verdict{storeAnswered, storeFailed, storeUnjudged}).Draw(t, "verdict")
				g.done(now, running[i], v)
				running = append(running[:i], running[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(probeCap)).Draw(t, "passed")))
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
				if probes == 0 && g.out && g.next.Sub(now) > probeCap {
					t.Fatalf("the next probe is %s away", g.next.Sub(now))
				}
			},
		})
	})
}

func TestRetryBudgetIsATenthOfTheSuccesses(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget()
	for range budgetSize {
		is.True(b.take())
	}
	is.True(!b.take())
	for range budgetRefill {
		b.succeeded()
	}
	is.True(b.take())
	is.True(!b.take())
}
