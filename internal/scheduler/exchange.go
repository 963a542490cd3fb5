package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// Receive handles a message of another daemon. A message is dropped unless its
// incarnation is the one known to be live: its grants would be released to an
// owner that never issued them.
func (c *Core) Receive(now time.Time, from ident.Daemon, m Message) {
	p := c.peers[from]
	if p == nil || p.Incarnation != m.Incarnation {
		return
	}
	p.recordMessage(now, m)
	for _, total := range m.ServedTotals {
		c.mergeServedTotal(now, p, total)
	}
	for _, total := range m.Aggregates {
		c.mergeAggregate(now, p, total)
	}
	for _, l := range m.Limits {
		if s := c.services[l.Service]; s != nil {
			s.admission.MergeLimitReport(now, from, l.Workspace, l.Report)
		}
	}
	for _, update := range m.HealthUpdates {
		c.updateTargetHealth(now, update.Service, update.Target, update.Health)
	}
	for _, d := range m.Demand {
		c.applyDemand(from, d)
	}
	if m.HeldGrantsValid {
		c.reconcile(now, from, m)
	}
	for _, rel := range m.Releases {
		c.handleRelease(now, rel)
	}
	for _, g := range m.Grants {
		p.heldListsDue = max(p.heldListsDue, 1)
		p.lastSeenGrant = max(p.lastSeenGrant, g.ID)
		c.acceptGrant(now, from, g)
	}
	for _, id := range m.PreemptGrants {
		c.handlePreempt(now, from, id)
	}
	c.grantAllFreeSlots(now)
}

// applyDemand records the demand of an ingress, less the grants that the ingress
// had not seen when it counted.
func (c *Core) applyDemand(from ident.Daemon, d Demand) {
	s := c.services[d.Service]
	if s == nil || s.workspaces[d.Workspace] == nil {
		return
	}
	w := s.workspaces[d.Workspace]
	known := demand{waiting: int(d.Waiting), interactive: int(d.Urgent)}
	w.setIngressDemand(from, known.minus(w.unseenGrants(from, d.SeenGrant)))
	if w.remoteWaiting() > 0 {
		s.activate(w)
	}
}

// unseenGrantTimeout is how long an ingress may omit a grant from its lists before
// the grant counts as lost with the connection. It is the time of two lists at the
// default interval. If the grant arrives later all the same, one request too many
// is admitted for a while.
const unseenGrantTimeout = 4 * time.Second

// reconcile frees the slots whose release message was lost. The ingress lists the
// grants that it still holds among those that it has seen. A grant above those was
// itself lost if it is old. Without this rule, its slot would idle until the next
// grant to the same ingress, which may never come.
func (c *Core) reconcile(now time.Time, from ident.Daemon, m Message) {
	for id, g := range c.grants {
		if g.ingress != from || slices.Contains(m.HeldGrants, id) {
			continue
		}
		switch {
		case id <= m.HeldGrantsSeen:
			c.dropGrant(id)
		case now.Sub(g.sentAt) >= unseenGrantTimeout:
			c.dropGrant(id)
			// The request that the grant was meant for still waits at the ingress.
			if w := g.target.service.workspaces[g.Workspace]; w != nil {
				w.setIngressDemand(from, w.ingressDemand[from].plus(1))
				g.target.service.activate(w)
			}
		}
	}
}

// departedRetention is how long the served totals of a departed daemon are kept.
// If the daemon returns within that time, the service that it delivered in the
// meantime is counted. Keeping the totals forever would exhaust memory with
// hundreds of restarts a day.
const departedRetention = 10 * time.Minute

func (c *Core) forgetDeparted(now time.Time) {
	for id, since := range c.departed {
		if now.Sub(since) < departedRetention {
			continue
		}
		delete(c.departed, id)
		for _, s := range c.services {
			s.ledger.Forget(id)
			for _, sum := range s.aggregates {
				sum.ForgetZonePeer(id)
			}
		}
	}
}

