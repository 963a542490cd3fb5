package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Owners tells which of a set of members hands out the slots of a target: the
// highest random weight (rendezvous hashing) among the members of the target's
// zone. Each member's coming or going moves only what it owns itself, and two
// daemons that know the same members agree without a message.
//
// Members that leave are passed over. Where a zone has no other, the live
// members of all zones share its targets; where there are none at all, the
// leaving ones of the zone, then of all zones, keep them to the end.
//
// Ownership is soft: two daemons that know different members may both own a
// target for a moment. Nothing but the number of admitted requests leans on it.
type Owners struct {
	live, leaving             []Member
	liveByZone, leavingByZone map[ident.Zone][]Member
}

// NewOwners prepares a set of members. Only those of a target's zone are looked
// at then, which at 360 daemons in 14 zones is a fourteenth of the work.
func NewOwners(members []Member) *Owners {
	o := &Owners{liveByZone: map[ident.Zone][]Member{}, leavingByZone: map[ident.Zone][]Member{}}
	for _, m := range members {
		if m.Leaving {
			o.leaving = append(o.leaving, m)
			o.leavingByZone[m.Zone] = append(o.leavingByZone[m.Zone], m)
			continue
		}
		o.live = append(o.live, m)
		o.liveByZone[m.Zone] = append(o.liveByZone[m.Zone], m)
	}
	return o
}

// Of returns the owner of a target; it is empty where there are no members.
func (o *Owners) Of(service ident.Service, target ident.Target, zone ident.Zone) ident.Daemon {
	for _, candidates := range [][]Member{o.liveByZone[zone], o.live, o.leavingByZone[zone], o.leaving} {
		if len(candidates) > 0 {
			return heaviest(service, target, candidates)
		}
	}
	return ""
}

func heaviest(service ident.Service, target ident.Target, candidates []Member) ident.Daemon {
	var best ident.Daemon
	var bestWeight uint64
	for _, m := range candidates {
		w := weight(service, target, m.ID)
		if best == "" || w > bestWeight || w == bestWeight && m.ID < best {
			best, bestWeight = m.ID, w
		}
	}
	return best
}

func weight(service ident.Service, target ident.Target, daemon ident.Daemon) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write(separator)
	_, _ = d.WriteString(string(target))
	_, _ = d.Write(separator)
	_, _ = d.WriteString(string(daemon))
	return d.Sum64()
}

// separator keeps "ab"+"c" from "a"+"bc"; it is not valid in names.
var separator = []byte{0}
