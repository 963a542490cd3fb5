package limit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A workspace has a rate limit. Its callers connect to any daemon, move, and
// arrive all at once after a pause; reports are delayed or lost, daemons
// restart, and the network is partitioned. In all cases the fleet exceeds the
// limit only by requests not yet reported between daemons, and the shares of
// daemons with up-to-date reports add up to the limit.
func TestRateIsExceededOnlyByUnreportedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, true)
		partitionStart := rapid.IntRange(0, 2*modelSteps).Draw(t, "cut from")
		partitionLength := rapid.IntRange(1, modelSteps/4).Draw(t, "cut for")
		for m.step = 1; m.step < modelSteps; m.step++ {
			if m.step == partitionStart || m.step == partitionStart+partitionLength {
				m.setPartitioned(m.step == partitionStart)
			}
			if m.rng.IntN(100) == 0 {
				m.distributeDemand(m.rate * 4 * math.Pow(m.rng.Float64(), 2))
			}
			if m.rng.IntN(400) == 0 {
				m.restart(m.nodes[m.rng.IntN(len(m.nodes))])
			}
			m.arrivals(t.Fatalf)
			m.exchange()
			if sum := m.sumOfRefillRates(); sum > (1+floorFraction)*m.rate*(1+tokenTolerance) {
				t.Fatalf("step %d: shares add up to %.3f, limit %.3f", m.step, sum, m.rate)
			}
		}
	})
}

// The same callers, but all exchanges arrive. Over any time span the fleet
// accepts at most the limit, one burst, and what can be accepted before all
// daemons have received the reports, according to docs/design/admission.md.
func TestAcceptedRateStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, false)
		bound := maxUnreported(m.rate, DefaultBurst, DefaultExchangeInterval, len(m.nodes))
		for m.step = 1; m.step < modelSteps; m.step++ {
			if m.rng.IntN(100) == 0 {
				m.distributeDemand(m.rate * 20 * math.Pow(m.rng.Float64(), 3))
			}
			m.arrivals(t.Fatalf)
			m.exchange()
			if m.tokens < -bound {
				t.Fatalf("step %d: %.1f above the limit, bound %.1f", m.step, -m.tokens, bound)
			}
		}
	})
}

// sumOfRefillRates adds up the own refill rates of the daemons that do not lack
// reports.
func (m *model) sumOfRefillRates() float64 {
	sum := 0.0
	for _, n := range m.nodes {
		if !m.lacksReports(n) {
			sum += n.share.Rate.ownRefillRate()
		}
	}
	return sum
}

// The same callers with a limit on requests in flight, which run for up to ten
// seconds. If all exchanges arrive, the fleet never has more in flight than the
// shares, which add up to the limit, plus what each daemon may admit above its
// share before it learns that others do the same.
func TestInFlightStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, false)
		for m.step = 1; m.step < modelSteps; m.step++ {
			if m.rng.IntN(100) == 0 {
				m.distributeDemand(float64(m.slots) * math.Pow(m.rng.Float64(), 2))
			}
			n := float64(len(m.nodes))
			total, bound := m.stepInFlight(), int((1+math.Sqrt(n))*float64(m.slots)+n)
			if total > bound {
				t.Fatalf("step %d: %d in flight, bound %d", m.step, total, bound)
			}
			m.exchange()
		}
	})
}

// Three daemons get 60, 25 and 15 of a hundred callers, whose demand exceeds
// the limit. Callers must be refused equally often at every daemon, and the
// whole limit must be used.
func TestUnevenCallersUseAllOfTheLimit(t *testing.T) {
	for _, load := range []float64{1.2, 3} {
		m := newModel(1, 3, 100, 0)
		for i, fraction := range []float64{0.60, 0.25, 0.15} {
			m.nodes[i].demand = load * m.rate * fraction
		}
		accepted := make([]int, 3)
		const settled = 200 // steps
		for m.step = 1; m.step < modelSteps; m.step++ {
			for i, n := range m.arrivals(t.Fatalf) {
				if m.step > settled {
					accepted[i] += n
				}
			}
			m.exchange()
		}
		seconds := (modelSteps - 1 - settled) * modelStep.Seconds()
		total := 0.0
		for i, n := range m.nodes {
			total += float64(accepted[i])
			if p := float64(accepted[i]) / (n.demand * seconds); math.Abs(p-1/load) > 0.05 {
				t.Fatalf("load %.1f: daemon %d accepts a fraction of %.3f", load, i, p)
			}
		}
		utilization := total / (m.rate * seconds)
		t.Logf("load %.1f: %.3f of the limit used, accepted %v", load, utilization, accepted)
		if utilization < 0.98 || utilization > 1.02 {
			t.Fatalf("%.3f of the limit used", utilization)
		}
	}
}

// Callers connect to a previously unused daemon while the whole limit is in use
// elsewhere. The first must be served at once, and refused callers must be
// served after the time they were told to wait.
func TestNewCallerAtIdleDaemon(t *testing.T) {
	m := newModel(1, 7, 20, 0)
	m.nodes[0].demand = 60
	idle := m.nodes[6]
	run := func(steps int) {
		for end := m.step + steps; m.step < end; m.step++ {
			m.arrivals(t.Fatalf)
			m.exchange()
		}
	}
	run(200)
	accept := func() time.Duration {
		idle.share.Rate.RecordArrival()
		wait := idle.share.Rate.Wait(m.now())
		if wait == 0 {
			idle.share.Rate.Take()
		}
		return wait
	}
	if accept() != 0 {
		t.Fatal("the first caller was refused")
	}
	wait := time.Duration(0)
	for wait == 0 {
		wait = accept()
	}
	wait = (wait + time.Second - 1).Truncate(time.Second) // rounded up as in responses
	run(int(wait / modelStep))
	if wait := accept(); wait != 0 {
		t.Fatalf("still refused after the stated wait; %s left to wait", wait)
	}
}

// An operator limits a workspace to one request in thousands of years. The wait
// time overflowed a time.Duration and became negative, so every request was
// admitted.
func TestTinyLimitRefuses(t *testing.T) {
	s := New(Config{})
	s.SetLimits(1e-12, 0)
	for range 5 {
		if s.Rate.Wait(start) == 0 {
			s.Rate.Take()
		}
	}
	if wait := s.Rate.Wait(start); wait <= 0 || wait > maxWait {
		t.Fatalf("wait %s out of range", wait)
	}
}