// Tick performs the work that is due: deadlines, demand, served totals and held
// grants.
func (c *Core) Tick(now time.Time) {
	c.earlySends.refill()
	c.releaseExpiredIdleGrants(now)
	trigger := c.dueTrigger(now)
	for _, s := range c.services {
		for _, w := range c.workspacesToVisit(s, trigger) {
			c.expireWaiting(now, s, w)
			c.sendDemand(now, s, w, trigger)
		}
		if trigger == onExchange {
			c.sendLimits(now, s)
			c.tuneLedger(s)
		}
		s.prune()
	}
	c.exchangeTotals(now, trigger)
	if trigger == onExchange {
		c.forgetDeparted(now)
		for _, p := range c.peers {
			p.needsFullUpdate, p.needsTotals = false, false
		}
	}
	if !now.Before(c.nextHeldGrants) {
		c.nextHeldGrants = now.Add(c.cfg.HeldGrantsInterval)
		c.sendHeldGrants()
	}
	c.grantAllFreeSlots(now)
}

// workspacesToVisit returns the workspaces that a tick has to process: the active
// ones, or all if a peer that lost messages may assume demand of any workspace.
func (c *Core) workspacesToVisit(s *service, trigger updateTrigger) []*workspace {
	if trigger != onExchange {
		return s.active
	}
	for _, p := range c.peers {
		if p.needsFullUpdate {
			return s.sortedWorkspaces
		}
	}
	return s.active
}

// dueTrigger returns the trigger for the updates due at this tick.
func (c *Core) dueTrigger(now time.Time) updateTrigger {
	trigger := onTick
	if !now.Before(c.nextWithdraw) {
		c.nextWithdraw = now.Add(demandWithdrawInterval)
		trigger = onWithdraw
	}
	if !now.Before(c.nextExchange) {
		c.nextExchange = now.Add(c.cfg.ExchangeInterval)
		trigger = onExchange
	}
	return trigger
}

// tuneLedger adapts the ledger to the conditions measured since the last exchange.
func (c *Core) tuneLedger(s *service) {
	conditions := fairshare.Conditions{
		Lag:      c.reportingLag(),
		SlotRate: s.slotRate.value,
		MeanCost: s.requestCost.value,
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

func (c *Core) sendTotals(s *service) {
	var all []ServedTotal
	changed := s.totals(s.ledger.Changed())
	for id, p := range c.peers {
		list := changed
		if p.needsFullUpdate || p.needsTotals {
			if all == nil {
				all = s.allTotals()
			}
			list = all
		}
		if len(list) == 0 {
			continue
		}
		m := c.messageTo(id)
		if len(m.ServedTotals) == 0 {
			m.ServedTotals = slices.Clip(list) // one list serves all peers
			continue
		}
		m.ServedTotals = append(m.ServedTotals, list...)
	}
}

func (s *service) totals(names []ident.Workspace) []ServedTotal {
	list := make([]ServedTotal, 0, len(names))
	for _, name := range names {
		list = append(list, ServedTotal{Service: s.name, Workspace: name, Served: s.ledger.LocalService(name)})
	}
	return list
}

// allTotals leaves out workspaces that received no service.
func (s *service) allTotals() []ServedTotal {
	var names []ident.Workspace
	for _, w := range s.sortedWorkspaces {
		if s.ledger.LocalService(w.Name) != 0 {
			names = append(names, w.Name)
		}
	}
	return s.totals(names)
}

// heldListsAfterLoss is how many lists of held grants follow a lost connection.
// They span more than the unseenGrantTimeout of the owner.
const heldListsAfterLoss = 4

// sendHeldGrants sends each owner the list of its grants in use at this daemon.
func (c *Core) sendHeldGrants() {
	held := map[ident.Daemon][]uint64{}
	for _, r := range c.requests {
		if r.running && r.owner != c.cfg.Self {
			held[r.owner] = append(held[r.owner], r.grant.ID)
		}
	}
	for _, g := range c.idleGrants {
		held[g.owner] = append(held[g.owner], g.ID)
	}
	for id, p := range c.peers {
		if len(held[id]) > 0 {
			p.heldListsDue = max(p.heldListsDue, 1)
		}
		if p.heldListsDue == 0 {
			continue
		}
		p.heldListsDue--
		m := c.messageTo(id)
		m.HeldGrants = held[id]
		slices.Sort(m.HeldGrants)
		m.HeldGrantsValid = true
		m.HeldGrantsSeen = p.lastSeenGrant
	}
}

// ResyncPeer handles a possible loss of messages to or from a peer: all demand and
// all totals are sent again at the next exchange, and the held grants are listed.
func (c *Core) ResyncPeer(id ident.Daemon) {
	if p := c.peers[id]; p != nil {
		p.needsFullUpdate = true
		p.heldListsDue = heldListsAfterLoss
	}
}
