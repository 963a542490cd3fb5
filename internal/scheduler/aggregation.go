package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// Hierarchical aggregation of served totals, for fleets in which hundreds of
// daemons serve the same hundreds of backlogged workspaces. If each daemon
// sends its totals to all others, the traffic that it sends and receives grows
// with daemons times workspaces: 2.2 B/s for each pair, or 590 KB/s at 360
// daemons and 620 workspaces.
//
// Therefore each workspace belongs to a shard, and each shard has one
// aggregator in every zone. A daemon sends its own totals only to the
// aggregators of its zone. An aggregator sends the zone's total to the
// aggregators of the shard in other zones, and sends each daemon of its zone
// the total of all others. Traffic then grows with the number of workspaces
// plus the number of daemons in a zone. The cost is latency: service is known
// everywhere after at most three rounds instead of one exchange. Demand is not
// aggregated; it is sent as in the full exchange.
//
// Small fleets use the full exchange, which keeps the fairness gap a third
// smaller (docs/design/exchange.md).
const (
	// defaultAggregationThreshold is the number of daemons above which served
	// totals are aggregated. At that size the full exchange, 2.2 B/s per
	// workspace and peer (docs/CAPACITY.md), takes a quarter of the control
	// budget of 4 KB/s with 20 backlogged workspaces.
	defaultAggregationThreshold = 24
	// aggregationHysteresis keeps the exchange mode stable while one daemon in
	// five joins and leaves: the full exchange resumes only below four fifths
	// of the bound. Each change of mode costs one round of service that is not
	// counted.
	aggregationHysteresis = 5

	// roundBytesPerSecond is the share of the control budget that rounds may
	// use, in bytes per second: half of 4 KB/s. The rest is for demand, grants,
	// heartbeats, and configuration.
	roundBytesPerSecond = 2048
	// frameBytes and rowBytes are the sizes on the network of a message and of
	// one row in it (docs/CAPACITY.md).
	frameBytes = 88
	rowBytes   = 10
	// maxPropagationRounds is the number of rounds until a total reaches the
	// last daemon: to the aggregator, to the other zones, and to their daemons.
	// lagRounds is explained at reportingLag.
	maxPropagationRounds = 3
	lagRounds            = 2
)

// shouldAggregate reports whether the fleet is large enough for hierarchical
// aggregation.
func (c *Core) shouldAggregate() bool {
	daemons, bound := len(c.peers)+1, c.cfg.AggregationThreshold
	if c.aggregation != nil {
		bound -= bound / aggregationHysteresis
	}
	return daemons > bound
}

// selectExchangeMode switches between the full exchange and hierarchical
// aggregation according to the number of daemons, and recomputes the
// aggregators.
func (c *Core) selectExchangeMode(now time.Time) {
	previous := c.aggregation
	if !c.shouldAggregate() {
		c.aggregation = nil
		if previous != nil {
			c.rebaseAllShards(now)
		}
		return
	}
	// Peers switch according to their own view of the membership and then send
	// their totals within one round plus the network latency.
	settled := now.Add((maxPropagationRounds + 1) * c.roundInterval())
	c.aggregation = newAggregationPlan(c.cfg.Zone, c.knownMembers(), previous, settled)
	if previous == nil {
		c.rebaseShards(func(int) bool { return true })
	} else {
		c.rebaseShards(func(shard int) bool { return previous.localAggregator(shard) != c.aggregation.localAggregator(shard) })
	}
	c.markForResend(previous)
}

// markForResend marks the peers that newly need totals from this daemon: the
// new aggregators of its zone and, for shards that this daemon has started to
// aggregate, the aggregators in other zones.
func (c *Core) markForResend(previous *aggregationPlan) {
	for zone, z := range c.aggregation.zones {
		for shard, id := range z.aggregators {
			aggregatedHere := c.aggregation.localAggregator(shard) == c.cfg.Self
			if zone != c.cfg.Zone && !aggregatedHere {
				continue
			}
			unchanged := previous != nil && previous.aggregator(zone, shard) == id && (previous.localAggregator(shard) == c.cfg.Self || !aggregatedHere)
			if p := c.peers[id]; p != nil && !unchanged {
				p.needsTotals = true
			}
		}
	}
}

