package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Peers replaces the list of the other live daemons.
func (c *Core) Peers(now time.Time, peers []Peer) {
	kept := make(map[ident.Daemon]*peer, len(peers))
	added := 0
	for _, spec := range peers {
		p := c.peers[spec.ID]
		if p == nil {
			added++
		}
		if p != nil && p.Incarnation != spec.Incarnation {
			c.forgetPeer(now, p)
			c.forgetLimits(now, p.ID)
			p = nil
		}
		if p == nil {
			p = &peer{needsFullUpdate: true, heldListsDue: heldListsAfterLoss}
		}
		p.Peer = spec
		kept[spec.ID] = p
	}
	for id, p := range c.peers {
		if kept[id] == nil {
			c.forgetPeer(now, p)
			c.departed[id] = now
		}
	}
	for id := range kept {
		delete(c.departed, id)
	}
	c.peers = kept
	c.hear(now, added)
	c.divideLimits(now)
	c.assignOwners()
	c.chooseExchange(now)
	c.assignAll(now)
}

// forgetPeer frees the slots that a dead ingress held. Its streams may still
// run for a moment, which over-admits a little; without it the slots of a
// daemon that never comes back would idle for good.
func (c *Core) forgetPeer(now time.Time, p *peer) {
	for id, g := range c.grants {
		if g.ingress == p.ID {
			c.dropGrant(id)
		}
	}
	share := c.unreported(now, p)
	for _, s := range c.services {
		if c.reduction == nil {
			// In the reduced exchange, what replaces the estimate when the peer
			// comes back would be missing in the sums that are told to others.
			s.ledger.EstimateLost(p.ID, share)
		}
		for _, w := range s.sortedWorkspaces {
			w.setIngressDemand(p.ID, demand{})
			w.setSentDemand(p.ID, demand{})
		}
	}
	delete(c.outbox, p.ID)
	c.forgetSummaries(p.ID)
}

// hearFirst is how long a daemon that has just met most of its peers waits before
// it gives slots away. After a restart its slots are all free and it knows no
// demand: it gave them all to the workspaces of the first message that came, which
// got 0.3 s of the fleet's service too much. Each ingress shows its demand at its
// next tick (20 ms), after the spill (20 ms) to other zones, and the way there is
// some ms. Once each peer was heard there is no more to wait for.
const hearFirst = 100 * time.Millisecond

// hear keeps the slots back for a moment if most peers are new.
func (c *Core) hear(now time.Time, added int) {
	if 2*added > len(c.peers) {
		c.withholdUntil = now.Add(hearFirst)
	}
}

// heardAll tells whether the own slots may be given away.
func (c *Core) heardAll(now time.Time) bool {
	if !now.Before(c.withholdUntil) {
		return true
	}
	for _, p := range c.peers {
		if p.lastMessage.IsZero() {
			return false
		}
	}
	return true
}

// unreported is the part of an exchange that a peer which can no longer be reached
// worked on after it told last what it had delivered. It was alive at its last
// message of any kind, and of the time from then until it was missed, which is at
// most until its next exchange, half counts. Without this half an exchange was
// counted always, and the callers of a daemon that had died a moment before its
// exchange got a second of service more than all others.
func (c *Core) unreported(now time.Time, p *peer) float64 {
	if p.totalsInterval <= 0 {
		return 0
	}
	alive := p.lastMessage.Sub(p.lastTotals)
	left := max(0, min(now.Sub(p.lastMessage), c.cfg.ExchangeInterval-alive))
	return min(1, (alive+left/2).Seconds()/p.totalsInterval.Seconds())
}

// hears notes when a message came.
func (p *peer) hears(now time.Time, m Message) {
	p.lastMessage = now
	if len(m.ServedTotals) == 0 {
		return
	}
	p.totalsInterval = 0
	if !p.lastTotals.IsZero() {
		p.totalsInterval = now.Sub(p.lastTotals)
	}
	p.lastTotals = now
}
