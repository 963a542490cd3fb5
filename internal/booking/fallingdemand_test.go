package booking_test

import (
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against a lead over a workspace that daemons shed: its demand falls to a lesser one that
// is still above its share, while what its VM admits of it stays the same. Its grants counted as
// having decayed because its demand is lower, and others got several times as much.
func TestFallingDemandOfAShedWorkspaceRaisesNobody(t *testing.T) {
	const fall = 10 * time.Second
	for _, admitted := range []float64{0.6e6, 1.24e6} {
		for _, seed := range seeds {
			s := newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, 68, 60, "shed", "steady")
			s.service.Rate = 500000
			for _, e := range s.engines {
				e.rate = 10 * simRate
			}
			s.updatePeers()
			start := s.now
			var shed, steady grantSeries
			s.onDispatch = func(j *job) {
				to := map[ident.Workspace]*grantSeries{"shed": &shed, "steady": &steady}[j.Workspace]
				to[min(len(to)-1, int(s.now.Sub(start)/shedStep))] += j.Cost()
			}
			newRequest := sessionRequests(1, 4000, 1000, meanRequestTokens-1000, 0)
			s.offerShed(shedLoad{"shed", 1, func(time.Duration) float64 { return admitted }, func(at time.Duration) float64 {
				if at < fall {
					return shedDemand
				}
				return 1.2 * admitted
			}}, newRequest)
			s.offer(workload{workspace: "steady", perSecond: 5.3e6 / meanRequestTokens, end: shedDuration, objective: 400 * time.Millisecond, newRequest: newRequest})
			s.run(20 * time.Second)
			const steps = int(6 * time.Second / shedStep)
			for first := int(4 * time.Second / shedStep); first+steps <= int(20*time.Second/shedStep); first++ {
				shedTokens, steadyTokens := shed.sum(first, steps), steady.sum(first, steps)
				if starved(shedTokens, steadyTokens) {
					t.Errorf("%.2f M a second admitted, seed %d, from %s on: %.2f M tokens of the others, %.2f M of the shed one", admitted/1e6, seed, time.Duration(first)*shedStep, steadyTokens/1e6, shedTokens/1e6)
					break
				}
			}
		}
	}
}
