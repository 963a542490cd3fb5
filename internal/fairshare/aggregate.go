package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// Aggregate sums the service that the daemons of a zone have delivered to one
// workspace. It is kept by the aggregator, the daemon of the zone that aggregates
// this workspace. It counts increments since its creation, so a total is only
// meaningful relative to an earlier total of the same Aggregate. It excludes
// the service delivered by the aggregator itself, which the Ledger
// holds. The zero value is empty.
type Aggregate struct {
	zoneTotal, otherZonesTotal float64
	zonePeers                  map[ident.Daemon]float64
}

// AddZonePeer adds service delivered by another daemon of the zone.
func (a *Aggregate) AddZonePeer(d ident.Daemon, cost float64) {
	if a.zonePeers == nil {
		a.zonePeers = make(map[ident.Daemon]float64)
	}
	a.zonePeers[d] += cost
	a.zoneTotal += cost
}

// ForgetZonePeer releases the state of a daemon that has left.
func (a *Aggregate) ForgetZonePeer(d ident.Daemon) { delete(a.zonePeers, d) }

// AddOtherZone adds service delivered in another zone.
func (a *Aggregate) AddOtherZone(cost float64) { a.otherZonesTotal += cost }

// TotalForZonePeer returns the service delivered by all daemons except d, a
// daemon of the zone, where localService is that of the aggregator.
// Service delivered by d is excluded, because d counted it on delivery.
func (a *Aggregate) TotalForZonePeer(d ident.Daemon, localService float64) float64 {
	return localService + a.zoneTotal - a.zonePeers[d] + a.otherZonesTotal
}

// ZoneTotal returns the service delivered in the zone, to be reported to other
// zones.
func (a *Aggregate) ZoneTotal(localService float64) float64 { return localService + a.zoneTotal }

// Origin identifies the daemon incarnation that reported a total. Zone is the
// zone whose service the total covers, or the receiver's own zone for a total
// of everything that the receiver does not count itself.
type Origin struct {
	Zone        ident.Zone
	Daemon      ident.Daemon
	Incarnation uint64
}

// aggregateReport is the last total reported for one workspace and zone.
type aggregateReport struct {
	origin               Origin
	total, lastIncrement float64
}

// MergeAggregate applies a total aggregated by another daemon and returns the
// service added. Duplicated and lost messages do no harm, because each total
// replaces the previous one.
//
// A total from a different origin than the previous one sets a baseline: that
// origin started counting at another time, and its total includes an unknown
// part of what has been counted already. Half of the former origin's last
// increment is added for the service that it did not report any more, as for an
// owner that fails. The first total for a workspace and zone sets a baseline
// only if the caller indicates that it may include service from before.
func (l *Ledger) MergeAggregate(origin Origin, ws ident.Workspace, total float64, baseline bool) (added float64) {
	byZone := l.aggregates[ws]
	if byZone == nil {
		byZone = make(map[ident.Zone]aggregateReport)
		l.aggregates[ws] = byZone
	}
	previous, seen := byZone[origin.Zone]
	switch {
	case seen && previous.origin == origin:
		added = total - previous.total
	case seen:
		added = previous.lastIncrement / 2
	case !baseline:
		added = total
	}
	byZone[origin.Zone] = aggregateReport{origin: origin, total: total, lastIncrement: added}
	a := l.account(ws)
	a.virtualTime += added / a.weight
	return added
}

// MergeZonePeer is Merge for a daemon whose service this daemon aggregates for
// its zone. It returns the service added. The first report counts in full
// unless the caller indicates that it may include service already counted
// through the former aggregator.
func (l *Ledger) MergeZonePeer(daemon ident.Daemon, incarnation uint64, ws ident.Workspace, served float64, baseline bool) (added float64) {
	return l.merge(daemon, incarnation, ws, served, baseline)
}

// ResetBaselines discards the reports about a workspace when other daemons take
// over reporting it, so that the next totals can be used as baselines. Half of
// the last increment of each aggregate is added for service that its origin no
// longer reports.
func (l *Ledger) ResetBaselines(ws ident.Workspace) {
	for _, p := range l.peers {
		delete(p.reports, ws)
	}
	a := l.account(ws)
	for _, report := range l.aggregates[ws] {
		a.virtualTime += report.lastIncrement / 2 / a.weight
	}
	delete(l.aggregates, ws)
}
