package main

import (
	"math"
	"slices"
	"time"
)

// result holds the figures of one run.
type result struct {
	Size, Pattern, System string
	Lag                   time.Duration
	// Steady counts the workspaces that were backlogged from warmUp on.
	Steady int
	// Gap is the largest difference, over time and pairs of steadily
	// backlogged workspaces, of cost received since warmUp over weight; in
	// tokens for a weight of one, and in seconds of the fleet's service.
	GapTokens, GapSeconds float64
	// Served is the whole cost worked off, in tokens, and Busy the time that
	// slots were in use, in seconds of one slot. Short requests have more cost
	// a second, so that Served depends on what is chosen and Busy does not.
	Served, Busy float64
	// Stops counts the preemptions, and Lost is the time in which engines read
	// again what these had taken from their caches; it is left out of Busy.
	Stops int
	Lost  float64
	// Utilisation is Busy over that of the optimum.
	Utilisation float64
	// Bytes is the control traffic of the busiest daemon in bytes a second.
	Bytes float64
	// Waits are those of all workspaces, from arrival to dispatch.
	Waits []waits
	// AskFirst is the 99th percentile, over the workspaces that are not the
	// hot one, of the time from a question's arrival to its first token.
	AskFirst time.Duration
	Refused  int
	// InTime is the work of the answers that were complete before their
	// deadline, in seconds of one slot at full speed.
	InTime float64
	// gaps is the largest difference at each sample, in seconds.
	gaps []point
}

// waits are percentiles of the waits of one workspace.
type waits struct {
	Workspace     int
	Count         int
	P50, P95, P99 time.Duration
}

type point struct{ x, y float64 }

// warmUp is how long a run goes on before differences count: the first slots
// are all given away at once, and requests of all lengths have to mix.
const warmUp = 20 * time.Second

func measure(r *run, system string) result {
	res := result{Size: r.size.name, Pattern: r.pattern.name, System: system, Lag: r.lag}
	last := r.samples[len(r.samples)-1]
	for _, served := range last.served {
		res.Served += served
	}
	res.Lost = r.lost()
	res.Busy = r.busy - res.Lost
	res.Stops = r.stops
	res.gap(r)
	res.wait(r)
	if f, ok := r.system.(*fleet); ok {
		for _, n := range f.nodes {
			res.Bytes = max(res.Bytes, float64(n.sent)/r.pattern.duration.Seconds())
		}
	}
	return res
}

func (res *result) gap(r *run) {
	var base sample
	steady := make([]bool, len(r.pattern.sources))
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
	for _, is := range steady {
		if is {
			res.Steady++
		}
	}
	if res.Steady < 2 {
		return
	}
	for _, s := range r.samples {
		if s.at < warmUp {
			continue
		}
		least, most := math.Inf(1), math.Inf(-1)
		for w := range steady {
			if steady[w] {
				got := (s.served[w] - base.served[w]) / r.pattern.sources[w].weight
				least, most = min(least, got), max(most, got)
			}
		}
		res.GapTokens = max(res.GapTokens, most-least)
		res.gaps = append(res.gaps, point{s.at.Seconds(), (most - least) / r.size.capacity()})
	}
	res.GapSeconds = res.GapTokens / r.size.capacity()
}

func (res *result) wait(r *run) {
	all := make([][]time.Duration, len(r.pattern.sources))
	var firsts []time.Duration
	for _, j := range r.jobs[:r.next] {
		if j.ended && j.decoded >= j.output && (j.deadline == 0 || j.end <= j.deadline) {
			res.InTime += j.prompt/prefillRate + j.output/decodeRate
		}
		switch {
		case j.refused:
			res.Refused++
		case !j.started && !j.ended:
			// It still waits: what it has waited so far counts.
			all[j.workspace] = append(all[j.workspace], r.now-j.arrival)
		default:
			all[j.workspace] = append(all[j.workspace], j.began-j.arrival)
			if j.class == ask.class && j.workspace != 0 && j.first > 0 {
				firsts = append(firsts, j.first-j.arrival)
			}
		}
	}
	for w, list := range all {
		slices.Sort(list)
		res.Waits = append(res.Waits, waits{
			Workspace: w, Count: len(list),
			P50: percentile(list, 0.5), P95: percentile(list, 0.95), P99: percentile(list, 0.99),
		})
	}
	slices.Sort(firsts)
	res.AskFirst = percentile(firsts, 0.99)
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
