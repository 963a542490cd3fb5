package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Member is a live daemon that is not about to leave.
type Member struct {
	ID   ident.Daemon
	Zone ident.Zone
}

const (
	// maxGroupSize is the size from which on the daemons of a zone are divided into groups. A
	// daemon sends its records to keepers of its own group only: each keeper costs a message
	// per batch, whatever it holds.
	maxGroupSize = 8
	// copies is the number of keepers of a record.
	copies = 2
)

// directory determines the keepers of records.
type directory struct {
	self ident.Daemon
	hash uint64
	zone ident.Zone
	// zones holds the groups of each zone, this daemon included; the number of groups is a
	// power of two.
	zones map[ident.Zone][][]keeper
	size  int
	// otherZones lists the other zones in the order in which this one uses them for copies.
	otherZones []ident.Zone
}

type keeper struct {
	id   ident.Daemon
	hash uint64
}

func newDirectory(self ident.Daemon, zone ident.Zone, members []Member) *directory {
	d := &directory{self: self, hash: xxhash.Sum64String(string(self)), zone: zone, zones: map[ident.Zone][][]keeper{}, size: len(members)}
	byZone := map[ident.Zone][]keeper{}
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], keeper{m.ID, xxhash.Sum64String(string(m.ID))})
	}
	for z, keepers := range byZone {
		slices.SortFunc(keepers, func(a, b keeper) int { return cmp.Compare(a.id, b.id) })
		groups := make([][]keeper, groupCount(len(keepers)))
		for _, k := range keepers {
			i := k.hash % uint64(len(groups))
			groups[i] = append(groups[i], k)
		}
		d.zones[z] = groups
		if z != zone {
			d.otherZones = append(d.otherZones, z)
		}
	}
	slices.SortFunc(d.otherZones, func(a, b ident.Zone) int {
		return cmp.Or(cmp.Compare(pairWeight(zone, b), pairWeight(zone, a)), cmp.Compare(a, b))
	})
	return d
}

// groupCount returns the smallest power of two of groups that have maxGroupSize members at most
// on average.
func groupCount(members int) int {
	n := 1
	for members > n*maxGroupSize {
		n *= 2
	}
	return n
}

func pairWeight(a, b ident.Zone) uint64 {
	return mix(xxhash.Sum64String(string(a)) ^ mix(xxhash.Sum64String(string(b))))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// best returns the n members of a group, copies at most, with the highest weights for a key.
// This daemon is left out.
func (d *directory) best(group []keeper, key Key, n int) []ident.Daemon {
	type ranked struct {
		id     ident.Daemon
		weight uint64
	}
	top := make([]ranked, 0, copies+1)
	for _, k := range group {
		if k.id == d.self {
			continue
		}
		r := ranked{k.id, mix(uint64(key) ^ k.hash)}
		i := len(top)
		for i > 0 && top[i-1].weight < r.weight {
			i--
		}
		top = slices.Insert(top, i, r)
		top = top[:min(n, len(top))]
	}
	out := make([]ident.Daemon, len(top))
	for i, r := range top {
		out[i] = r.id
	}
	return out
}

// keepersOf returns the daemons to which this one sends a record: one of its group, and one of
// the matching group of another zone. Where a zone has none, a further zone replaces it, and at
// last a second daemon of the same group.
func (d *directory) keepersOf(key Key) []ident.Daemon {
	var first, second []ident.Daemon
	for _, zone := range append([]ident.Zone{d.zone}, d.otherZones...) {
		ranked := d.best(d.group(zone), key, copies)
		first = append(first, ranked[:min(1, len(ranked))]...)
		second = append(second, ranked[min(1, len(ranked)):]...)
		if len(first) == copies {
			return first
		}
	}
	first = append(first, second...)
	return first[:min(copies, len(first))]
}

// group returns the group of a zone that corresponds to this daemon's; it is empty if the zone
// has no daemons.
func (d *directory) group(zone ident.Zone) []keeper {
	groups := d.zones[zone]
	if len(groups) == 0 {
		return nil
	}
	return groups[d.hash%uint64(len(groups))]
}

// maxAskedAll is the size of a fleet up to which all daemons are asked, so that also the one that
// began the stream answers, before it has sent its record.
const maxAskedAll = 16

// candidates returns the daemons that may have a record: near the one with the highest weight of
// each group of this daemon's zone, far those of the other zones. Since a daemon is no keeper of
// its own streams, and may just have ended, far has the next ones of the own zone, too.
func (d *directory) candidates(key Key) (near, far []ident.Daemon) {
	if d.size <= maxAskedAll {
		return d.everyone()
	}
	for _, group := range d.zones[d.zone] {
		ranked := d.best(group, key, copies)
		near = append(near, ranked[:min(1, len(ranked))]...)
		far = append(far, ranked[min(1, len(ranked)):]...)
	}
	for _, zone := range d.otherZones {
		for _, group := range d.zones[zone] {
			far = append(far, d.best(group, key, 1)...)
		}
	}
	return near, far
}

// everyone returns all other daemons, those of this daemon's zone apart.
func (d *directory) everyone() (near, far []ident.Daemon) {
	for _, group := range d.zones[d.zone] {
		for _, k := range group {
			if k.id != d.self {
				near = append(near, k.id)
			}
		}
	}
	for _, zone := range d.otherZones {
		for _, group := range d.zones[zone] {
			for _, k := range group {
				far = append(far, k.id)
			}
		}
	}
	return near, far
}
