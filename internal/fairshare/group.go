package fairshare

import (
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// group is a set of workspaces that may use the same targets. If those targets
// have too little capacity for the group's fair share, the group falls ever
// further behind the others and cannot be repaid. If every workspace were
// measured against one common median and clamped to it, the differences within
// such a group, or within all other workspaces, would be lost, because all of
// them would sit at the clamp. Each group is therefore shifted as a whole, and
// its members are compared with each other.
type group struct {
	// floor is the highest median virtual time that the group's backlogged
	// workspaces have reached. A workspace starts there when no other one is
	// backlogged.
	floor float64
	// median is the median virtual time of the group's candidates in the
	// current call of Pick.
	median float64
}

// SetGroup assigns a workspace to the named group of workspaces that may use
// the same targets. The empty name is the group of those that may use every
// target. A workspace that changes groups keeps the lead it had in its former
// group.
func (l *Ledger) SetGroup(ws ident.Workspace, name string) {
	a := l.account(ws)
	g := l.groups[name]
	if g == nil {
		g = &group{floor: l.defaultGroup.floor}
		l.groups[name] = g
	}
	a.virtualTime += g.floor - a.group.floor
	a.group = g
}

// clampGroups computes the median virtual time of each group of candidates. It
// limits the distance of each group's median from the overall median, and of
// each candidate from its group's median, to bound, and discards the excess.
func clampGroups(list []scoredCandidate, overallMedian, bound float64) {
	for i := range list {
		g := list[i].group
		if !isFirstOfGroup(list, i) {
			continue
		}
		g.median = overallMedian
		if members := membersOf(list, g); len(members) < len(list) {
			g.median = weightedMedian(members)
		}
		clampedMedian := clampAround(g.median, overallMedian, bound)
		for k := range list {
			if list[k].group == g {
				list[k].virtualTime = clampAround(list[k].virtualTime+clampedMedian-g.median, clampedMedian, bound)
			}
		}
		g.floor = max(g.floor+clampedMedian-g.median, clampedMedian)
		g.median = clampedMedian
	}
}

// clampAround returns the value closest to x that is at most bound away from
// center.
func clampAround(x, center, bound float64) float64 {
	return max(center-bound, min(x, center+bound))
}

// isFirstOfGroup reports whether list[i] is the first candidate of its group in
// the list.
func isFirstOfGroup(list []scoredCandidate, i int) bool {
	for k := range i {
		if list[k].group == list[i].group {
			return false
		}
	}
	return true
}

// membersOf returns the candidates that belong to the group.
func membersOf(list []scoredCandidate, g *group) []scoredCandidate {
	if !slices.ContainsFunc(list, func(s scoredCandidate) bool { return s.group != g }) {
		return list
	}
	var members []scoredCandidate
	for i := range list {
		if list[i].group == g {
			members = append(members, list[i])
		}
	}
	return members
}
