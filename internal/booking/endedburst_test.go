package booking_test

import (
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against idle targets after the burst of a workspace that daemons shed: its grants decay
// because its demand is lower, and the others were held near them for as long as its demand, which
// decays alike, was above the level.
func TestEndedBurstOfAShedWorkspaceHoldsNobodyBack(t *testing.T) {
	const (
		admitted    = 1.24e6
		demandAfter = 0.1e6
		burstEnd    = 10 * time.Second
		// steps is long enough for some 250 requests, so that a quarter is four times the
		// standard deviation of their number.
		steps = int(2 * time.Second / shedStep)
	)
	for _, seed := range seeds {
		s := newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, 68, 60, "shed", "steady")
		s.service.Rate = 500000
		for _, e := range s.engines {
			e.rate = 10 * simRate
		}
		s.updatePeers()
		start := s.now
		var steady grantSeries
		s.onDispatch = func(j *job) {
			if j.Workspace == "steady" {
				steady[min(len(steady)-1, int(s.now.Sub(start)/shedStep))] += j.Cost()
			}
		}
		until := func(before, after float64) func(time.Duration) float64 {
			return func(at time.Duration) float64 {
				if at < burstEnd {
					return before
				}
				return after
			}
		}
		newRequest := sessionRequests(1, 4000, 1000, meanRequestTokens-1000, 0)
		s.offerShed(shedLoad{"shed", 1, until(admitted, demandAfter), until(shedDemand, demandAfter)}, newRequest)
		s.offer(workload{workspace: "steady", perSecond: 5.3e6 / meanRequestTokens, end: shedDuration, objective: 400 * time.Millisecond, newRequest: newRequest})
		s.run(18 * time.Second)
		end := int(burstEnd / shedStep)
		before := steady.sum(end-2*steps, 2*steps) / 2
		for first := end; first+steps <= int(18*time.Second/shedStep); first += steps {
			if got := steady.sum(first, steps); got < 0.75*before {
				t.Errorf("seed %d, %s after the burst: %.2f M tokens in two seconds, %.2f M during it", seed, time.Duration(first-end)*shedStep, got/1e6, before/1e6)
			}
		}
	}
}
