package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// Receive handles a message of another daemon. A message of another
// incarnation than the one known to be live is dropped: its grants would be
// released to an owner that never made them.
func (c *Core) Receive(now time.Time, from ident.Daemon, m Message) {
	p := c.peers[from]
	if p == nil || p.Incarnation != m.Incarnation {
		return
	}
	p.hears(now, m)
	for _, part := range m.Parts {
		c.takePart(now, p, part)
	}
	for _, part := range m.Sums {
		c.takeSum(now, p, part)
	}
	for _, l := range m.Limits {
		if s := c.services[l.Service]; s != nil {
			s.admission.MergeLimitReport(now, from, l.Workspace, l.News)
		}
	}
	for _, news := range m.News {
		c.learn(now, news.Service, news.Target, news.Health)
	}
	for _, d := range m.Demand {
		c.takeDemand(from, d)
	}
	if m.HeldValid {
		c.reconcile(now, from, m)
	}
	for _, rel := range m.Releases {
		c.released(now, rel)
	}
	for _, g := range m.Grants {
		p.lists = max(p.lists, 1)
		p.seenGrant = max(p.seenGrant, g.ID)
		c.accept(now, from, g)
	}
	for _, id := range m.Preempts {
		c.stop(now, from, id)
	}
	c.assignAll(now)
}

// takeDemand sets what an ingress has waiting, less the grants that it had not
// seen when it counted.
func (c *Core) takeDemand(from ident.Daemon, d Demand) {
	s := c.services[d.Service]
	if s == nil || s.workspaces[d.Workspace] == nil {
		return
	}
	w := s.workspaces[d.Workspace]
	known := demand{waiting: int(d.Waiting), urgent: int(d.Urgent)}
	w.setDemand(from, known.less(w.unseen(from, d.Seen)))
	if w.remoteDemand() > 0 {
		s.activate(w)
	}
}

// unseenGrant is how long an ingress may leave a grant out of its lists before
// the grant counts as lost with the link. It is two lists at the default
// interval; a grant that arrives later all the same admits one request too much
// for a while.
const unseenGrant = 4 * time.Second

// reconcile frees the slots whose release was lost: the ingress lists what it
// still holds among the grants that it has seen. A grant above those was lost
// itself when it is old; without that, the slot would idle until the next grant
// to the same ingress, which may be never.
func (c *Core) reconcile(now time.Time, from ident.Daemon, m Message) {
	for id, g := range c.grants {
		if g.ingress != from || slices.Contains(m.Held, id) {
			continue
		}
		switch {
		case id <= m.HeldSeen:
			c.dropGrant(id)
		case now.Sub(g.sent) >= unseenGrant:
			c.dropGrant(id)
			// The request that it was for still waits there.
			if w := g.target.service.workspaces[g.Workspace]; w != nil {
				w.setDemand(from, w.demand[from].more(1))
				g.target.service.activate(w)
			}
		}
	}
}

// forgetAfter is how long the service parts of a daemon that is gone are kept.
// One that returns before has the service of the meantime counted; keeping the
// parts of each of hundreds of restarts a day would take all memory in the end.
const forgetAfter = 10 * time.Minute

func (c *Core) forgetGone(now time.Time) {
	for id, since := range c.gone {
		if now.Sub(since) < forgetAfter {
			continue
		}
		delete(c.gone, id)
		for _, s := range c.services {
			s.ledger.Forget(id)
			for _, u := range s.sums {
				u.ForgetZonePeer(id)
			}
		}
	}
}

