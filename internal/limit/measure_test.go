package limit

import (
	"math"
	"testing"
)

// figures compares a fleet with one daemon that gets the same requests.
type figures struct {
	accepted, best int
	// above is the most that was accepted above the limit and its bucket over any
	// span of time, or in flight above the limit, in seconds of a rate or as part
	// of the limit. over is its mean of what is in flight.
	above, over float64
}

// pattern is how callers come, in multiples of the limit.
type pattern struct {
	name string
	load float64
	// move is how many steps lie between moves on average; zero: never.
	move int
	// restart lets a daemon start again without state every ten seconds.
	restart bool
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

func (p pattern) fleet(seed uint64, daemons int, rate float64, slots int) *model {
	m := newModel(seed, daemons, rate, slots)
	// A request in flight takes five seconds on average.
	total := p.load * (rate + float64(slots)/5)
	for i, part := range []float64{0.60, 0.25, 0.15} {
		m.nodes[i].demand = total * part
	}
	return m
}

// disturb moves the callers or restarts a daemon where it is time.
func (p pattern) disturb(m *model) {
	if p.move > 0 && m.rng.IntN(p.move) == 0 {
		m.spread(p.load * (m.rate + float64(m.slots)/5))
	}
	if p.restart && m.step%200 == 0 {
		m.boot(m.nodes[m.rng.IntN(len(m.nodes))])
	}
}

func (p pattern) measureRate(t *testing.T, daemons int, rate float64) (f figures) {
	for seed := range uint64(seeds) {
		m := p.fleet(seed, daemons, rate, 0)
		level, least := 0.0, 0.0
		for m.step = 1; m.step < modelSteps; m.step++ {
			p.disturb(m)
			for _, accepted := range m.arrivals(t.Fatalf) {
				level += float64(accepted)
			}
			m.exchange()
			level -= rate * modelStep.Seconds()
			f.above = max(f.above, (level-least-m.bucket())/rate)
			least = min(least, level)
		}
		f.add(m)
	}
	return f
}

func (p pattern) measureInFlight(daemons, slots int) (f figures) {
	for seed := range uint64(seeds) {
		m := p.fleet(seed, daemons, 0, slots)
		for m.step = 1; m.step < modelSteps; m.step++ {
			p.disturb(m)
			above := max(0, float64(m.flights()-slots)/float64(slots))
			m.exchange()
			f.above = max(f.above, above)
			f.over += above / (seeds * (modelSteps - 1))
		}
		f.add(m)
	}
	return f
}

func (f *figures) add(m *model) {
	f.accepted += m.accepted
	f.best += m.best
}

func (f *figures) used() float64 { return float64(f.accepted) / float64(f.best) }

// TestMeasured prints the figures of docs/design/admission.md (go test -v). It
// fails where a fleet that nobody moves in leaves more than a twentieth of what
// one daemon would accept, or exceeds what the bound allows.
func TestMeasured(t *testing.T) {
	for _, p := range patterns {
		for _, daemons := range []int{3, 7} {
			for _, rate := range []float64{2, 20, 100} {
				f := p.measureRate(t, daemons, rate)
				t.Logf("%s, load %.1f, %d daemons, %3.0f/s: %.3f of the best, %.2f s above",
					p.name, p.load, daemons, rate, f.used(), f.above)
				if p.move == 0 && !p.restart && f.used() < 0.95 {
					t.Error("too little is used")
				}
				most := unheard(rate, DefaultBurst, DefaultExchange, daemons)/rate + DefaultBurst.Seconds()
				if !p.restart && f.above > most+floorShare*modelSteps*modelStep.Seconds() {
					t.Errorf("above the bound of %.2f s", most)
				}
			}
			for _, slots := range []int{4, 16, 60} {
				f := p.measureInFlight(daemons, slots)
				t.Logf("%s, load %.1f, %d daemons, %2d in flight: %.3f of the best, %.2f above at most, %.4f on average",
					p.name, p.load, daemons, slots, f.used(), f.above, f.over)
				if p.move == 0 && !p.restart && f.used() < 0.95 {
					t.Error("too little is used")
				}
				if f.above > math.Sqrt(float64(daemons))+float64(daemons)/float64(slots) && !p.restart {
					t.Error("above the bound")
				}
			}
		}
	}
}
