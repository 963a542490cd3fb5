package membership

import (
	"github.com/savorystall/savorystall/internal/ident"
)

// OwnerIndex returns the same owners as Owners and keeps them over changes of the members.
// It is not safe for concurrent use.
//
// In a fleet of n daemons that start or restart one after the other, each daemon processes n
// changes. Comparing all members for all targets at each of them takes a small VM seconds of
// its processor time, in which it serves nobody.
type OwnerIndex struct {
	members []Member
	// live holds the live members.
	live map[ident.Daemon]liveMember
	// generation counts the calls of SetMembers.
	generation uint64
	// known holds the owners that were looked up in zones with live members.
	known map[ownedTarget]ranking
	// comparisons is the number of weights that were computed.
	comparisons int
}

// ownedTarget identifies a target whose owner was looked up.
type ownedTarget struct {
	service ident.Service
	target  ident.Target
	zone    ident.Zone
}

// ranking is the owner of a target among the live members of its zone.
type ranking struct {
	owner  ident.Daemon
	weight uint64
}

// liveMember is a live member as of its last generation.
type liveMember struct {
	zone       ident.Zone
	generation uint64
}

// NewOwnerIndex returns an index without members.
func NewOwnerIndex() *OwnerIndex {
	return &OwnerIndex{live: map[ident.Daemon]liveMember{}, known: map[ownedTarget]ranking{}}
}

// SetMembers replaces the members. Targets keep their owners unless their owner is gone or
// a member of their zone has joined that has a higher weight.
func (x *OwnerIndex) SetMembers(members []Member) {
	x.members = members
	x.generation++
	joined, gone := x.updateLive()
	if len(joined)+len(gone) == 0 {
		return
	}
	for key, r := range x.known {
		if gone[r.owner] {
			delete(x.known, key)
			continue
		}
		x.known[key] = x.best(key, r, joined[key.zone])
	}
}

// updateLive updates the live members and returns those that have joined a zone, and those
// that have left theirs.
func (x *OwnerIndex) updateLive() (joined map[ident.Zone][]ident.Daemon, gone map[ident.Daemon]bool) {
	joined, gone = map[ident.Zone][]ident.Daemon{}, map[ident.Daemon]bool{}
	for _, m := range x.members {
		if m.Leaving {
			continue
		}
		before, known := x.live[m.ID]
		if !known || before.zone != m.Zone {
			joined[m.Zone] = append(joined[m.Zone], m.ID)
		}
		if known && before.zone != m.Zone {
			gone[m.ID] = true
		}
		x.live[m.ID] = liveMember{zone: m.Zone, generation: x.generation}
	}
	for id, m := range x.live {
		if m.generation != x.generation {
			gone[id] = true
			delete(x.live, id)
		}
	}
	return joined, gone
}

// best returns the ranking of a target after the candidates were compared with its owner.
func (x *OwnerIndex) best(key ownedTarget, r ranking, candidates []ident.Daemon) ranking {
	for _, id := range candidates {
		x.comparisons++
		w := hashWeight(key.service, key.target, id)
		if r.owner == "" || outranks(w, id, r) {
			r = ranking{owner: id, weight: w}
		}
	}
	return r
}

// outranks reports whether a daemon with the given weight comes before the owner of a ranking.
func outranks(weight uint64, id ident.Daemon, r ranking) bool {
	return weight > r.weight || weight == r.weight && id < r.owner
}

// Lookup returns the owner of a target, or an empty name if there are no members.
func (x *OwnerIndex) Lookup(service ident.Service, target ident.Target, zone ident.Zone) ident.Daemon {
	key := ownedTarget{service: service, target: target, zone: zone}
	if r, ok := x.known[key]; ok {
		return r.owner
	}
	var candidates []ident.Daemon
	for id, m := range x.live {
		if m.zone == zone {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return NewOwners(x.members).Lookup(service, target, zone) // a zone without live daemons
	}
	r := x.best(key, ranking{}, candidates)
	x.known[key] = r
	return r.owner
}

// Forget drops what is known of targets for which keep returns false, so that the index
// does not grow with targets that come and go.
func (x *OwnerIndex) Forget(keep func(service ident.Service, target ident.Target) bool) {
	for key := range x.known {
		if !keep(key.service, key.target) {
			delete(x.known, key)
		}
	}
}
