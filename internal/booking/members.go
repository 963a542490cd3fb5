package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// SetPeers replaces the list of other live daemons.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	present := make(map[ident.Daemon]*peer, len(peers))
	for _, spec := range peers {
		p := c.peers[spec.ID]
		if p == nil || p.Incarnation != spec.Incarnation {
			c.dropPeerRuns(now, spec.ID)
			p = &peer{}
		}
		p.Peer = spec
		present[spec.ID] = p
	}
	for id := range c.peers {
		if present[id] == nil {
			c.dropPeerRuns(now, id)
		}
	}
	c.peers = present
	c.reach.forgetShares()
	c.assignOwners(now)
	c.serveAllWaiting(now)
}

// dropPeerRuns drops the runs reported by a daemon that is gone: its requests have lost their
// connections. Its sums need no cleanup, since they decay.
func (c *Core) dropPeerRuns(now time.Time, id ident.Daemon) {
	for key, r := range c.runs {
		if key.ingress == id {
			r.target.removeRun(now, r, 0)
			delete(c.runs, key)
		}
	}
	for key := range c.waiting {
		if key.ingress == id {
			c.dropWaiting(key)
		}
	}
}

// Leave begins a planned stop: from now on the daemon owns no target unless no other daemon is
// left to own it.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.reach.forgetShares()
	c.assignOwners(now)
	c.serveAllWaiting(now)
}

// assignOwners determines which targets this daemon owns. A new owner starts with what its
// peers report: each ingress lists the requests that it has running there.
func (c *Core) assignOwners(now time.Time) {
	members := []membership.Member{{ID: c.cfg.Self, Zone: c.cfg.Zone, Leaving: c.leaving}}
	for _, p := range c.peers {
		members = append(members, membership.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving})
	}
	c.owners.SetMembers(members)
	c.setGroup(c.exchangeGroupOf(members))
	for _, s := range c.services {
		owned, inUse := 0, 0
		for _, e := range s.sortedEngines {
			c.assignOwner(now, e)
			if e.Evacuated {
				continue
			}
			inUse++
			if e.owned {
				owned++
			}
		}
		s.shares.setOwned(owned, inUse)
		for _, e := range s.drainingEngines {
			c.assignOwner(now, e)
		}
	}
}

// assignOwner determines the owner of a target.
func (c *Core) assignOwner(now time.Time, e *engine) {
	owner := c.owners.Lookup(e.service.name, e.Name, e.Zone)
	if e.owned && owner != c.cfg.Self {
		c.dropRuns(e)
		e.speed = targetSpeed{}
		e.runs, e.unsharedMemory = nil, 0
		e.cache.releaseAll()
	}
	if e.owner != owner {
		if e.owner != "" {
			e.newOwnerUntil = now.Add(newOwnerTime)
		}
		e.takenOverAt = time.Time{}
		if _, isSilent := c.reach.unreachable[e.owner]; isSilent {
			e.takenOverAt = now
		}
		e.owner = owner
		e.warmth.forgetProof()
		e.owned, e.ownedSince = owner == c.cfg.Self, now
		if e.owned {
			e.inheritSpeed(now)
		}
		c.notifyNewOwner(now, e)
	}
}

// notifyNewOwner notifies the owner of a target of the requests of this ingress that run there.
func (c *Core) notifyNewOwner(now time.Time, e *engine) {
	for _, id := range c.sortedRequests() {
		r := c.requests[id]
		if r.running && r.current.engine == e {
			c.notifyOwner(now, r, e)
		}
	}
}

func (c *Core) sortedRequests() []ident.Request {
	ids := make([]ident.Request, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// LinkLost handles the loss of a link to a peer: messages in either direction may be lost, so
// that its replies are not awaited any longer.
func (c *Core) LinkLost(now time.Time, id ident.Daemon) {
	for _, rid := range c.sortedRequests() {
		if r := c.requests[rid]; r.pendingID != 0 && r.pendingOwner == id {
			c.handleNoReply(now, r)
		}
	}
}

// LinkUp handles a new link to a peer. Each end lists again what it has running on the other's
// targets, and discards what it knew about the other's requests before: a release or first-byte
// notice that was sent over the lost link is never repeated, and a request without a release
// would count as a prompt still in prefill until it expires.
func (c *Core) LinkUp(now time.Time, id ident.Daemon) {
	c.LinkLost(now, id)
	c.dropPeerRuns(now, id)
	for _, rid := range c.sortedRequests() {
		if r := c.requests[rid]; r.running && r.current.engine.owner == id {
			c.notifyOwner(now, r, r.current.engine)
		}
	}
	c.serveAllWaiting(now)
}
