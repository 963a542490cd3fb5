package limit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A workspace is limited to some requests a second. Its callers come to any
// daemons, move, and come all at once after a pause; news are late or lost,
// daemons restart and the fleet is cut. Whatever happens, the fleet accepts beyond
// the limit only what one daemon had not heard of another, and the parts of those
// who know of each other add up to the limit.
func TestRateIsExceededOnlyByWhatIsNotHeardOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, true)
		cutFrom := rapid.IntRange(0, 2*modelSteps).Draw(t, "cut from")
		cutFor := rapid.IntRange(1, modelSteps/4).Draw(t, "cut for")
		for m.step = 1; m.step < modelSteps; m.step++ {
			if m.step == cutFrom || m.step == cutFrom+cutFor {
				m.setCut(m.step == cutFrom)
			}
			if m.rng.IntN(100) == 0 {
				m.spread(m.rate * 4 * math.Pow(m.rng.Float64(), 2))
			}
			if m.rng.IntN(400) == 0 {
				m.boot(m.nodes[m.rng.IntN(len(m.nodes))])
			}
			m.arrivals(t.Fatalf)
			m.exchange()
			if sum := m.partsOfTheSeeing(); sum > (1+floorShare)*m.rate*(1+roundingError) {
				t.Fatalf("step %d: parts of %.3f of %.3f", m.step, sum, m.rate)
			}
		}
	})
}

// The same callers, with exchanges that arrive. Over any span of time the fleet
// accepts the limit, one burst, and what docs/design/admission.md says can be
// accepted before all have heard of it.
func TestAcceptedRateStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, false)
		most := unheard(m.rate, DefaultBurst, DefaultExchange, len(m.nodes))
		for m.step = 1; m.step < modelSteps; m.step++ {
			if m.rng.IntN(100) == 0 {
				m.spread(m.rate * 20 * math.Pow(m.rng.Float64(), 3))
			}
			m.arrivals(t.Fatalf)
			m.exchange()
			if m.tokens < -most {
				t.Fatalf("step %d: %.1f above the limit, bound %.1f", m.step, -m.tokens, most)
			}
		}
	})
}

// partsOfTheSeeing adds up the rates of the daemons that are not blind.
func (m *model) partsOfTheSeeing() float64 {
	sum := 0.0
	for _, n := range m.nodes {
		if !m.blind(n) {
			sum += n.share.Rate.part()
		}
	}
	return sum
}

// The same callers with a limit on what is in flight. Requests run for up to ten
// seconds. With exchanges that arrive, the fleet has never more in flight than
// the parts, which add up to the limit, and what each daemon may take beside its
// part while it does not know that others do.

func TestInFlightStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, false)
		for m.step = 1; m.step < modelSteps; m.step++ {
			if m.rng.IntN(100) == 0 {
				m.spread(float64(m.slots) * math.Pow(m.rng.Float64(), 2))
			}
			n := float64(len(m.nodes))
			total, most := m.flights(), int((1+math.Sqrt(n))*float64(m.slots)+n)
			if total > most {
				t.Fatalf("step %d: %d in flight, above %d", m.step, total, most)
			}
			m.exchange()
		}
	})
}

// Three daemons get 60, 25 and 15 of a hundred callers, who ask for more than the
// limit. Each is to be refused as often, wherever it connects, and all of the limit
// is to be used.
func TestUnevenCallersUseAllOfTheLimit(t *testing.T) {
	for _, load := range []float64{1.2, 3} {
		m := newModel(1, 3, 100, 0)
		for i, part := range []float64{0.60, 0.25, 0.15} {
			m.nodes[i].demand = load * m.rate * part
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
				t.Fatalf("load %.1f: daemon %d accepts %.3f", load, i, p)
			}
		}
		used := total / (m.rate * seconds)
		t.Logf("load %.1f: %.3f of the limit, accepted %v", load, used, accepted)
		if used < 0.98 || used > 1.02 {
			t.Fatalf("%.3f of the limit is used", used)
		}
	}
}

// Callers come to a daemon that nobody met before, while all of the limit is in
// use elsewhere. The first is served at once; those refused are told a time after
// which they are served.
func TestNewCallerAtAQuietDaemon(t *testing.T) {
	m := newModel(1, 7, 20, 0)
	m.nodes[0].demand = 60
	quiet := m.nodes[6]
	run := func(steps int) {
		for end := m.step + steps; m.step < end; m.step++ {
			m.arrivals(t.Fatalf)
			m.exchange()
		}
	}
	run(200)
	accept := func() time.Duration {
		quiet.share.Rate.Arrived()
		wait := quiet.share.Rate.Wait(m.now())
		if wait == 0 {
			quiet.share.Rate.Take()
		}
		return wait
	}
	if accept() != 0 {
		t.Fatal("the first caller is refused")
	}
	wait := time.Duration(0)
	for wait == 0 {
		wait = accept()
	}
	wait = (wait + time.Second - 1).Truncate(time.Second) // as callers are told
	run(int(wait / modelStep))
	if wait := accept(); wait != 0 {
		t.Fatalf("after that time there is still %s to wait", wait)
	}
}

// An operator limits a workspace to a request in some thousand years. The time to
// wait is more than a duration holds, and came out below zero, which let all in.
func TestTinyLimitRefuses(t *testing.T) {
	s := New(Config{})
	s.SetLimits(1e-12, 0)
	for range 5 {
		if s.Rate.Wait(start) == 0 {
			s.Rate.Take()
		}
	}
	if wait := s.Rate.Wait(start); wait <= 0 || wait > longestWait {
		t.Fatalf("wait %s", wait)
	}
}