// rebaseShards discards what was received about the workspaces of the changed
// shards. Otherwise a retained total would be compared with a new one, and
// everything that other daemons reported in between would count twice. The
// aggregates are kept: if this daemon becomes the aggregator again, other zones
// compare with the last zone total they received from it.
func (c *Core) rebaseShards(changed func(shard int) bool) {
	for _, s := range c.services {
		for _, w := range s.sortedWorkspaces {
			if changed(w.shard) {
				s.ledger.ResetBaselines(w.Name)
			}
		}
	}
}

// rebaseAllShards is rebaseShards for the switch to the full exchange, in which
// totals go to all daemons. Earlier totals of the peers become a baseline,
// because they were already counted as part of aggregates.
func (c *Core) rebaseAllShards(now time.Time) {
	c.rebaseShards(func(int) bool { return true })
	c.baselineUntil = now.Add((maxPropagationRounds + 1) * c.cfg.ExchangeInterval)
	for _, p := range c.peers {
		p.needsTotals = true
	}
}

// aggregates reports whether this daemon is the aggregator of the workspace in
// its zone.
func (c *Core) aggregates(w *workspace) bool {
	return c.aggregation.localAggregator(w.shard) == c.cfg.Self
}

// totalsSettled reports whether the first total received for the workspace
// counts in full.
func (c *Core) totalsSettled(now time.Time, w *workspace) bool {
	return !now.Before(c.aggregation.settledAt[w.shard])
}

// workspaceAggregate is the aggregated service of one workspace.
type workspaceAggregate struct {
	fairshare.Aggregate
	// zonePeersDirty and otherZonesDirty are set while the total has to be sent
	// to the peers in this zone and to other zones.
	zonePeersDirty, otherZonesDirty bool
}

func (s *service) aggregateFor(name ident.Workspace) *workspaceAggregate {
	if s.aggregates == nil {
		s.aggregates = map[ident.Workspace]*workspaceAggregate{}
	}
	if s.aggregates[name] == nil {
		s.aggregates[name] = &workspaceAggregate{}
	}
	return s.aggregates[name]
}

// mergeServedTotal merges a total of the service that the peer itself delivered.
func (c *Core) mergeServedTotal(now time.Time, p *peer, total ServedTotal) {
	s := c.services[total.Service]
	if s == nil {
		return
	}
	if c.aggregation == nil {
		if now.Before(c.baselineUntil) {
			s.ledger.MergeZonePeer(p.ID, p.Incarnation, total.Workspace, total.Served, true)
			return
		}
		s.ledger.Merge(p.ID, p.Incarnation, total.Workspace, total.Served)
		return
	}
	w := s.workspaces[total.Workspace]
	if w == nil || p.Zone != c.cfg.Zone || !c.aggregates(w) {
		return
	}
	added := s.ledger.MergeZonePeer(p.ID, p.Incarnation, w.Name, total.Served, !c.totalsSettled(now, w))
	sum := s.aggregateFor(w.Name)
	sum.AddZonePeer(p.ID, added)
	sum.zonePeersDirty, sum.otherZonesDirty = true, true
}

// mergeAggregate merges a total that an aggregator computed: the one of this
// zone, or, if this daemon aggregates the workspace too, the one of another zone.
func (c *Core) mergeAggregate(now time.Time, p *peer, total ServedTotal) {
	s := c.services[total.Service]
	if s == nil || c.aggregation == nil {
		return
	}
	w := s.workspaces[total.Workspace]
	if w == nil || c.aggregation.aggregator(p.Zone, w.shard) != p.ID {
		return
	}
	origin := fairshare.Origin{Zone: p.Zone, Daemon: p.ID, Incarnation: p.Incarnation}
	switch {
	case p.Zone == c.cfg.Zone:
		s.ledger.MergeAggregate(origin, w.Name, total.Served, !c.totalsSettled(now, w))
	case c.aggregates(w):
		sum := s.aggregateFor(w.Name)
		sum.AddOtherZone(s.ledger.MergeAggregate(origin, w.Name, total.Served, !c.totalsSettled(now, w)))
		sum.zonePeersDirty = true
	}
}

// sendAggregated sends what changed since the last round to the daemons that
// need it.
func (c *Core) sendAggregated(s *service) {
	for _, name := range s.ledger.Changed() {
		w := s.workspaces[name]
		if w == nil {
			continue
		}
		if c.aggregates(w) {
			sum := s.aggregateFor(name)
			sum.zonePeersDirty, sum.otherZonesDirty = true, true
			continue
		}
		c.sendServedTotal(c.aggregation.localAggregator(w.shard), s, w)
	}
	for _, name := range slices.Sorted(maps.Keys(s.aggregates)) {
		w, sum := s.workspaces[name], s.aggregates[name]
		if !sum.zonePeersDirty || !c.aggregates(w) {
			continue
		}
		for _, p := range c.peers {
			c.sendAggregate(p, s, w, sum, sum.otherZonesDirty)
		}
		sum.zonePeersDirty, sum.otherZonesDirty = false, false
	}
}

