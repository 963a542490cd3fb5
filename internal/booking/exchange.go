package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// Daemons exchange what their callers asked for, what they granted, and how their targets are
// loaded. In a small fleet each daemon publishes to all others. From minDaemonsForHubs on, one
// daemon of each availability zone, its hub, aggregates for the others: a daemon reports to its
// hub, the hub sends the totals of its zone to the hubs of the other zones, and the totals of
// the fleet to its own zone.
//
// Load pattern: if each of 67 daemons publishes to all others twice a second, each receives and
// sends 264 frames a second, which is two thirds of the cost of an idle daemon, a tenth of a VM
// with 0.192 of a core, and most of the bytes between zones. With hubs it is 6 frames for a
// daemon and 130 for a hub. The price is staleness: a sum is 0.75 s old on average instead of
// 0.25 s, with a decay time of 2 s.
//
// Two daemons with different membership views may both act as the hub of a zone. A total that
// was taken for the sums of one daemon would be added up again and again. Each message
// therefore states its scope, and a daemon accepts only the scope that it expects from the
// sender.

// Scope is the set of daemons that the sums of a message cover.
type Scope uint8

// Scopes of sums.
const (
	// ScopeOwn is the sender alone, ScopeZone all daemons of its availability zone, ScopeFleet
	// all daemons.
	ScopeOwn Scope = iota
	ScopeZone
	ScopeFleet
)

const (
	// minDaemonsForHubs is the number of daemons from which on there are hubs. Below it,
	// publishing to all others stays within the 1.5% of a core that is budgeted for control
	// traffic.
	minDaemonsForHubs = 16
	// memberPublishInterval is the interval at which a daemon publishes, a quarter of the decay
	// time of the sums. hubPublishInterval is that of a hub, whose data is already older.
	memberPublishInterval = 500 * time.Millisecond
	hubPublishInterval    = 250 * time.Millisecond
	// minPublishedChange is the relative change of a decayed sum that makes it worth
	// publishing.
	minPublishedChange = 0.05
	// maxForwardAge is how old a load may be for a hub to forward it: when it arrives it must
	// still be younger than maxLoadAge.
	maxForwardAge = time.Second
)

// exchangeGroup is the set of daemons with which a daemon exchanges sums.
type exchangeGroup struct {
	// hub is the hub of the zone; empty if there are no hubs and all daemons publish to all
	// others.
	hub ident.Daemon
	// otherHubs are the hubs of other zones, zonePeers the other daemons of this zone, both
	// sorted.
	otherHubs, zonePeers []ident.Daemon
}

// isHub reports whether a daemon is the hub of the group.
func (g *exchangeGroup) isHub(self ident.Daemon) bool { return g.hub == self }

// hubRole is the name under which the hub of a zone is looked up like the owner of a target.
const hubRole = "sums"

// exchangeGroupOf determines with whom this daemon exchanges sums.
func (c *Core) exchangeGroupOf(members []membership.Member) exchangeGroup {
	if len(members) < minDaemonsForHubs {
		return exchangeGroup{}
	}
	hubOf := func(zone ident.Zone) ident.Daemon { return c.owners.Lookup("", hubRole, zone) }
	g := exchangeGroup{hub: hubOf(c.cfg.Zone)}
	for _, m := range members {
		switch {
		case m.ID == c.cfg.Self:
		case m.Zone == c.cfg.Zone:
			g.zonePeers = append(g.zonePeers, m.ID)
		case hubOf(m.Zone) == m.ID:
			g.otherHubs = append(g.otherHubs, m.ID)
		}
	}
	slices.Sort(g.otherHubs)
	slices.Sort(g.zonePeers)
	return g
}

// expectedScope returns the scope that the sums of another daemon must have to be accepted, and
// whether any are accepted.
func (c *Core) expectedScope(from ident.Daemon) (Scope, bool) {
	switch g := &c.group; {
	case g.hub == "":
		return ScopeOwn, true
	case !g.isHub(c.cfg.Self):
		return ScopeFleet, from == g.hub
	case slices.Contains(g.otherHubs, from):
		return ScopeZone, true
	default:
		return ScopeOwn, slices.Contains(g.zonePeers, from)
	}
}

// setGroup replaces the exchange group, and discards what daemons outside of it have published.
func (c *Core) setGroup(g exchangeGroup) {
	changed := c.group.hub != g.hub
	c.group = g
	for _, s := range c.services {
		s.shares.setReportSource(g.hub != "", g.hub != "" && !g.isHub(c.cfg.Self))
		for _, a := range s.shares.accounts {
			for id := range a.others {
				if _, ok := c.expectedScope(id); changed || !ok {
					delete(a.others, id)
				}
			}
		}
	}
}

