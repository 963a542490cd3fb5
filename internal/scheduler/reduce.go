package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// The load pattern that the reduced exchange answers: hundreds of daemons that
// all serve the same hundreds of backlogged workspaces. When each tells its
// parts to all others, what a daemon sends grows with daemons times workspaces
// (2.2 B/s for each pair, 590 KB/s at 360 daemons and 620 workspaces) and what
// it has to take in as well.
//
// So each workspace belongs to a shard, and each shard to one daemon a zone,
// which adds up. A daemon tells its parts only to the daemons of its zone that
// add up their workspaces. Those tell the zone's total to their counterparts in
// other zones, and to each daemon of the zone what all others have delivered.
// Bytes then grow with workspaces and with the daemons of a zone. The price is
// lag: service reaches all others after three rounds at the most in place of one
// exchange. Who waits travels as demand, as before, and not by this way.
//
// Small fleets go on telling everybody, which keeps the gap a third smaller
// (docs/design/exchange.md).
const (
	// defaultReduceAbove is the number of daemons above which the exchange is
	// changed over: where parts to all, 2.2 B/s a workspace and peer
	// (docs/CAPACITY.md), take a quarter of 4 KB/s with 20 backlogged workspaces.
	defaultReduceAbove = 24
	// reduceSlack keeps one daemon in five that comes and goes from changing the
	// exchange over each time, which costs a round of service that is not
	// counted: it is changed back only below four fifths.
	reduceSlack = 5

	// reduceBudget is the part of the control budget, in bytes a second, that a
	// round may take: half of 4 KB/s, the rest is for demand, grants,
	// heartbeats and configuration.
	reduceBudget = 2048
	// frameBytes and rowBytes are what a frame and one row of it take on a
	// link (docs/CAPACITY.md).
	frameBytes = 88
	rowBytes   = 10
	// reduceRounds is how many rounds a part takes to the last daemon: to who
	// adds up, to the other zones, to their daemons.
	reduceRounds = 3
	reduceLag    = 2
)

// reduces tells whether the fleet is large enough for the reduced exchange.
func (c *Core) reduces() bool {
	daemons, bound := len(c.peers)+1, c.cfg.ReduceAbove
	if c.reduction != nil {
		bound -= bound / reduceSlack
	}
	return daemons > bound
}

// chooseExchange changes the exchange over where the number of daemons asks for
// it, and works out anew who adds up.
func (c *Core) chooseExchange(now time.Time) {
	was := c.reduction
	if !c.reduces() {
		c.reduction = nil
		if was != nil {
			c.rebaseAll(now)
		}
		return
	}
	// Peers change over by their own view of the members, and then tell their
	// totals within a round and a message's way.
	settles := now.Add((reduceRounds + 1) * c.round())
	c.reduction = newReduction(c.cfg.Zone, c.knownMembers(), was, settles)
	if was == nil {
		c.rebase(func(int) bool { return true })
	} else {
		c.rebase(func(shard int) bool { return was.own(shard) != c.reduction.own(shard) })
	}
	c.retell(was)
}

// retell marks the peers that have come to be told something by this daemon:
// those that add up for its zone now, and, for the shards that this daemon has
// come to add up itself, those that do so in other zones.
func (c *Core) retell(was *reduction) {
	for zone, z := range c.reduction.zones {
		for shard, id := range z.adders {
			mine := c.reduction.own(shard) == c.cfg.Self
			if zone != c.cfg.Zone && !mine {
				continue
			}
			same := was != nil && was.adder(zone, shard) == id && (was.own(shard) == c.cfg.Self || !mine)
			if p := c.peers[id]; p != nil && !same {
				p.needsTotals = true
			}
		}
	}
}

// rebase drops what was told about the workspaces of the shards. Without it, a
// total that was kept from before would be compared with one of today, and all
// that others told in between would count twice. The sums are kept: should this
// daemon add the workspace up again, other zones compare with its last one.
func (c *Core) rebase(changed func(shard int) bool) {
	for _, s := range c.services {
		for _, w := range s.sortedWorkspaces {
			if changed(w.shard) {
				s.ledger.ResetBaselines(w.Name)

			}
		}
	}
}

