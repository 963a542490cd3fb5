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

// shardCount is the number of shards that the workspaces of all services are
// divided into. With 26 daemons in a zone, about ten shards each keep the load
// within a third of the mean. Computing the table takes one hash per daemon and
// shard when the membership changes.
const shardCount = 256

// shardKeys holds the rendezvous hash keys of the shards. They cannot collide
// with the names of services and targets, which contain no colon.
var shardKeys = func() (keys [shardCount]ident.Target) {
	for i := range keys {
		keys[i] = ident.Target(fmt.Sprintf("shard:%d", i))
	}
	return keys
}()

func shardOf(service ident.Service, ws ident.Workspace) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(ws))
	return int(d.Sum64() % shardCount)
}

// aggregationPlan assigns the shards of each zone to aggregators. Daemons that
// know the same members compute the same plan without communication. While
// their views differ, a total may reach a daemon that is not its aggregator and
// is dropped; the next total replaces it.
type aggregationPlan struct {
	zone  ident.Zone
	zones map[ident.Zone]*zoneShards
	// settledAt is when the first total received for a shard counts in full.
	// Before that, it may include service that other daemons have already
	// reported.
	settledAt [shardCount]time.Time
}

// zoneShards holds the aggregator of each shard in one zone.
type zoneShards struct {
	// members are the daemons that the assignment was computed for.
	members     []membership.Member
	aggregators [shardCount]ident.Daemon
}

// newAggregationPlan computes the plan for a set of members that includes this
// daemon. previous is nil for the first plan; then all shards are new. A zone
// whose members did not change keeps its assignment: at 360 daemons in 14
// zones, a full computation would take 92,000 hashes for each change of one
// member.
func newAggregationPlan(zone ident.Zone, members []membership.Member, previous *aggregationPlan, settled time.Time) *aggregationPlan {
	plan := &aggregationPlan{zone: zone, zones: map[ident.Zone]*zoneShards{}}
	for zoneID, zoneMembers := range membersByZone(members) {
		if previous != nil && previous.zones[zoneID] != nil && slices.Equal(previous.zones[zoneID].members, zoneMembers) {
			plan.zones[zoneID] = previous.zones[zoneID]
			continue
		}
		plan.zones[zoneID] = newZoneShards(zoneID, zoneMembers)
	}
	for i := range plan.settledAt {
		plan.settledAt[i] = settled
		if previous != nil && previous.localAggregator(i) == plan.localAggregator(i) {
			plan.settledAt[i] = previous.settledAt[i]
		}
	}
	return plan
}

func membersByZone(members []membership.Member) map[ident.Zone][]membership.Member {
	zones := map[ident.Zone][]membership.Member{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for _, zoneMembers := range zones {
		slices.SortFunc(zoneMembers, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return zones
}

func newZoneShards(zone ident.Zone, members []membership.Member) *zoneShards {
	z := &zoneShards{members: members}
	owners := membership.NewOwners(members)
	for i := range z.aggregators {
		z.aggregators[i] = owners.Lookup("", shardKeys[i], zone)
	}
	return z
}

// localAggregator returns the daemon of this zone that aggregates the shard.
func (plan *aggregationPlan) localAggregator(shard int) ident.Daemon {
	return plan.aggregator(plan.zone, shard)
}

// aggregator returns the daemon of a zone that aggregates the shard, or an
// empty string if the zone has no daemons.
func (plan *aggregationPlan) aggregator(zone ident.Zone, shard int) ident.Daemon {
	if z := plan.zones[zone]; z != nil {
		return z.aggregators[shard]
	}
	return ""
}
