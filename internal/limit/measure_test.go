package limit

import (
	"math"
	"testing"
)

// results compares a fleet with a single daemon that gets the same requests.
type results struct {
	accepted, baseline int
	// maxExcess is the largest excess over any time span: for a rate, requests
	// above the limit and its bucket, in seconds of the rate; for requests in
	// flight, as a fraction of the limit. meanExcess is the mean of the latter.
	maxExcess, meanExcess float64
}

// pattern describes the arrival of requests, with the demand as a multiple of
// the limit.
type pattern struct {
	name        string
	demandRatio float64
	// moveInterval is the mean number of steps between moves of the callers; zero
	// means that they never move.
	moveInterval int
	// restarts restarts a daemon without state every ten seconds.
	restarts bool
}

var patterns = []pattern{
	{"steady 60/25/15", 0.9, 0, false},
	{"steady 60/25/15", 3, 0, false},
	{"moves each 10 s", 0.5, 200, false},
	{"moves each 10 s", 0.9, 200, false},
	{"moves each 10 s", 3, 200, false},
	{"restarts each 10 s", 0.9, 0, true},
	{"restarts each 10 s", 3, 0, true},
}

const seeds = 20

func (p pattern) newModel(seed uint64, daemons int, rate float64, slots int) *model {
	m := newModel(seed, daemons, rate, slots)
	// A request takes five seconds on average.
	total := p.demandRatio * (rate + float64(slots)/5)
	for i, fraction := range []float64{0.60, 0.25, 0.15} {
		m.nodes[i].demand = total * fraction
	}
	return m
}

// disturb moves the callers or restarts a daemon when due.
func (p pattern) disturb(m *model) {
	if p.moveInterval > 0 && m.rng.IntN(p.moveInterval) == 0 {
		m.distributeDemand(p.demandRatio * (m.rate + float64(m.slots)/5))
	}
	if p.restarts && m.step%200 == 0 {
		m.restart(m.nodes[m.rng.IntN(len(m.nodes))])
	}
}

func (p pattern) measureRate(t *testing.T, daemons int, rate float64) (f results) {
	for seed := range uint64(seeds) {
		m := p.newModel(seed, daemons, rate, 0)
		level, least := 0.0, 0.0
		for m.step = 1; m.step < modelSteps; m.step++ {
			p.disturb(m)
			for _, accepted := range m.arrivals(t.Fatalf) {
				level += float64(accepted)
			}
			m.exchange()
			level -= rate * modelStep.Seconds()
			f.maxExcess = max(f.maxExcess, (level-least-m.bucket())/rate)
			least = min(least, level)
		}
		f.add(m)
	}
	return f
}

func (p pattern) measureInFlight(daemons, slots int) (f results) {
	for seed := range uint64(seeds) {
		m := p.newModel(seed, daemons, 0, slots)
		for m.step = 1; m.step < modelSteps; m.step++ {
			p.disturb(m)
			excess := max(0, float64(m.stepInFlight()-slots)/float64(slots))
			m.exchange()
			f.maxExcess = max(f.maxExcess, excess)
			f.meanExcess += excess / (seeds * (modelSteps - 1))
		}
		f.add(m)
	}
	return f
}

func (f *results) add(m *model) {
	f.accepted += m.accepted
	f.baseline += m.baselineAccepted
}

func (f *results) utilization() float64 { return float64(f.accepted) / float64(f.baseline) }

// TestMeasured prints the results quoted in docs/design/admission.md (go test
// -v). It fails if a fleet without moves and restarts accepts less than 95% of
// what a single daemon would, or if the bound is exceeded.
func TestMeasured(t *testing.T) {
	for _, p := range patterns {
		for _, daemons := range []int{3, 7} {
			for _, rate := range []float64{2, 20, 100} {
				f := p.measureRate(t, daemons, rate)
				t.Logf("%s, load %.1f, %d daemons, %3.0f/s: %.3f of a single daemon, %.2f s excess",
					p.name, p.demandRatio, daemons, rate, f.utilization(), f.maxExcess)
				if p.moveInterval == 0 && !p.restarts && f.utilization() < 0.95 {
					t.Error("utilization too low")
				}
				bound := maxUnreported(rate, DefaultBurst, DefaultExchangeInterval, daemons)/rate + DefaultBurst.Seconds()
				if !p.restarts && f.maxExcess > bound+floorFraction*modelSteps*modelStep.Seconds() {
					t.Errorf("excess above the bound of %.2f s", bound)
				}
			}
			for _, slots := range []int{4, 16, 60} {
				f := p.measureInFlight(daemons, slots)
				t.Logf("%s, load %.1f, %d daemons, %2d in flight: %.3f of a single daemon, maximum excess %.2f, mean %.4f",
					p.name, p.demandRatio, daemons, slots, f.utilization(), f.maxExcess, f.meanExcess)
				if p.moveInterval == 0 && !p.restarts && f.utilization() < 0.95 {
					t.Error("utilization too low")
				}
				if f.maxExcess > math.Sqrt(float64(daemons))+float64(daemons)/float64(slots) && !p.restarts {
					t.Error("excess above the bound")
				}
			}
		}
	}
}
