package scheduler

import (
	"slices"
	"time"

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
	for _, part := range m.Parts {
		if s := c.services[part.Service]; s != nil {
			s.ledger.Merge(from, m.Incarnation, part.Workspace, part.Served)
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
		p.seenGrant = max(p.seenGrant, g.ID)
		c.accept(now, from, g)
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
	w.demand[from] = known.less(w.unseen(from, d.Seen))
}

// reconcile frees the slots whose release was lost: the ingress lists what it
// still holds among the grants that it has seen.
func (c *Core) reconcile(now time.Time, from ident.Daemon, m Message) {
	for id, g := range c.grants {
		if g.ingress == from && id <= m.HeldSeen && !slices.Contains(m.Held, id) {
			c.dropGrant(id)
		}
	}
}

// Tick does what is due: deadlines, demand, service parts and held grants.
func (c *Core) Tick(now time.Time) {
	exchange := !now.Before(c.nextExchange)
	if exchange {
		c.nextExchange = now.Add(c.cfg.Exchange)
	}
	for _, s := range c.services {
		for _, w := range s.order {
			c.expire(now, s, w)
			c.showDemand(now, s, w, exchange)
		}
		if exchange {
			c.sendParts(s)
		}
	}
	for _, p := range c.peers {
		p.full = p.full && !exchange
	}
	if !now.Before(c.nextHeld) {
		c.nextHeld = now.Add(c.cfg.Held)
		c.sendHeld()
	}
	c.assignAll(now)
}

// showDemand tells the owners how many requests wait. A change from or to
// nothing goes at once, for a target idles or a grant is wasted otherwise; other
// changes wait for the exchange, and small ones are not worth a row.
func (c *Core) showDemand(now time.Time, s *service, w *workspace, exchange bool) {
	own := w.own()
	spill := own.waiting > 0 && now.Sub(w.since) >= c.cfg.Spill
	for id, p := range c.peers {
		value := own
		if p.Zone != c.cfg.Zone && !spill {
			value = demand{}
		}
		full := p.full && exchange
		if !full && !value.worth(w.shown[id], exchange) {
			continue
		}
		w.shown[id] = value
		m := c.message(id)
		m.Demand = append(m.Demand, Demand{
			Service:   s.name,
			Workspace: w.Name,
			Waiting:   uint32(value.waiting),
			Urgent:    uint32(value.urgent),
			Seen:      p.seenGrant,
		})
	}
}

// worth tells whether the demand differs enough from what is known of it.
func (d demand) worth(known demand, exchange bool) bool {
	if (d.waiting == 0) != (known.waiting == 0) || (d.urgent == 0) != (known.urgent == 0) {
		return true
	}
	return exchange && (far(d.waiting, known.waiting) || far(d.urgent, known.urgent))
}

// far tells whether two counts differ by more than a quarter. Counts only share
// grants out among ingresses, in proportion.
func far(a, b int) bool {
	const quarter = 4
	return quarter*max(a-b, b-a) > max(a, b)
}

func (c *Core) sendParts(s *service) {
	changed := s.ledger.Changed()
	for id, p := range c.peers {
		names := changed
		if p.full {
			names = names[:0:0]
			for _, w := range s.order {
				names = append(names, w.Name)
			}
		}
		for _, name := range names {
			m := c.message(id)
			m.Parts = append(m.Parts, Part{Service: s.name, Workspace: name, Served: s.ledger.Own(name)})
		}
	}
}

// sendHeld lists to each owner which of its grants are in use here.
func (c *Core) sendHeld() {
	held := map[ident.Daemon][]uint64{}
	for _, r := range c.requests {
		if r.running && r.owner != c.cfg.Self {
			held[r.owner] = append(held[r.owner], r.grant)
		}
	}
	for id, p := range c.peers {
		if p.seenGrant == 0 {
			continue
		}
		m := c.message(id)
		m.Held = held[id]
		slices.Sort(m.Held)
		m.HeldValid = true
		m.HeldSeen = p.seenGrant
	}
}

// Reset tells that messages to or from a peer may have been lost: all demand
// and all parts are sent again at the next exchange.
func (c *Core) Reset(id ident.Daemon) {
	if p := c.peers[id]; p != nil {
		p.full = true
	}
}