// rebaseAll is rebase at the change to the full exchange, which all are told
// now. What they have told before is then a baseline: it was counted in sums.
func (c *Core) rebaseAll(now time.Time) {
	c.rebase(func(int) bool { return true })
	c.baselineUntil = now.Add((reduceRounds + 1) * c.cfg.ExchangeInterval)
	for _, p := range c.peers {
		p.needsTotals = true
	}
}

// adds tells whether this daemon adds up the workspace for its zone.
func (c *Core) adds(w *workspace) bool { return c.reduction.own(w.shard) == c.cfg.Self }

// settled tells whether a total of the workspace that is seen first counts.
func (c *Core) settled(now time.Time, w *workspace) bool {
	return !now.Before(c.reduction.settled[w.shard])
}

// sum is what this daemon adds up for a workspace.
type sum struct {
	fairshare.Aggregate
	// changed and zoneChanged tell that mates and other zones are to be told.
	changed, zoneChanged bool
}

func (s *service) sum(ws ident.Workspace) *sum {
	if s.aggregates == nil {
		s.aggregates = map[ident.Workspace]*sum{}
	}
	if s.aggregates[ws] == nil {
		s.aggregates[ws] = &sum{}
	}
	return s.aggregates[ws]
}

// takePart merges what a daemon itself has delivered.
func (c *Core) takePart(now time.Time, p *peer, part ServedTotal) {
	s := c.services[part.Service]
	if s == nil {
		return
	}
	if c.reduction == nil {
		if now.Before(c.baselineUntil) {
			s.ledger.MergeZonePeer(p.ID, p.Incarnation, part.Workspace, part.Served, true)
			return
		}
		s.ledger.Merge(p.ID, p.Incarnation, part.Workspace, part.Served)
		return
	}
	w := s.workspaces[part.Workspace]
	if w == nil || p.Zone != c.cfg.Zone || !c.adds(w) {
		return
	}
	added := s.ledger.MergeZonePeer(p.ID, p.Incarnation, w.Name, part.Served, !c.settled(now, w))
	u := s.sum(w.Name)
	u.AddZonePeer(p.ID, added)
	u.changed, u.zoneChanged = true, true
}

// takeSum merges what another daemon has added up: for its own zone, where this
// daemon adds up the workspace as well, or for all others.
func (c *Core) takeSum(now time.Time, p *peer, part ServedTotal) {
	s := c.services[part.Service]
	if s == nil || c.reduction == nil {
		return
	}
	w := s.workspaces[part.Workspace]
	if w == nil || c.reduction.adder(p.Zone, w.shard) != p.ID {
		return
	}
	by := fairshare.Origin{Zone: p.Zone, Daemon: p.ID, Incarnation: p.Incarnation}
	switch {
	case p.Zone == c.cfg.Zone:
		s.ledger.MergeAggregate(by, w.Name, part.Served, !c.settled(now, w))
	case c.adds(w):
		u := s.sum(w.Name)
		u.AddOtherZone(s.ledger.MergeAggregate(by, w.Name, part.Served, !c.settled(now, w)))
		u.changed = true
	}
}

// sendReduced tells what changed since the last round to whom it concerns.
func (c *Core) sendReduced(s *service) {
	for _, name := range s.ledger.Changed() {
		w := s.workspaces[name]
		if w == nil {
			continue
		}
		if c.adds(w) {
			u := s.sum(name)
			u.changed, u.zoneChanged = true, true
			continue
		}
		c.tellPart(c.reduction.own(w.shard), s, w)
	}
	for _, name := range slices.Sorted(maps.Keys(s.aggregates)) {
		w, u := s.workspaces[name], s.aggregates[name]
		if !u.changed || !c.adds(w) {
			continue
		}
		for _, p := range c.peers {
			c.tellSum(p, s, w, u, u.zoneChanged)
		}
		u.changed, u.zoneChanged = false, false
	}
}