// Tick does what is due: deadlines, demand, service parts and held grants.
func (c *Core) Tick(now time.Time) {
	c.early.refill()
	c.returnKept(now)
	at := c.due(now)
	for _, s := range c.services {
		for _, w := range c.listed(s, at) {
			c.expire(now, s, w)
			c.showDemand(now, s, w, at)
		}
		if at == onExchange {
			c.sendLimits(now, s)
			c.tune(s)
		}
		s.prune()
	}
	c.exchangeParts(now, at)
	if at == onExchange {
		c.forgetGone(now)
		for _, p := range c.peers {
			p.full, p.retell = false, false
		}
	}
	if !now.Before(c.nextHeld) {
		c.nextHeld = now.Add(c.cfg.Held)
		c.sendHeld()
	}
	c.assignAll(now)
}

// listed lists the workspaces that a tick has to look at: the active ones, or all
// where a peer that lost messages may believe in the demand of any.
func (c *Core) listed(s *service, at cadence) []*workspace {
	if at != onExchange {
		return s.active
	}
	for _, p := range c.peers {
		if p.full {
			return s.order
		}
	}
	return s.active
}

// due tells what the tick has to send.
func (c *Core) due(now time.Time) cadence {
	at := onTick
	if !now.Before(c.nextSettle) {
		c.nextSettle = now.Add(settle)
		at = onSettle
	}
	if !now.Before(c.nextExchange) {
		c.nextExchange = now.Add(c.cfg.Exchange)
		at = onExchange
	}
	return at
}

// tune fits the ledger to what was measured since.
func (c *Core) tune(s *service) {
	conditions := fairshare.Conditions{
		Lag:      c.lag(),
		SlotRate: s.rate.value,
		MeanCost: s.cost.value,
	}
	for _, t := range s.targets {
		if t.usable() {
			conditions.FleetSlots += t.limit()
		}
	}
	for _, t := range s.owned {
		if t.usable() {
			conditions.LocalSlots += t.limit()
		}
	}
	s.ledger.Tune(conditions)
}

func (c *Core) sendParts(s *service) {
	var all []Part
	changed := s.parts(s.ledger.Changed())
	for id, p := range c.peers {
		list := changed
		if p.full || p.retell {
			if all == nil {
				all = s.allParts()
			}
			list = all
		}
		if len(list) == 0 {
			continue
		}
		m := c.message(id)
		if len(m.Parts) == 0 {
			m.Parts = slices.Clip(list) // one list serves all peers
			continue
		}
		m.Parts = append(m.Parts, list...)
	}
}

func (s *service) parts(names []ident.Workspace) []Part {
	list := make([]Part, 0, len(names))
	for _, name := range names {
		list = append(list, Part{Service: s.name, Workspace: name, Served: s.ledger.LocalService(name)})
	}
	return list
}

// allParts leaves out workspaces that were served nothing.
func (s *service) allParts() []Part {
	var names []ident.Workspace
	for _, w := range s.order {
		if s.ledger.LocalService(w.Name) != 0 {
			names = append(names, w.Name)
		}
	}
	return s.parts(names)
}

// listsAfterLoss is how many lists follow a lost link: enough to outlast
// unseenGrant at the owner.
const listsAfterLoss = 4

// sendHeld lists to each owner which of its grants are in use here.
func (c *Core) sendHeld() {
	held := map[ident.Daemon][]uint64{}
	for _, r := range c.requests {
		if r.running && r.owner != c.cfg.Self {
			held[r.owner] = append(held[r.owner], r.grant.ID)
		}
	}
	for _, k := range c.kept {
		held[k.owner] = append(held[k.owner], k.ID)
	}
	for id, p := range c.peers {
		if len(held[id]) > 0 {
			p.lists = max(p.lists, 1)
		}
		if p.lists == 0 {
			continue
		}
		p.lists--
		m := c.message(id)
		m.Held = held[id]
		slices.Sort(m.Held)
		m.HeldValid = true
		m.HeldSeen = p.seenGrant
	}
}

// Reset tells that messages to or from a peer may have been lost: all demand
// and all parts are sent again at the next exchange, and the held grants listed.
func (c *Core) Reset(id ident.Daemon) {
	if p := c.peers[id]; p != nil {
		p.full = true
		p.lists = listsAfterLoss
	}
}
