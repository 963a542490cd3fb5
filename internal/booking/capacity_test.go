package booking_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// hotAndLight offers what three light workspaces ask for, and two hot ones at a rate each.
func hotAndLight(s *sim, hot float64) {
	for i, w := range []ident.Workspace{"b", "c", "d"} {
		s.offer(load{workspace: w, perSecond: 8, to: 14 * time.Second, objective: 600 * time.Millisecond, make: session(uint64(1000*i), 20, 8000, 3000, 40)})
	}
	for i, w := range []ident.Workspace{"hot", "hot 2"} {
		s.offer(load{workspace: w, perSecond: hot, from: 2 * time.Second, to: 14 * time.Second, objective: 600 * time.Millisecond, make: session(uint64(10000*(i+1)), 40, 8000, 3000, 40)})
	}
}

// Two workspaces ask for four times their share of the stated rate while the engines,
// which keep three quarters of the prompts, read for less than half of their time. Every
// second request of theirs was refused beside idle engines. Shares of what is observed
// let them have more, in step with each other, and the light ones lose nothing.
func TestSharesAreOfWhatEnginesWereSeenToGive(t *testing.T) {
	is := is.New(t)
	hot := tally{}
	for _, seed := range seeds {
		s := newSim(seed, 4, 6, "hot", "hot 2", "b", "c", "d")
		s.service.Rate = 400000
		s.service.FetchPerToken = time.Microsecond
		s.tellPeers()
		hotAndLight(s, 30)
		s.run(20 * time.Second)
		s.log(t)
		for _, w := range []ident.Workspace{"b", "c", "d"} {
			is.True(s.got[w].share() > 0.9)
		}
		for _, w := range []ident.Workspace{"hot", "hot 2"} {
			hot.asked += s.got[w].asked
			hot.inTime += s.got[w].inTime
		}
	}
	t.Logf("the hot ones in time: %.2f", hot.share())
	is.True(hot.share() > 0.55) // a half is what shares of the stated rate give
}

// Three times as much on engines that read at half of the rate: nothing is spare there,
// and the hot ones are held to their shares for the light ones' sake.
func TestSharesBindWhereEnginesAreFull(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		s := newSim(seed, 4, 6, "hot", "hot 2", "b", "c", "d")
		for _, e := range s.engines {
			e.rate = simRate / 2
		}
		s.service.Rate = 400000
		s.service.FetchPerToken = time.Microsecond
		s.tellPeers()
		hotAndLight(s, 90)
		s.run(20 * time.Second)
		s.log(t)
		light, hot := tally{}, tally{}
		for _, w := range []ident.Workspace{"b", "c", "d"} {
			light.asked += s.got[w].asked
			light.inTime += s.got[w].inTime
		}
		for _, w := range []ident.Workspace{"hot", "hot 2"} {
			hot.asked += s.got[w].asked
			hot.inTime += s.got[w].inTime
		}
		is.True(light.share() > hot.share())
		is.True(light.share() > 0.7)
	}
}