// sendReducedTo tells a peer that may have lost messages everything that it is
// to know.
func (c *Core) sendReducedTo(p *peer, s *service) {
	for _, w := range s.sortedWorkspaces {
		if !c.adds(w) && c.reduction.own(w.shard) == p.ID && s.ledger.LocalService(w.Name) != 0 {
			c.tellPart(p.ID, s, w)
		}
		if u := s.aggregates[w.Name]; u != nil && c.adds(w) {
			c.tellSum(p, s, w, u, true)
		}
	}
}

func (c *Core) tellPart(to ident.Daemon, s *service, w *workspace) {
	if c.peers[to] == nil {
		return
	}
	m := c.messageTo(to)
	m.ServedTotals = append(m.ServedTotals, ServedTotal{Service: s.name, Workspace: w.Name, Served: s.ledger.LocalService(w.Name)})
}

// tellSum tells a peer what concerns it of a sum: a mate what all others have
// delivered, a counterpart in another zone what this zone has.
func (c *Core) tellSum(p *peer, s *service, w *workspace, u *sum, zoneChanged bool) {
	own := s.ledger.LocalService(w.Name)
	part := ServedTotal{Service: s.name, Workspace: w.Name}
	switch {
	case p.Zone == c.cfg.Zone:
		part.Served = u.TotalForZonePeer(p.ID, own)
	case zoneChanged && c.reduction.adder(p.Zone, w.shard) == p.ID:
		part.Served = u.ZoneTotal(own)
	default:
		return
	}
	m := c.messageTo(p.ID)
	m.Aggregates = append(m.Aggregates, part)
}

// exchangeParts tells other daemons what was served, as far as it is due.
func (c *Core) exchangeParts(now time.Time, at updateTrigger) {
	if c.reduction == nil {
		if at == onExchange {
			for _, s := range c.services {
				c.sendTotals(s)
			}
		}
		return
	}
	if at == onExchange {
		for _, p := range c.peers {
			if !p.needsFullUpdate && !p.needsTotals {
				continue
			}
			for _, s := range c.services {
				c.sendReducedTo(p, s)
			}
		}
	}
	if now.Before(c.nextRound) {
		return
	}
	c.nextRound = now.Add(c.round())
	for _, s := range c.services {
		c.sendReduced(s)
	}
}

// round is the time between two rounds: as short as the exchange, and as long
// as the budget asks for. In a round a daemon tells each mate its parts and its
// sums, and each other zone's counterparts its sums.
func (c *Core) round() time.Duration {
	mates, rows := 0, 0
	zones := map[ident.Zone]bool{}
	for _, p := range c.peers {
		if p.Zone == c.cfg.Zone {
			mates++
		} else {
			zones[p.Zone] = true
		}
	}
	for _, s := range c.services {
		rows += len(s.active)
	}
	frames := 2*mates + len(zones)
	// Each row goes to who adds it up, and of those that this daemon adds up,
	// one in so many, each mate and zone is told.
	told := 2*rows + rows*len(zones)/(mates+1)
	bytes := frames*frameBytes + told*rowBytes
	return max(c.cfg.ExchangeInterval, time.Duration(bytes)*time.Second/reduceBudget)
}

// lag is the age at which this daemon learns of service elsewhere, by which the
// slow loop's gain falls. In the reduced exchange it is two rounds: the mean
// way, to who adds up and from there, is one and a half. Mean gap over five
// patterns and two seeds at a round of 1 s, with one, two and three rounds:
// 0.229, 0.213 and 0.272 s at 7 daemons, 0.138, 0.142 and 0.169 s at 32.
func (c *Core) lag() time.Duration {
	if c.reduction == nil {
		return c.cfg.ExchangeInterval
	}
	return reduceLag * c.round()
}
