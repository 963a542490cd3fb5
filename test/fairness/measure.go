package main

import (
	"math"
	"slices"
	"time"
)

// result holds the measurements of one run.
type result struct {
	Site, Pattern, System string
	Lag                   time.Duration
	// SteadyCount is the number of steadily backlogged workspaces, which are those
	// that were backlogged all the time since warmUp.
	SteadyCount int
	// GapTokens and GapSeconds are the fairness gap: the largest difference in
	// service per weight since warmUp, over all sample times and all pairs of
	// steadily backlogged workspaces that may use the same engines. The units are
	// tokens for a weight of one, and seconds of the whole fleet's capacity.
	GapTokens, GapSeconds float64
	// ServedTokens is the total cost served, in tokens. BusySeconds is the time that
	// slots were in use, summed over all slots. Short requests have a higher cost per
	// second, so ServedTokens depends on which requests are chosen and BusySeconds
	// does not.
	ServedTokens, BusySeconds float64
	// Preemptions is the number of preemptions. RecomputeSeconds is the slot time
	// that engines spent on recomputing cache entries lost by preemption; it is not
	// included in BusySeconds.
	Preemptions      int
	RecomputeSeconds float64
	// Utilization is BusySeconds relative to that of the optimum.
	Utilization float64
	// ControlBytesPerSecond is the control traffic sent by the busiest daemon.
	ControlBytesPerSecond float64
	// Waits holds the times from arrival to dispatch of all workspaces.
	Waits []waitPercentiles
	// QuestionFirstToken is the 99th percentile of the time to first token of
	// questions, measured from arrival and without the hot workspace.
	QuestionFirstToken time.Duration
	Refused            int
	// InTimeSeconds is the work of the requests that completed before their
	// deadline, in seconds of one slot at full speed.
	InTimeSeconds float64
	// MinShareRatio is the lowest ratio of the service that a workspace received to
	// its max-min fair share; zero if not all workspaces are steadily backlogged.
	// MaxStarvation is the longest time in which a steadily backlogged workspace
	// received no service.
	MinShareRatio float64
	MaxStarvation time.Duration
	// gaps is the fairness gap at each sample, in seconds.
	gaps []point
}

// waitPercentiles holds the wait percentiles of one workspace.
type waitPercentiles struct {
	Workspace     int
	Count         int
	P50, P95, P99 time.Duration
}

type point struct{ x, y float64 }

// warmUp is the initial part of a run that the fairness gap ignores: all slots are
// assigned at once at the start, and it takes a while until requests of all lengths
// are mixed.
const warmUp = 20 * time.Second

func measure(r *run, system string) result {
	res := result{Site: r.site.name, Pattern: r.pattern.name, System: system, Lag: r.lag}
	last := r.samples[len(r.samples)-1]
	for _, served := range last.served {
		res.ServedTokens += served
	}
	res.RecomputeSeconds = r.totalRecomputeSeconds()
	res.BusySeconds = r.busySeconds - res.RecomputeSeconds
	res.Preemptions = r.preemptions
	res.measureGap(r)
	res.measureWaits(r)
	if f, ok := r.system.(*fleet); ok {
		for _, n := range f.nodes {
			res.ControlBytesPerSecond = max(res.ControlBytesPerSecond, float64(n.sentBytes)/r.pattern.duration.Seconds())
		}
	}
	return res
}

func (res *result) measureGap(r *run) {
	var base sample
	steady := make([]bool, len(r.pattern.loads))
	for i := range steady {
		steady[i] = true
	}
	for _, s := range r.samples {
		if s.at < warmUp {
			base = s
			continue
		}
		for w, n := range s.waiting {
			steady[w] = steady[w] && n > 0
		}
	}
	for _, backlogged := range steady {
		if backlogged {
			res.SteadyCount++
		}
	}
	if res.SteadyCount < 2 {
		return
	}
	res.measureShares(r, steady)
	for _, s := range r.samples {
		if s.at < warmUp {
			continue
		}
		gap := max(r.maxServiceDifference(base, s, steady, true), r.maxServiceDifference(base, s, steady, false))
		res.GapTokens = max(res.GapTokens, gap)
		res.gaps = append(res.gaps, point{s.at.Seconds(), gap / r.site.capacity()})
	}
	res.GapSeconds = res.GapTokens / r.site.capacity()
}

// maxServiceDifference returns the largest difference in service per weight since
// base among the steadily backlogged workspaces that are restricted, or among those
// that are not.
func (r *run) maxServiceDifference(base, s sample, steady []bool, restricted bool) float64 {
	least, most := math.Inf(1), math.Inf(-1)
	for w, src := range r.pattern.loads {
		if steady[w] && src.restricted == restricted {
			service := (s.served[w] - base.served[w]) / src.weight
			least, most = min(least, service), max(most, service)
		}
	}
	return max(0, most-least)
}

func (res *result) measureWaits(r *run) {
	all := make([][]time.Duration, len(r.pattern.loads))
	var firstTokens []time.Duration
	for _, j := range r.jobs[:r.nextArrival] {
		if j.ended && j.decoded >= j.output && (j.deadline == 0 || j.endedAt <= j.deadline) {
			res.InTimeSeconds += j.prompt/prefillRate + j.output/decodeRate
		}
		switch {
		case j.refused:
			res.Refused++
		case !j.started && !j.ended:
			// The job is still waiting; its wait so far counts.
			all[j.workspace] = append(all[j.workspace], r.now-j.arrival)
		default:
			all[j.workspace] = append(all[j.workspace], j.dispatchedAt-j.arrival)
			if j.class == question.class && j.workspace != 0 && j.firstTokenAt > 0 {
				firstTokens = append(firstTokens, j.firstTokenAt-j.arrival)
			}
		}
	}
	for w, list := range all {
		slices.Sort(list)
		res.Waits = append(res.Waits, waitPercentiles{
			Workspace: w, Count: len(list),
			P50: percentile(list, 0.5), P95: percentile(list, 0.95), P99: percentile(list, 0.99),
		})
	}
	slices.Sort(firstTokens)
	res.QuestionFirstToken = percentile(firstTokens, 0.99)
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
