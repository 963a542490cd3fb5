package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// Daemons tell each other what their callers asked for, what they granted, and how their
// targets are loaded. A few tell it to all others. From hubsFrom on, one of each
// availability zone, its hub, adds up for the rest: a daemon tells its hub, the hub tells
// the hubs of other zones what its zone has, and its own zone what the fleet has.
//
// Load pattern: where each of 67 daemons tells all others twice a second, they take in and
// send 264 frames a second for it, two thirds of what an idle daemon costs and a tenth of
// a VM of 0.192 of a core, and most of the bytes between zones. With hubs a daemon has 6
// and a hub 130. The price is age: a sum is 0.75 s old on average, where it was 0.25 s, of
// the 2 s within which it fades.
//
// Two daemons that know different members may both take themselves for the hub of a zone.
// A sum of sums that was taken for the sum of one daemon would then be added up again and
// again, so that each message says what its sums stand for, and a daemon takes from each
// other one only what it expects of it.

// Scope says what the sums of a message stand for.
type Scope uint8

// Scopes of sums.
const (
	// ScopeOwn is the sender alone, ScopeZone all of its availability zone, ScopeFleet
	// all daemons.
	ScopeOwn Scope = iota
	ScopeZone
	ScopeFleet
)

const (
	// hubsFrom is the number of daemons from which on there are hubs. Below it, telling
	// all others takes less than the 1.5% of a core that control may.
	hubsFrom = 16
	// tellEvery is the interval at which a daemon tells, a quarter of the time with which
	// the sums fade, and hubEvery that of a hub, whose word is older already.
	tellEvery = 500 * time.Millisecond
	hubEvery  = 250 * time.Millisecond
	// worthTelling is the change of a faded sum, as a part of it, that is worth telling.
	worthTelling = 0.05
	// passedOn is how old a word about a target may be for a hub to pass it on: with
	// the way to those who get it still below stale.
	passedOn = time.Second
)

// circle is with whom a daemon exchanges sums.
type circle struct {
	// hub is the zone's; empty: there are none, and everyone tells everyone.
	hub ident.Daemon
	// hubs are those of other zones, zone the other daemons of this one, in order.
	hubs, zone []ident.Daemon
}

// isHub tells whether a daemon is the hub of its circle.
func (r *circle) isHub(self ident.Daemon) bool { return r.hub == self }

// circleOf finds out with whom this daemon exchanges sums.
func (c *Core) circleOf(members []membership.Member, owners *membership.Owners) circle {
	if len(members) < hubsFrom {
		return circle{}
	}
	hubOf := func(zone ident.Zone) ident.Daemon { return owners.Of("", "sums", zone) }
	r := circle{hub: hubOf(c.cfg.Zone)}
	for _, m := range members {
		switch {
		case m.ID == c.cfg.Self:
		case m.Zone == c.cfg.Zone:
			r.zone = append(r.zone, m.ID)
		case hubOf(m.Zone) == m.ID:
			r.hubs = append(r.hubs, m.ID)
		}
	}
	slices.Sort(r.hubs)
	slices.Sort(r.zone)
	return r
}

// expects returns what the sums of another daemon must stand for to be taken.
func (c *Core) expects(from ident.Daemon) (Scope, bool) {
	switch r := &c.circle; {
	case r.hub == "":
		return ScopeOwn, true
	case !r.isHub(c.cfg.Self):
		return ScopeFleet, from == r.hub
	case slices.Contains(r.hubs, from):
		return ScopeZone, true
	default:
		return ScopeOwn, slices.Contains(r.zone, from)
	}
}

// regroup takes a new circle in, and forgets what was told by those who are not in it.
func (c *Core) regroup(r circle) {
	changed := c.circle.hub != r.hub
	c.circle = r
	for _, s := range c.services {
		s.shares.hear(r.hub != "", r.hub != "" && !r.isHub(c.cfg.Self))
		for _, a := range s.shares.accounts {
			for id := range a.others {
				if _, ok := c.expects(id); changed || !ok {
					delete(a.others, id)
				}
			}
		}
	}
}

