package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// assignOwners decides which targets this daemon grants. Ownership is soft: two
// owners of one target only admit too much for a moment, and the target refuses
// what it cannot take.
func (c *Core) assignOwners() {
	c.members = membership.NewOwners(c.knownMembers())
	for _, s := range c.services {
		s.owned = s.owned[:0]
		s.owners = map[ident.Daemon]bool{}
		for _, t := range s.targets {
			owner := c.owner(t)
			s.owners[owner] = true
			if owner == c.cfg.Self {
				s.owned = append(s.owned, t)
			}
		}
		c.resetOwners(s)
		sort.Slice(s.owned, func(i, j int) bool { return s.owned[i].Name < s.owned[j].Name })
	}
}

// owner returns the daemon that grants a target, by what is known of the members.
func (c *Core) owner(t *target) ident.Daemon {
	return c.members.Of(t.service.name, t.Name, t.Zone)
}

// knownMembers are this daemon and its peers.
func (c *Core) knownMembers() []membership.Member {
	members := []membership.Member{{ID: c.cfg.Self, Zone: c.cfg.Zone, Leaving: c.leaving}}
	for _, p := range c.peers {
		members = append(members, membership.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving})
	}
	return members
}

func (c *Core) assignAll(now time.Time) {
	names := make([]ident.Service, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		c.assign(now, c.services[name])
	}
}

// assign gives away free slots of the owned targets as long as work waits.
func (c *Core) assign(now time.Time, s *service) {
	c.ageGrants(now)
	if !c.heardAll(now) {
		return
	}
	for len(s.findFree()) > 0 {
		w := c.pick(s)
		if w == nil {
			return
		}
		t := c.freeTarget(s, w)
		if t == nil {
			return
		}
		c.grant(now, t, w, c.pickIngress(w))
	}
	c.preempt(now, s)
}

// pick returns the workspace that is owed most among those with demand that may
// use one of the free targets.
func (c *Core) pick(s *service) *workspace {
	var candidates []fairshare.Candidate
	for _, w := range s.active {
		wants := w.ownsAllowedTarget && (w.waiting() > 0 || w.remoteWaiting() > 0)
		if wants && w.fits(s.placement.free) {
			candidates = append(candidates, fairshare.Candidate{Workspace: w.Name, Running: w.activeGrants, Unreported: w.recentGrants})
		}
		s.ledger.SetBacklogged(w.Name, wants)
	}
	name, ok := s.ledger.Pick(candidates)
	if !ok {
		return nil
	}
	return s.workspaces[name]
}

// urgentTurns is how many grants in a row may go to ingresses with interactive
// requests before one goes by all that wait, so that no ingress starves.
const urgentTurns = 7

// pickIngress draws the ingress that gets the grant, in proportion to what waits
// at each, so that a request waits as long at any daemon. While interactive
// requests wait, most grants go by those alone, because one that waits here
// does not help one that waits elsewhere. A draw needs no memory of who was
// served, and owners that draw do not all choose the same ingress.
func (c *Core) pickIngress(w *workspace) ident.Daemon {
	w.pickCount = (w.pickCount + 1) % (urgentTurns + 1)
	count := func(d demand) int { return d.waiting }
	if w.pickCount != 0 && w.anyUrgent() {
		count = func(d demand) int { return d.urgent }
	}
	ids := make([]ident.Daemon, 0, len(w.ingressDemand))
	total := count(w.ownDemand())
	for id, d := range w.ingressDemand {
		if n := count(d); n > 0 {
			ids = append(ids, id)
			total += n
		}
	}
	slices.Sort(ids)
	left := c.rng.IntN(total)
	for _, id := range ids {
		if left -= count(w.ingressDemand[id]); left < 0 {
			return id
		}
	}
	return c.cfg.Self
}

func (w *workspace) anyUrgent() bool { return w.ownDemand().urgent > 0 || w.remoteTotal.urgent > 0 }

func (c *Core) grant(now time.Time, t *target, w *workspace, ingress ident.Daemon) {
	c.lastGrant++
	g := &issuedGrant{
		sentAt:  now,
		Grant:   Grant{ID: c.lastGrant, Service: t.service.name, Workspace: w.Name, Target: t.Name},
		ingress: ingress,
		target:  t,
	}
	c.grants[g.ID] = g
	t.grants[g.ID] = g
	g.SpareCapacity = t.service.hasSpareCapacity()
	w.addGrant(ingress, g.ID)
	w.recentGrants++
	c.recentGrants = append(c.recentGrants, freshGrant{workspace: w, until: now.Add(c.cfg.ExchangeInterval)})
	if ingress == c.cfg.Self {
		c.acceptGrant(now, c.cfg.Self, g.Grant)
		return
	}
	w.setIngressDemand(ingress, w.ingressDemand[ingress].minus(1))
	g.CachedPrefixes = c.cacheSummary(now, t, ingress)
	m := c.messageTo(ingress)
	m.Grants = append(m.Grants, g.Grant)
}

// freshGrant is a grant whose service has not come back with an exchange.
type freshGrant struct {
	workspace *workspace
	until     time.Time
}

// ageGrants counts off the grants that are older than an exchange.
func (c *Core) ageGrants(now time.Time) {
	for len(c.recentGrants) > 0 && !now.Before(c.recentGrants[0].until) {
		c.recentGrants[0].workspace.recentGrants--
		c.recentGrants = c.recentGrants[1:]
	}
}

func (c *Core) dropGrant(id uint64) *issuedGrant {
	g := c.grants[id]
	if g == nil {
		return nil
	}
	delete(c.grants, id)
	delete(g.target.grants, id)
	if w := g.target.service.workspaces[g.Workspace]; w != nil {
		w.removeGrant(g.ingress, id)
	}
	return g
}

// released takes a slot back and gives it away again.
func (c *Core) released(now time.Time, rel Release) {
	g := c.dropGrant(rel.Grant)
	if g == nil {
		return
	}
	if w := g.target.service.workspaces[g.Workspace]; rel.Unused && w != nil {
		// Nothing waits there any more. Going by the old count, every slot
		// would travel there and back as often as that says.
		w.setIngressDemand(g.ingress, demand{})
	}
	if !rel.Unused {
		g.target.service.placement.observe(now, g.Target, rel.Result, len(g.target.grants)+1)
	}
	if rel.Result.Preempted {
		c.freed(now, g)
	}
	c.assign(now, g.target.service)
}

// TargetHealth records what was learnt about a target and tells the peers. The
// answer of a suspect target counts only when its probe is due.
func (c *Core) TargetHealth(now time.Time, service ident.Service, name ident.Target, health Health) {
	if s := c.services[service]; s != nil && health == HealthAnswered && !s.placement.ProbeDue(now, name) {
		return
	}
	if !c.learn(now, service, name, health) {
		return
	}
	for id := range c.peers {
		m := c.messageTo(id)
		m.HealthUpdates = append(m.HealthUpdates, TargetHealthUpdate{Service: service, Target: name, Health: health})
	}
}

func (c *Core) learn(now time.Time, service ident.Service, name ident.Target, health Health) bool {
	s := c.services[service]
	if s == nil || s.targets[name] == nil {
		return false
	}
	if !s.placement.learn(now, name, health) {
		return false
	}
	c.assign(now, s)
	return true
}
