package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// idleGrant is a grant of another daemon that is kept for the next request of the
// workspace although no request waits.
type idleGrant struct {
	Grant
	owner ident.Daemon
	// grantedAt is when the grant was first used, and expires when it is returned.
	grantedAt, expires time.Time
	// result is that of the last request that ran on the grant.
	result Result
}

// keepIdle keeps a grant for a short time instead of releasing it if its owner
// reported spare capacity. This serves short calls that arrive one at a time:
// otherwise each costs a demand update, a grant and a release, and waits for the
// first two. A slot needed elsewhere is not kept: the owner then issues grants
// without SpareCapacity, and a grant kept earlier is returned within
// IdleGrantTimeout.
func (c *Core) keepIdle(now time.Time, r *request, result Result) bool {
	s := c.services[r.Service]
	expires := r.grantedAt.Add(c.cfg.GrantReuseWindow)
	if idleEnd := now.Add(c.cfg.IdleGrantTimeout); idleEnd.Before(expires) {
		expires = idleEnd
	}
	switch {
	case s == nil || !r.grant.SpareCapacity || r.owner == c.cfg.Self || c.peers[r.owner] == nil:
		return false
	case !now.Before(expires) || result.Failed || result.NotRun || c.leaving:
		return false
	}
	if t := s.targets[r.grant.Target]; t == nil || !t.usable() {
		return false
	}
	c.idleGrants = append(c.idleGrants, idleGrant{Grant: r.grant, owner: r.owner, grantedAt: r.grantedAt, expires: expires, result: result})
	return true
}

// useIdleGrants binds waiting requests to the idle grants of their workspace, most
// recently kept first, so that grants that are not needed expire.
func (c *Core) useIdleGrants(now time.Time, s *service, w *workspace) {
	for i := len(c.idleGrants) - 1; i >= 0 && w.waiting() > 0; i-- {
		g := c.idleGrants[i]
		if g.Service != s.name || g.Workspace != w.Name || c.peers[g.owner] == nil {
			continue
		}
		if t := s.targets[g.Target]; t == nil || !t.usable() {
			continue
		}
		r := c.bindRequest(now, g.Grant)
		if r == nil {
			return
		}
		c.idleGrants = append(c.idleGrants[:i], c.idleGrants[i+1:]...)
		c.dispatch(r, g.owner, g.Grant, g.grantedAt)
	}
}

// releaseExpiredIdleGrants releases the idle grants that have expired.
func (c *Core) releaseExpiredIdleGrants(now time.Time) {
	remaining := c.idleGrants[:0]
	for _, g := range c.idleGrants {
		if now.Before(g.expires) && c.peers[g.owner] != nil {
			remaining = append(remaining, g)
			continue
		}
		c.releaseGrant(now, g.owner, Release{Grant: g.ID, Result: g.result})
	}
	c.idleGrants = remaining
}

// spareCapacityFraction is the fraction of an owner's slots that must be free for
// it to report spare capacity. At most as many slots are then kept idle as stay
// free.
const spareCapacityFraction = 0.5

// hasSpareCapacity reports whether enough of the owned slots are free for an
// ingress to keep one idle.
func (s *service) hasSpareCapacity() bool {
	free, all := 0, 0
	for _, t := range s.owned {
		limit := t.limit()
		all += limit
		free += max(0, limit-len(t.grants))
	}
	return float64(free) >= spareCapacityFraction*float64(all)
}
