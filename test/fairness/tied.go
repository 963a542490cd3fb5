package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// tie lets the sources use only the first third of the engines.
func (p *pattern) tie(sources ...int) {
	p.ties = true
	for _, i := range sources {
		p.sources[i].tied = true
	}
}

// allSteady is a load in which all workspaces are always backlogged, so that what
// each is owed is the weighted max-min share over the targets that it may use.
func allSteady(s size, tied ...int) pattern {
	p := steady(s, nil)
	for i := range p.sources {
		src := &p.sources[i]
		src.load, src.onOff, src.burst = 2.2, 0, initialBacklog*src.weight
	}
	p.tie(tied...)
	return p
}

// mayUse tells whether a workspace's jobs may run on an engine.
func (r *run) mayUse(workspace, engine int) bool {
	return !r.pattern.sources[workspace].tied || engine < len(r.engines)/3
}

// mayUseOn returns mayUse for one engine.
func (r *run) mayUseOn(engine int) func(workspace int) bool {
	return func(workspace int) bool { return r.mayUse(workspace, engine) }
}

// tiedTargets lists the engines that a source is tied to; none means all.
func (r *run) tiedTargets(workspace int) []ident.Target {
	var names []ident.Target
	for t := range r.engines {
		if r.pattern.sources[workspace].tied && r.mayUse(workspace, t) {
			names = append(names, targetName(t))
		}
	}
	return names
}

// maxMin returns the part of all slots that each source is owed where all have
// work: the weighted max-min share. The tied ones have the same level as the
// others, or all of their engines where those are too few for that.
func maxMin(r *run) []float64 {
	const third = 1.0 / 3
	tied, free := 0.0, 0.0
	for _, src := range r.pattern.sources {
		if src.tied {
			tied += src.weight
			continue
		}
		free += src.weight
	}
	levelTied, levelFree := 1/(tied+free), 1/(tied+free)
	if tied*levelTied > third {
		levelTied, levelFree = third/tied, (1-third)/free
	}
	shares := make([]float64, len(r.pattern.sources))
	for i, src := range r.pattern.sources {
		shares[i] = src.weight * levelFree
		if src.tied {
			shares[i] = src.weight * levelTied
		}
	}
	return shares
}

// ties measures what the gap does not show: the least part of its max-min share
// that a workspace received, where all are backlogged, and the longest time in
// which one that was backlogged received nothing.
func (res *result) ties(r *run, steady []bool) {
	first := slices.IndexFunc(r.samples, func(s sample) bool { return s.at >= warmUp })
	from, to := r.samples[first], r.samples[len(r.samples)-1]
	total := 0.0
	for w := range steady {
		total += to.served[w] - from.served[w]
	}
	res.LeastShare = math.Inf(1)
	for w, share := range maxMin(r) {
		res.LeastShare = min(res.LeastShare, (to.served[w]-from.served[w])/total/share)
	}
	if slices.Contains(steady, false) {
		res.LeastShare = 0
	}
	for w, is := range steady {
		if !is {
			continue
		}
		last := from
		for _, s := range r.samples[first:] {
			res.Starved = max(res.Starved, s.at-last.at)
			if s.served[w] > last.served[w] {
				last = s
			}
		}
	}
}

func (res *result) tiesText() string {
	if res.LeastShare == 0 {
		return "-\t" + res.Starved.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%.4f\t%s", res.LeastShare, res.Starved.Round(time.Millisecond))
}
