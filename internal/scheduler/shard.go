package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// shardCount is into how many shards the workspaces of all services are
// divided. With 26 daemons in a zone, some ten shards each keep the spread of
// the work within a third of the mean, and the table costs a hash a daemon and
// shard at a change of members.
const shardCount = 256

// shardName is what the rendezvous hash of a shard is made of. No service and
// no target may be called so: names have no colon.
var shardName = func() (names [shardCount]ident.Target) {
	for i := range names {
		names[i] = ident.Target(fmt.Sprintf("shard:%d", i))
	}
	return names
}()

func shardOf(service ident.Service, ws ident.Workspace) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(ws))
	return int(d.Sum64() % shardCount)
}

// reduction says who adds up the service of which workspaces, zone by zone.
// Two daemons that know the same members agree without a message. While they do
// not, a total reaches a daemon that does not ask for it and is dropped; the
// next one covers it.
type reduction struct {
	zone  ident.Zone
	zones map[ident.Zone]*zoneShards
	// settled is when totals of a shard that are seen first count in full:
	// until then they may cover service that was told by others before.
	settled [shardCount]time.Time
}

// zoneShards has the daemon that adds up each shard of one zone.
type zoneShards struct {
	// members are those that it was worked out for.
	members []membership.Member
	adders  [shardCount]ident.Daemon
}

// newReduction works the shards out for a set of members that has this daemon in
// it. Former is nil at the start; then all shards are new. A zone whose members
// are the same keeps its shards: at 360 daemons in 14 zones the whole would take
// 92,000 hashes at each change of one member.
func newReduction(zone ident.Zone, members []membership.Member, former *reduction, settles time.Time) *reduction {
	r := &reduction{zone: zone, zones: map[ident.Zone]*zoneShards{}}
	for id, list := range byZone(members) {
		if former != nil && former.zones[id] != nil && slices.Equal(former.zones[id].members, list) {
			r.zones[id] = former.zones[id]
			continue
		}
		r.zones[id] = newZoneShards(id, list)
	}
	for i := range r.settled {
		r.settled[i] = settles
		if former != nil && former.own(i) == r.own(i) {
			r.settled[i] = former.settled[i]
		}
	}
	return r
}

func byZone(members []membership.Member) map[ident.Zone][]membership.Member {
	zones := map[ident.Zone][]membership.Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for _, list := range zones {
		slices.SortFunc(list, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return zones
}

func newZoneShards(zone ident.Zone, members []membership.Member) *zoneShards {
	z := &zoneShards{members: members}
	owners := membership.NewOwners(members)
	for i := range z.adders {
		z.adders[i] = owners.Of("", shardName[i], zone)
	}
	return z
}

// own is the daemon of this zone that adds up the shard.
func (r *reduction) own(shard int) ident.Daemon { return r.adder(r.zone, shard) }

// adder is the daemon of a zone that adds up the shard; empty where the zone
// has none.
func (r *reduction) adder(zone ident.Zone, shard int) ident.Daemon {
	if z := r.zones[zone]; z != nil {
		return z.adders[shard]
	}
	return ""
}
