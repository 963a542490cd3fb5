package fairshare

import (
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// group is the workspaces that may use the same targets. Where those are too few
// for what the group is owed, it falls behind all others without end, and can
// never be repaid. Measured and clamped from one median, the differences within
// such a group, or within the rest, would all be forgotten: each would stand at
// the clamp. So a group moves as a whole, and its members are compared with each
// other.
type group struct {
	// floor is the highest value that the median of its backlogged has had. It
	// is where a workspace starts when no other is backlogged.
	floor float64
	// middle is the median of the candidates of the group, of the present pick.
	middle float64
}

// SetGroup tells which workspaces may use the same targets: those of one group.
// The empty one is for those that may use all. A workspace that changes the
// group keeps the lead that it had in the old one.
func (l *Ledger) SetGroup(ws ident.Workspace, name string) {
	a := l.account(ws)
	g := l.groups[name]
	if g == nil {
		g = &group{floor: l.all.floor}
		l.groups[name] = g
	}
	a.virtual += g.floor - a.group.floor
	a.group = g
}

// settleGroups measures the median of each group of candidates and forgets what
// is above the bound, of the distance of each group from the median of all, and
// of each candidate from that of its group.
func settleGroups(list []scored, middle, bound float64) {
	for i := range list {
		g := list[i].group
		if !firstOf(list, i) {
			continue
		}
		g.middle = middle
		if members := ofGroup(list, g); len(members) < len(list) {
			g.middle = median(members)
		}
		kept := within(g.middle, middle, bound)
		for k := range list {
			if list[k].group == g {
				list[k].virtual = within(list[k].virtual+kept-g.middle, kept, bound)
			}
		}
		g.floor = max(g.floor+kept-g.middle, kept)
		g.middle = kept
	}
}

// within returns the value nearest to x that is at most bound from the middle.
func within(x, middle, bound float64) float64 {
	return max(middle-bound, min(x, middle+bound))
}

// firstOf tells whether the candidate is the first of its group in the list.
func firstOf(list []scored, i int) bool {
	for k := range i {
		if list[k].group == list[i].group {
			return false
		}
	}
	return true
}

// ofGroup returns the candidates of a group.
func ofGroup(list []scored, g *group) []scored {
	if !slices.ContainsFunc(list, func(s scored) bool { return s.group != g }) {
		return list
	}
	var of []scored
	for i := range list {
		if list[i].group == g {
			of = append(of, list[i])
		}
	}
	return of
}
