package limit

import (
	"fmt"
	"testing"
)

// BenchmarkBursts simulates callers that after a pause send ten times the limit
// at once, evenly to all daemons. It reports how far the fleet exceeds the
// limit and its bucket, in seconds of the rate, and the maximum number in
// flight as a multiple of the limit.
func BenchmarkBursts(b *testing.B) {
	const rate, slots, pause = 100, 60, modelSteps / 4
	for _, daemons := range []int{3, 7, 16, 67} {
		b.Run(fmt.Sprintf("%d_daemons", daemons), func(b *testing.B) {
			for b.Loop() {
				maxExcess, maxInFlight := 0.0, 0
				for seed := range uint64(5) {
					m := newModel(seed, daemons, rate, 0)
					level, least := 0.0, 0.0
					for m.step = 1; m.step < modelSteps/2; m.step++ {
						if m.step == pause {
							m.distributeEvenly(10 * rate)
						}
						for _, accepted := range m.arrivals(b.Fatalf) {
							level += float64(accepted)
						}
						m.exchange()
						level -= rate * modelStep.Seconds()
						maxExcess = max(maxExcess, (level-least-m.bucket())/rate)
						least = min(least, level)
					}
					inFlightModel := newModel(seed, daemons, 0, slots)
					for inFlightModel.step = 1; inFlightModel.step < modelSteps/2; inFlightModel.step++ {
						if inFlightModel.step == pause {
							inFlightModel.distributeEvenly(10 * slots)
						}
						maxInFlight = max(maxInFlight, inFlightModel.stepInFlight())
						inFlightModel.exchange()
					}
				}
				b.ReportMetric(maxExcess, "s-above")
				b.ReportMetric(float64(maxInFlight)/slots, "times-in-flight")
			}
		})
	}
}

// distributeEvenly divides a demand equally among all nodes.
func (m *model) distributeEvenly(total float64) {
	for _, n := range m.nodes {
		n.demand = total / float64(len(m.nodes))
	}
}
