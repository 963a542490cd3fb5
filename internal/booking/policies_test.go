package booking_test

import (
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// mixed offers what a site of twelve engines gets on a heavy day: drafts with long
// shared parts, short questions, tags, three workspaces of which one sends five times
// its usual for half of the time.
func mixed(s *sim) {
	for _, w := range []ident.Workspace{"a", "b", "c"} {
		s.offer(load{workspace: w, perSecond: 9, to: 12 * time.Second, objective: 600 * time.Millisecond, make: session(1, 130, 5400, 6600, 380)})
		s.offer(load{workspace: w, perSecond: 35, to: 12 * time.Second, objective: 300 * time.Millisecond, make: session(1000, 330, 200, 630, 290)})
		s.offer(load{workspace: w, perSecond: 25, to: 12 * time.Second, objective: 300 * time.Millisecond, make: session(2000, 236, 570, 1800, 24)})
	}
	s.offer(load{workspace: "a", perSecond: 36, from: 3 * time.Second, to: 9 * time.Second, objective: 600 * time.Millisecond, make: session(1, 130, 5400, 6600, 380)})
	s.offer(load{workspace: "a", perSecond: 140, from: 3 * time.Second, to: 9 * time.Second, objective: 300 * time.Millisecond, make: session(1000, 330, 200, 630, 290)})
}

// BenchmarkPolicies plays the mixed load over twenty seeds with the Cores, with the
// emptiest engine for every request, and with a scheduler that knows all; with the
// Cores also at stated rates, above which workspaces get what is spare. It reports,
// in percent, the requests in time, and those of the two workspaces that send their
// usual; and the shared tokens read again, in thousands a seed.
func BenchmarkPolicies(b *testing.B) {
	for _, p := range []struct {
		name   string
		policy func(*sim, *job) ident.Target
		rate   float64
	}{
		{"booking", nil, 0},
		{"booking,rate=1000k", nil, 1000000},
		{"booking,rate=470k", nil, 470000},
		{"emptiest", emptiest, 0},
		{"all-knowing", allKnowing, 0},
	} {
		b.Run(p.name, func(b *testing.B) {
			const runs = 20
			for b.Loop() {
				var all, usual tally
				reread := 0
				for seed := range uint64(runs) {
					s := newSim(seed, 6, 12, "a", "b", "c")
					s.service.Rate = p.rate
					s.tellPeers()
					s.policy = p.policy
					mixed(s)
					s.run(20 * time.Second)
					for w, t := range s.got {
						all.asked += t.asked
						all.inTime += t.inTime
						if w != "a" {
							usual.asked += t.asked
							usual.inTime += t.inTime
						}
					}
					reread += s.reread
				}
				b.ReportMetric(100*all.share(), "%in-time")
				b.ReportMetric(100*usual.share(), "%usual-in-time")
				b.ReportMetric(float64(reread)/runs/1000, "ktokens-again")
			}
		})
	}
}