// takeUsage takes in the sums of another daemon.
func (c *Core) takeUsage(now time.Time, from ident.Daemon, u Usage) {
	s := c.services[u.Service]
	if s == nil || s.shares.accounts[u.Workspace] == nil {
		return
	}
	t := toldNow(now, sums{asked: u.Asked, shed: u.Shed, granted: u.Granted})
	a := s.shares.accounts[u.Workspace]
	a.others[from] = &t
	c.hasten(now, s, a)
}

func (c *Core) takeLoad(now time.Time, l Load) {
	if e := c.engine(l.Service, l.Target); e != nil && !e.owned {
		e.told, e.heard = l, now
	}
}

// tell sends sums and loads to those who are to have them.
func (c *Core) tell(now time.Time) {
	switch r := &c.circle; {
	case len(c.peers) == 0:
	case r.hub == "":
		c.send(c.everyone(), ScopeOwn, c.usage(now, ScopeOwn), c.loads(now, ScopeOwn))
	case !r.isHub(c.cfg.Self):
		c.send([]ident.Daemon{r.hub}, ScopeOwn, c.usage(now, ScopeOwn), c.loads(now, ScopeOwn))
	default:
		c.send(r.hubs, ScopeZone, c.usage(now, ScopeZone), c.loads(now, ScopeZone))
		c.send(r.zone, ScopeFleet, c.usage(now, ScopeFleet), c.loads(now, ScopeFleet))
	}
}

// interval is how often this daemon tells.
func (c *Core) interval() time.Duration {
	if c.circle.isHub(c.cfg.Self) {
		return hubEvery
	}
	return tellEvery
}

func (c *Core) everyone() []ident.Daemon {
	ids := make([]ident.Daemon, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	return ids
}

func (c *Core) send(to []ident.Daemon, scope Scope, usage []Usage, loads []Load) {
	if len(usage)+len(loads) == 0 {
		return
	}
	for _, id := range to {
		m := c.message(id)
		m.Scope = scope
		m.Usage = append(m.Usage, usage...)
		m.Loads = append(m.Loads, loads...)
	}
}

// usage lists the sums that have changed since they were last told.
func (c *Core) usage(now time.Time, scope Scope) []Usage {
	var list []Usage
	for _, s := range c.services {
		for name, a := range s.shares.accounts {
			sum, sent := c.sumsOf(now, a, scope), a.sent[scope].now(now)
			if changed(sum.asked, sent.asked) || changed(sum.shed, sent.shed) || changed(sum.granted, sent.granted) {
				a.sent[scope] = toldNow(now, sum)
				list = append(list, Usage{Service: s.name, Workspace: name, Asked: sum.asked, Shed: sum.shed, Granted: sum.granted})
			}
		}
	}
	return list
}

// sumsOf adds up a workspace's sums as far as a scope goes.
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

// loads lists the targets that this daemon owns, and as a hub those that others of its
// zone, or all others, own.
func (c *Core) loads(now time.Time, scope Scope) []Load {
	var list []Load
	for _, s := range c.services {
		for _, e := range s.order {
			switch {
			case e.owned:
				list = append(list, Load{
					Service: s.name, Target: e.Name,
					Wait: e.backlog(now), Taken: e.taken(), Failures: e.health.share(now), Use: e.use(now),
				})
			case c.passes(now, e, scope):
				list = append(list, e.told)
			}
		}
	}
	return list
}

// passes tells whether a hub passes on what it heard of a target.
func (c *Core) passes(now time.Time, e *engine, scope Scope) bool {
	if scope == ScopeOwn || now.Sub(e.heard) > passedOn {
		return false
	}
	p := c.peers[e.owner]
	return scope == ScopeFleet || p != nil && p.Zone == c.cfg.Zone
}

// changed tells whether a sum differs enough from what was told.
func changed(a, b float64) bool {
	return max(a-b, b-a) > worthTelling*max(a, b, 1)
}
