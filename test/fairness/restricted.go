package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// restrict limits the workspaces to the first third of the engines.
func (p *pattern) restrict(workspaces ...int) {
	p.hasRestrictions = true
	for _, i := range workspaces {
		p.loads[i].restricted = true
	}
}

// allBacklogged returns a load pattern in which all workspaces are always
// backlogged, so that the fair share of each is its weighted max-min share over the
// targets that it may use.
func allBacklogged(s site, restricted ...int) pattern {
	p := steady(s, nil)
	for i := range p.loads {
		src := &p.loads[i]
		src.offeredLoad, src.onOffPeriod, src.burstSeconds = 2.2, 0, initialBacklogSeconds*src.weight
	}
	p.restrict(restricted...)
	return p
}

// mayUse reports whether jobs of a workspace may run on an engine.
func (r *run) mayUse(workspace, engine int) bool {
	return !r.pattern.loads[workspace].restricted || engine < len(r.engines)/3
}

// mayUseOn returns a function that reports whether a workspace may use the engine.
func (r *run) mayUseOn(engine int) func(workspace int) bool {
	return func(workspace int) bool { return r.mayUse(workspace, engine) }
}

// allowedTargets lists the targets that a workspace is restricted to; an empty list
// means all.
func (r *run) allowedTargets(workspace int) []ident.Target {
	var names []ident.Target
	for t := range r.engines {
		if r.pattern.loads[workspace].restricted && r.mayUse(workspace, t) {
			names = append(names, targetName(t))
		}
	}
	return names
}

// maxMinShares returns each workspace's weighted max-min share as a fraction of all
// slots if all workspaces are backlogged. Restricted workspaces have the same share
// per weight as the others, or divide all of their engines among themselves if these
// are too few for that.
func maxMinShares(r *run) []float64 {
	const third = 1.0 / 3
	restrictedWeight, otherWeight := 0.0, 0.0
	for _, src := range r.pattern.loads {
		if src.restricted {
			restrictedWeight += src.weight
			continue
		}
		otherWeight += src.weight
	}
	restrictedLevel, otherLevel := 1/(restrictedWeight+otherWeight), 1/(restrictedWeight+otherWeight)
	if restrictedWeight*restrictedLevel > third {
		restrictedLevel, otherLevel = third/restrictedWeight, (1-third)/otherWeight
	}
	shares := make([]float64, len(r.pattern.loads))
	for i, src := range r.pattern.loads {
		shares[i] = src.weight * otherLevel
		if src.restricted {
			shares[i] = src.weight * restrictedLevel
		}
	}
	return shares
}

// measureShares sets MinShareRatio and MaxStarvation, which cover what the fairness
// gap does not show.
func (res *result) measureShares(r *run, steady []bool) {
	first := slices.IndexFunc(r.samples, func(s sample) bool { return s.at >= warmUp })
	from, to := r.samples[first], r.samples[len(r.samples)-1]
	total := 0.0
	for w := range steady {
		total += to.served[w] - from.served[w]
	}
	res.MinShareRatio = math.Inf(1)
	for w, share := range maxMinShares(r) {
		res.MinShareRatio = min(res.MinShareRatio, (to.served[w]-from.served[w])/total/share)
	}
	if slices.Contains(steady, false) {
		res.MinShareRatio = 0
	}
	for w, backlogged := range steady {
		if !backlogged {
			continue
		}
		last := from
		for _, s := range r.samples[first:] {
			res.MaxStarvation = max(res.MaxStarvation, s.at-last.at)
			if s.served[w] > last.served[w] {
				last = s
			}
		}
	}
}

func (res *result) shareText() string {
	if res.MinShareRatio == 0 {
		return "-\t" + res.MaxStarvation.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%.4f\t%s", res.MinShareRatio, res.MaxStarvation.Round(time.Millisecond))
}
