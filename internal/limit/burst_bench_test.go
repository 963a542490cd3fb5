package limit

import (
	"fmt"
	"testing"
)

// BenchmarkBursts has callers come to all daemons evenly and at once after a pause, for ten times
// the limit. It reports how far above limit and bucket the fleet accepts, in seconds of the rate,
// and how many times the limit is in flight at most.
func BenchmarkBursts(b *testing.B) {
	const rate, slots, pause = 100, 60, modelSteps / 4
	for _, daemons := range []int{3, 7, 16, 67} {
		b.Run(fmt.Sprintf("%d_daemons", daemons), func(b *testing.B) {
			for b.Loop() {
				above, most := 0.0, 0
				for seed := range uint64(5) {
					m := newModel(seed, daemons, rate, 0)
					level, least := 0.0, 0.0
					for m.step = 1; m.step < modelSteps/2; m.step++ {
						if m.step == pause {
							m.even(10 * rate)
						}
						for _, accepted := range m.arrivals(b.Fatalf) {
							level += float64(accepted)
						}
						m.exchange()
						level -= rate * modelStep.Seconds()
						above = max(above, (level-least-m.bucket())/rate)
						least = min(least, level)
					}
					f := newModel(seed, daemons, 0, slots)
					for f.step = 1; f.step < modelSteps/2; f.step++ {
						if f.step == pause {
							f.even(10 * slots)
						}
						most = max(most, f.flights())
						f.exchange()
					}
				}
				b.ReportMetric(above, "s-above")
				b.ReportMetric(float64(most)/slots, "times-in-flight")
			}
		})
	}
}

// even spreads a demand over all nodes alike.
func (m *model) even(total float64) {
	for _, n := range m.nodes {
		n.demand = total / float64(len(m.nodes))
	}
}
