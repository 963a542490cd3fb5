package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// assignOwners recomputes which targets this daemon owns and grants slots of.
// Ownership is not exclusive: while daemons disagree on the membership, two of
// them may own one target. They then admit too many requests for a short time,
// and the target rejects what exceeds its capacity.
func (c *Core) assignOwners() {
	c.members = membership.NewOwners(c.knownMembers())
	for _, s := range c.services {
		s.owned = s.owned[:0]
		s.owners = map[ident.Daemon]bool{}
		for _, t := range s.targets {
			owner := c.ownerOf(t)
			s.owners[owner] = true
			if owner == c.cfg.Self {
				s.owned = append(s.owned, t)
			}
		}
		c.resetOwners(s)
		sort.Slice(s.owned, func(i, j int) bool { return s.owned[i].Name < s.owned[j].Name })
	}
}

// ownerOf returns the daemon that owns a target according to the known
// membership.
func (c *Core) ownerOf(t *target) ident.Daemon {
	return c.members.Lookup(t.service.name, t.Name, t.Zone)
}

// knownMembers returns this daemon and its peers.
func (c *Core) knownMembers() []membership.Member {
	members := []membership.Member{{ID: c.cfg.Self, Zone: c.cfg.Zone, Leaving: c.leaving}}
	for _, p := range c.peers {
		members = append(members, membership.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving})
	}
	return members
}

func (c *Core) grantAllFreeSlots(now time.Time) {
	names := make([]ident.Service, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		c.grantFreeSlots(now, c.services[name])
	}
}

// grantFreeSlots grants the free slots of the owned targets while requests are
// waiting.
func (c *Core) grantFreeSlots(now time.Time, s *service) {
	c.expireRecentGrants(now)
	if !c.readyToGrant(now) {
		return
	}
	for len(s.listFreeTargets()) > 0 {
		w := c.pickWorkspace(s)
		if w == nil {
			return
		}
		t := c.chooseTarget(s, w)
		if t == nil {
			return
		}
		c.grant(now, t, w, c.pickIngress(w))
	}
	c.requestPreemptions(now, s)
}

// pickWorkspace returns the workspace that fair sharing favors most among those
// that have demand and may use one of the free targets, or nil.
func (c *Core) pickWorkspace(s *service) *workspace {
	var candidates []fairshare.Candidate
	for _, w := range s.active {
		hasDemand := w.ownsAllowedTarget && (w.waiting() > 0 || w.remoteWaiting() > 0)
		if hasDemand && w.mayUseAny(s.placement.free) {
			candidates = append(candidates, fairshare.Candidate{Workspace: w.Name, Running: w.activeGrants, Unreported: w.recentGrants})
		}
		s.ledger.SetBacklogged(w.Name, hasDemand)
	}
	name, ok := s.ledger.Pick(candidates)
	if !ok {
		return nil
	}
	return s.workspaces[name]
}

// maxInteractiveGrants is the number of consecutive grants that are distributed
// by interactive demand alone. The next grant considers all waiting requests,
// so that no ingress is starved.
const maxInteractiveGrants = 7

// pickIngress selects the ingress that receives the grant, at random and in
// proportion to the number of requests waiting at each, so that the expected
// wait is the same at every daemon. While interactive requests wait, most
// grants consider only those, because classes are ordered within one ingress
// but not across ingresses. Random selection needs no record of earlier grants
// and keeps several owners from all choosing the same ingress.
func (c *Core) pickIngress(w *workspace) ident.Daemon {
	w.pickCount = (w.pickCount + 1) % (maxInteractiveGrants + 1)
	count := func(d demand) int { return d.waiting }
	if w.pickCount != 0 && w.hasInteractiveDemand() {
		count = func(d demand) int { return d.interactive }
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
	remaining := c.rng.IntN(total)
	for _, id := range ids {
		if remaining -= count(w.ingressDemand[id]); remaining < 0 {
			return id
		}
	}
	return c.cfg.Self
}

func (w *workspace) hasInteractiveDemand() bool {
	return w.ownDemand().interactive > 0 || w.remoteTotal.interactive > 0
}

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
	c.recentGrants = append(c.recentGrants, recentGrant{workspace: w, expiry: now.Add(c.cfg.ExchangeInterval)})
	if ingress == c.cfg.Self {
		c.acceptGrant(now, c.cfg.Self, g.Grant)
		return
	}
	w.setIngressDemand(ingress, w.ingressDemand[ingress].minus(1))
	g.CachedPrefixes = c.cacheSummary(now, t, ingress)
	m := c.messageTo(ingress)
	m.Grants = append(m.Grants, g.Grant)
}

// recentGrant is a grant that is too recent for its service to have been
// reported in an exchange.
type recentGrant struct {
	workspace *workspace
	expiry    time.Time
}

// expireRecentGrants stops counting grants as recent once they are older than
// one exchange interval.
func (c *Core) expireRecentGrants(now time.Time) {
	for len(c.recentGrants) > 0 && !now.Before(c.recentGrants[0].expiry) {
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

// handleRelease frees the slot of a released grant and grants it again.
func (c *Core) handleRelease(now time.Time, rel Release) {
	g := c.dropGrant(rel.Grant)
	if g == nil {
		return
	}
	if w := g.target.service.workspaces[g.Workspace]; rel.Unused && w != nil {
		// The ingress has no waiting requests left. Keeping the old demand
		// would send it that many more grants, each of which would come back
		// unused.
		w.setIngressDemand(g.ingress, demand{})
	}
	if !rel.Unused {
		g.target.service.placement.recordResult(now, g.Target, rel.Result, len(g.target.grants)+1)
	}
	if rel.Result.Preempted {
		c.reassignPreemptedSlot(now, g)
	}
	c.grantFreeSlots(now, g.target.service)
}

// ReportTargetHealth records an observation about a target's health and
// broadcasts it to the peers. A successful response from a suspect target
// counts only when its probe is due.
func (c *Core) ReportTargetHealth(now time.Time, service ident.Service, name ident.Target, health Health) {
	if s := c.services[service]; s != nil && health == HealthAnswered && !s.placement.ProbeDue(now, name) {
		return
	}
	if !c.updateTargetHealth(now, service, name, health) {
		return
	}
	for id := range c.peers {
		m := c.messageTo(id)
		m.HealthUpdates = append(m.HealthUpdates, TargetHealthUpdate{Service: service, Target: name, Health: health})
	}
}

func (c *Core) updateTargetHealth(now time.Time, service ident.Service, name ident.Target, health Health) bool {
	s := c.services[service]
	if s == nil || s.targets[name] == nil {
		return false
	}
	if !s.placement.updateHealth(now, name, health) {
		return false
	}
	c.grantFreeSlots(now, s)
	return true
}
