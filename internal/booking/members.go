package booking

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
)

// Peers replaces the list of other live daemons.
func (c *Core) Peers(now time.Time, peers []Peer) {
	present := make(map[ident.Daemon]*peer, len(peers))
	for _, spec := range peers {
		p := c.peers[spec.ID]
		if p == nil || p.Incarnation != spec.Incarnation {
			c.dropPeer(now, spec.ID)
			p = &peer{}
		}
		p.Peer = spec
		present[spec.ID] = p
	}
	for id := range c.peers {
		if present[id] == nil {
			c.dropPeer(now, id)
		}
	}
	c.peers = present
	c.assign(now)
}

// dropPeer forgets what stands on the word of a daemon that is gone: its requests
// have lost their connections, and its sums fade by themselves.
func (c *Core) dropPeer(now time.Time, id ident.Daemon) {
	for key, r := range c.runs {
		if key.ingress == id {
			r.target.remove(now, r, 0)
			delete(c.runs, key)
		}
	}
}

// Leave begins a planned stop: the daemon owns no target from now on unless no
// other daemon is left to own it.
func (c *Core) Leave(now time.Time) {
	c.leaving = true
	c.assign(now)
}

// assign decides which targets this daemon owns. A new owner starts with what its
// peers tell it: each ingress lists what it has running there.
func (c *Core) assign(now time.Time) {
	members := []membership.Member{{ID: c.cfg.Self, Zone: c.cfg.Zone, Leaving: c.leaving}}
	for _, p := range c.peers {
		members = append(members, membership.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving})
	}
	owners := membership.NewOwners(members)
	c.regroup(c.circleOf(members, owners))
	for _, s := range c.services {
		owned := 0
		for _, e := range s.order {
			owner := owners.Of(s.name, e.Name, e.Zone)
			if e.owned && owner != c.cfg.Self {
				c.dropRuns(e)
				e.runs, e.memory = nil, 0
				e.kept.releaseAll()
			}
			if e.owner != owner {
				e.owner = owner
				e.owned, e.since = owner == c.cfg.Self, now
				c.reclaim(now, e)
			}
			if e.owned {
				owned++
			}
		}
		s.shares.owns(owned, len(s.order))
	}
}

// reclaim tells the owner of a target what this ingress has running there.
func (c *Core) reclaim(now time.Time, e *engine) {
	for _, id := range c.sortedRequests() {
		r := c.requests[id]
		if r.running && r.at.engine == e {
			c.note(now, r, e)
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

// LinkLost tells that messages to or from a peer may have been lost: its answers do
// not come any more.
func (c *Core) LinkLost(now time.Time, id ident.Daemon) {
	for _, rid := range c.sortedRequests() {
		if r := c.requests[rid]; r.ask != 0 && r.to == id {
			c.unanswered(now, r)
		}
	}
}

// LinkUp tells that a link to a peer is up. Either end lists anew what it has running
// on the other's targets, and forgets what it knew of that before: an end or a first
// byte that was told to a lost link is never told again, and a request that nobody
// ends would be taken for a prompt still to be read for as long as it is remembered.
func (c *Core) LinkUp(now time.Time, id ident.Daemon) {
	c.LinkLost(now, id)
	c.dropPeer(now, id)
	for _, rid := range c.sortedRequests() {
		if r := c.requests[rid]; r.running && r.at.engine.owner == id {
			c.note(now, r, r.at.engine)
		}
	}
}
