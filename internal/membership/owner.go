package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Owners determines which of a set of members allocates the slots of a target:
// the one with the highest random weight (rendezvous hashing) among the members
// of the target's zone. A member that joins or leaves moves only the targets it
// owns itself, and two daemons that know the same members agree without
// communication.
//
// Leaving members are skipped. If a zone has no other members, the live members
// of all zones share its targets. If there are no live members at all, the
// leaving ones of the zone, then of all zones, keep the targets until they stop.
//
// Ownership is not exclusive: two daemons with different views of the members
// may both own a target for a short time. Only the number of admitted requests
// depends on it.
type Owners struct {
	live, leaving             []Member
	liveByZone, leavingByZone map[ident.Zone][]Member
}

// NewOwners returns the Owners of a set of members. It indexes them by zone so
// that a lookup scans only the members of the target's zone, which at 360
// daemons in 14 zones is a fourteenth of the work.
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

// Lookup returns the owner of a target, or an empty name if there are no members.
func (o *Owners) Lookup(service ident.Service, target ident.Target, zone ident.Zone) ident.Daemon {
	for _, candidates := range [][]Member{o.liveByZone[zone], o.live, o.leavingByZone[zone], o.leaving} {
		if len(candidates) > 0 {
			return highestWeight(service, target, candidates)
		}
	}
	return ""
}

func highestWeight(service ident.Service, target ident.Target, candidates []Member) ident.Daemon {
	var best ranking
	for _, m := range candidates {
		w := hashWeight(service, target, m.ID)
		if best.owner == "" || outranks(w, m.ID, best) {
			best = ranking{owner: m.ID, weight: w}
		}
	}
	return best.owner
}

func hashWeight(service ident.Service, target ident.Target, daemon ident.Daemon) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(service))
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(string(target))
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(string(daemon))
	return digest.Sum64()
}

// separator makes the hash input of "ab"+"c" differ from that of "a"+"bc"; it is
// not valid in names.
var separator = []byte{0}
