package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// SetPeers replaces the set of other live daemons.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	current := make(map[ident.Daemon]*peer, len(peers))
	added := 0
	for _, spec := range peers {
		p := c.peers[spec.ID]
		if p == nil {
			added++
		}
		if p != nil && p.Incarnation != spec.Incarnation {
			c.removePeer(now, p)
			c.forgetLimits(now, p.ID)
			p = nil
		}
		if p == nil {
			p = &peer{needsFullUpdate: true, heldListsDue: heldListsAfterLoss}
		}
		p.Peer = spec
		current[spec.ID] = p
	}
	for id, p := range c.peers {
		if current[id] == nil {
			c.removePeer(now, p)
			c.departed[id] = now
		}
	}
	for id := range current {
		delete(c.departed, id)
	}
	c.peers = current
	c.delayInitialGrants(now, added)
	c.divideLimits(now)
	c.assignOwners()
	c.selectExchangeMode(now)
	c.grantAllFreeSlots(now)
}

// removePeer frees the slots held by a dead ingress. Its streams may still run
// for a short time, which admits slightly too many requests. Otherwise the
// slots of a daemon that never returns would stay idle forever.
func (c *Core) removePeer(now time.Time, p *peer) {
	for id, g := range c.grants {
		if g.ingress == p.ID {
			c.dropGrant(id)
		}
	}
	fraction := c.unreportedFraction(now, p)
	for _, s := range c.services {
		if c.aggregation == nil {
			// With hierarchical aggregation, the correction of this estimate
			// when the peer returns would be missing from the aggregates sent to
			// other daemons.
			s.ledger.EstimateLost(p.ID, fraction)
		}
		for _, w := range s.sortedWorkspaces {
			w.setIngressDemand(p.ID, demand{})
			w.setSentDemand(p.ID, demand{})
		}
	}
	delete(c.outbox, p.ID)
	c.forgetSummaries(p.ID)
}

// initialGrantDelay is how long a daemon waits before it grants slots when most
// of its peers are new. After a restart all of its slots are free and it knows
// no demand. Without the delay it granted all of them to the workspaces in the
// first message received, which gave those 0.3 s of the fleet's service too
// much. Each ingress reports its demand on its next tick (20 ms), and to other
// zones after the spill delay (20 ms); the network adds a few ms. The delay
// ends early once every peer has sent a message.
const initialGrantDelay = 100 * time.Millisecond

// delayInitialGrants postpones grants if most peers are new.
func (c *Core) delayInitialGrants(now time.Time, added int) {
	if 2*added > len(c.peers) {
		c.withholdUntil = now.Add(initialGrantDelay)
	}
}

// readyToGrant reports whether this daemon may grant its slots: every peer has
// sent a message, or the initial delay has passed.
func (c *Core) readyToGrant(now time.Time) bool {
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

// unreportedFraction estimates the service that an unreachable peer delivered
// after its last served totals, as a fraction of an exchange interval. The
// peer was alive until its last message of any kind. The time from then until
// it was declared dead, limited to the rest of the exchange interval, counts
// half. Always assuming half an interval gave the callers of a daemon that died
// just before its exchange a second of service more than all others.
func (c *Core) unreportedFraction(now time.Time, p *peer) float64 {
	if p.totalsInterval <= 0 {
		return 0
	}
	knownAlive := p.lastMessage.Sub(p.lastTotals)
	uncertain := max(0, min(now.Sub(p.lastMessage), c.cfg.ExchangeInterval-knownAlive))
	return min(1, (knownAlive+uncertain/2).Seconds()/p.totalsInterval.Seconds())
}

// recordMessage records when a message, and when one with served totals, was
// last received.
func (p *peer) recordMessage(now time.Time, m Message) {
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
