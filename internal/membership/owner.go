package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Owner returns which of the members hands out the slots of a target: the
// highest random weight (rendezvous hashing) among the members of the target's
// zone. Each member's coming or going moves only what it owns itself, and two
// daemons that know the same members agree without a message.
//
// Members that leave are passed over. Where a zone has no other, the live
// members of all zones share its targets; where there are none at all, the
// leaving ones of the zone, then of all zones, keep them to the end. The result
// is empty where members is empty.
//
// Ownership is soft: two daemons that know different members may both own a
// target for a moment. Nothing but the number of admitted requests leans on it.
func Owner(service ident.Service, target ident.Target, zone ident.Zone, members []Member) ident.Daemon {
	var best ident.Daemon
	var bestRank int
	var bestWeight uint64
	for _, m := range members {
		rank := ownerRank(m, zone)
		w := weight(service, target, m.ID)
		if rank > bestRank || rank == bestRank && (w > bestWeight || w == bestWeight && m.ID < best) {
			best, bestRank, bestWeight = m.ID, rank, w
		}
	}
	return best
}

// ownerRank orders the fallbacks of Owner; higher is better, zero is never.
func ownerRank(m Member, zone ident.Zone) int {
	local := m.Zone == zone
	switch {
	case local && !m.Leaving:
		return 4
	case !m.Leaving:
		return 3
	case local:
		return 2
	default:
		return 1
	}
}

func weight(service ident.Service, target ident.Target, daemon ident.Daemon) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(service), string(target), string(daemon)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write(separator)
	}
	return d.Sum64()
}

// separator keeps "ab"+"c" from "a"+"bc"; it is not valid in names.
var separator = []byte{0}