// receiveUsage records the sums of another daemon.
func (c *Core) receiveUsage(now time.Time, from ident.Daemon, u Usage) {
	s := c.services[u.Service]
	if s == nil || s.shares.accounts[u.Workspace] == nil {
		return
	}
	t := publishedSums(now, sums{asked: u.Asked, shed: u.Shed, granted: u.Granted})
	a := s.shares.accounts[u.Workspace]
	a.others[from] = &t
	c.expediteReport(now, s, a)
}

func (c *Core) receiveLoad(now time.Time, l Load) {
	if e := c.engine(l.Service, l.Target); e != nil && !e.owned {
		e.reported, e.reportedAt = l, now
	}
}

// publish sends sums and loads to the exchange group.
func (c *Core) publish(now time.Time) {
	switch g := &c.group; {
	case len(c.peers) == 0:
	case g.hub == "":
		c.queueSums(c.allPeers(), ScopeOwn, c.changedUsage(now, ScopeOwn), c.loads(now, ScopeOwn))
	case !g.isHub(c.cfg.Self):
		c.queueSums([]ident.Daemon{g.hub}, ScopeOwn, c.changedUsage(now, ScopeOwn), c.loads(now, ScopeOwn))
	default:
		c.queueSums(g.otherHubs, ScopeZone, c.changedUsage(now, ScopeZone), c.loads(now, ScopeZone))
		c.queueSums(g.zonePeers, ScopeFleet, c.changedUsage(now, ScopeFleet), c.loads(now, ScopeFleet))
	}
}

// publishInterval is the interval at which this daemon publishes.
func (c *Core) publishInterval() time.Duration {
	if c.group.isHub(c.cfg.Self) {
		return hubPublishInterval
	}
	return memberPublishInterval
}

func (c *Core) allPeers() []ident.Daemon {
	ids := make([]ident.Daemon, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	return ids
}

func (c *Core) queueSums(to []ident.Daemon, scope Scope, usage []Usage, loads []Load) {
	if len(usage)+len(loads) == 0 {
		return
	}
	for _, id := range to {
		m := c.messageTo(id)
		m.Scope = scope
		m.Usage = append(m.Usage, usage...)
		m.Loads = append(m.Loads, loads...)
	}
}

// changedUsage lists the sums that have changed since they were last published.
func (c *Core) changedUsage(now time.Time, scope Scope) []Usage {
	var list []Usage
	for _, s := range c.services {
		for name, a := range s.shares.accounts {
			sum, sent := c.sumsOf(now, a, scope), a.published[scope].now(now)
			if worthPublishing(sum.asked, sent.asked) || worthPublishing(sum.shed, sent.shed) || worthPublishing(sum.granted, sent.granted) {
				a.published[scope] = publishedSums(now, sum)
				list = append(list, Usage{Service: s.name, Workspace: name, Asked: sum.asked, Shed: sum.shed, Granted: sum.granted})
			}
		}
	}
	return list
}

// sumsOf adds up a workspace's sums over a scope.
func (c *Core) sumsOf(now time.Time, a *account, scope Scope) sums {
	sum := a.own.now(now)
	if scope == ScopeOwn {
		return sum
	}
	for id, t := range a.others {
		if p := c.peers[id]; scope == ScopeFleet || p != nil && p.Zone == c.cfg.Zone {
			sum = sum.plus(t.now(now))
		}
	}
	return sum
}

// loads lists the targets that this daemon owns, and as a hub those owned by other daemons of
// its zone or of the fleet, according to the scope.
func (c *Core) loads(now time.Time, scope Scope) []Load {
	var list []Load
	for _, s := range c.services {
		s.refreshWeights(now)
		for _, e := range s.sortedEngines {
			switch {
			case e.owned:
				list = append(list, Load{
					Service: s.name, Target: e.Name,
					Wait: e.backlog(now), SlotUtilization: e.occupancy(), FailureRate: e.health.failureRate(now), Utilization: e.utilization(now),
					Speed: e.reportedSpeed(now),
				})
			case c.forwards(now, e, scope):
				list = append(list, e.reported)
			}
		}
	}
	return list
}

// forwards reports whether a hub forwards the load that it has received for a target.
func (c *Core) forwards(now time.Time, e *engine, scope Scope) bool {
	if scope == ScopeOwn || now.Sub(e.reportedAt) > maxForwardAge {
		return false
	}
	p := c.peers[e.owner]
	return scope == ScopeFleet || p != nil && p.Zone == c.cfg.Zone
}

// worthPublishing reports whether a sum differs enough from the published one.
func worthPublishing(a, b float64) bool {
	return max(a-b, b-a) > minPublishedChange*max(a, b, 1)
}