// resendAggregated sends everything that a peer needs to know, because it may
// have lost messages.
func (c *Core) resendAggregated(p *peer, s *service) {
	for _, w := range s.sortedWorkspaces {
		if !c.aggregates(w) && c.aggregation.localAggregator(w.shard) == p.ID && s.ledger.LocalService(w.Name) != 0 {
			c.sendServedTotal(p.ID, s, w)
		}
		if sum := s.aggregates[w.Name]; sum != nil && c.aggregates(w) {
			c.sendAggregate(p, s, w, sum, true)
		}
	}
}

func (c *Core) sendServedTotal(to ident.Daemon, s *service, w *workspace) {
	if c.peers[to] == nil {
		return
	}
	m := c.messageTo(to)
	m.ServedTotals = append(m.ServedTotals, ServedTotal{Service: s.name, Workspace: w.Name, Served: s.ledger.LocalService(w.Name)})
}

// sendAggregate sends the total that is relevant to a peer: to a daemon of this
// zone, the service of all others; to the aggregator in another zone, the service
// of this zone.
func (c *Core) sendAggregate(p *peer, s *service, w *workspace, sum *workspaceAggregate, otherZonesDirty bool) {
	own := s.ledger.LocalService(w.Name)
	total := ServedTotal{Service: s.name, Workspace: w.Name}
	switch {
	case p.Zone == c.cfg.Zone:
		total.Served = sum.TotalForZonePeer(p.ID, own)
	case otherZonesDirty && c.aggregation.aggregator(p.Zone, w.shard) == p.ID:
		total.Served = sum.ZoneTotal(own)
	default:
		return
	}
	m := c.messageTo(p.ID)
	m.Aggregates = append(m.Aggregates, total)
}

// exchangeTotals sends the served totals that are due.
func (c *Core) exchangeTotals(now time.Time, trigger updateTrigger) {
	if c.aggregation == nil {
		if trigger == onExchange {
			for _, s := range c.services {
				c.sendTotals(s)
			}
		}
		return
	}
	if trigger == onExchange {
		for _, p := range c.peers {
			if !p.needsFullUpdate && !p.needsTotals {
				continue
			}
			for _, s := range c.services {
				c.resendAggregated(p, s)
			}
		}
	}
	if now.Before(c.nextRound) {
		return
	}
	c.nextRound = now.Add(c.roundInterval())
	for _, s := range c.services {
		c.sendAggregated(s)
	}
}

// roundInterval is the time between two rounds: at least the exchange interval,
// and long enough to stay within the budget. In each round a daemon sends its
// totals and its aggregates to the daemons of its zone, and its aggregates to the
// aggregators in each other zone.
func (c *Core) roundInterval() time.Duration {
	zonePeers, rows := 0, 0
	zones := map[ident.Zone]bool{}
	for _, p := range c.peers {
		if p.Zone == c.cfg.Zone {
			zonePeers++
		} else {
			zones[p.Zone] = true
		}
	}
	for _, s := range c.services {
		rows += len(s.active)
	}
	frames := 2*zonePeers + len(zones)
	// Each row goes to its aggregator. Of the rows that this daemon aggregates,
	// which is one in (zonePeers+1), each goes to every daemon of the zone and
	// to every other zone.
	sentRows := 2*rows + rows*len(zones)/(zonePeers+1)
	bytes := frames*frameBytes + sentRows*rowBytes
	return max(c.cfg.ExchangeInterval, time.Duration(bytes)*time.Second/roundBytesPerSecond)
}

// reportingLag is the delay with which this daemon learns of service elsewhere;
// the gain of the slow loop falls with it. With aggregation it is set to two
// rounds; the mean delay, to the aggregator and from there on, is one and a
// half. The mean gap over five patterns and two seeds at a round of 1 s, for a
// lag of one, two, and three rounds, is 0.229, 0.213, and 0.272 s at 7 daemons,
// and 0.138, 0.142, and 0.169 s at 32.
func (c *Core) reportingLag() time.Duration {
	if c.aggregation == nil {
		return c.cfg.ExchangeInterval
	}
	return lagRounds * c.roundInterval()
}
