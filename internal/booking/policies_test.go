package booking_test

import (
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// offerMixedLoad offers the load of a site of twelve engines on a busy day: drafts with long
// shared prefixes, short questions, tags, and three workspaces, one of which sends five times
// its usual rate for half of the time.
func offerMixedLoad(s *sim) {
	for _, w := range []ident.Workspace{"a", "b", "c"} {
		s.offer(workload{workspace: w, perSecond: 9, end: 12 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 130, 5400, 6600, 380)})
		s.offer(workload{workspace: w, perSecond: 35, end: 12 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1000, 330, 200, 630, 290)})
		s.offer(workload{workspace: w, perSecond: 25, end: 12 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(2000, 236, 570, 1800, 24)})
	}
	s.offer(workload{workspace: "a", perSecond: 36, start: 3 * time.Second, end: 9 * time.Second, objective: 600 * time.Millisecond, newRequest: sessionRequests(1, 130, 5400, 6600, 380)})
	s.offer(workload{workspace: "a", perSecond: 140, start: 3 * time.Second, end: 9 * time.Second, objective: 300 * time.Millisecond, newRequest: sessionRequests(1000, 330, 200, 630, 290)})
}

// BenchmarkPolicies simulates the mixed load over twenty seeds with the Cores, with the least
// loaded engine for every request, and with an omniscient scheduler; with the Cores also at
// stated rates, above which workspaces get spare capacity. It reports the percentages of
// requests in time, for all workspaces and for the two that send their usual rate, and the
// shared tokens that were recomputed, in thousands per seed.
func BenchmarkPolicies(b *testing.B) {
	for _, p := range []struct {
		name   string
		policy func(*sim, *job) ident.Target
		rate   float64
	}{
		{"booking", nil, 0},
		{"booking,rate=1000k", nil, 1000000},
		{"booking,rate=470k", nil, 470000},
		{"emptiest", leastLoaded, 0},
		{"all-knowing", omniscient, 0},
	} {
		b.Run(p.name, func(b *testing.B) {
			const runs = 20
			for b.Loop() {
				var all, usual tally
				recomputed := 0
				for seed := range uint64(runs) {
					s := newSim(seed, 6, 12, "a", "b", "c")
					s.service.Rate = p.rate
					s.updatePeers()
					s.policy = p.policy
					offerMixedLoad(s)
					s.run(20 * time.Second)
					for w, t := range s.tallies {
						all.submitted += t.submitted
						all.inTime += t.inTime
						if w != "a" {
							usual.submitted += t.submitted
							usual.inTime += t.inTime
						}
					}
					recomputed += s.recomputed
				}
				b.ReportMetric(100*all.inTimeShare(), "%in-time")
				b.ReportMetric(100*usual.inTimeShare(), "%usual-in-time")
				b.ReportMetric(float64(recomputed)/runs/1000, "ktokens-again")
			}
		})
	}
}
