package booking_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// offerHotAndLight offers the load of three light workspaces and of two hot ones at the given
// rate each.
func offerHotAndLight(s *sim, hot float64) {
	for i, w := range []ident.Workspace{"b", "c", "d"} {
		s.offer(workload{workspace: w, perSecond: 8, end: 14 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(uint64(1000*i), 20, 8000, 3000, 40)})
	}
	for i, w := range []ident.Workspace{"hot", "hot 2"} {
		s.offer(workload{workspace: w, perSecond: hot, start: 2 * time.Second, end: 14 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(uint64(10000*(i+1)), 40, 8000, 3000, 40)})
	}
}

// Guards against shares that are computed from the stated rate while engines have capacity
// left. Two workspaces demand four times their share of the stated rate while the engines,
// which have three quarters of the prompts cached, spend less than half of their time on
// prefill: every second request of these workspaces was refused. With shares of the observed
// capacity they get more, and the light workspaces lose nothing.
func TestSharesFollowObservedCapacity(t *testing.T) {
	is := is.New(t)
	hot := tally{}
	for _, seed := range seeds {
		s := newSim(seed, 4, 6, "hot", "hot 2", "b", "c", "d")
		s.service.Rate = 400000
		s.service.FetchPerToken = time.Microsecond
		s.updatePeers()
		offerHotAndLight(s, 30)
		s.run(20 * time.Second)
		s.logTallies(t)
		for _, w := range []ident.Workspace{"b", "c", "d"} {
			is.True(s.tallies[w].inTimeShare() > 0.9)
		}
		for _, w := range []ident.Workspace{"hot", "hot 2"} {
			hot.submitted += s.tallies[w].submitted
			hot.inTime += s.tallies[w].inTime
		}
	}
	t.Logf("fraction of the hot workspaces' requests in time: %.2f", hot.inTimeShare())
	is.True(hot.inTimeShare() > 0.55) // shares of the stated rate give half
}

// Three times that load on engines that run at half of the rate: there is no spare capacity,
// and the hot workspaces are held to their shares to protect the light ones.
func TestSharesAreEnforcedOnFullEngines(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 6, "hot", "hot 2", "b", "c", "d")
		for _, e := range s.engines {
			e.rate = simRate / 2
		}
		s.service.Rate = 400000
		s.service.FetchPerToken = time.Microsecond
		s.updatePeers()
		offerHotAndLight(s, 90)
		s.run(20 * time.Second)
		s.logTallies(t)
		light, hot := tally{}, tally{}
		for _, w := range []ident.Workspace{"b", "c", "d"} {
			light.submitted += s.tallies[w].submitted
			light.inTime += s.tallies[w].inTime
		}
		for _, w := range []ident.Workspace{"hot", "hot 2"} {
			hot.submitted += s.tallies[w].submitted
			hot.inTime += s.tallies[w].inTime
		}
		is.True(light.inTimeShare() > hot.inTimeShare())
		is.True(light.inTimeShare() > 0.7)
	}
}
