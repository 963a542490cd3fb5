// Package region says in which regions a request may run. It does no I/O.
package region

import (
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// Set is a set of regions. The zero Set holds all regions.
type Set struct {
	restricted bool
	regions    []ident.Region
}

// NewSet returns the set of the listed regions; all regions if the list is empty.
func NewSet(list []ident.Region) Set {
	return Set{restricted: len(list) > 0, regions: list}
}

// Intersect returns the regions that are in both sets.
func (s Set) Intersect(other Set) Set {
	switch {
	case !s.restricted:
		return other
	case !other.restricted:
		return s
	}
	common := Set{restricted: true}
	for _, r := range s.regions {
		if other.Allows(r) {
			common.regions = append(common.regions, r)
		}
	}
	return common
}

// Allows reports whether a region is in the set. An unknown region, which is empty, is in the set
// of all regions only.
func (s Set) Allows(r ident.Region) bool {
	return !s.restricted || r != "" && slices.Contains(s.regions, r)
}

// Empty reports whether no region is in the set.
func (s Set) Empty() bool { return s.restricted && len(s.regions) == 0 }
